#include "UnitTests/Coordination/Quota/QuotaWorld.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = QuotaClient::Verdict;

constexpr double MeanTokens = 1640;

/// A large workspace: about 110 requests per second.
WorkspaceLimit large() { return {LimitUnit::Tokens, 187347, 187347, 200}; }
/// A small workspace: less than two mean requests per second.
WorkspaceLimit small() { return {LimitUnit::Tokens, 2700, 2700, 200}; }

QuotaSettings quotaSettings() {
  QuotaSettings out;
  out.Slack = 11000;
  return out;
}

/// Maximum number of units that may pass within any window.
double maxAllowed(const WorkspaceLimit &limit) {
  auto quota = quotaSettings();
  return allowanceOf(limit, quota) * (1 + quota.Overshoot) + quota.Slack;
}

QuotaWorld::Settings settingsFor(const WorkspaceLimit &limit,
                                 std::size_t entries, std::uint32_t seed) {
  QuotaWorld::Settings out;
  out.Limit = limit;
  out.Quota = quotaSettings();
  out.Entries = entries;
  out.Seed = seed;
  return out;
}

/// Waits until the buckets are full, before the load begins.
void fillBuckets(QuotaWorld &world) { world.advance(seconds(14)); }

} // namespace

TEST_CASE("no window exceeds the bound when owners and entries fail",
          "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  auto seed = GENERATE(1, 2, 3);
  auto limit = GENERATE(large(), small());
  CAPTURE(entries, seed, limit.PerSecond);
  QuotaWorld it(settingsFor(limit, entries, seed));
  fillBuckets(it);
  it.load(5 * limit.PerSecond, MeanTokens, seconds(40));
  it.failOwnersAndEntries();
  CHECK(it.maxWithin(it.Options.Quota.Window) <= maxAllowed(limit));
}

TEST_CASE("demand below the limit passes", "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  bool atOneEntry = GENERATE(false, true);
  auto seed = GENERATE(1, 2, 3);
  CAPTURE(entries, atOneEntry, seed);
  QuotaWorld it(settingsFor(large(), entries, seed));
  fillBuckets(it);
  auto from = it.now();
  it.load(0.95 * large().PerSecond, MeanTokens, seconds(30), atOneEntry);
  it.advance(seconds(31));
  CHECK(it.outcome(from).second < 0.01);
  CHECK(it.longestWait() < milliseconds(60));
}

TEST_CASE("demand beyond the limit uses it up", "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  auto seed = GENERATE(1, 2, 3);
  CAPTURE(entries, seed);
  QuotaWorld it(settingsFor(large(), entries, seed));
  fillBuckets(it);
  auto from = it.now();
  it.load(5 * large().PerSecond, MeanTokens, seconds(30));
  it.advance(seconds(31));
  auto [passed, refused] = it.outcome(from);
  CHECK(passed >= 0.95 * (30 * large().PerSecond));
  CHECK(refused > 0.5);
}

TEST_CASE("a workspace with less than one request per second gets its limit",
          "[quota]") {
  auto entries = GENERATE(3, 9, 70, 200);
  CAPTURE(entries);
  WorkspaceLimit limit{LimitUnit::Requests, 0.5, 1, 0};
  auto settings = settingsFor(limit, entries, 1);
  settings.Quota.Slack = 1;
  QuotaWorld it(settings);
  fillBuckets(it);
  auto from = it.now();
  for (int round = 0; round < 20; ++round) {
    it.reserve(static_cast<std::size_t>(round * 7) % it.entries(), 1);
    it.advance(milliseconds(2100));
  }
  CHECK(it.outcome(from).first == 20);
}

TEST_CASE("large requests pass about as often as all requests", "[quota]") {
  QuotaWorld it(settingsFor(large(), 9, 1));
  fillBuckets(it);
  it.load(5 * large().PerSecond, MeanTokens, seconds(30));
  it.advance(seconds(31));
  std::pair<double, double> big{};
  std::pair<double, double> all{};
  for (const auto &request : it.requests()) {
    bool passed = request.Result == Verdict::Allowed;
    all.first += passed ? 1 : 0;
    ++all.second;
    if (request.Units < 1.4 * MeanTokens)
      continue;
    big.first += passed ? 1 : 0;
    ++big.second;
  }
  CHECK(big.first / big.second > 0.75 * all.first / all.second);
}

TEST_CASE("the parts of other owners serve requests while one owner is down",
          "[quota]") {
  QuotaWorld it(settingsFor(large(), 9, 1));
  fillBuckets(it);
  it.load(0.55 * large().PerSecond, MeanTokens, seconds(20));
  it.advance(seconds(5));
  auto from = it.now();
  it.failOwner(0);
  it.advance(seconds(7));
  CHECK(it.outcome(from).second < 0.01);
  // Only requests that were sent to the failed owner first have waited.
  CHECK(it.longestWait() < milliseconds(250));
}

TEST_CASE("a lowered limit holds after one window", "[quota]") {
  QuotaWorld it(settingsFor(large(), 9, 1));
  fillBuckets(it);
  it.load(5 * large().PerSecond, MeanTokens, seconds(40));
  it.advance(seconds(10));
  auto lowered = large();
  lowered.PerSecond /= 10;
  lowered.Burst /= 10;
  it.setLimit(lowered);
  it.advance(it.Options.Quota.Window);
  auto from = it.now();
  it.advance(seconds(20));
  CHECK(it.outcome(from).first <= maxAllowed(lowered) * 20 / 8);
}

TEST_CASE("callers that are refused together get distinct retry times",
          "[quota]") {
  QuotaWorld it(settingsFor(large(), 9, 1));
  fillBuckets(it);
  it.load(20 * large().PerSecond, MeanTokens, seconds(3));
  it.advance(seconds(4));
  std::set<std::int64_t> moments;
  std::size_t refused = 0;
  for (const auto &request : it.requests()) {
    if (request.Result != Verdict::Limited)
      continue;
    ++refused;
    CHECK(request.RetryAfter > Span(0));
    CHECK(request.RetryAfter <= seconds(4));
    moments.insert((request.DecidedAt + request.RetryAfter).count());
  }
  REQUIRE(refused > 1000);
  CHECK(moments.size() > refused / 2);
}

TEST_CASE("reserved units that were not used are available to others",
          "[quota]") {
  QuotaWorld it(settingsFor(small(), 3, 1));
  fillBuckets(it);
  auto from = it.now();
  // Requests that no replica runs: ten times what the limit lets pass.
  for (int round = 0; round < 200; ++round) {
    it.reserve(0, MeanTokens);
    it.advance(milliseconds(20));
    if (it.requests().back().Result == Verdict::Allowed)
      it.release(0, MeanTokens);
    it.advance(milliseconds(80));
  }
  CHECK(it.outcome(from).second < 0.1);
}

TEST_CASE("a further grant does not prolong what is left of an earlier one",
          "[quota]") {
  QuotaClient it(QuotaClient::Settings{}, quotaSettings());
  it.setCells({"a"}, "a");
  Workspace workspace{"w", std::nullopt, large()};
  Instant now = seconds(10);
  QuotaClient::Ticket ticket = 0;
  auto reserve = [&](double units) {
    auto decision = it.reserve(++ticket, workspace, units, now);
    return decision && decision->Result == Verdict::Allowed;
  };
  /// Grants all requests in full; returns the units granted ahead.
  auto grant = [&] {
    double ahead = 0;
    for (const auto &message : it.takeRequests(now))
      for (const auto &request : message.Requests) {
        QuotaGrant grant{request.Workspace, true,
                         static_cast<std::uint32_t>(request.Requested.size()),
                         request.Ahead, Span(0)};
        ahead += request.Ahead;
        it.onGrants(message.Cell, message.Number, std::span(&grant, 1), now);
      }
    return ahead;
  };
  for (int n = 0; n < 4; ++n)
    reserve(100);
  auto first = grant();
  REQUIRE(first > 100);
  // Demand grows, so that more units are requested while most are left.
  now += milliseconds(400);
  std::size_t used = 0;
  double second = 0;
  while (second == 0 && used < 20) {
    REQUIRE(reserve(10));
    ++used;
    second = grant();
  }
  REQUIRE(second > 0);
  double left = first - 10 * static_cast<double>(used);
  REQUIRE(left > 0);
  now += milliseconds(200);
  it.tick(now);
  // Only the second grant may still be used.
  std::size_t passed = 0;
  while (passed < 1000 && reserve(10))
    ++passed;
  CHECK(10 * static_cast<double>(passed) <= second);
}

TEST_CASE("lowering a limit repeatedly does not prolong the larger one",
          "[quota]") {
  QuotaWorld it(settingsFor(large(), 9, 1));
  fillBuckets(it);
  it.load(5 * large().PerSecond, MeanTokens, seconds(60));
  it.advance(seconds(10));
  auto half = large();
  half.PerSecond /= 2;
  half.Burst /= 2;
  it.setLimit(half);
  // Lowered a little again and again while the window of the first runs.
  auto lowered = half;
  for (Span elapsed{0}; elapsed < it.Options.Quota.Window;
       elapsed += milliseconds(500)) {
    it.advance(milliseconds(500));
    lowered.PerSecond *= 0.99;
    lowered.Burst *= 0.99;
    it.setLimit(lowered);
  }
  auto from = it.now();
  it.advance(seconds(20));
  CHECK(it.outcome(from).first <= maxAllowed(half) * 20 / 8);
}

TEST_CASE("a deployment without cells has no quota server", "[quota]") {
  QuotaClient it(QuotaClient::Settings{}, quotaSettings());
  Workspace workspace{"w", std::nullopt, large()};
  auto decision = it.reserve(1, workspace, 1, seconds(1));
  REQUIRE(decision);
  CHECK(decision->Result == Verdict::NoServer);
  it.charge(workspace, 1, seconds(1));
  it.release(workspace, 1, seconds(1));
  CHECK(it.takeRequests(seconds(1)).empty());
}

TEST_CASE("figures of the schemes to share a limit", "[.figures]") {
  std::cout << "way entries load refused used messages/request window\n";
  for (auto sharing : {QuotaSharing::Granted, QuotaSharing::PerRequest,
                       QuotaSharing::EvenSplit})
    for (std::size_t entries : {3U, 9U, 70U, 200U})
      for (const auto &limit : {large(), small()})
        for (double demand : {0.95, 5.0}) {
          double refused = 0;
          double used = 0;
          double messages = 0;
          double window = 0;
          constexpr int Seeds = 3;
          for (int seed = 1; seed <= Seeds; ++seed) {
            auto settings = settingsFor(limit, entries, seed);
            settings.Sharing = sharing;
            QuotaWorld it(settings);
            fillBuckets(it);
            auto from = it.now();
            it.load(demand * limit.PerSecond, MeanTokens, seconds(30));
            it.advance(seconds(31));
            auto [passed, share] = it.outcome(from);
            refused += share / Seeds;
            used += passed / (30 * limit.PerSecond) / Seeds;
            messages += static_cast<double>(it.messages()) /
                        static_cast<double>(it.requests().size()) / Seeds;
            window = std::max(window, it.maxWithin(it.Options.Quota.Window) /
                                          maxAllowed(limit));
          }
          std::cout << static_cast<int>(sharing) << ' ' << entries << ' '
                    << limit.PerSecond << ' ' << demand << ' ' << refused << ' '
                    << used << ' ' << messages << ' ' << window << '\n';
        }
}

} // namespace hemlockglade::test
