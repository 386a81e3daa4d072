// The part of SoakWorld with replicas that fail from rejections, or ask for
// pauses.

#include "UnitTests/Platform/Soak/SoakWorld.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

} // namespace

void SoakWorld::setBrittle(std::string_view service,
                           std::optional<double> perSecond) {
  std::int64_t n = 0;
  for (auto &it : Replicas)
    if (it->settings().Service == service) {
      it->setMaxRejections(perSecond);
      ++n;
    }
  auto &event = History.record("soak", perSecond ? "brittle" : "sound");
  event.Service = service;
  event.Running = n;
  event.Change = perSecond ? std::to_string(*perSecond) : "";
}

void SoakWorld::injectBrittle() {
  // Plain replicas more often, since they have fewer slots than there are
  // gateways.
  auto service = BrittleRandom() % 3 ? site::PlainService : site::EngineService;
  constexpr std::uint64_t MaxPerSecond = 3;
  auto perSecond = static_cast<double>(1 + BrittleRandom() % MaxPerSecond);
  log("replicas of " + std::string(service) + " bear " +
      std::to_string(perSecond) + " rejections a second");
  setBrittle(service, perSecond);
  // Beyond what the plain replicas' slots can serve.
  constexpr double BurstFactor = 8;
  constexpr auto BurstTime = milliseconds(4000);
  Timers.after(milliseconds(2500 + BrittleRandom() % 1500),
               [this, BurstFactor, BurstTime](Instant) {
                 log("burst");
                 Callers.setRate(BurstFactor * Options.Rate);
                 Timers.after(BurstTime, [this](Instant) {
                   Callers.setRate(Options.Rate);
                 });
               });
  // Some gateways die with what they know and have been granted.
  for (auto &it : Nodes) {
    if (BrittleRandom() % 4 != 0)
      continue;
    auto &node = *it;
    Timers.after(
        milliseconds(500 + BrittleRandom() % 6000), [this, &node](Instant) {
          log("kill " + node.name());
          node.kill();
          Timers.after(milliseconds(700), [&node](Instant) { node.start(); });
        });
  }
  auto lasts = Options.BrittleInterval - milliseconds(500);
  Timers.after(lasts,
               [this, service](Instant) { setBrittle(service, std::nullopt); });
}

void SoakWorld::injectPauses() {
  static const std::array<Span, 3> Pauses{milliseconds(700), milliseconds(1500),
                                          milliseconds(3000)};
  auto service = PauseRandom() % 2 ? site::PlainService : site::EngineService;
  bool takesAll = PauseRandom() % 4 == 0;
  auto pause = Pauses[PauseRandom() % Pauses.size()];
  log((takesAll ? "all" : "some") + std::string(" replicas of ") +
      std::string(service) + " ask for pauses of " +
      std::to_string(pause / milliseconds(1)) + " ms");
  for (auto &it : Replicas) {
    bool isTaken = takesAll || PauseRandom() % 2 == 0;
    auto lasts = milliseconds(1500 + PauseRandom() % 3000);
    if (it->settings().Service != service || !isTaken)
      continue;
    it->setPause(pause);
    Timers.after(lasts,
                 [&replica = *it](Instant) { replica.setPause(std::nullopt); });
  }
}

} // namespace hemlockglade::soak
