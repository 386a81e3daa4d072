// The part of SoakWorld with hot adapters and answers without end.

#include "UnitTests/Platform/Soak/SoakWorld.h"

#include "platform/Names.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

/// Returns the value of a field in the start of a request; empty if it is not
/// there.
std::string fieldOf(std::string_view request, std::string_view name) {
  auto at = request.find("\r\n" + std::string(name) + ": ");
  if (at == std::string_view::npos)
    return {};
  at = request.find(": ", at) + 2;
  return std::string(request.substr(at, request.find('\r', at) - at));
}

} // namespace

void SoakWorld::changeHotAdapter() {
  auto number = 1 + static_cast<int>(HotRandom() % site::AdapterCount);
  log("a" + std::to_string(number) + " is hot");
  Callers.setHotAdapter(number);
}

void SoakWorld::injectEndless() {
  auto at = EndlessRandom() % Replicas.size();
  bool isHead = EndlessRandom() % 2 == 0;
  auto lasts = milliseconds(300 + EndlessRandom() % 700);
  auto &replica =
      **std::next(Replicas.begin(), static_cast<std::ptrdiff_t>(at));
  if (Options.Planted == SoakReplica::PlantedViolation::UnclosedAnswers) {
    auto &event = History.record(replica.incarnation(), "endless_began");
    event.To = Nodes.front()->name();
    event.Run = 1;
    return;
  }
  auto &link = replica.link();
  if (!replica.isRunning() || link.fault() != SoakProxy::Fault::None)
    return;
  log("replica " + replica.incarnation() + " answers by endless " +
      (isHead ? "heads" : "bodies"));
  auto fault =
      isHead ? SoakProxy::Fault::EndlessHead : SoakProxy::Fault::EndlessBody;
  link.setFault(fault);
  History.record("soak", "harmed");
  Timers.after(lasts, [this, &link, fault](Instant) {
    if (link.fault() == fault)
      link.setFault(SoakProxy::Fault::None);
    History.record("soak", "mended");
  });
}

void SoakWorld::recordEndless(const SoakReplica &replica,
                              const SoakProxy::EndlessAnswer &answer) {
  auto &event =
      History.record(replica.incarnation(),
                     answer.HasEnded ? "endless_ended" : "endless_began");
  event.Run = answer.Number;
  event.Whole = answer.ByCaller;
  event.Running = static_cast<std::int64_t>(answer.Bytes);
  event.Tag = fieldOf(answer.Request, platform_name::RequestId);
  event.Change = answer.Request.substr(0, answer.Request.find('\r'));
  for (const auto &it : Nodes)
    if (it->address() == answer.Caller)
      event.To = it->name();
}

} // namespace hemlockglade::soak
