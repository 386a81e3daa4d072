// The part of SoakWorld that starts gateways anew in series.

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

} // namespace hemlockglade::soak
