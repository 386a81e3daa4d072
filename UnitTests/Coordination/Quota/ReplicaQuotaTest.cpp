#include "UnitTests/Coordination/Quota/QuotaWorld.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Span Window = seconds(4);

/// What may arrive at a replica within `Window`.
double allowedFor(double perSecond) {
  return 1.5 * perSecond * inSeconds(Window) + 5;
}

QuotaWorld::Settings settingsFor(double perSecond, std::size_t entries,
                                 std::uint32_t seed) {
  QuotaWorld::Settings out;
  out.Limit = {LimitUnit::ReplicaRequests, perSecond, 0, 0};
  out.Entries = entries;
  out.Seed = seed;
  return out;
}

int takeAll(ReplicaQuota &quota, Instant now) {
  int n = 0;
  while (quota.tryTake(now))
    ++n;
  return n;
}

} // namespace

TEST_CASE("a replica's limit holds over all entries when owners and entries "
          "fail",
          "[quota]") {
  auto entries = GENERATE(1, 8, 70, 200);
  auto perSecond = GENERATE(0.1, 0.5, 1.4, 20.0);
  auto seed = GENERATE(1, 2);
  CAPTURE(entries, perSecond, seed);
  QuotaWorld it(settingsFor(perSecond, entries, seed));
  it.load(20 + 5 * perSecond, 1, seconds(40));
  it.failOwnersAndEntries();
  CHECK(it.maxWithin(Window) <= allowedFor(perSecond));
}

TEST_CASE("a replica's limit is used up by the demand of all entries",
          "[quota]") {
  auto entries = GENERATE(1, 8, 70, 200);
  auto perSecond = GENERATE(0.5, 1.4, 20.0);
  CAPTURE(entries, perSecond);
  QuotaWorld it(settingsFor(perSecond, entries, 1));
  auto from = it.now();
  it.load(20 + 5 * perSecond, 1, seconds(30));
  it.advance(seconds(31));
  CHECK(it.outcome(from).first >= 0.8 * perSecond * 30);
}

TEST_CASE("requests sent before a replica stated its limit count against it",
          "[quota]") {
  QuotaWorld it(settingsFor(1.4, 8, 1));
  const std::vector<Span> ago{milliseconds(0), milliseconds(200),
                              milliseconds(400), milliseconds(600),
                              milliseconds(800)};
  for (std::size_t entry = 0; entry < 3; ++entry)
    it.reportSent(entry, ago);
  auto from = it.now();
  it.load(20, 1, seconds(3));
  it.advance(milliseconds(3100));
  CHECK(it.outcome(from).first == 0);
  it.load(20, 1, seconds(8));
  it.advance(milliseconds(8100));
  CHECK(it.outcome(from).first > 0);
}

TEST_CASE("several limited replicas have quotas of their own", "[quota]") {
  QuotaServer server("cell-0", QuotaSettings{});
  auto requestFor = [](std::string_view replica, double perSecond) {
    QuotaRequest out;
    out.Workspace = replicaQuotaHolder(replica, perSecond).Name;
    out.Requested = {1, 1, 1};
    out.ReplicaLimit = perSecond;
    return out;
  };
  Instant now = seconds(100);
  CHECK(server.onRequest(requestFor("i-1", 1), now)->GrantedCount == 0);
  CHECK(server.onRequest(requestFor("i-2", 8), now)->GrantedCount == 0);
  now += seconds(1);
  CHECK(server.onRequest(requestFor("i-1", 1), now)->GrantedCount == 1);
  CHECK(server.onRequest(requestFor("i-2", 8), now)->GrantedCount == 2);
}

TEST_CASE("a replica that accepts next to nothing is still tried at times",
          "[quota]") {
  Instant now = seconds(100);
  ReplicaQuota quota(0.01, ReplicaQuota::Settings{}, now);
  CHECK(takeAll(quota, now + milliseconds(3900)) == 0);
  CHECK(takeAll(quota, now + milliseconds(4100)) == 1);
}

TEST_CASE("a held request may ask again as soon as units may be there",
          "[quota]") {
  QuotaClient client(QuotaClient::Settings{}, QuotaSettings{});
  client.setCells({"cell-0"}, "cell-0");
  client.setEntries(6);
  auto holder = replicaQuotaHolder("i-1", 2);
  Instant now = seconds(100);
  client.reserve(1, holder, 1, now);
  auto message = client.takeRequests(now).at(0);
  QuotaGrant empty{holder.Name, true, 0, 0, milliseconds(500)};
  auto decision =
      client.onGrants("cell-0", message.Number, std::span(&empty, 1), now)
          .at(0);
  CHECK(decision.EmptyFor == milliseconds(500));
  // The caller comes back as the entry's sixth of the limit allows.
  CHECK(decision.RetryAfter == milliseconds(3500));
}

TEST_CASE("a limit that falls applies from the next request on", "[quota]") {
  Instant now = seconds(100);
  ReplicaQuota quota(20, ReplicaQuota::Settings{}, now);
  now += seconds(1);
  CHECK(takeAll(quota, now) == 5);
  quota.setLimit(1, now);
  CHECK(takeAll(quota, now + milliseconds(900)) == 0);
  CHECK(takeAll(quota, now + milliseconds(1100)) == 1);
  CHECK(quota.timeUntilNext(now + milliseconds(1100)) <= seconds(1));
}

TEST_CASE("the time until the next request covers what was sent before",
          "[quota]") {
  Instant now = seconds(100);
  ReplicaQuota quota(1, ReplicaQuota::Settings{}, now);
  for (int n = 0; n < 12; ++n)
    quota.addSent(now);
  CHECK_FALSE(quota.tryTake(now + seconds(3)));
  CHECK(quota.timeUntilNext(now + seconds(3)) == seconds(1));
  CHECK(quota.tryTake(now + seconds(4)));
}

TEST_CASE("granted requests that were not sent are returned", "[quota]") {
  Instant now = seconds(100);
  ReplicaQuota quota(1, ReplicaQuota::Settings{}, now);
  now += seconds(1);
  REQUIRE(quota.tryTake(now));
  REQUIRE_FALSE(quota.tryTake(now));
  quota.release(1, now);
  CHECK(quota.tryTake(now));
}

} // namespace hemlockglade::test
