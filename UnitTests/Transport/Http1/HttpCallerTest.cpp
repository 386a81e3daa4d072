#include "Hemlockglade/Transport/Http1/HttpCaller.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

/// A server that answers each call until its connections are dropped. From then
/// on these stay open without answers, and new ones work.
struct DroppingServer : Loopback {
  DroppingServer()
      : Server(Context, [this](RawPeer &peer) { onText(peer); }),
        Caller(Context, {}) {}

  void onText(RawPeer &peer) {
    bool dropped =
        std::any_of(Dropped.begin(), Dropped.end(),
                    [&peer](const RawPeer *it) { return it == &peer; });
    if (dropped || !peer.has("\r\n\r\n"))
      return;
    peer.Text.clear();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }

  void dropConnections() {
    for (const auto &it : Server.Peers)
      Dropped.push_back(it.get());
  }

  void call(int &succeeded, int &failed) {
    HttpCall call;
    call.Address = localhost(Server.port());
    call.Target = "/";
    call.Timeout = std::chrono::milliseconds(150);
    Caller.call(call,
                [&](const auto &result) { ++(result ? succeeded : failed); });
  }

  RawServer Server;
  HttpCaller Caller;
  std::vector<const RawPeer *> Dropped;
};

} // namespace

// A call without an answer costs its whole timeout, which a caller with a
// timeout of its own can afford once. Idle connections beside the unresponsive
// one are as old as it is, and mostly fail for the same reason.
TEST_CASE("after a call without an answer no idle connection is reused",
          "[connection]") {
  DroppingServer it;
  int succeeded = 0;
  int failed = 0;
  constexpr int ConcurrentCalls = 4;
  for (int n = 0; n < ConcurrentCalls; ++n)
    it.call(succeeded, failed);
  REQUIRE(it.until([&] { return succeeded == ConcurrentCalls; }));
  it.dropConnections();
  it.call(succeeded, failed);
  REQUIRE(it.until([&] { return failed == 1; }));
  it.call(succeeded, failed);
  REQUIRE(it.until([&] { return succeeded + failed == ConcurrentCalls + 2; }));
  CHECK(failed == 1);
}

} // namespace hemlockglade::test
