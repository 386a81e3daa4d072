#include "Hemlockglade/Coordination/Route/HeldRequests.h"

#include "UnitTests/Coordination/VirtualTime.h"

#include <catch2/catch.hpp>
#include <deque>
#include <iostream>
#include <limits>
#include <memory>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WeightsRef Hot{"m", "hot"};

/// What a caller sends and expects.
struct Kind {
  std::uint32_t Rank = 0;
  Span Target{0};
  Span Hold{0};
  std::uint32_t Tokens = 1460;
};

const Kind Urgent{0, milliseconds(500), milliseconds(1300)};
const Kind Usual{1, milliseconds(600), milliseconds(1560)};
const Kind Batch{2, milliseconds(2000), milliseconds(5200)};

HeldRequests::Request requestOf(const Kind &kind, const std::string &workspace,
                                Instant now) {
  HeldRequests::Request out;
  out.Service = "s";
  out.Weights = Hot;
  out.Workspace = workspace;
  out.Rank = kind.Rank;
  out.Tokens = kind.Tokens;
  out.TargetLatency = kind.Target;
  out.ArrivedAt = now;
  constexpr double OnTimeShare = 0.75;
  out.OnTimeUntil = now + scaled(kind.Target, OnTimeShare);
  out.HoldUntil = now + kind.Hold;
  return out;
}

struct Outcome {
  int Arrived = 0;
  int InTime = 0;
  int Late = 0;
  int Rejected = 0;
  int HeldTooLong = 0;
  std::uint64_t Tokens = 0;
  std::vector<Span> RetryAfter;

  double inTimeShare() const { return double(InTime) / Arrived; }
};

/// An entry that holds requests for the engines of one adapter. An engine takes
/// the next request when it has read the one before.
class HeldWorld {
public:
  static constexpr double TokensPerMs = 25.8;

  HeldWorld(std::size_t engines, bool rejects)
      : Held(settings(rejects)), Rejects(rejects), FreeAt(engines, Instant{}),
        ReadyAt(engines, Instant{}) {}

  void arrive(const Kind &kind, const std::string &workspace,
              const std::string &label) {
    auto now = Time.now();
    auto &outcome = Outcomes[label];
    ++outcome.Arrived;
    auto ticket = std::make_shared<HeldRequests::Ticket>();
    auto request = requestOf(kind, workspace, now);
    request.Wake = [this, ticket] {
      Time.after(Span(0), [this, ticket] { tryToSend(*ticket); });
    };
    *ticket = Held.join(std::move(request), now);
    Open[*ticket] = {kind, label, now};
    tryToSend(*ticket);
    check(*ticket);
    Time.after(kind.Hold, [this, ticket] {
      if (auto it = Open.find(*ticket); it != Open.end()) {
        ++Outcomes[it->second.Label].HeldTooLong;
        Open.erase(it);
        Held.leave(*ticket, Time.now());
      }
    });
  }

  /// Lets requests arrive at a steady rate.
  void load(const Kind &kind, const std::string &workspace,
            const std::string &label, double perSecond, Span span) {
    auto count = static_cast<int>(perSecond * inSeconds(span));
    for (int n = 0; n < count; ++n)
      Time.after(spanOf((n + 0.5) / perSecond), [this, kind, workspace, label] {
        arrive(kind, workspace, label);
      });
  }

  VirtualTime Time;
  HeldRequests Held;
  bool Rejects;
  std::map<std::string, Outcome> Outcomes;
  std::vector<Instant> FreeAt;
  /// When each engine has the adapter.
  std::vector<Instant> ReadyAt;
  Span LongestWait{0};

private:
  struct OpenRequest {
    Kind What;
    std::string Label;
    Instant ArrivedAt{};
  };

  HeldRequests::Settings settings(bool rejects) {
    HeldRequests::Settings out;
    if (rejects)
      out.Copies = [this](const auto &, const auto &, Instant) {
        return ReadyAt;
      };
    return out;
  }

  void check(HeldRequests::Ticket ticket) {
    auto now = Time.now();
    auto found = Open.find(ticket);
    if (!Rejects || found == Open.end())
      return;
    Time.after(milliseconds(200), [this, ticket] { check(ticket); });
    const auto &[kind, label, arrivedAt] = found->second;
    bool isLate = now >= arrivedAt + scaled(kind.Target, 0.75);
    auto why =
        isLate || now == arrivedAt ? Held.hopeless(ticket, now) : std::nullopt;
    if (!why)
      return;
    auto &outcome = Outcomes[Open.at(ticket).Label];
    ++outcome.Rejected;
    outcome.RetryAfter.push_back(why->RetryAfter);
    Open.erase(ticket);
    Held.leave(ticket, now);
  }

  void tryToSend(HeldRequests::Ticket ticket) {
    auto now = Time.now();
    auto it = Open.find(ticket);
    if (it == Open.end() || !Held.isNext(ticket, now))
      return;
    std::size_t best = 0;
    for (std::size_t n = 1; n < FreeAt.size(); ++n)
      if (std::max(FreeAt[n], ReadyAt[n]) <
          std::max(FreeAt[best], ReadyAt[best]))
        best = n;
    auto freeAt = std::max(FreeAt[best], ReadyAt[best]);
    if (freeAt > now) {
      Held.onObstacle(ticket, {false, false, freeAt}, now);
      Time.after(freeAt - now, [this] { Held.wakeNext("s", Hot, Time.now()); });
      return;
    }
    auto request = it->second;
    Open.erase(it);
    auto reads = spanOf(request.What.Tokens / TokensPerMs / 1000);
    FreeAt[best] = now + reads;
    auto &outcome = Outcomes[request.Label];
    outcome.Tokens += request.What.Tokens;
    auto took = now + reads - request.ArrivedAt;
    ++(took <= request.What.Target ? outcome.InTime : outcome.Late);
    LongestWait = std::max(LongestWait, now - request.ArrivedAt);
    Held.onSent(ticket, now);
  }

  std::map<HeldRequests::Ticket, OpenRequest> Open;
};

/// Requests a second that two engines read.
constexpr double Capacity = 2 * HeldWorld::TokensPerMs * 1000 / 1460;

/// Two engines at 0.9 of their capacity, then a burst of 2.6 times that.
std::unique_ptr<HeldWorld> burst(bool rejects) {
  auto world = std::make_unique<HeldWorld>(2, rejects);
  auto &it = *world;
  auto load = [&it](double factor, Span span) {
    constexpr double Third = 0.9 / 3 * Capacity;
    it.load(Urgent, "a", "urgent", factor * Third, span);
    it.load(Usual, "b", "usual", factor * Third, span);
    it.load(Batch, "c", "batch", factor * Third, span);
    it.Time.advance(span);
  };
  load(1, seconds(4));
  load(2.6, seconds(6));
  load(1, seconds(4));
  it.Time.advance(seconds(6));
  return world;
}

} // namespace

TEST_CASE("urgent held requests are sent first, late ones last, and equal ones "
          "in order of arrival",
          "[held]") {
  HeldRequests it({});
  Instant now = seconds(10);
  auto batch = it.join(requestOf(Batch, "a", now), now);
  auto first = it.join(requestOf(Urgent, "a", now), now);
  auto second = it.join(requestOf(Urgent, "a", now), now);
  CHECK(it.isNext(first, now));
  CHECK_FALSE(it.isNext(second, now));
  it.onSent(first, now);
  CHECK(it.isNext(second, now));
  // From now on the urgent one can't be in time.
  CHECK(it.isNext(batch, now + milliseconds(400)));
  // Both are late: the value of the batch one falls more slowly.
  CHECK(it.isNext(second, now + milliseconds(1501)));
  it.leave(batch, now);
  it.leave(second, now);
  CHECK_FALSE(it.hasWaiting("s", Hot));
  CHECK(it.size() == 0);
}

TEST_CASE("in a burst urgent requests are in time at least as often as patient "
          "ones",
          "[held]") {
  auto rejects = GENERATE(false, true);
  auto world = burst(rejects);
  auto &it = *world;
  auto urgent = it.Outcomes["urgent"];
  auto batch = it.Outcomes["batch"];
  CAPTURE(rejects, urgent.inTimeShare(), it.Outcomes["usual"].inTimeShare(),
          batch.inTimeShare());
  CHECK(urgent.inTimeShare() >= batch.inTimeShare());
  CHECK(urgent.inTimeShare() > 0.9);
  CHECK(batch.InTime + batch.Late > 0);
}

TEST_CASE("workspaces take turns in tokens when one sends six times its usual",
          "[held]") {
  HeldWorld it(2, false);
  // The large workspace's prompts are also three times as long.
  Kind longer = Urgent;
  longer.Tokens *= 3;
  constexpr double Share = 0.2;
  it.load(longer, "big", "big", 6 * Share / 3 * Capacity, seconds(6));
  for (std::string name : {"b", "c", "d"})
    it.load(Urgent, name, name, Share * Capacity, seconds(6));
  it.Time.advance(seconds(10));
  for (std::string name : {"b", "c", "d"}) {
    CAPTURE(name);
    CHECK(it.Outcomes[name].inTimeShare() > 0.9);
  }
  CHECK(it.Outcomes["big"].InTime > 0);
  CHECK(it.Outcomes["big"].Tokens > it.Outcomes["b"].Tokens);
}

TEST_CASE("old requests are sent although newer urgent ones fill the engines",
          "[held]") {
  HeldWorld it(1, false);
  it.load(Urgent, "a", "urgent", 0.75 * Capacity, seconds(10));
  it.load(Batch, "a", "batch", 2, seconds(10));
  it.Time.advance(seconds(16));
  CHECK(it.Outcomes["batch"].HeldTooLong < it.Outcomes["batch"].Arrived / 4);
  // The oldest get one send in eight.
  CHECK(it.Outcomes["urgent"].inTimeShare() > 0.5);
}

TEST_CASE("a hopeless request is rejected at once, one that may be sent is not",
          "[held]") {
  auto world = burst(true);
  auto &it = *world;
  int arrived = 0;
  int rejected = 0;
  int tooLong = 0;
  for (const auto &[label, outcome] : it.Outcomes) {
    arrived += outcome.Arrived;
    rejected += outcome.Rejected;
    tooLong += outcome.HeldTooLong;
  }
  auto worldWithout = burst(false);
  auto &without = *worldWithout;
  int servedWithout = 0;
  int served = 0;
  for (const auto &[label, outcome] : without.Outcomes)
    servedWithout += outcome.InTime + outcome.Late;
  for (const auto &[label, outcome] : it.Outcomes)
    served += outcome.InTime + outcome.Late;
  CAPTURE(arrived, rejected, tooLong, served, servedWithout);
  CHECK(rejected > 0);
  CHECK(served >= 0.99 * servedWithout);
  CHECK(it.Outcomes["urgent"].InTime >=
        0.98 * without.Outcomes["urgent"].InTime);
}

TEST_CASE("a rejected request's Retry-After is when there is room, and those "
          "rejected together come back spread",
          "[held]") {
  HeldWorld it(1, true);
  // Twice what the engine reads, so that the rate is known.
  it.load(Urgent, "a", "before", Capacity, seconds(2));
  it.Time.advance(seconds(2));
  REQUIRE(it.FreeAt[0] > it.Time.now());
  auto start = it.Time.now();
  for (int n = 0; n < 100; ++n)
    it.arrive(Usual, "b", "burst");
  auto outcome = it.Outcomes["burst"];
  REQUIRE(outcome.Rejected >= 10);
  auto first = outcome.RetryAfter;
  std::sort(first.begin(), first.end());
  // What is ahead takes longer than the requests may be held.
  CHECK(first.front() > Usual.Hold);
  auto apart = first[9] - first[0];
  CHECK(apart >= milliseconds(200));
  CHECK(first.back() <= scaled(HeldRequests::Settings{}.MaxRetryAfter, 1.5));
  // Nothing else comes: by then the queue is empty.
  it.Time.advance(start + first.front() - it.Time.now());
  CHECK_FALSE(it.Held.hasWaiting("s", Hot));
}

TEST_CASE("without enough sends, or with a copy that is counted, nothing is "
          "taken to be hopeless",
          "[held]") {
  HeldWorld it(1, true);
  SECTION("too few sends") {
    for (int n = 0; n < 100; ++n)
      it.arrive(Urgent, "a", "burst");
    CHECK(it.Outcomes["burst"].Rejected == 0);
  }
  SECTION("rates without waiting requests don't count") {
    it.load(Urgent, "a", "before", 5, seconds(6));
    it.Time.advance(seconds(6));
    for (int n = 0; n < 20; ++n)
      it.arrive(Urgent, "a", "burst");
    CHECK(it.Outcomes["burst"].Rejected == 0);
  }
  SECTION("a copy that is being loaded") {
    it.load(Urgent, "a", "before", Capacity, seconds(3));
    it.Time.advance(seconds(3));
    Kind patient = Urgent;
    patient.Hold = seconds(60);
    for (int n = 0; n < 60; ++n)
      it.arrive(patient, "a", "ahead");
    auto ticket =
        it.Held.join(requestOf(Urgent, "a", it.Time.now()), it.Time.now());
    CHECK(it.Held.hopeless(ticket, it.Time.now()));
    auto readyAt = it.Time.now() + milliseconds(100);
    it.ReadyAt.insert(it.ReadyAt.end(), 5, readyAt);
    CHECK_FALSE(it.Held.hopeless(ticket, it.Time.now()));
  }
}

TEST_CASE("a request that can't use the capacity does not keep others from it",
          "[held]") {
  HeldRequests it({});
  Instant now = seconds(10);
  int woken = 0;
  auto first = it.join(requestOf(Urgent, "a", now), now);
  auto request = requestOf(Urgent, "a", now);
  request.Wake = [&woken] { ++woken; };
  auto second = it.join(request, now);
  SECTION("because it must not use a replica") {
    it.onObstacle(first, {true, false, now + seconds(1)}, now);
    CHECK(woken == 1);
    CHECK(it.isNext(second, now));
    CHECK(it.isNext(first, now + milliseconds(12)));
  }
  SECTION("because a large prompt finds no room") {
    it.onObstacle(first, {false, true, now + seconds(1)}, now);
    CHECK(woken == 1);
    CHECK(it.isNext(second, now));
    // When something has ended the order is restored.
    it.onRoom("s", Hot, now);
    CHECK(it.isNext(first, now));
  }
  SECTION("but all wait for an engine that reads") {
    it.onObstacle(first, {false, false, now + seconds(1)}, now);
    CHECK(woken == 0);
    CHECK_FALSE(it.isNext(second, now));
    // It is not tried before the engine is done, except by a better one.
    it.wakeNext("s", Hot, now);
    CHECK(woken == 0);
    it.leave(first, now);
    CHECK(woken == 1);
  }
}

TEST_CASE("full engines make no more than a few held requests try", "[held]") {
  HeldRequests it({});
  Instant now = seconds(10);
  int tries = 0;
  std::vector<HeldRequests::Ticket> tickets(300);
  for (auto &ticket : tickets) {
    auto request = requestOf(Urgent, "a", now);
    request.Wake = [&] {
      ++tries;
      it.onObstacle(ticket, {false, true, now + milliseconds(25)}, now);
    };
    ticket = it.join(std::move(request), now);
  }
  it.wakeNext("s", Hot, now);
  CHECK(tries == 5);
}

TEST_CASE("lengths that callers overstate are limited", "[held]") {
  HeldWorld it(1, true);
  it.load(Urgent, "a", "before", Capacity, seconds(2));
  it.Time.advance(seconds(2));
  Kind huge = Batch;
  huge.Tokens = std::numeric_limits<std::uint32_t>::max();
  auto now = it.Time.now();
  auto before = it.Held.join(requestOf(huge, "x", now), now);
  auto last = it.Held.join(requestOf(Batch, "x", now), now);
  auto why = it.Held.hopeless(last, now);
  CHECK((!why || why->AheadTokens < 200'000));
  it.Held.leave(before, now);
  it.Held.leave(last, now);
}

TEST_CASE("cost of a decision about held requests", "[.figures]") {
  HeldRequests::Settings options;
  options.Copies = [](const auto &, const auto &, Instant now) {
    return std::vector<Instant>{now};
  };
  for (std::size_t held : {10, 100, 1000, 10'000}) {
    HeldRequests it(options);
    Instant now = seconds(10);
    std::size_t n = 0;
    auto join = [&] {
      now += milliseconds(1);
      const auto &kind = n % 3 == 0 ? Urgent : n % 3 == 1 ? Usual : Batch;
      return it.join(requestOf(kind, "w" + std::to_string(n++ % 16), now), now);
    };
    std::deque<HeldRequests::Ticket> tickets;
    while (tickets.size() < held)
      tickets.push_back(join());
    constexpr std::size_t Rounds = 100'000;
    auto start = std::chrono::steady_clock::now();
    for (std::size_t round = 0; round < Rounds; ++round) {
      tickets.push_back(join());
      it.isNext(tickets.back(), now);
      it.hopeless(tickets.back(), now);
      it.onSent(tickets.front(), now);
      tickets.pop_front();
    }
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - start;
    std::cout << held << " held: join, look, estimate and send in "
              << took.count() / Rounds << " us\n";
  }
}

} // namespace hemlockglade::test
