#include "Hemlockglade/Coordination/Route/ReplicaReach.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int ReplicaCount = 5;

struct ReachFixture {
  ReachFixture() {
    for (int it = 0; it < ReplicaCount; ++it) {
      auto record = std::make_shared<ReplicaRecord>();
      record->Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      record->Service = "s";
      All.push_back(std::move(record));
    }
  }

  bool isCutOff() const { return Reach.isCutOff("s"); }

  /// Fails connections to the first `n` replicas.
  void fail(int n) {
    for (int it = 0; it < n; ++it)
      Reach.onConnectFailed(*All[static_cast<std::size_t>(it)], Now);
  }

  Instant Now = seconds(1000);
  std::vector<ReplicaPtr> All;
  ReplicaReach Reach{ReplicaReach::Settings{},
                     [this](const std::string &) { return All; }};
};

} // namespace

TEST_CASE("a node that can connect to none of several replicas is cut off",
          "[reach]") {
  ReachFixture it;
  it.fail(2);
  CHECK_FALSE(it.isCutOff());
  it.fail(3);
  CHECK(it.isCutOff());
  CHECK(it.Reach.cutOff() == std::vector<std::string>{"s"});
}

TEST_CASE("replicas that fail while another accepts connections are no cut",
          "[reach]") {
  ReachFixture it;
  it.fail(2);
  it.Reach.onConnected(*it.All[4], it.Now);
  it.fail(2);
  CHECK_FALSE(it.isCutOff());
}

TEST_CASE("replicas that fail are no cut while another sends data, unless it "
          "refuses connections too",
          "[reach]") {
  ReachFixture it;
  it.fail(1);
  it.Reach.onHeard(*it.All[4], it.Now);
  it.fail(3);
  CHECK_FALSE(it.isCutOff());
  auto probes = it.Reach.takeProbes(it.Now);
  CHECK(std::find(probes.begin(), probes.end(), it.All[4]) != probes.end());
  it.Reach.onConnectFailed(*it.All[4], it.Now);
  CHECK(it.isCutOff());
}

TEST_CASE("one silent replica starts no probes while others send data",
          "[reach]") {
  ReachFixture it;
  it.Reach.onSent(*it.All[0], it.Now);
  it.fail(1);
  for (int n = 0; n < 20; ++n) {
    it.Now += milliseconds(50);
    it.Reach.onHeard(*it.All[1], it.Now);
    CHECK(it.Reach.takeProbes(it.Now).empty());
  }
  CHECK_FALSE(it.isCutOff());
}

TEST_CASE("failures that lie far apart are no cut", "[reach]") {
  ReachFixture it;
  for (const auto &replica : it.All) {
    it.Reach.onConnectFailed(*replica, it.Now);
    it.Now += seconds(2);
  }
  CHECK_FALSE(it.isCutOff());
}

TEST_CASE("several replicas that stay silent are probed", "[reach]") {
  ReachFixture it;
  it.Reach.onSent(*it.All[0], it.Now);
  it.Reach.onSent(*it.All[1], it.Now);
  CHECK(it.Reach.takeProbes(it.Now + milliseconds(400)).empty());
  CHECK(it.Reach.takeProbes(it.Now + milliseconds(600)).size() == 3);
}

TEST_CASE("a cut ends when two replicas accept connections again", "[reach]") {
  ReachFixture it;
  it.fail(3);
  it.Reach.takeChanges();
  it.Reach.onConnected(*it.All[0], it.Now);
  it.Reach.onConnectFailed(*it.All[0], it.Now);
  it.Reach.onConnected(*it.All[1], it.Now);
  CHECK(it.isCutOff());
  it.Reach.onConnected(*it.All[2], it.Now);
  CHECK_FALSE(it.isCutOff());
  auto changes = it.Reach.takeChanges();
  REQUIRE(changes.size() == 1);
  CHECK_FALSE(changes[0].IsCutOff);
}

} // namespace hemlockglade::test
