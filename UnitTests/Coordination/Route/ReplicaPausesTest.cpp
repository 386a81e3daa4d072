#include "Hemlockglade/Coordination/Route/ReplicaPauses.h"

#include <catch2/catch.hpp>
#include <deque>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start = seconds(1000);

/// A replica with a few slots and a short queue that asks each node which it
/// rejects for a pause. Nodes draw requests at a rate and send what their
/// pauses admit; others go elsewhere, as far as this test is concerned.
class PauseWorld {
public:
  struct Result {
    /// Requests that arrived within a pause that their node had been asked for.
    std::size_t ArrivedInPause = 0;
    std::size_t Rejected = 0;
    std::size_t Served = 0;
    /// Rejections after the overload.
    std::size_t RejectedOnReturn = 0;
  };

  PauseWorld(std::size_t nodes, Span pause, double perSecond)
      : PauseTime(pause), PerSecond(perSecond) {
    for (std::size_t it = 0; it < nodes; ++it) {
      ReplicaPauses::Settings settings;
      settings.Seed = it + 1;
      Nodes.emplace_back(settings);
    }
    AskedUntil.resize(nodes);
  }

  /// Runs for a time; the replica rejects all until `overloadedFor`.
  Result run(Span span, Span overloadedFor) {
    std::exponential_distribution<double> gap(PerSecond);
    OverloadEnd = Start + overloadedFor;
    auto end = Start + span;
    for (auto now = Start; now < end; now += spanOf(gap(Random))) {
      while (!Ends.empty() && Ends.front() <= now)
        Ends.pop_front();
      send(Random() % Nodes.size(), now);
    }
    return Out;
  }

private:
  void send(std::size_t node, Instant now) {
    auto &pauses = Nodes[node];
    if (!pauses.hasRoom("i-1", now))
      return;
    constexpr std::size_t Slots = 8;
    constexpr std::size_t Queue = 24;
    constexpr Span WorkTime = milliseconds(40);
    auto attempt = ++Attempts;
    pauses.onSent("i-1", attempt, now);
    Out.ArrivedInPause += now < AskedUntil[node] ? 1 : 0;
    bool rejects = now < OverloadEnd || Ends.size() >= Slots + Queue;
    pauses.onAnswered("i-1", attempt, !rejects, now);
    if (!rejects) {
      ++Out.Served;
      // Each slot begins the request that comes `Slots` after its last one.
      bool isQueued = Ends.size() >= Slots;
      auto begin = isQueued ? Ends[Ends.size() - Slots] : now;
      Ends.push_back(begin + WorkTime);
      return;
    }
    ++Out.Rejected;
    Out.RejectedOnReturn += now >= OverloadEnd ? 1 : 0;
    pauses.onAsked("i-1", PauseTime, now);
    AskedUntil[node] = std::max(AskedUntil[node], now + PauseTime);
  }

  Instant OverloadEnd{};
  Span PauseTime;
  double PerSecond;
  std::mt19937_64 Random{7};
  std::vector<ReplicaPauses> Nodes;
  std::vector<Instant> AskedUntil;
  /// When the requests at the replica end, in order.
  std::deque<Instant> Ends;
  std::uint64_t Attempts = 0;
  Result Out;
};

} // namespace

TEST_CASE("a pause stands until its own end", "[pauses]") {
  ReplicaPauses it;
  CHECK_FALSE(it.isPaused("i-1", Start));
  CHECK(it.onAsked("i-1", seconds(3), Start));
  SECTION("whatever else is answered meanwhile") {
    it.onAnswered("i-1", 1, true, Start + seconds(1));
    it.onEnd("i-1", 1);
  }
  SECTION("a shorter one doesn't shorten it") {
    CHECK_FALSE(it.onAsked("i-1", seconds(1), Start + seconds(1)));
    CHECK_FALSE(it.onAsked("i-1", Span(0), Start + seconds(1)));
  }
  CHECK(it.isPaused("i-1", Start + milliseconds(2999)));
  CHECK_FALSE(it.isPaused("i-2", Start));
  CHECK_FALSE(it.isPaused("i-1", Start + milliseconds(3300)));
  CHECK(it.askedAgo("i-1", Start + seconds(2)) == seconds(2));
  SECTION("a longer one lengthens it") {
    CHECK(it.onAsked("i-1", seconds(3), Start + seconds(1)));
    CHECK(it.isPaused("i-1", Start + milliseconds(3999)));
    CHECK(it.askedAgo("i-1", Start + milliseconds(3500)) == milliseconds(3500));
  }
}

TEST_CASE("no pause is asked for by a time that is zero or negative, and none "
          "lasts longer than an hour",
          "[pauses]") {
  ReplicaPauses it;
  CHECK_FALSE(it.onAsked("i-1", Span(0), Start));
  CHECK_FALSE(it.onAsked("i-1", seconds(-5), Start));
  CHECK_FALSE(it.isPaused("i-1", Start));
  CHECK(it.hasRoom("i-1", Start));
  it.onAsked("i-1", std::chrono::hours(100), Start);
  CHECK(it.isPaused("i-1", Start + std::chrono::minutes(59)));
  CHECK_FALSE(it.isPaused("i-1", Start + std::chrono::minutes(61)));
}

TEST_CASE("after a pause one request is sent, and more as they are accepted",
          "[pauses]") {
  ReplicaPauses it;
  it.onAsked("i-1", seconds(1), Start);
  auto now = Start + milliseconds(1400);
  REQUIRE(it.hasRoom("i-1", now));
  it.onSent("i-1", 1, now);
  CHECK_FALSE(it.hasRoom("i-1", now));
  SECTION("accepted") {
    it.onAnswered("i-1", 1, true, now);
    it.onSent("i-1", 2, now);
    CHECK(it.hasRoom("i-1", now));
    it.onSent("i-1", 3, now);
    CHECK_FALSE(it.hasRoom("i-1", now));
  }
  SECTION("rejected") {
    it.onAnswered("i-1", 1, false, now);
    it.onSent("i-1", 2, now);
    CHECK_FALSE(it.hasRoom("i-1", now));
  }
  SECTION("ended without an answer") {
    it.onEnd("i-1", 1);
    CHECK(it.hasRoom("i-1", now));
  }
}

TEST_CASE("few nodes or many send nothing into pauses, and return to a replica "
          "without overloading it anew",
          "[pauses]") {
  auto nodes = GENERATE(1U, 6U, 60U, 580U);
  auto pause = GENERATE(milliseconds(500), milliseconds(3000));
  // 8 slots of 40 ms serve 200 a second.
  constexpr double PerSecond = 150;
  PauseWorld world(nodes, pause, PerSecond);
  auto result = world.run(seconds(20), seconds(6));
  CAPTURE(nodes, pause.count(), result.Rejected, result.Served,
          result.RejectedOnReturn);
  CHECK(result.ArrivedInPause == 0);
  CHECK(result.RejectedOnReturn == 0);
  // Of the time after the overload all but the rest of the pauses is used.
  constexpr double MinUsed = 0.65;
  CHECK(static_cast<double>(result.Served) >= MinUsed * PerSecond * 14);
}

} // namespace hemlockglade::test
