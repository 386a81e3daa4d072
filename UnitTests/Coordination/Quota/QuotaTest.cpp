#include "UnitTests/Coordination/Quota/QuotaWorld.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = QuotaClient::Verdict;

constexpr double UsualTokens = 1640;

/// A large workspace: some 110 requests a second.
WorkspaceLimit large() { return {LimitUnit::Tokens, 187347, 187347, 200}; }
/// One that may send less than two usual requests a second.
WorkspaceLimit small() { return {LimitUnit::Tokens, 2700, 2700, 200}; }

QuotaSettings bounds() {
  QuotaSettings out;
  out.Slack = 11000;
  return out;
}

/// What any window may let pass.
double mostAllowed(const WorkspaceLimit &limit) {
  auto quota = bounds();
  return allowanceOf(limit, quota) * (1 + quota.Overshoot) + quota.Slack;
}

QuotaWorld::Settings worldOf(const WorkspaceLimit &limit, std::size_t entries,
                             std::uint32_t seed) {
  QuotaWorld::Settings out;
  out.Limit = limit;
  out.Quota = bounds();
  out.Entries = entries;
  out.Seed = seed;
  return out;
}

/// Lets buckets fill before the load begins.
void settle(QuotaWorld &world) { world.advance(seconds(14)); }

} // namespace

TEST_CASE("no window lets more pass, whoever is lost", "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  auto seed = GENERATE(1, 2, 3);
  auto limit = GENERATE(large(), small());
  CAPTURE(entries, seed, limit.PerSecond);
  QuotaWorld it(worldOf(limit, entries, seed));
  settle(it);
  it.load(5 * limit.PerSecond, UsualTokens, seconds(40));
  it.advance(seconds(6));
  // The keepers start anew, again and again.
  for (int round = 0; round < 4; ++round) {
    it.restartOwner(round % 3);
    it.advance(milliseconds(900));
  }
  it.loseOwner(0);
  // A third of the entries, with what they were granted.
  for (std::size_t at = 0; at < it.entries(); at += 3)
    it.restartEntry(at);
  for (std::size_t at = 1; at < it.entries(); at += 3)
    it.freezeEntry(at, milliseconds(1500));
  it.advance(seconds(12));
  // All at once.
  for (std::size_t at = 0; at < it.entries(); ++at)
    it.restartEntry(at);
  for (std::size_t cell = 0; cell < 3; ++cell)
    it.restartOwner(cell);
  it.advance(seconds(20));
  CHECK(it.mostWithin(it.Setup.Quota.Window) <= mostAllowed(limit));
}

TEST_CASE("demand below the limit passes", "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  bool atOne = GENERATE(false, true);
  auto seed = GENERATE(1, 2, 3);
  CAPTURE(entries, atOne, seed);
  QuotaWorld it(worldOf(large(), entries, seed));
  settle(it);
  auto from = it.now();
  it.load(0.95 * large().PerSecond, UsualTokens, seconds(30), atOne);
  it.advance(seconds(31));
  CHECK(it.outcome(from).second < 0.01);
  CHECK(it.longestWait() < milliseconds(60));
}

TEST_CASE("demand beyond the limit uses it up", "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  auto seed = GENERATE(1, 2, 3);
  CAPTURE(entries, seed);
  QuotaWorld it(worldOf(large(), entries, seed));
  settle(it);
  auto from = it.now();
  it.load(5 * large().PerSecond, UsualTokens, seconds(30));
  it.advance(seconds(31));
  auto [passed, refused] = it.outcome(from);
  CHECK(passed >= 0.95 * (30 * large().PerSecond));
  CHECK(refused > 0.5);
}

TEST_CASE("a workspace with less than a request a second gets its own",
          "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  CAPTURE(entries);
  WorkspaceLimit limit{LimitUnit::Requests, 0.5, 1, 0};
  auto setup = worldOf(limit, entries, 1);
  setup.Quota.Slack = 1;
  QuotaWorld it(setup);
  settle(it);
  auto from = it.now();
  for (int round = 0; round < 20; ++round) {
    it.ask(static_cast<std::size_t>(round * 7) % it.entries(), 1);
    it.advance(milliseconds(2100));
  }
  CHECK(it.outcome(from).first == 20);
}

TEST_CASE("a small workspace's requests of all sizes pass alike", "[quota]") {
  QuotaWorld it(worldOf(large(), 9, 1));
  settle(it);
  it.load(5 * large().PerSecond, UsualTokens, seconds(30));
  it.advance(seconds(31));
  std::pair<double, double> big{};
  std::pair<double, double> all{};
  for (const auto &request : it.requests()) {
    bool passed = request.What == Verdict::Allowed;
    all.first += passed ? 1 : 0;
    ++all.second;
    if (request.Units < 1.4 * UsualTokens)
      continue;
    big.first += passed ? 1 : 0;
    ++big.second;
  }
  CHECK(big.first / big.second > 0.75 * all.first / all.second);
}

TEST_CASE("while an owner is lost the others' parts serve on", "[quota]") {
  QuotaWorld it(worldOf(large(), 9, 1));
  settle(it);
  it.load(0.55 * large().PerSecond, UsualTokens, seconds(20));
  it.advance(seconds(5));
  auto from = it.now();
  it.loseOwner(0);
  it.advance(seconds(7));
  CHECK(it.outcome(from).second < 0.01);
  // Only who asked the lost one first has waited, once in a while.
  CHECK(it.longestWait() < milliseconds(250));
}

TEST_CASE("a lowered limit holds after one window", "[quota]") {
  QuotaWorld it(worldOf(large(), 9, 1));
  settle(it);
  it.load(5 * large().PerSecond, UsualTokens, seconds(40));
  it.advance(seconds(10));
  auto lowered = large();
  lowered.PerSecond /= 10;
  lowered.Burst /= 10;
  it.setLimit(lowered);
  it.advance(it.Setup.Quota.Window);
  auto from = it.now();
  it.advance(seconds(20));
  CHECK(it.outcome(from).first <= mostAllowed(lowered) * 20 / 8);
}

TEST_CASE("callers refused together come back one after the other", "[quota]") {
  QuotaWorld it(worldOf(large(), 9, 1));
  settle(it);
  it.load(20 * large().PerSecond, UsualTokens, seconds(3));
  it.advance(seconds(4));
  std::set<std::int64_t> moments;
  std::size_t refused = 0;
  for (const auto &request : it.requests()) {
    if (request.What != Verdict::Limited)
      continue;
    ++refused;
    CHECK(request.RetryAfter > Span(0));
    CHECK(request.RetryAfter <= seconds(4));
    moments.insert((request.DecidedAt + request.RetryAfter).count());
  }
  REQUIRE(refused > 1000);
  CHECK(moments.size() > refused / 2);
}

TEST_CASE("what was booked and did not run is there for others", "[quota]") {
  QuotaWorld it(worldOf(small(), 3, 1));
  settle(it);
  auto from = it.now();
  // Tries that no replica runs: ten times what the limit lets pass.
  for (int round = 0; round < 200; ++round) {
    it.ask(0, UsualTokens);
    it.advance(milliseconds(20));
    if (it.requests().back().What == Verdict::Allowed)
      it.giveBack(0, UsualTokens);
    it.advance(milliseconds(80));
  }
  CHECK(it.outcome(from).second < 0.1);
}

TEST_CASE("a further grant gives what is left of the one before no new time",
          "[quota]") {
  QuotaClient it(QuotaClient::Settings{}, bounds());
  it.setCells({"a"}, "a");
  Workspace space{"w", std::nullopt, large()};
  Instant now = seconds(10);
  QuotaClient::Ticket ticket = 0;
  auto ask = [&](double units) {
    auto decision = it.reserve(++ticket, space, units, now);
    return decision && decision->Result == Verdict::Allowed;
  };
  /// Answers what was asked for, in full; gives the units granted ahead.
  auto grant = [&] {
    double ahead = 0;
    for (const auto &message : it.takeRequests(now))
      for (const auto &asked : message.Requests) {
        QuotaGrant grant{asked.Workspace, true,
                         static_cast<std::uint32_t>(asked.Requested.size()),
                         asked.Ahead, Span(0)};
        ahead += asked.Ahead;
        it.onGrants(message.Cell, message.Number, std::span(&grant, 1), now);
      }
    return ahead;
  };
  for (int n = 0; n < 4; ++n)
    ask(100);
  auto first = grant();
  REQUIRE(first > 100);
  // Demand grows, so that more is asked for while most of it is left.
  now += milliseconds(400);
  std::size_t used = 0;
  double second = 0;
  while (second == 0 && used < 20) {
    REQUIRE(ask(10));
    ++used;
    second = grant();
  }
  REQUIRE(second > 0);
  double left = first - 10 * static_cast<double>(used);
  REQUIRE(left > 0);
  now += milliseconds(200);
  it.tick(now);
  // Only the second one may still be used.
  std::size_t passed = 0;
  while (passed < 1000 && ask(10))
    ++passed;
  CHECK(10 * static_cast<double>(passed) <= second);
}

TEST_CASE("a limit that is lowered again gives the larger one no new time",
          "[quota]") {
  QuotaWorld it(worldOf(large(), 9, 1));
  settle(it);
  it.load(5 * large().PerSecond, UsualTokens, seconds(60));
  it.advance(seconds(10));
  auto half = large();
  half.PerSecond /= 2;
  half.Burst /= 2;
  it.setLimit(half);
  // Lowered a little again and again while the window of the first runs.
  auto lowered = half;
  for (Span gone{0}; gone < it.Setup.Quota.Window; gone += milliseconds(500)) {
    it.advance(milliseconds(500));
    lowered.PerSecond *= 0.99;
    lowered.Burst *= 0.99;
    it.setLimit(lowered);
  }
  auto from = it.now();
  it.advance(seconds(20));
  CHECK(it.outcome(from).first <= mostAllowed(half) * 20 / 8);
}

TEST_CASE("a deployment without cells keeps no limit", "[quota]") {
  QuotaClient it(QuotaClient::Settings{}, bounds());
  Workspace space{"w", std::nullopt, large()};
  auto decision = it.reserve(1, space, 1, seconds(1));
  REQUIRE(decision);
  CHECK(decision->Result == Verdict::NoServer);
  it.charge(space, 1, seconds(1));
  it.release(space, 1, seconds(1));
  CHECK(it.takeRequests(seconds(1)).empty());
}

TEST_CASE("figures of the ways to share a limit", "[.figures]") {
  std::cout << "way entries load refused used messages/request window\n";
  for (auto way : {QuotaWay::Granted, QuotaWay::AskEach, QuotaWay::EvenSplit})
    for (std::size_t entries : {3U, 9U, 70U, 200U})
      for (const auto &limit : {large(), small()})
        for (double demand : {0.95, 5.0}) {
          double refused = 0;
          double used = 0;
          double messages = 0;
          double window = 0;
          constexpr int Seeds = 3;
          for (int seed = 1; seed <= Seeds; ++seed) {
            auto setup = worldOf(limit, entries, seed);
            setup.Way = way;
            QuotaWorld it(setup);
            settle(it);
            auto from = it.now();
            it.load(demand * limit.PerSecond, UsualTokens, seconds(30));
            it.advance(seconds(31));
            auto [passed, share] = it.outcome(from);
            refused += share / Seeds;
            used += passed / (30 * limit.PerSecond) / Seeds;
            messages += static_cast<double>(it.messages()) /
                        static_cast<double>(it.requests().size()) / Seeds;
            window = std::max(window, it.mostWithin(it.Setup.Quota.Window) /
                                          mostAllowed(limit));
          }
          std::cout << static_cast<int>(way) << ' ' << entries << ' '
                    << limit.PerSecond << ' ' << demand << ' ' << refused << ' '
                    << used << ' ' << messages << ' ' << window << '\n';
        }
}

} // namespace hemlockglade::test
