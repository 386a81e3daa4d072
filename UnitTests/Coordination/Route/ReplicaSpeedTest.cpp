#include "Hemlockglade/Coordination/Route/ReplicaSpeed.h"

#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WeightsRef Base{"base", ""};

/// An engine that prefills one prompt after the other.
struct UnevenEngine {
  ReplicaRecord Record;
  double Factor = 1;
  /// Takes 2.5 times as long within that time.
  Instant SpellFrom{};
  Instant SpellUntil{};
  Instant BusyUntil{};
  std::uint32_t Sent = 0;

  double factor(Instant now) const {
    constexpr double Spell = 2.5;
    return Factor * (now >= SpellFrom && now < SpellUntil ? Spell : 1);
  }
};

/// Entries that send requests to engines, learn of each other's after a delay,
/// and exchange speeds through the first of them, the owner. In virtual time.
struct UnevenWorld {
  struct Options {
    bool UseSpeeds = true;
    std::size_t Entries = 6;
    std::vector<double> Factors = {0.6, 1, 1.6};
    std::size_t EnginesEach = 4;
    /// Of the capacity of all engines.
    double Load = 0.85;
    Span MinDelay = milliseconds(50);
    Span MaxDelay = milliseconds(500);
    /// Entries know how late their news are.
    bool TellsDelay = true;
    std::uint64_t Seed = 1;
  };

  static constexpr double UsPerToken = 38.8;
  static constexpr std::uint32_t LongPrompt = 1460;
  static constexpr std::uint32_t ShortPrompt = 646;
  static constexpr Span Target = milliseconds(500);

  explicit UnevenWorld(const Options &options)
      : Choice(options), Rng(options.Seed) {
    EngineSpec engine;
    engine.Slots = 64;
    auto plan = std::make_shared<const RoutePlan>(
        1, std::vector<Route>{},
        std::vector{ServiceSpec{"drafts", "/", 10, engine}}, CallerLimits{});
    for (std::size_t n = 0; n < Choice.EnginesEach; ++n)
      for (double factor : Choice.Factors) {
        UnevenEngine it;
        it.Record.Incarnation =
            ReplicaIncarnation("i-" + std::to_string(Engines.size()));
        it.Record.Service = "drafts";
        it.Record.FailureDomain = "hall-a";
        it.Record.Slots = engine.Slots;
        it.Record.Held[Base] = 1;
        it.Factor = factor;
        Capacity += 2e6 / (UsPerToken * (LongPrompt + ShortPrompt) * factor);
        Engines[it.Record.Incarnation.text()] = it;
      }
    std::vector<ReplicaRecord> records;
    for (const auto &[id, it] : Engines)
      records.push_back(it.Record);
    ReplicaView::Settings settings;
    settings.FailureDomain = "hall-a";
    settings.UseSpeeds = Choice.UseSpeeds;
    for (std::size_t n = 0; n < Choice.Entries; ++n) {
      auto &view = Views.emplace_back(std::make_unique<ReplicaView>(settings));
      view->setPlan(plan);
      view->setTrafficShare(1.0 / static_cast<double>(Choice.Entries));
      view->onRegistry({true, records, {}, 1}, false, Time.now());
      beat(n);
    }
  }

  Span delay() {
    return Span(std::uniform_int_distribution<std::int64_t>(
        Choice.MinDelay.count(), Choice.MaxDelay.count())(Rng));
  }

  /// Sends the heartbeats of an entry.
  void beat(std::size_t n) {
    auto &view = *Views[n];
    auto now = Time.now();
    view.refreshSpeeds(now);
    if (Choice.TellsDelay)
      view.onNewsDelay("hall-a", (Choice.MinDelay + Choice.MaxDelay) / 2);
    if (n) {
      for (const auto &it : view.takeSpeedSamples("hall-a"))
        Time.after(delay(),
                   [this, it] { Views[0]->onSpeedSamples(it, Time.now()); });
    } else {
      for (std::size_t to = 1; to < Views.size(); ++to)
        for (const auto &it :
             view.takeSpeedsSince("hall-a", Revisions[to], now))
          Time.after(delay(), [this, to, it] {
            Views[to]->onMergedSpeed(it, Time.now());
          });
    }
    for (const auto &[id, engine] : Engines) {
      std::uint32_t running = 0;
      for (std::size_t other = 0; other < Views.size(); ++other)
        running += other == n ? 0 : Views[other]->ownRunningAt(id);
      Time.after(delay(), [this, n, id = id, running] {
        Views[n]->onRunningElsewhere(id, running, Time.now());
      });
    }
    Time.after(milliseconds(300), [this, n] { beat(n); });
  }

  /// Lets requests arrive for a time, and evaluates those that arrive after
  /// `warmUp`.
  void run(Span span, Span warmUp = seconds(3)) {
    auto end = Time.now() + span;
    CountsFrom = Time.now() + warmUp;
    std::exponential_distribution<double> gap(Choice.Load * Capacity);
    std::function<void()> arrive = [&] {
      if (Time.now() >= end)
        return;
      auto n =
          std::uniform_int_distribution<std::size_t>(0, Views.size() - 1)(Rng);
      RouteQuery query;
      query.Service = "drafts";
      query.Weights = Base;
      query.PromptTokens = query.Tokens =
          std::bernoulli_distribution(0.5)(Rng) ? LongPrompt : ShortPrompt;
      query.TargetLatency = Target;
      query.OnTimeUntil = Time.now() + Target * 3 / 4;
      if (Time.now() >= CountsFrom)
        ++Arrived;
      attempt(n, query, Time.now());
      Time.after(spanOf(gap(Rng)), arrive);
    };
    arrive();
    Time.advance(span + seconds(5));
  }

  void attempt(std::size_t n, RouteQuery query, Instant arrivedAt) {
    auto now = Time.now();
    if (now - arrivedAt > Target)
      return;
    auto choice = Views[n]->choose(query, now);
    if (choice.Result != RouteChoice::Kind::Send) {
      auto pause = std::clamp(choice.ReadyAt - now, Span(milliseconds(1)),
                              Span(milliseconds(20)));
      Time.after(pause,
                 [this, n, query, arrivedAt] { attempt(n, query, arrivedAt); });
      return;
    }
    auto id = choice.Replica->Incarnation.text();
    auto &engine = Engines.at(id);
    query.SentAt = now;
    if (arrivedAt >= CountsFrom)
      ++engine.Sent;
    auto number = Views[n]->onSent(id, query, now);
    for (std::size_t other = 0; other < Views.size(); ++other)
      if (other != n)
        Time.after(delay(), [this, other, id, tokens = query.PromptTokens] {
          Views[other]->onSentElsewhere(id, tokens, Time.now());
        });
    double noise = std::uniform_real_distribution<double>(0.85, 1.15)(Rng);
    double factor = engine.factor(std::max(now, engine.BusyUntil));
    if (id == "i-0" && arrivedAt >= CountsFrom)
      Queued += std::max(Span(0), engine.BusyUntil - now);
    engine.BusyUntil = std::max(now, engine.BusyUntil) +
                       Span(static_cast<std::int64_t>(
                           UsPerToken * query.PromptTokens * factor * noise));
    constexpr auto Transit = milliseconds(2);
    auto firstAt = engine.BusyUntil + Transit;
    Time.after(firstAt - now, [=, this, idle = choice.PrefillIdle] {
      Views[n]->onFirstEvent(id, query, Time.now() - now, idle);
      InTime += arrivedAt >= CountsFrom && Time.now() - arrivedAt <= Target;
    });
    auto stream = scaled(seconds(1), factor);
    Time.after(firstAt + stream - now, [=, this] {
      Views[n]->onEnd(id, number, query, AttemptVerdict::Success, Time.now());
    });
  }

  double share() const {
    return static_cast<double>(InTime) / static_cast<double>(Arrived);
  }

  Options Choice;
  std::mt19937_64 Rng;
  VirtualTime Time;
  double Capacity = 0;
  std::map<std::string, UnevenEngine> Engines;
  std::vector<std::unique_ptr<ReplicaView>> Views;
  std::map<std::size_t, std::uint64_t> Revisions;
  /// Time that prompts waited at the first engine, all together.
  Span Queued{0};
  Instant CountsFrom{};
  std::uint64_t Arrived = 0;
  std::uint64_t InTime = 0;
};

} // namespace

TEST_CASE("a factor follows a replica within seconds", "[speed]") {
  ReplicaSpeed it;
  Instant now = seconds(1000);
  double ratio = GENERATE(0.6, 1.6);
  for (int n = 0; n < 20; ++n)
    it.add(ratio, now += milliseconds(200));
  CHECK(it.factor(now) == Approx(ratio).epsilon(0.1));
}

TEST_CASE("one outlier does not let factors take effect", "[speed]") {
  ReplicaSpeed it;
  Instant now = seconds(1000);
  it.add(100.0, now);
  CHECK(it.factor(now) < 1.25);
  ReplicaSpeed other;
  other.add(0.001, now);
  CHECK(other.factor(now) > 1 / 1.25);
}

TEST_CASE("a slow spell reverses the order of replicas for no longer than it "
          "lasts",
          "[speed]") {
  constexpr double Spell = 2.5;
  auto gap = GENERATE(as<Span>{}, milliseconds(20), milliseconds(100));
  ReplicaSpeed fast;
  ReplicaSpeed middle;
  Instant now = seconds(1000);
  Instant spell = now + seconds(5);
  std::optional<Instant> reversedAt;
  std::optional<Instant> restoredAt;
  for (; now < spell + seconds(5); now += gap) {
    bool isSlow = now >= spell && now < spell + milliseconds(500);
    fast.add(0.6 * (isSlow ? Spell : 1), now);
    middle.add(1.0, now);
    bool isReversed = fast.factor(now) > middle.factor(now);
    if (isReversed && !reversedAt)
      reversedAt = now;
    if (isReversed)
      restoredAt = now + gap;
  }
  if (reversedAt)
    CHECK(*restoredAt - *reversedAt <= milliseconds(500));
}

TEST_CASE("a factor decays to 1 without samples, and is bounded", "[speed]") {
  ReplicaSpeed it;
  Instant now = seconds(1000);
  double ratio = GENERATE(1e-9, 1e9);
  for (int n = 0; n < 500; ++n)
    it.add(ratio, now += milliseconds(20));
  double bound = ratio < 1 ? ReplicaSpeed::MinFactor : ReplicaSpeed::MaxFactor;
  CHECK(it.factor(now) == Approx(bound).epsilon(0.01));
  CHECK(it.factor(now + milliseconds(11'500)) ==
        Approx(std::sqrt(it.factor(now))).epsilon(0.01));
  CHECK(it.factor(now + seconds(200)) == Approx(1).epsilon(0.01));
}

TEST_CASE("the owner's factor stays while the owner does", "[speed]") {
  ReplicaSpeed it;
  Instant now = seconds(1000);
  REQUIRE(it.onMerged(2, milliseconds(300), now));
  it.add(0.5, now);
  CHECK(it.factor(now + seconds(30)) == Approx(2));
  CHECK(it.takeSamples()->Count == 1);
  CHECK_FALSE(it.takeSamples());
  now += seconds(30);
  it.release(now);
  CHECK(it.factor(now) == Approx(2));
  CHECK(it.factor(now + milliseconds(11'500)) == Approx(std::sqrt(2)));
}

TEST_CASE("wrong reports about a replica's speed are rejected", "[speed]") {
  ReplicaSpeed it;
  Instant now = seconds(1000);
  it.onMerged(2, Span(0), now);
  double wrong = GENERATE(0.0, -1.0, 1e300, 5.0, 0.1,
                          std::numeric_limits<double>::quiet_NaN(),
                          std::numeric_limits<double>::infinity());
  CHECK_FALSE(it.onMerged(wrong, Span(0), now));
  CHECK_FALSE(it.add(ReplicaSpeed::Samples{1, wrong}, now));
  CHECK_FALSE(it.add(ReplicaSpeed::Samples{0, 1}, now));
  CHECK_FALSE(it.add(ReplicaSpeed::Samples{0xFFFFFFFF, 1}, now));
  CHECK_FALSE(it.onMerged(1, -milliseconds(1), now));
  CHECK_FALSE(it.onMerged(1, Span::max(), now));
  if (!std::isnormal(wrong) || wrong < 0)
    CHECK_FALSE(it.add(wrong, now));
  CHECK(it.factor(now) == 2);
}

namespace {

/// One entry and a few replicas whose answers take what the test wants.
struct SpeedFixture {
  explicit SpeedFixture(bool useSpeeds = true, bool engines = true)
      : View([&] {
          ReplicaView::Settings out;
          out.FailureDomain = "hall-a";
          out.UseSpeeds = useSpeeds;
          return out;
        }()) {
    auto engine = engines ? std::optional(EngineSpec{}) : std::nullopt;
    if (engine)
      engine->Slots = 16;
    View.setPlan(std::make_shared<const RoutePlan>(
        1, std::vector<Route>{}, std::vector{ServiceSpec{"s", "/", 10, engine}},
        CallerLimits{}));
    Query.Service = "s";
    if (engines)
      Query.Weights = Base;
    Query.OnTimeUntil = Instant::max();
    Query.PromptTokens = Query.Tokens = 1000;
    present({ReplicaIncarnation("i-1"), ReplicaIncarnation("i-2"),
             ReplicaIncarnation("i-3")});
  }

  void present(const std::vector<ReplicaIncarnation> &replicas) {
    ReplicaChanges changes;
    for (const auto &it : replicas) {
      ReplicaRecord record;
      record.Incarnation = it;
      record.Service = "s";
      record.FailureDomain = "hall-a";
      record.Slots = 16;
      record.Held[Base] = 1;
      changes.Present.push_back(record);
    }
    View.onRegistry(changes, false, Now);
  }

  /// Sends a request and lets the replica answer after that time.
  void serve(const std::string &id, Span took,
             AttemptVerdict verdict = AttemptVerdict::Success) {
    Query.SentAt = Now;
    auto attempt = View.onSent(id, Query, Now);
    Now += took;
    bool isSuccess = verdict == AttemptVerdict::Success;
    View.onAnswered(id, attempt, true, Now);
    if (isSuccess && Query.Weights)
      View.onFirstEvent(id, Query, took, true);
    else if (isSuccess)
      View.onSuccess(id, Query.SentAt, Now);
    View.onEnd(id, attempt, Query, verdict, Now);
    Now += milliseconds(100);
    View.refreshSpeeds(Now);
  }

  /// Lets the first replica take 0.6 and the last 1.6 times the usual time.
  void serveUnevenly(int rounds = 40) {
    for (int n = 0; n < rounds; ++n) {
      serve("i-1", milliseconds(30));
      serve("i-2", milliseconds(50));
      serve("i-3", milliseconds(80));
    }
  }

  std::string choose() {
    auto choice = View.choose(Query, Now);
    return choice.Replica ? choice.Replica->Incarnation.text() : "";
  }

  Instant Now = seconds(1000);
  RouteQuery Query;
  ReplicaView View;
};

} // namespace

TEST_CASE("a request goes to the replica with the least expected time",
          "[speed]") {
  bool engines = GENERATE(true, false);
  SpeedFixture it(true, engines);
  it.serveUnevenly();
  CHECK(it.View.speedOf("i-1") / it.View.speedOf("i-2") ==
        Approx(0.6).epsilon(0.15));
  CHECK(it.View.speedOf("i-3") / it.View.speedOf("i-2") ==
        Approx(1.6).epsilon(0.15));
  CHECK(it.choose() == "i-1");
  // The fast one takes two while the slow one takes one.
  std::map<std::string, int> sent;
  for (int n = 0; n < 9; ++n) {
    auto query = it.Query;
    query.SentAt = it.Now;
    auto id = it.choose();
    ++sent[id];
    it.View.onSent(id, query, it.Now);
  }
  CHECK(sent["i-1"] >= 4);
  CHECK(sent["i-3"] <= 2);
}

// Otherwise the typical time would be that of the replicas in use, and an
// unused one would seem to be slower the more the others are preferred.
TEST_CASE("factors do not drift with which replicas are used", "[speed]") {
  SpeedFixture it;
  it.serveUnevenly();
  auto before = it.View.speedOf("i-1");
  for (int n = 0; n < 400; ++n) {
    it.serve("i-1", milliseconds(30));
    if (n % 20 == 0) {
      it.serve("i-2", milliseconds(50));
      it.serve("i-3", milliseconds(80));
    }
  }
  CHECK(it.View.speedOf("i-1") == Approx(before).epsilon(0.2));
}

TEST_CASE("a replica that fails quickly is not taken for a fast one",
          "[speed]") {
  bool engines = GENERATE(true, false);
  SpeedFixture it(true, engines);
  it.serveUnevenly();
  auto before = it.View.speedOf("i-3");
  auto verdict = GENERATE(AttemptVerdict::ReplicaError, AttemptVerdict::Shed,
                          AttemptVerdict::NoValidAnswer);
  for (int n = 0; n < 20; ++n)
    it.serve("i-3", milliseconds(1), verdict);
  CHECK(it.View.speedOf("i-3") >= std::min(1.0, std::sqrt(before)));
  CHECK(it.choose() != "i-3");
}

TEST_CASE("a slow replica is tried again", "[speed]") {
  SpeedFixture it;
  for (int n = 0; n < 40; ++n) {
    it.serve("i-1", milliseconds(50));
    it.serve("i-2", milliseconds(55));
    it.serve("i-3", milliseconds(200));
  }
  // Where the third of three requests at the same time goes.
  auto chooseThird = [&it] {
    it.Query.SentAt = it.Now;
    auto first = it.View.onSent("i-1", it.Query, it.Now);
    auto second = it.View.onSent("i-2", it.Query, it.Now);
    auto out = it.choose();
    it.Now += milliseconds(50);
    for (const auto &[id, attempt] :
         {std::pair("i-1", first), {"i-2", second}}) {
      it.View.onFirstEvent(id, it.Query, milliseconds(50), true);
      it.View.onEnd(id, attempt, it.Query, AttemptVerdict::Success, it.Now);
    }
    it.Now += milliseconds(200);
    return out;
  };
  CHECK(chooseThird() != "i-3");
  int rounds = 0;
  while (rounds < 200 && chooseThird() != "i-3")
    ++rounds;
  // Within some half-lives.
  CHECK(rounds < 120);
}

TEST_CASE("without the setting nothing changes", "[speed]") {
  SpeedFixture it(false);
  it.serveUnevenly();
  it.View.onMergedSpeed({"i-1", 4, Span(0)}, it.Now);
  it.View.onSpeedSamples({"i-1", {9, 4}}, it.Now);
  it.View.refreshSpeeds(it.Now);
  CHECK(it.View.speedOf("i-1") == 1);
  CHECK(it.View.takeSpeedSamples("hall-a").empty());
  CHECK(it.View.speedRanges().empty());
  CHECK(it.choose() == "i-1");
  it.View.onSent("i-1", it.Query, it.Now);
  CHECK(it.choose() == "i-2");
}

TEST_CASE("replicas of about equal speed are chosen as without factors",
          "[speed]") {
  SpeedFixture it;
  for (int n = 0; n < 40; ++n) {
    it.serve("i-1", milliseconds(48));
    it.serve("i-2", milliseconds(50));
    it.serve("i-3", milliseconds(52));
  }
  CHECK(it.View.speedOf("i-3") == 1);
  CHECK_FALSE(it.View.speedRanges().at("s").InEffect);
}

TEST_CASE("reports about replicas that are not in use change nothing and are "
          "counted",
          "[speed]") {
  SpeedFixture it;
  it.present({ReplicaIncarnation("i-4", 1)});
  auto earlier = ReplicaIncarnation("i-4", 1).text();
  auto later = ReplicaIncarnation("i-4", 2).text();
  it.View.onMergedSpeed({earlier, 3, Span(0)}, it.Now);
  CHECK(it.View.rejectedSpeeds() == 0);
  it.present({ReplicaIncarnation("i-4", 2)});
  it.View.onMergedSpeed({earlier, 3, Span(0)}, it.Now);
  it.View.onSpeedSamples({earlier, {5, 3}}, it.Now);
  it.View.onSpeedSamples({"unknown", {5, 3}}, it.Now);
  it.View.onMergedSpeed({later, 3, -seconds(1)}, it.Now);
  it.View.onMergedSpeed({later, -3, Span(0)}, it.Now);
  it.View.onSpeedSamples({later, {5, std::nan("")}}, it.Now);
  CHECK(it.View.rejectedSpeeds() == 6);
  for (int n = 0; n < 50; ++n)
    it.View.refreshSpeeds(it.Now += milliseconds(200));
  CHECK(it.View.speedRanges().at("s").Max == Approx(1));
}

TEST_CASE("an owner reports a factor once it has changed by a tenth",
          "[speed]") {
  SpeedFixture it;
  std::uint64_t revision = 0;
  it.View.refreshSpeeds(it.Now);
  CHECK(it.View.takeSpeedsSince("hall-a", revision, it.Now).empty());
  for (int n = 0; n < 10; ++n)
    it.View.onSpeedSamples({"i-2", {3, 1.6}}, it.Now += milliseconds(100));
  it.View.refreshSpeeds(it.Now += milliseconds(200));
  CHECK(it.View.takeSpeedsSince("hall-b", revision, it.Now).empty());
  revision = 0;
  auto sent = it.View.takeSpeedsSince("hall-a", revision, it.Now);
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().Replica == "i-2");
  CHECK(sent.front().Factor > 1.4);
  CHECK(sent.front().Age == milliseconds(200));
  it.View.refreshSpeeds(it.Now += milliseconds(200));
  CHECK(it.View.takeSpeedsSince("hall-a", revision, it.Now).empty());
  // Once it is no longer measured, the others learn that too.
  it.View.refreshSpeeds(it.Now += seconds(30));
  CHECK(it.View.takeSpeedsSince("hall-a", revision, it.Now).size() == 1);
}

TEST_CASE("heartbeats carry few factors at once, and all of them in turn",
          "[speed]") {
  SpeedFixture it;
  std::vector<ReplicaIncarnation> all;
  all.reserve(60);
  for (int n = 0; n < 60; ++n)
    all.emplace_back("r-" + std::to_string(n));
  it.present(all);
  for (int round = 0; round < 2; ++round)
    for (const auto &id : all)
      it.serve(id.text(), milliseconds(50));
  std::set<std::string> sampled;
  std::set<std::string> published;
  std::uint64_t revision = 0;
  for (int beat = 0; beat < 40; ++beat) {
    for (const auto &id : all)
      it.View.onSpeedSamples({id.text(), {20, beat % 2 ? 3.0 : 0.3}}, it.Now);
    it.View.refreshSpeeds(it.Now += milliseconds(300));
    auto samples = it.View.takeSpeedSamples("hall-a");
    CHECK(samples.size() <= 16);
    for (const auto &sent : samples)
      sampled.insert(sent.Replica);
    auto speeds = it.View.takeSpeedsSince("hall-a", revision, it.Now);
    CHECK(speeds.size() <= 16);
    for (const auto &sent : speeds)
      published.insert(sent.Replica);
  }
  CHECK(sampled.size() == all.size());
  CHECK(published.size() == all.size());
}

namespace {

/// Returns the share of requests in time over three seeds.
double shareInTime(UnevenWorld::Options options) {
  double sum = 0;
  constexpr int Seeds = 3;
  for (int seed = 1; seed <= Seeds; ++seed) {
    options.Seed = static_cast<std::uint64_t>(seed);
    UnevenWorld it(options);
    it.run(seconds(15));
    sum += it.share();
  }
  return sum / Seeds;
}

} // namespace

TEST_CASE("uneven engines near capacity serve more requests in time with "
          "factors",
          "[speed]") {
  UnevenWorld::Options options;
  options.Load = GENERATE(0.6, 0.85);
  options.MaxDelay = GENERATE(as<Span>{}, milliseconds(5), milliseconds(500));
  options.MinDelay = options.MaxDelay / 10;
  options.UseSpeeds = false;
  auto without = shareInTime(options);
  options.UseSpeeds = true;
  CHECK(shareInTime(options) > without + 0.08);
}

TEST_CASE("equal engines serve as many requests in time with factors",
          "[speed]") {
  UnevenWorld::Options options;
  options.Factors = {1, 1, 1};
  options.Load = GENERATE(0.6, 0.85);
  options.MaxDelay = GENERATE(as<Span>{}, milliseconds(5), milliseconds(500));
  options.MinDelay = options.MaxDelay / 10;
  options.UseSpeeds = false;
  auto without = shareInTime(options);
  options.UseSpeeds = true;
  CHECK(shareInTime(options) > without - 0.03);
}

// All entries prefer it, and learn of each other's requests half a second late.
TEST_CASE("a fast engine is not flooded by entries with late news", "[speed]") {
  auto queue = [](bool tellsDelay) {
    Span sum{0};
    for (std::uint64_t seed : {1, 2, 3, 4}) {
      UnevenWorld::Options options;
      options.Factors = {0.25, 1, 1, 1};
      options.EnginesEach = 2;
      options.Load = 0.6;
      options.TellsDelay = tellsDelay;
      options.Seed = seed;
      UnevenWorld it(options);
      it.run(seconds(10));
      sum += it.Queued / static_cast<int>(it.Engines.at("i-0").Sent);
    }
    return sum;
  };
  CHECK(queue(true) < scaled(queue(false), 0.85));
}

TEST_CASE("after a slow spell an engine gets its share of requests again",
          "[speed]") {
  UnevenWorld::Options options;
  options.Load = 0.6;
  options.MaxDelay = milliseconds(50);
  UnevenWorld it(options);
  auto &engine = it.Engines.at("i-0");
  engine.SpellFrom = it.Time.now() + seconds(6);
  engine.SpellUntil = engine.SpellFrom + milliseconds(500);
  // Counts what arrives from 1.5 s after the end of the spell on.
  it.run(seconds(14), seconds(8));
  CHECK(it.Engines.at("i-0").Sent > 2 * it.Engines.at("i-2").Sent);
  CHECK(it.Engines.at("i-0").Sent > it.Engines.at("i-1").Sent);
}

TEST_CASE("figures of uneven engines", "[.figures]") {
  UnevenWorld::Options options;
  options.Load = GENERATE(0.6, 0.75, 0.85, 0.95);
  options.MaxDelay = GENERATE(as<Span>{}, milliseconds(5), milliseconds(500));
  options.MinDelay = options.MaxDelay / 10;
  bool isEqual = GENERATE(false, true);
  if (isEqual)
    options.Factors = {1, 1, 1};
  options.UseSpeeds = false;
  auto without = shareInTime(options);
  options.UseSpeeds = true;
  WARN("load " << options.Load << ", news up to " << options.MaxDelay.count()
               << " us late, " << (isEqual ? "equal" : "uneven") << ": "
               << without << " without, " << shareInTime(options) << " with");
}

} // namespace hemlockglade::test
