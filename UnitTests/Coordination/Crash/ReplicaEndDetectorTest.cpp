#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Now = seconds(100);
const ReplicaIncarnation Life("i-1", 7);

BrokenAttempt broken(std::uint8_t key,
                     std::optional<Instant> beganAt = std::nullopt) {
  return {RequestKey({key}), Life, "hall-a", Now - seconds(3), beganAt, Now};
}

} // namespace

TEST_CASE("a connection that breaks at a living replica blames nobody",
          "[crash]") {
  ReplicaEndDetector watch;
  CHECK(watch.onBroken(broken(1)).empty());
  CHECK(watch.needsProbe(Life));
  CHECK_FALSE(watch.needsProbe(Life));
  watch.onListening(Life);
  watch.removeExpired(Now + ReplicaEndDetector::Settings{}.Patience);
  CHECK(watch.onEnded(Life, Now).empty());
}

TEST_CASE("a listener is no proof that the replica lives on", "[crash]") {
  ReplicaEndDetector watch;
  watch.onBroken(broken(1));
  CHECK(watch.needsProbe(Life));
  watch.onListening(Life);
  CHECK(watch.needsProbe(Life));
  CHECK(watch.onRemoved("i-1", Now + seconds(3)).size() == 1);
}

TEST_CASE("a replica's end is told of what may have caused it", "[crash]") {
  ReplicaEndDetector watch;
  watch.onBroken(broken(1));
  watch.onBroken(broken(2, Now - milliseconds(900)));
  // It ran well for a while.
  watch.onBroken(broken(3, Now - milliseconds(1100)));
  auto ends = watch.onEnded(Life, Now);
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].Key == RequestKey({1}));
  CHECK(ends[1].Key == RequestKey({2}));
  CHECK(ends[0].Crash == ReplicaCrash{crashTag(Life.text()), Now - seconds(3),
                                      Now, crashTag("hall-a")});
  // A break that is seen after the end was.
  CHECK(watch.onBroken(broken(4)).size() == 1);
  CHECK_FALSE(watch.needsProbe(Life));
}

TEST_CASE("another start of the replica is another life", "[crash]") {
  ReplicaEndDetector watch;
  watch.onBroken(broken(1));
  CHECK(watch.onEnded(ReplicaIncarnation("i-1", 8), Now).empty());
  CHECK(watch.onEnded(Life, Now).size() == 1);
}

TEST_CASE("an entry that goes tells of an end where no look did", "[crash]") {
  ReplicaEndDetector watch;
  watch.onBroken(broken(1));
  CHECK(watch.needsProbe(Life));
  CHECK(watch.onRemoved("i-2", Now).empty());
  CHECK(watch.onRemoved("i-1", Now).size() == 1);
  CHECK(watch.onRemoved("i-1", Now).empty());
}

TEST_CASE("a broken attempt does not wait for news for ever", "[crash]") {
  ReplicaEndDetector::Settings settings;
  settings.MaxBroken = 3;
  ReplicaEndDetector watch(settings);
  for (std::uint8_t key = 1; key < 10; ++key)
    watch.onBroken(broken(key));
  watch.removeExpired(Now + settings.Patience);
  CHECK(watch.onEnded(Life, Now).empty());
  watch.removeExpired(Now + settings.Patience);
  for (std::uint8_t key = 1; key < 10; ++key)
    watch.onBroken(broken(key));
  CHECK(watch.onEnded(Life, Now).size() == settings.MaxBroken);
}

} // namespace hemlockglade::test
