#include "Hemlockglade/Coordination/Entries/CutOffNodes.h"
#include "Hemlockglade/Coordination/Entries/RelaySelector.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

constexpr Instant Now = std::chrono::seconds(1000);

NodeReach node(std::string name, std::set<std::string> reached,
               std::set<std::string> cutOff, double requests = 10) {
  return {std::move(name),
          {0.25, 1000},
          {requests, 0},
          std::move(reached),
          std::move(cutOff)};
}

EntryCandidate entry(const std::string &name,
                     std::set<std::string> cutOff = {}) {
  return {name, name + ":80", {}, name + ":81", std::move(cutOff)};
}

} // namespace

TEST_CASE("nodes that are cut off are left out while others reach the service",
          "[entries]") {
  std::vector nodes{node("a", {"s"}, {}), node("b", {}, {"s"}),
                    node("c", {}, {})};
  CHECK(nodesToLeaveOut(nodes) == std::set<std::string>{"b"});
  SECTION("none if nobody is known to reach it") {
    nodes[0].Reached.clear();
    CHECK(nodesToLeaveOut(nodes).empty());
  }
  SECTION("none if the others could not bear the load") {
    nodes[1].Load.Requests = 1000;
    CHECK(nodesToLeaveOut(nodes).empty());
  }
  SECTION("none if all are cut off from something that another reaches") {
    std::vector mixed{node("a", {"s"}, {"t"}), node("b", {"t"}, {"s"})};
    CHECK(nodesToLeaveOut(mixed).empty());
  }
}

TEST_CASE("a relay is near, reaches the service and is not used up",
          "[entries]") {
  std::vector<DomainEntries> entries{
      {"hall-a", {entry("self"), entry("near", {"t"})}},
      {"hall-b", {entry("far")}}};
  RelaySelector selector;
  RelaySelector::Query query{"s", "hall-b", "self", "hall-a", {}};
  auto choose = [&] { return selector.choose(entries, query, 0, Now); };
  CHECK(choose() == "near:81");
  SECTION("not one that reports to be cut off itself") {
    query.Service = "t";
    CHECK(choose() == "far:81");
  }
  SECTION("not one that has just been found unreachable") {
    selector.onUnreachable("near:81", Now);
    CHECK(choose() == "far:81");
    selector.onCutOff("far:81", "s", Now);
    CHECK_FALSE(choose());
    CHECK(selector.choose(entries, query, 0, Now + std::chrono::seconds(2)));
  }
  SECTION("not one that has refused the request") {
    query.Excluded = {"near:81", "far:81"};
    CHECK_FALSE(choose());
  }
}

TEST_CASE("requests spread over relays of the same distance", "[entries]") {
  std::vector<DomainEntries> entries{
      {"hall-a", {entry("self"), entry("x"), entry("y")}}};
  RelaySelector selector;
  RelaySelector::Query query{"s", "hall-b", "self", "hall-a", {}};
  constexpr std::uint64_t DrawsBoth = 1;
  selector.onSent("y:81");
  CHECK(selector.choose(entries, query, DrawsBoth, Now) == "x:81");
  selector.onEnd("y:81");
  selector.onSent("x:81");
  CHECK(selector.choose(entries, query, DrawsBoth, Now) == "y:81");
}

} // namespace hemlockglade::test
