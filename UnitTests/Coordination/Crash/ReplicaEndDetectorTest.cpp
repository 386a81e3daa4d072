#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"
#include "Hemlockglade/Coordination/RowText.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Now = seconds(100);
const ReplicaIncarnation Incarnation("i-1", 7);

BrokenAttempt brokenAttempt(std::uint8_t key,
                            std::optional<Instant> beganAt = std::nullopt) {
  BrokenAttempt out;
  out.Subject.Request = RequestKey({key});
  out.Incarnation = Incarnation;
  out.FailureDomain = "hall-a";
  out.Progress = {Now - seconds(3), beganAt, Now};
  out.BrokeAt = Now;
  return out;
}

} // namespace

TEST_CASE("a connection that breaks at a running replica yields no suspects",
          "[crash]") {
  ReplicaEndDetector detector;
  CHECK(detector.onBroken(brokenAttempt(1)).empty());
  CHECK(detector.needsProbe(Incarnation));
  CHECK_FALSE(detector.needsProbe(Incarnation));
  detector.onListening(Incarnation);
  detector.removeExpired(Now + ReplicaEndDetector::Settings{}.SuspicionTimeout);
  CHECK(detector.onEnded(Incarnation, Now).empty());
}

TEST_CASE(
    "a listener at the address does not prove that the replica still runs",
    "[crash]") {
  ReplicaEndDetector detector;
  detector.onBroken(brokenAttempt(1));
  CHECK(detector.needsProbe(Incarnation));
  detector.onListening(Incarnation);
  CHECK(detector.needsProbe(Incarnation));
  CHECK(detector.onRemoved("i-1", Now + seconds(3)).size() == 1);
}

TEST_CASE("the end of a replica yields the requests that may have caused it",
          "[crash]") {
  ReplicaEndDetector detector;
  detector.onBroken(brokenAttempt(1));
  detector.onBroken(brokenAttempt(2, Now - milliseconds(900)));
  // Its answer had begun too long ago to be a suspect.
  detector.onBroken(brokenAttempt(3, Now - milliseconds(1100)));
  auto crashes = detector.onEnded(Incarnation, Now);
  REQUIRE(crashes.size() == 2);
  CHECK(crashes[0].Subject.Request == RequestKey({1}));
  CHECK(crashes[1].Subject.Request == RequestKey({2}));
  CHECK(crashes[0].Crash == ReplicaCrash{digestOf(Incarnation.text()),
                                         Now - seconds(3), Now,
                                         digestOf("hall-a")});
  // A connection that is seen to break after the replica is known to have
  // ended.
  CHECK(detector.onBroken(brokenAttempt(4)).size() == 1);
  CHECK_FALSE(detector.needsProbe(Incarnation));
}

// Its entry expired while it was cut off from the registry; requests that break
// at it later must not count as crashes unseen.
TEST_CASE("a connection that breaks at a replica which was registered again "
          "yields no suspects",
          "[crash]") {
  ReplicaEndDetector detector;
  detector.onEnded(Incarnation, Now);
  detector.onReturned(Incarnation);
  CHECK(detector.onBroken(brokenAttempt(1)).empty());
  CHECK(detector.needsProbe(Incarnation));
}

TEST_CASE("a restarted replica is another incarnation", "[crash]") {
  ReplicaEndDetector detector;
  detector.onBroken(brokenAttempt(1));
  CHECK(detector.onEnded(ReplicaIncarnation("i-1", 8), Now).empty());
  CHECK(detector.onEnded(Incarnation, Now).size() == 1);
}

TEST_CASE("a removed registry entry reports the end while a probe is pending",
          "[crash]") {
  ReplicaEndDetector detector;
  detector.onBroken(brokenAttempt(1));
  CHECK(detector.needsProbe(Incarnation));
  CHECK(detector.onRemoved("i-2", Now).empty());
  CHECK(detector.onRemoved("i-1", Now).size() == 1);
  CHECK(detector.onRemoved("i-1", Now).empty());
}

TEST_CASE("broken attempts are limited in number and expire", "[crash]") {
  ReplicaEndDetector::Settings settings;
  settings.MaxBroken = 3;
  ReplicaEndDetector detector(settings);
  for (std::uint8_t key = 1; key < 10; ++key)
    detector.onBroken(brokenAttempt(key));
  detector.removeExpired(Now + settings.SuspicionTimeout);
  CHECK(detector.onEnded(Incarnation, Now).empty());
  detector.removeExpired(Now + settings.SuspicionTimeout);
  for (std::uint8_t key = 1; key < 10; ++key)
    detector.onBroken(brokenAttempt(key));
  CHECK(detector.onEnded(Incarnation, Now).size() == settings.MaxBroken);
}

TEST_CASE("parts of a prompt are suspected until its answer has gone on",
          "[crash]") {
  ReplicaEndDetector detector;
  auto attempt = brokenAttempt(1, Now - seconds(5));
  // Nothing came after the first event, for a long time.
  attempt.Progress.LastEventAt = Now - seconds(5) + milliseconds(100);
  detector.onBroken(attempt);
  auto crashes = detector.onEnded(Incarnation, Now);
  REQUIRE(crashes.size() == 1);
  CHECK(crashes[0].BlamesParts);
  CHECK_FALSE(crashes[0].BlamesRequest);
}

} // namespace hemlockglade::test
