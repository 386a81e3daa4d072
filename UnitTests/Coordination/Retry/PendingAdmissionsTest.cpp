#include "Hemlockglade/Coordination/Coordination.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace std::chrono_literals;

namespace {

const std::string Cell = "assistant/0";

/// One request for admission that waits for its owner, and its failures.
struct AdmissionFixture {
  AdmissionFixture() {
    Ticket =
        Admissions.add(Cell, "owner:1", Instant(20s),
                       [this](AdmissionFailure it) { Failures.push_back(it); });
  }

  void tick(Instant now) {
    Admissions.tick(now, [this](const std::string &) { return Owner; });
  }

  PendingAdmissions Admissions;
  PendingAdmissions::Ticket Ticket = 0;
  std::string Owner = "owner:1";
  std::vector<AdmissionFailure> Failures;
};

} // namespace

TEST_CASE("a wait for an owner that does not answer ends when its cell has "
          "another owner or none",
          "[asks]") {
  AdmissionFixture fixture;
  fixture.tick(Instant(10s));
  REQUIRE(fixture.Failures.empty());
  fixture.Owner = GENERATE("", "owner:2");
  fixture.tick(Instant(11s));
  fixture.tick(Instant(30s));
  REQUIRE(fixture.Failures == std::vector{AdmissionFailure::OwnerChanged});
}

TEST_CASE("a wait for an owner ends at the deadline", "[asks]") {
  AdmissionFixture fixture;
  fixture.tick(Instant(20s) - Span(1));
  REQUIRE(fixture.Failures.empty());
  fixture.tick(Instant(20s));
  fixture.tick(Instant(21s));
  REQUIRE(fixture.Failures == std::vector{AdmissionFailure::DeadlinePassed});
}

TEST_CASE("an answered request does not fail, one added by a callback may",
          "[asks]") {
  AdmissionFixture fixture;
  fixture.Admissions.remove(fixture.Ticket);
  bool secondFailed = false;
  fixture.Admissions.add(Cell, "owner:1", Instant(5s), [&](AdmissionFailure) {
    fixture.Admissions.add(Cell, "owner:2", Instant(20s),
                           [&](AdmissionFailure) { secondFailed = true; });
  });
  fixture.Owner = "owner:2";
  fixture.tick(Instant(1s));
  fixture.tick(Instant(2s));
  REQUIRE_FALSE(secondFailed);
  fixture.tick(Instant(20s));
  REQUIRE(secondFailed);
  REQUIRE(fixture.Failures.empty());
}
