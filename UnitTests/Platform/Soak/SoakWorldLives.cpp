// The part of SoakWorld that starts gateways and engines anew in series.

#include "UnitTests/Platform/Soak/SoakWorld.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

void SoakWorld::injectLives() {
  constexpr auto FailingTime = seconds(10);
  constexpr int Lives = 2;
  // Long enough to use up a window's budget.
  constexpr auto LifeTime = seconds(4);
  constexpr auto DownTime = milliseconds(100);
  log("engines lose their answers, all gateways are killed " +
      std::to_string(Lives) + " times");
  for (auto &it : Replicas)
    if (it->settings().Engine)
      it->setMode(SoakReplica::Mode::LosesAnswers);
  for (int life = 0; life < Lives; ++life)
    Timers.after((life + 1) * LifeTime + milliseconds(LivesRandom() % 500),
                 [this, DownTime](Instant) {
                   for (auto &it : Nodes)
                     it->kill();
                   Timers.after(DownTime, [this](Instant) {
                     for (auto &it : Nodes)
                       it->start();
                   });
                 });
  Timers.after(FailingTime, [this](Instant) {
    for (auto &it : Replicas)
      it->setMode(SoakReplica::Mode::Healthy);
  });
}

void SoakWorld::injectRelease() {
  // With a rollback, and with three versions side by side.
  static const std::vector<std::string> Versions{"v1.1", "v1", "v1.2", "v1.1"};
  const auto &version = Versions[ReleaseCount++ % Versions.size()];
  constexpr auto Step = milliseconds(400);
  constexpr auto BreakingTime = seconds(3);
  log("release of " + version);
  Span delay{0};
  for (auto &it : Replicas) {
    if (!it->settings().Engine)
      continue;
    auto draw = ReleaseRandom() % 3;
    if (draw == 0 && it->isRunning()) {
      Timers.after(delay, [&replica = *it, version](Instant) {
        replica.replace(version);
      });
      delay += Step;
    }
    if (draw != 1)
      continue;
    it->setMode(SoakReplica::Mode::TruncatesStreams);
    Timers.after(BreakingTime, [&replica = *it](Instant) {
      replica.setMode(SoakReplica::Mode::Healthy);
    });
  }
  for (auto &it : Nodes) {
    if (ReleaseRandom() % 3 != 0)
      continue;
    auto &node = *it;
    Timers.after(milliseconds(500 + ReleaseRandom() % 2000),
                 [this, &node](Instant) {
                   log("kill " + node.name());
                   node.kill();
                   Timers.after(seconds(1), [&node](Instant) { node.start(); });
                 });
  }
}

void SoakWorld::injectLeave() {
  auto at = LeaveRandom() % Replicas.size();
  auto &replica =
      **std::next(Replicas.begin(), static_cast<std::ptrdiff_t>(at));
  bool isListed = LeaveRandom() % 2 == 0;
  bool isSilent = LeaveRandom() % 2 == 0;
  if (!replica.isServing())
    return;
  if (isSilent && !StoreDisturbed) {
    log("the store is silent");
    setStoreMode(SoakStore::Mode::Silent);
    Timers.after(milliseconds(2500 + LeaveRandom() % 1500),
                 [this](Instant) { setStoreMode(SoakStore::Mode::Healthy); });
  }
  log("replica " + replica.incarnation() + " leaves, " +
      (isListed ? "listed" : "by its answers only"));
  if (isListed)
    replica.drain();
  else
    replica.leaveUnlisted();
  constexpr auto Pause = milliseconds(700);
  Timers.after(replica.settings().DrainTime + Pause, [&replica](Instant) {
    if (!replica.isRunning())
      replica.start();
  });
}

} // namespace hemlockglade::soak
