// The part of SoakReplica that answers, and rejects what finds no room.

#include "UnitTests/Platform/Soak/SoakReplicaRun.h"

#include "platform/Names.h"

#include <algorithm>
#include <asio/post.hpp>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

/// How long a replica that has failed from rejections is away.
constexpr auto FallenTime = milliseconds(1500);
/// From this long after it states a limit on rejections a replica lets none
/// wait.
constexpr auto ShrinkDelay = milliseconds(3000);
constexpr std::size_t WaitingPerSlot = 4;

} // namespace

void SoakReplica::refuse(CallerReply &reply, std::uint16_t status,
                         const std::string &tag, HeaderFields fields) {
  auto &event = record("refused");
  event.Tag = tag;
  event.Status = status;
  HttpAnswerHead head{
      status,
      {{std::string(platform_name::RequestId), tag},
       {std::string(platform_name::OwnIncarnation), Incarnation},
       {std::string(platform_name::NotRun), "1"}}};
  head.Fields.insert(head.Fields.end(), fields.begin(), fields.end());
  addStatements(head, tag);
  reply.respond(std::move(head), "");
}

void SoakReplica::refuseWithPause(CallerReply &reply, const std::string &tag) {
  HeaderFields fields;
  if (Options.Planted != PlantedViolation::SilentPauses)
    fields.push_back({std::string(platform_name::PauseSeconds),
                      std::to_string(inSeconds(*Pause))});
  auto &event = record("asked_pause");
  event.Tag = tag;
  event.Running = *Pause / milliseconds(1);
  refuse(reply, 503, tag, std::move(fields));
}

void SoakReplica::addStatements(HttpAnswerHead &head, const std::string &tag) {
  if (Leaving) {
    record("told_leaving").Tag = tag;
    if (Options.Planted != PlantedViolation::SilentLeaves)
      head.Fields.push_back({std::string(platform_name::Leaving), "1"});
  }
  if (MaxRejections)
    head.Fields.push_back({std::string(platform_name::RejectionLimit),
                           std::to_string(*MaxRejections)});
  if (!RequestLimit)
    return;
  head.Fields.push_back({std::string(platform_name::RequestLimit),
                         std::to_string(*RequestLimit)});
  record("told").Tag = tag;
}

HttpAnswerHead SoakReplica::head(std::uint16_t status, const Run &run) {
  HttpAnswerHead out{status,
                     {{std::string(platform_name::RequestId), run.Tag},
                      {std::string(platform_name::OwnIncarnation), Incarnation},
                      {std::string(platform_name::Seal),
                       Incarnation + "." + std::to_string(run.Number)}}};
  if (!run.Adapter.empty())
    out.Fields.push_back(
        {"Served-By", run.Adapter + "@" + std::to_string(run.Version)});
  if (run.Stream)
    out.Fields.push_back({"Content-Type", "text/event-stream"});
  addStatements(out, run.Tag);
  return out;
}

std::size_t SoakReplica::maxWaiting() const {
  bool isShrunk =
      MaxRejections && TimerService::now() - MaxRejectionsSince >= ShrinkDelay;
  return isShrunk ? 0 : WaitingPerSlot * Options.Slots;
}

void SoakReplica::rejectForRoom(CallerReply &reply, const std::string &tag) {
  constexpr auto Second = std::chrono::seconds(1);
  auto now = TimerService::now();
  refuse(reply, 503, tag);
  record("no_room").Tag = tag;
  Rejections.push_back(now);
  while (now - Rejections.front() >= Second)
    Rejections.pop_front();
  if (!MaxRejections ||
      static_cast<double>(Rejections.size()) <= *MaxRejections)
    return;
  record("fell").Service = Options.Service;
  // Posted, since this is called from within the server that ends.
  asio::post(Context, [this, expected = Incarnation, alive = Alive] {
    if (!*alive || !isRunning() || Incarnation != expected)
      return;
    crash();
    Timers.after(FallenTime, [this, alive](Instant) {
      if (*alive && !isRunning())
        start();
    });
  });
}

} // namespace hemlockglade::soak
