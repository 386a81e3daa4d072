#include "Hemlockglade/Coordination/Registry/RegistryChangeLog.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

ReplicaRecord replica(const std::string &incarnation, bool draining = false) {
  ReplicaRecord out;
  out.Incarnation = ReplicaIncarnation(incarnation);
  out.Service = "s";
  out.Draining = draining;
  return out;
}

ReplicaChanges changesAt(std::uint64_t position,
                         std::vector<ReplicaRecord> present,
                         std::vector<std::string> removed = {}) {
  return {false, std::move(present), std::move(removed), position};
}

} // namespace

TEST_CASE("changes after a position are returned in order", "[registry]") {
  RegistryChangeLog log({});
  log.onReplicas({true, {replica("i-1")}, {}, 10});
  CHECK(log.onReplicas(changesAt(12, {replica("i-2")})));
  CHECK(log.onReplicas(changesAt(15, {}, {"i-2"})));
  CHECK(log.onReplicas(changesAt(16, {replica("i-2")})));
  auto all = log.replicas().since(10);
  REQUIRE(all);
  REQUIRE(all->size() == 3);
  CHECK((*all)[0].Present[0].Incarnation.text() == "i-2");
  CHECK((*all)[1].Removed[0] == "i-2");
  CHECK((*all)[2].Present[0].Incarnation.text() == "i-2");
  CHECK(log.replicas().since(15)->size() == 1);
  CHECK(log.replicas().since(16)->empty());
  CHECK(log.replicas().position() == 16);
}

TEST_CASE("no changes are returned for a position before the oldest one kept",
          "[registry]") {
  RegistryChangeLog log({2});
  CHECK_FALSE(log.replicas().since(0));
  log.onReplicas({true, {}, {}, 10});
  CHECK_FALSE(log.replicas().since(9));
  for (int it = 0; it < 3; ++it)
    log.onReplicas(changesAt(11 + it, {replica("i-" + std::to_string(it))}));
  CHECK_FALSE(log.replicas().since(10));
  CHECK(log.replicas().since(11)->size() == 2);
  log.onReplicas({true, {}, {}, 20});
  CHECK_FALSE(log.replicas().since(13));
}

TEST_CASE("heartbeats that change nothing are not recorded", "[registry]") {
  RegistryChangeLog log({});
  log.onReplicas({true, {replica("i-1")}, {}, 10});
  CHECK_FALSE(log.onReplicas(changesAt(11, {replica("i-1")})));
  CHECK(log.replicas().since(10)->empty());
  CHECK(log.replicas().position() == 11);
  CHECK(log.onReplicas(changesAt(12, {replica("i-1", true)})));
  CHECK(log.replicas().since(10)->size() == 1);
}

TEST_CASE("declarations are recorded, polls without changes are not",
          "[registry]") {
  RegistryChangeLog log({});
  CHECK_FALSE(log.onOperator({nullptr, {}, 5}));
  CHECK_FALSE(log.onOperator({nullptr, {}, 7}));
  CHECK(log.onOperator({nullptr, {{{"m", "a"}, 3}}, 8}));
  auto all = log.operators().since(5);
  REQUIRE(all);
  REQUIRE(all->size() == 1);
  CHECK((*all)[0].Versions[0].Version == 3);
  CHECK(log.operators().position() == 8);
}

TEST_CASE("no changes are returned for a position before a restart of the log",
          "[registry]") {
  RegistryChangeLog log({});
  log.onOperator({nullptr, {}, 5});
  log.resetOperators(9);
  CHECK_FALSE(log.operators().since(5));
  CHECK(log.operators().since(9));
}

TEST_CASE(
    "a log that begins without a complete list returns nothing for earlier "
    "positions",
    "[registry]") {
  RegistryChangeLog log({});
  SECTION("with a position") { log.onReplicas(changesAt(9, {})); }
  SECTION("with changes") { log.onReplicas(changesAt(9, {replica("i-1")})); }
  CHECK_FALSE(log.replicas().since(5));
  CHECK(log.replicas().since(9)->empty());
  CHECK(log.onReplicas(changesAt(12, {replica("i-2", true)})));
  CHECK_FALSE(log.replicas().since(5));
  CHECK(log.replicas().since(9)->size() == 1);
}

TEST_CASE("a new incarnation under the same id is recorded",
          "[registry-log][life]") {
  RegistryChangeLog log({});
  auto first = replica("i-1");
  first.Incarnation = ReplicaIncarnation("i-1", 1000);
  log.onReplicas({true, {first}, {}, 1});
  CHECK_FALSE(log.onReplicas({false, {first}, {}, 2}));
  first.Incarnation = ReplicaIncarnation("i-1", 2000);
  CHECK(log.onReplicas({false, {first}, {}, 3}));
}

} // namespace hemlockglade::test
