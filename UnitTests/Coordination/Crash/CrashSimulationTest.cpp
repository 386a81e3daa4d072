// Simulates a pool of engines in virtual time. Engines end for several reasons
// while requests run, are retried and are sent again by their callers.

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <catch2/catch.hpp>
#include <random>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Span Step = milliseconds(10);
/// Attempts that are sent within this time of the crash that bars a request
/// can't be held back.
constexpr Span ReactionTime = milliseconds(1000);

/// The causes for which engines end, and how often.
struct Scenario {
  /// Mean time between ends of single engines, and of all of one domain.
  Span EngineEndInterval = seconds(2);
  Span DomainEndInterval = seconds(15);
  /// Time between arrivals of a request that crashes engines; none if 0.
  Span CrashingInterval{0};
  /// Copies of it that arrive together, and attempts of each.
  int Copies = 1;
  int CrashingAttempts = 4;
};

struct Counts {
  int Requests = 0;
  /// Harmless requests that were refused.
  int Refused = 0;
  /// Engines that ended under the request that crashes them.
  int Crashed = 0;
  /// Of these, by attempts later than `ReactionTime` after the third crash.
  int Late = 0;
};

class Pool {
public:
  Pool(const Scenario &scenario, std::uint64_t seed)
      : Options(scenario), Random(seed) {
    for (std::size_t it = 0; it < EngineCount; ++it) {
      Engines[it].Incarnation = ++LastIncarnation;
      Engines[it].Domain = it % DomainCount;
    }
  }

  Counts simulate(Span span) {
    for (Now = seconds(1); Now < seconds(1) + span; Now += Step)
      step();
    return Counted;
  }

private:
  static constexpr int EngineCount = 12;
  static constexpr int DomainCount = 3;
  static constexpr Span RestartTime = seconds(5);
  static constexpr Span PrefillTime = milliseconds(200);
  static constexpr Span CrashDelay = milliseconds(50);
  static constexpr Span SuspectWindow = milliseconds(1000);
  static constexpr Span SuspicionTimeout = seconds(10);
  /// One harmless request in so many is abandoned and retried elsewhere.
  static constexpr std::uint64_t SlowRequestOneIn = 10;
  /// Attempts of one request: two, and as many when its caller sends it again.
  static constexpr int MaxAttempts = 4;

  struct Run {
    RequestKey Key;
    bool Crashing = false;
    int Attempt = 1;
    Instant SentAt{};
    Instant BeginsAt{};
    Instant EndsAt{};
    /// When its node abandons it, if it does so before it begins.
    Instant AbandonedAt = Instant::max();
  };
  struct Engine {
    std::uint64_t Incarnation = 0;
    std::uint64_t Domain = 0;
    Instant UpAt{};
    std::vector<Run> Runs;
    /// Attempts that were abandoned here recently.
    std::vector<Run> Abandoned;
  };

  bool happens(Span interval) {
    return interval > Span(0) &&
           std::uniform_real_distribution<>(0, 1)(Random) <
               inSeconds(Step) / inSeconds(interval);
  }
  RequestKey newKey() {
    std::array<std::uint8_t, RequestKey::Size> bytes{};
    for (auto &it : bytes)
      it = static_cast<std::uint8_t>(Random());
    return RequestKey(bytes);
  }

  void step() {
    constexpr Span ArrivalInterval = milliseconds(16);
    if (happens(ArrivalInterval)) {
      ++Counted.Requests;
      send({newKey()});
    }
    if (happens(Options.CrashingInterval))
      for (int it = 0; it < Options.Copies; ++it)
        send({CrashingKey, true});
    if (happens(Options.EngineEndInterval))
      endEngine(Engines[Random() % EngineCount]);
    if (happens(Options.DomainEndInterval)) {
      auto domain = Random() % DomainCount;
      for (std::size_t it = domain; it < EngineCount; it += DomainCount)
        endEngine(Engines[it]);
    }
    for (auto &engine : Engines)
      advance(engine);
  }

  void send(Run run) {
    if (Tracker.barredFor(run.Key, Now)) {
      Counted.Refused += run.Crashing ? 0 : 1;
      return;
    }
    std::vector<Engine *> up;
    for (auto &it : Engines)
      if (it.UpAt <= Now)
        up.push_back(&it);
    if (up.empty() ||
        run.Attempt > (run.Crashing ? Options.CrashingAttempts : MaxAttempts))
      return;
    run.SentAt = Now;
    run.BeginsAt = Now + PrefillTime;
    run.EndsAt = run.BeginsAt + milliseconds(500 + Random() % 3000);
    bool slow = !run.Crashing && Random() % SlowRequestOneIn == 0;
    run.AbandonedAt = slow ? Now + PrefillTime / 2 : Instant::max();
    up[Random() % up.size()]->Runs.push_back(run);
  }

  void advance(Engine &engine) {
    auto crashes = [this](const Run &it) {
      return it.Crashing && Now >= it.BeginsAt + CrashDelay;
    };
    auto crashing =
        std::find_if(engine.Runs.begin(), engine.Runs.end(), crashes);
    if (crashing != engine.Runs.end()) {
      constexpr int CrashLimit = 3;
      if (++Counted.Crashed == CrashLimit)
        BarredAt = Now;
      Counted.Late += crashing->SentAt > BarredAt + ReactionTime ? 1 : 0;
      return endEngine(engine);
    }
    abandonLate(engine);
    std::erase_if(engine.Runs, [this](const Run &it) {
      bool over = Now >= it.EndsAt;
      if (over)
        Tracker.onServed(it.Key, Now);
      return over;
    });
  }

  void abandonLate(Engine &engine) {
    auto late = [this](const Run &it) { return Now >= it.AbandonedAt; };
    std::vector<Run> slow;
    std::copy_if(engine.Runs.begin(), engine.Runs.end(),
                 std::back_inserter(slow), late);
    std::erase_if(engine.Runs, late);
    std::erase_if(engine.Abandoned, [this](const Run &it) {
      return Now - it.AbandonedAt >= SuspicionTimeout;
    });
    for (auto &it : slow) {
      engine.Abandoned.push_back(it);
      ++it.Attempt;
      send(it);
    }
  }

  void endEngine(Engine &engine) {
    for (const auto &it : std::exchange(engine.Abandoned, {}))
      Tracker.onEnd(
          it.Key,
          {engine.Incarnation, it.SentAt, it.AbandonedAt, engine.Domain}, Now);
    auto runs = std::exchange(engine.Runs, {});
    for (const auto &it : runs)
      if (it.BeginsAt > Now || Now - it.BeginsAt <= SuspectWindow)
        Tracker.onEnd(it.Key,
                      {engine.Incarnation, it.SentAt, Now, engine.Domain}, Now);
    engine.Incarnation = ++LastIncarnation;
    engine.UpAt = Now + RestartTime;
    for (auto &it : runs) {
      ++it.Attempt;
      send(it);
    }
  }

  Scenario Options;
  std::mt19937_64 Random;
  Instant Now{};
  CrashTracker Tracker;
  std::array<Engine, EngineCount> Engines;
  std::uint64_t LastIncarnation = 0;
  RequestKey CrashingKey{{1}};
  Instant BarredAt = std::chrono::hours(1);
  Counts Counted;
};

constexpr Span SimulatedTime = seconds(300);
constexpr int Seeds = 10;

} // namespace

TEST_CASE("harmless requests are rarely refused while engines end", "[crash]") {
  // Acceptable to users: one harmless request in 500 is refused.
  constexpr double MaxRefusedShare = 1.0 / 500;
  Scenario scenario;
  scenario.CrashingInterval = GENERATE(Span(0), Span(seconds(3)));
  Counts total;
  for (int seed = 1; seed <= Seeds; ++seed) {
    auto it = Pool(scenario, static_cast<std::uint64_t>(seed))
                  .simulate(SimulatedTime);
    total.Requests += it.Requests;
    total.Refused += it.Refused;
  }
  CAPTURE(total.Requests, total.Refused);
  CHECK(total.Refused <= MaxRefusedShare * total.Requests);
}

TEST_CASE("a crashing request is barred after few engines have ended",
          "[crash]") {
  Scenario scenario;
  scenario.CrashingInterval = seconds(1);
  for (int seed = 1; seed <= Seeds; ++seed) {
    auto it = Pool(scenario, static_cast<std::uint64_t>(seed))
                  .simulate(SimulatedTime);
    CHECK(it.Crashed >= 1);
    CHECK(it.Late == 0);
  }
}

TEST_CASE("copies of a crashing request that arrive together end few engines",
          "[crash]") {
  Scenario scenario;
  scenario.CrashingInterval = seconds(5);
  scenario.Copies = 3;
  scenario.CrashingAttempts = 1;
  for (int seed = 1; seed <= Seeds; ++seed) {
    auto it = Pool(scenario, static_cast<std::uint64_t>(seed))
                  .simulate(SimulatedTime);
    // At most three further engines end after the first three.
    CHECK(it.Crashed >= 1);
    CHECK(it.Crashed <= 6);
  }
}

} // namespace hemlockglade::test
