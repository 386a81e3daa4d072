#include "Hemlockglade/Transport/Http1/HttpCaller.h"

#include "UnitTests/Transport/Loopback.h"

#include <thread>

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

namespace {

/// A server that keeps what it receives, and one call to it.
struct SilentServer : Loopback {
  SilentServer() : Server(Context, [](RawPeer &) {}), Caller(Context, {}) {
    Call.Address = localhost(Server.port());
    Call.Method = "POST";
    Call.Target = "/order";
    Call.Timeout = std::chrono::milliseconds(100);
    Call.OwnConnection = true;
  }

  void start() {
    Caller.call(Call, [this](const auto &result) { Result = result.error(); });
  }
  /// Returns what has reached the server when the call has ended.
  std::string received() {
    REQUIRE(until([this] { return Result.has_value(); }));
    settle();
    std::string out;
    for (const auto &it : Server.Peers)
      out += it->Text;
    return out;
  }

  RawServer Server;
  HttpCaller Caller;
  HttpCall Call;
  std::optional<HttpFailure> Result;
};

} // namespace

// A process that stood still finds its connection open and its timeout passed
// at once. The next holder of a lease may order by then.
TEST_CASE("nothing is written on a connection that is open only after the "
          "call's timeout",
          "[connection]") {
  SilentServer it;
  it.start();
  std::this_thread::sleep_for(2 * it.Call.Timeout);
  CHECK(it.received().empty());
  CHECK(it.Result == HttpFailure::NotConnected);
}

TEST_CASE("nothing is written if that is not allowed any more when the "
          "connection is open",
          "[connection]") {
  SilentServer it;
  bool isAllowed = GENERATE(false, true);
  it.Call.MayWrite = [isAllowed] { return isAllowed; };
  it.start();
  CHECK(it.received().empty() != isAllowed);
  CHECK(it.Result ==
        (isAllowed ? HttpFailure::Broken : HttpFailure::NotConnected));
}

} // namespace hemlockglade::test
