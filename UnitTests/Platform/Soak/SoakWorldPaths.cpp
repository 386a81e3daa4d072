// The part of SoakWorld that disturbs the paths between gateways, and from
// gateways to replicas.

#include "UnitTests/Platform/Soak/SoakWorld.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

void SoakWorld::injectStaleList() {
  constexpr auto LateTime = milliseconds(6500);
  auto at = StaleListRandom() % Nodes.size();
  auto &node = **std::next(Nodes.begin(), static_cast<std::ptrdiff_t>(at));
  if (StaleListRandom() % 2) {
    log("pause " + node.name() + ", replicas drain");
    node.pause();
    drainSomeReplicas();
    auto delay = milliseconds(2200 + StaleListRandom() % 2000);
    Timers.after(delay, [&node](Instant) { node.resume(); });
    return;
  }
  log("updates between gateways are late");
  for (auto &it : Nodes)
    it->peerLink()->setFault(SoakProxy::Fault::Late);
  // While updates become late, but before gateways notice it.
  auto drainAfter = milliseconds(1200 + StaleListRandom() % 1800);
  Timers.after(drainAfter, [this](Instant) { drainSomeReplicas(); });
  Timers.after(LateTime, [this](Instant) {
    for (auto &it : Nodes)
      it->peerLink()->setFault(SoakProxy::Fault::None);
  });
}

void SoakWorld::injectCutOff() {
  endCutOff();
  bool wholeDomain = CutOffRandom() % 3 == 0;
  const auto &domain =
      (*std::next(Nodes.begin(),
                  static_cast<std::ptrdiff_t>(CutOffRandom() % Nodes.size())))
          ->domain();
  std::set<std::string> addresses;
  std::vector<std::string> callerAddresses;
  for (auto &it : Nodes) {
    bool drawn = wholeDomain ? it->domain() == domain : CutOffRandom() % 3 == 0;
    if (!drawn || addresses.size() + 1 >= Nodes.size())
      continue;
    CutOffNodes.push_back(it.get());
    addresses.insert(it->address());
    callerAddresses.push_back(it->callerAddress());
  }
  bool dropsOpen = CutOffRandom() % 3 != 0;
  log("cut off " + std::to_string(addresses.size()) + " gateways" +
      (dropsOpen ? "" : ", open connections go on"));
  for (auto *it : CutOffNodes)
    History.record("soak", "cut_off").To = it->name();
  for (auto &it : Replicas)
    it->link().cutOff(addresses, dropsOpen);
  Callers.setKeptAddresses(std::move(callerAddresses));
  auto span = milliseconds(6000 + CutOffRandom() % 3000);
  Timers.after(std::min<Span>(span, Options.CutOffInterval - milliseconds(500)),
               [this](Instant) { endCutOff(); });
}

void SoakWorld::endCutOff() {
  for (auto &it : Replicas)
    it->link().cutOff({}, true);
  for (auto *it : std::exchange(CutOffNodes, {}))
    History.record("soak", "reached_again").To = it->name();
  Callers.setKeptAddresses({});
}

void SoakWorld::drainSomeReplicas() {
  constexpr std::uint64_t OneIn = 3;
  constexpr auto RestartAfter = seconds(8);
  for (auto &it : Replicas) {
    if (StaleListRandom() % OneIn || !it->isRunning())
      continue;
    log("leave " + it->incarnation());
    it->drain();
    Timers.after(RestartAfter, [&replica = *it](Instant) {
      if (!replica.isRunning())
        replica.start();
    });
  }
}

} // namespace hemlockglade::soak
