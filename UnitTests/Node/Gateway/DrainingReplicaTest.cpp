#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <thread>

namespace hemlockglade::test {

// While a process stands still, a request and the leave of a replica arrive.
TEST_CASE("a node that stood still sends nothing to a replica that began to "
          "drain meanwhile",
          "[gateway]") {
  constexpr Span DrainBound = milliseconds(400);
  GatewayFixture it;
  ScriptedReplica other(it.Context);
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
  it.Replica.Script = other.Script = {{ok}};
  it.Settings.DrainBound = DrainBound;
  it.Platform.declare(1, "/x/");
  it.Platform.registerReplica(it.Replica.address());
  it.Platform.addReplica(other.address());
  it.start();
  REQUIRE(it.untilReady());
  RawPeer peer(it.Context);
  peer.connect(parseEndpoint(it.Settings.CallerAddress).port());
  it.settle();
  it.Platform.Replicas.Present[0].Draining = true;
  peer.send("GET /x/ HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
  std::this_thread::sleep_for(DrainBound + milliseconds(50));
  REQUIRE(it.until(
      [&] { return peer.Got.find("\r\n\r\nhi") != std::string::npos; }));
  CHECK(it.Replica.Requests.empty());
  CHECK(other.Requests.size() == 1);
}

} // namespace hemlockglade::test
