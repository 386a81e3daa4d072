#include "Hemlockglade/Transport/Http1/HttpCaller.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

/// A server that answers each call on its connections until it drops them: from
/// then on these stay open and say nothing, and new ones work.
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

  void call(int &good, int &failed) {
    HttpCall call;
    call.Address = localhost(Server.port());
    call.Target = "/";
    call.Timeout = std::chrono::milliseconds(150);
    Caller.call(call, [&](const auto &result) { ++(result ? good : failed); });
  }

  RawServer Server;
  HttpCaller Caller;
  std::vector<const RawPeer *> Dropped;
};

} // namespace

// A call that nobody answers costs its whole time-out, which a caller with a
// bound of its own can afford once. Connections that rested beside the silent
// one are as old as it is; what silenced one has mostly silenced all of them.
TEST_CASE("behind a call without an answer no kept connection is trusted",
          "[connection]") {
  DroppingServer it;
  int good = 0;
  int failed = 0;
  constexpr int Together = 4;
  for (int n = 0; n < Together; ++n)
    it.call(good, failed);
  REQUIRE(it.until([&] { return good == Together; }));
  it.dropConnections();
  it.call(good, failed);
  REQUIRE(it.until([&] { return failed == 1; }));
  it.call(good, failed);
  REQUIRE(it.until([&] { return good + failed == Together + 2; }));
  CHECK(failed == 1);
}

} // namespace hemlockglade::test
