#include "UnitTests/Node/Gateway/GatewayRig.h"

namespace hemlockglade::test {

// All requests of a service were refused to the end once each of its replicas
// had been cut off from the registry for some seconds.
TEST_CASE("a service is served again when its replicas are registered again",
          "[gateway]") {
  GatewayFixture it;
  it.Platform.declare(1, "/a/", RouteKind::Repeatable, 2);
  it.Replica.Answer = [](const auto &) {
    return ScriptedReplica::Step{
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  };
  it.Platform.registerReplica(it.Replica.address());
  it.start();
  REQUIRE(it.untilReady());
  int asked = 0;
  auto isServed = [&it, &asked] {
    auto id = "r" + std::to_string(++asked);
    return it.ask(it.Settings.CallerAddress, "/a/x", id).find("200 OK") !=
           std::string::npos;
  };
  REQUIRE(isServed());
  auto entry = it.Platform.Replicas.Present.front();
  for (int round = 0; round < 2; ++round) {
    it.Platform.removeReplica("i-1");
    ++it.Platform.Replicas.Position;
    REQUIRE(it.untilPolled([&] { return !isServed(); }));
    it.Platform.Replicas.Removed.clear();
    it.Platform.Replicas.Present.push_back(entry);
    ++it.Platform.Replicas.Position;
    CHECK(it.untilPolled([&] { return isServed(); }));
  }
}

} // namespace hemlockglade::test
