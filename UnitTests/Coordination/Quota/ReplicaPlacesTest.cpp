#include "UnitTests/Coordination/Quota/QuotaWorld.h"

#include <catch2/catch.hpp>
#include <numeric>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Slots = 6;
/// What nodes may use of them.
constexpr double Places = 5;
constexpr Span WorkTime = milliseconds(30);
constexpr double CapacityPerSecond = Places / 0.03;

/// A replica that lets no request wait and fails if it rejects more than one in
/// a second, before entries that share its places.
class PlaceWorld {
public:
  explicit PlaceWorld(std::size_t entries, std::uint32_t seed = 1)
      : World(settingsFor(entries, seed)), Random(seed) {
    World.OnDecided = [this](std::size_t entry, const auto &decision) {
      onDecided(entry, decision);
    };
    World.advance(seconds(2));
  }

  /// Sends requests to random entries at a rate, each of which tries for up to
  /// half a second.
  void load(double perSecond, Span span) {
    std::exponential_distribution<double> gap(perSecond);
    for (double at = gap(Random); spanOf(at) < span; at += gap(Random)) {
      auto entry = Random() % World.entries();
      World.after(spanOf(at), [this, entry] { reserve(entry, World.now()); });
    }
    World.advance(span);
  }

  /// An entry restarts: the replica ends what it runs for it.
  void restartEntry(std::size_t entry) {
    World.restartEntry(entry);
    std::erase_if(Running,
                  [entry](const auto &it) { return it.second == entry; });
  }

  QuotaWorld World;
  std::size_t Served = 0;
  std::size_t Rejected = 0;
  std::size_t MostRunning = 0;

private:
  static QuotaWorld::Settings settingsFor(std::size_t entries,
                                          std::uint32_t seed) {
    QuotaWorld::Settings out;
    out.Limit = {LimitUnit::ReplicaPlaces, 1, 0, 0, Places};
    out.Entries = entries;
    out.Seed = seed;
    return out;
  }

  void reserve(std::size_t entry, Instant since) {
    // As at an entry, one that found no place waits for the next.
    bool waits = World.now() > since;
    Since[World.requests().size()] = since;
    World.reserve(entry, 1, waits);
  }

  void onDecided(std::size_t entry, const QuotaClient::Decision &decision) {
    if (decision.Result == QuotaClient::Verdict::Allowed)
      return World.after(milliseconds(1), [this, entry] { onArrival(entry); });
    auto since = Since[decision.Number];
    if (World.now() + decision.EmptyFor - since < milliseconds(500))
      World.after(decision.EmptyFor,
                  [this, entry, since] { reserve(entry, since); });
  }

  void onArrival(std::size_t entry) {
    auto incarnation = World.incarnationOf(entry);
    auto release = [this, entry, incarnation] {
      if (World.incarnationOf(entry) == incarnation)
        World.release(entry, 1);
    };
    if (Running.size() >= Slots) {
      ++Rejected;
      return World.after(milliseconds(1), release);
    }
    auto run = ++LastRun;
    Running[run] = entry;
    MostRunning = std::max(MostRunning, Running.size());
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    World.after(scaled(WorkTime, factor(Random)), [this, run, release] {
      if (Running.erase(run))
        ++Served;
      World.after(milliseconds(1), release);
    });
  }

  std::mt19937 Random;
  std::map<std::uint64_t, std::size_t> Running;
  std::map<QuotaClient::Ticket, Instant> Since;
  std::uint64_t LastRun = 0;
};

double sumWithoutOwner(std::size_t n, double places) {
  std::vector<std::string> nodes;
  for (std::size_t it = 0; it < n; ++it)
    nodes.push_back("n" + std::to_string(it));
  return std::accumulate(
      nodes.begin(), nodes.end(), 0.0, [&](double sum, const auto &it) {
        return sum + placesWithoutOwner(it, nodes, "places\ni-1", places);
      });
}

} // namespace

TEST_CASE("a replica is never sent more requests than it has slots, by few "
          "entries or many",
          "[quota]") {
  auto entries = GENERATE(1, 3, 30, 73, 580);
  CAPTURE(entries);
  PlaceWorld it(entries);
  it.load(2 * CapacityPerSecond, seconds(10));
  CHECK(it.Rejected == 0);
  CHECK(it.MostRunning <= Slots);
  // Most of the places are used.
  CHECK(static_cast<double>(it.Served) >= 0.7 * 10 * CapacityPerSecond);
}

TEST_CASE("places hold while entries restart and the owner is replaced",
          "[quota]") {
  auto entries = GENERATE(3, 30, 73);
  auto seed = GENERATE(1, 2, 3);
  CAPTURE(entries, seed);
  PlaceWorld it(entries, seed);
  it.load(2 * CapacityPerSecond, seconds(2));
  for (int round = 0; round < 4; ++round) {
    for (std::size_t at = round; at < it.World.entries(); at += 4)
      it.restartEntry(at);
    it.World.restartOwner(round % 3);
    it.load(2 * CapacityPerSecond, milliseconds(1700));
  }
  // The owner's successor takes seconds.
  for (std::size_t cell = 0; cell < 3; ++cell)
    it.World.failOwner(cell);
  auto before = it.Served;
  it.load(2 * CapacityPerSecond, seconds(7));
  auto withoutOwner = it.Served - before;
  it.load(2 * CapacityPerSecond, seconds(3));
  CHECK(it.Rejected == 0);
  CHECK(withoutOwner > 0);
}

TEST_CASE("entries have all places, and no more, while no owner grants them",
          "[quota]") {
  CHECK(sumWithoutOwner(3, 5) == 5);
  CHECK(sumWithoutOwner(73, 5) == 5);
  CHECK(sumWithoutOwner(5, 57) == 57);
  const std::vector<std::string> others{"n1", "n2"};
  CHECK(placesWithoutOwner("n3", others, "places\ni-1", 5) == 0);
}

TEST_CASE("rejections of all entries pause a replica", "[quota]") {
  Instant now = seconds(100);
  ReplicaPlaces places(ReplicaPlaces::Settings{}, now);
  places.setBounds(5, 2, now);
  places.onReport(1, {0, 0, 1}, 0, now);
  // One rejection is as much as the replica should have in a second.
  CHECK_FALSE(places.tryTake(2, 1, 1, now + milliseconds(900)));
  CHECK(places.timeUntilNext(now + milliseconds(900)) == milliseconds(100));
  CHECK(places.tryTake(2, 1, 1, now + milliseconds(1000)));
}

TEST_CASE("places of an entry that has gone are granted again", "[quota]") {
  Instant now = seconds(100);
  ReplicaPlaces places(ReplicaPlaces::Settings{}, now);
  places.setBounds(5, 1, now);
  places.onReport(1, {5, 0, 0}, 0, now);
  CHECK_FALSE(places.tryTake(2, 1, 1, now + seconds(2)));
  SECTION("soon after its connection has ended") {
    places.onGone(1, now);
    CHECK(places.tryTake(2, 1, 1, now + milliseconds(500)));
  }
  SECTION("when it reports no more") {
    CHECK(places.tryTake(2, 1, 1, now + seconds(3)));
  }
}

TEST_CASE("a grant counts until the entry has acknowledged it", "[quota]") {
  Instant now = seconds(100);
  ReplicaPlaces places(ReplicaPlaces::Settings{}, now);
  places.setBounds(1, 1, now);
  places.onReport(1, {0, 0, 0}, 0, now);
  REQUIRE(places.tryTake(1, 1, 7, now));
  // Reported before the grant arrived.
  places.onReport(1, {0, 6, 0}, 0, now);
  CHECK_FALSE(places.tryTake(2, 1, 1, now));
  places.onReport(1, {0, 7, 0}, 0, now);
  CHECK(places.tryTake(2, 1, 1, now));
}

TEST_CASE("a report that arrives after a later one is out of date", "[quota]") {
  Instant now = seconds(100);
  ReplicaPlaces places(ReplicaPlaces::Settings{}, now);
  places.setBounds(1, 1, now);
  places.onReport(1, {1, 0, 0}, 8, now);
  places.onReport(1, {0, 0, 0}, 7, now);
  CHECK_FALSE(places.tryTake(2, 1, 1, now));
}

TEST_CASE("a request that needs more than all places runs alone", "[quota]") {
  Instant now = seconds(100);
  ReplicaPlaces places(ReplicaPlaces::Settings{}, now);
  places.setBounds(5, 1, now);
  places.onReport(1, {0, 0, 0}, 0, now);
  CHECK(places.tryTake(1, 8, 1, now));
  CHECK_FALSE(places.tryTake(2, 1, 1, now));
  places.onReport(1, {0, 1, 0}, 0, now);
  CHECK(places.tryTake(2, 1, 1, now));
  CHECK_FALSE(places.tryTake(1, 8, 1, now));
}

} // namespace hemlockglade::test
