#include "Programs/hemlockgladed/Gateway/RelayService.h"

#include "UnitTests/Node/Gateway/ScriptedReplica.h"
#include "UnitTests/Transport/Http1/EndlessServer.h"
#include "UnitTests/Transport/Http1/RawPeer.h"

#include <asio/steady_timer.hpp>

namespace hemlockglade::test {

namespace {

using Then = ScriptedReplica::Then;

const std::string Request = "POST /a/x?q=1 HTTP/1.1\r\nHost: a.example\r\n"
                            "Id: r1\r\nRelay-Replica: i-1\r\n"
                            "Content-Length: 3\r\n\r\nabc";

std::string answerOf(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nRelay-Outcome: planted\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct RelayFixture : Loopback {
  RelayFixture()
      : Replica(Context), Peer(Context), Pool(Context, HttpPool::Settings{}),
        Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }) {
    Labels.ReadRequest = [](const LabelFields &) {
      RequestLabels out;
      out.Id = "r1";
      return out;
    };
    Labels.ReadAnswer = [](std::uint16_t, const LabelFields &fields) {
      AnswerLabels out;
      for (const auto &[name, value] : fields)
        if (sameFieldName(name, "Id"))
          out.Id = value;
      return out;
    };
    auto record = std::make_shared<ReplicaRecord>();
    record->Incarnation = ReplicaIncarnation("i-1");
    record->Service = "s";
    record->Address = Replica.address();
    Known = record;
    RelayService::Hooks hooks;
    hooks.Find = [this](std::string_view incarnation) {
      return incarnation == "i-1" ? Known : nullptr;
    };
    hooks.IsCutOff = [this](const std::string &) { return CutOff; };
    hooks.PausedFor = [this](const ReplicaRecord &) { return PausedFor; };
    hooks.OnAnswer = [this](const auto &, auto status, const auto &, Instant) {
      AnsweredStatuses.push_back(status);
    };
    hooks.Stopping = [this] { return Stopping; };
    hooks.Bounds = [] { return CallerBounds{}; };
    hooks.OnConnected = hooks.OnHeard = [](const ReplicaRecord &) {};
    hooks.OnConnectFailed = [this](const ReplicaRecord &) {
      ++ConnectFailures;
    };
    hooks.ProbeEnded = [this](const ReplicaRecord &, const auto &done) {
      done(HasReplicaEnded);
    };
    RelayService::Settings settings;
    settings.Address = address(0);
    Relay = std::make_unique<RelayService>(Context, settings, hooks, Labels,
                                           Pool, Log);
    Peer.connect(Relay->port());
  }

  /// Sends a request and returns the outcome that the relay's answer states.
  std::string outcome() {
    Peer.send(Request);
    constexpr std::string_view Key = "Relay-Outcome: ";
    until([this] {
      return Peer.Ended || Peer.Got.find("\r\n\r\n") != std::string::npos;
    });
    auto at = Peer.Got.find(Key);
    if (at == std::string::npos)
      return "";
    at += Key.size();
    return Peer.Got.substr(at, Peer.Got.find('\r', at) - at);
  }

  ScriptedReplica Replica;
  RawPeer Peer;
  HttpPool Pool;
  EventLog Log;
  LabelHooks Labels;
  ReplicaPtr Known;
  bool CutOff = false;
  bool Stopping = false;
  bool HasReplicaEnded = false;
  std::optional<Span> PausedFor;
  std::vector<std::uint16_t> AnsweredStatuses;
  int ConnectFailures = 0;
  std::unique_ptr<RelayService> Relay;
};

} // namespace

TEST_CASE("a relayed request and its answer arrive unchanged", "[relay]") {
  RelayFixture it;
  it.Replica.Script = {{answerOf("hello")}};
  CHECK(it.outcome() == "forwarded");
  it.until([&it] { return it.Relay->active() == 0; });
  it.settle();
  REQUIRE(it.Replica.Requests.size() == 1);
  const auto &request = it.Replica.Requests[0];
  CHECK(request.Head.Method == "POST");
  CHECK(request.Head.Target == "/a/x?q=1");
  CHECK(request.Body == "abc");
  CHECK_FALSE(findField(request.Head.Fields, "Relay-Replica"));
  CHECK(it.Peer.Got.find("Seal: s") != std::string::npos);
  CHECK(it.Peer.Got.find("hello") != std::string::npos);
  CHECK(it.AnsweredStatuses == std::vector<std::uint16_t>{200});
  CHECK(it.Peer.Got.find("planted") == std::string::npos);
}

TEST_CASE("a relay says that nothing was sent only if nothing was", "[relay]") {
  RelayFixture it;
  SECTION("the replica refuses connections") {
    it.Replica.stop();
    CHECK(it.outcome() == "not-connected");
    CHECK(it.ConnectFailures == 1);
  }
  SECTION("the replica breaks the connection as it has the request") {
    it.Replica.Script = {{"", Then::Reset}};
    CHECK(it.outcome() == "broken");
    CHECK(it.ConnectFailures == 0);
  }
  SECTION("the relay is cut off itself") {
    it.CutOff = true;
    CHECK(it.outcome() == "cut-off");
  }
  SECTION("the relay stops") {
    it.Stopping = true;
    CHECK(it.outcome() == "busy");
  }
  SECTION("the replica has asked the relay's node for a pause") {
    it.PausedFor = std::chrono::milliseconds(1500);
    CHECK(it.outcome() == "paused");
    CHECK(it.Peer.Got.find("Relay-Pause-Ms: 1501") != std::string::npos);
    CHECK(it.Replica.Requests.empty());
  }
  SECTION("the replica is not known or leaves") {
    it.Known = nullptr;
    CHECK(it.outcome() == "unknown-replica");
  }
}

TEST_CASE("a relay names the sending that its answer belongs to",
          "[relay][late-answer]") {
  RelayFixture it;
  auto send = [&it] {
    auto request = Request;
    request.insert(request.find("Relay-Replica"), "Relay-Sending: 17\r\n");
    it.Peer.send(request);
    it.until(
        [&it] { return it.Peer.Got.find("\r\n\r\n") != std::string::npos; });
    return it.Peer.Got.find("Relay-Sending: 17") != std::string::npos;
  };
  SECTION("the replica's answer") {
    it.Replica.Script = {{answerOf("hello")}};
    CHECK(send());
    CHECK_FALSE(findField(it.Replica.Requests[0].Head.Fields, "Relay-Sending"));
  }
  SECTION("that there was no connection") {
    it.Replica.stop();
    CHECK(send());
  }
  SECTION("that it was not forwarded") {
    it.Known = nullptr;
    CHECK(send());
  }
}

TEST_CASE("a relay does not take a repeated refusal for the answer to the next "
          "sending of the request",
          "[relay][late-answer]") {
  RelayFixture it;
  const std::string refusal =
      "HTTP/1.1 503 X\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
  it.Replica.Answer = [&](const ScriptedReplica::Request &request) {
    if (it.Replica.Requests.size() == 1)
      return ScriptedReplica::Step{refusal};
    bool isSame = request.Connection == it.Replica.Requests.front().Connection;
    return ScriptedReplica::Step{(isSame ? refusal : "") + answerOf("hello")};
  };
  CHECK(it.outcome() == "forwarded");
  it.Peer.Got.clear();
  CHECK(it.outcome() == "forwarded");
  CHECK(it.Peer.Got.find("hello") != std::string::npos);
}

TEST_CASE("a relay says that an answer has ended with the replica's connection",
          "[relay]") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n";
  const std::string end = "\r\n0\r\n\r\n";
  RelayFixture it;
  SECTION("regularly") {
    it.Replica.Script = {{head + "\r\nhello", Then::Close}};
    CHECK(it.outcome() == "forwarded");
    REQUIRE(it.until([&] { return it.Peer.Got.ends_with(end); }));
    CHECK(it.Peer.Got.find("Relay-Open-End: 1") != std::string::npos);
  }
  SECTION("by a reset") {
    it.Replica.Script = {{head + "\r\nhello", Then::Reset}};
    it.outcome();
    it.until([&] { return it.Relay->active() == 0; });
    it.settle();
    CHECK_FALSE(it.Peer.Got.ends_with(end));
  }
  SECTION("not if it states a length") {
    it.Replica.Script = {{head + "Content-Length: 5\r\n\r\nhello"}};
    CHECK(it.outcome() == "forwarded");
    CHECK(it.Peer.Got.find("Relay-Open-End") == std::string::npos);
  }
}

// Nobody looked after a replica behind a relay: what it had sent when it
// crashed ended as a complete answer.
TEST_CASE("a relay breaks off an answer whose end is that of its replica",
          "[relay]") {
  RelayFixture it;
  it.HasReplicaEnded = true;
  auto body = GENERATE(as<std::string>{}, "half", "");
  it.Replica.Script = {
      {"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\n" + body, Then::Close}};
  auto outcome = it.outcome();
  REQUIRE(it.until([&] { return it.Relay->active() == 0; }));
  it.settle();
  if (body.empty())
    CHECK(outcome == "broken");
  else
    CHECK(it.Peer.Ended);
  CHECK_FALSE(it.Peer.Got.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("an answer that breaks off at the replica doesn't look complete",
          "[relay]") {
  RelayFixture it;
  it.Replica.Script = {
      {"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nhalf",
       Then::Close}};
  it.outcome();
  CHECK(it.until([&it] { return it.Peer.Ended; }));
  CHECK(it.Peer.Got.find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a relay reads no more from a replica than a slow node takes",
          "[relay]") {
  constexpr std::size_t BodyBytes = 64U << 20U;
  RelayFixture it;
  std::shared_ptr<CallerReply> answering;
  CallerHooks hooks;
  hooks.Bounds = [] { return CallerBounds{}; };
  hooks.Closing = [] { return false; };
  hooks.OnRequest = [&](const CallerRequest &, const auto &reply) {
    answering = reply;
    reply->begin({200, {{"Id", "r1"}, {"Seal", "s"}}});
    reply->part(std::string(BodyBytes, 'x'));
  };
  CallerServer replica(it.Context, Loopback::localhost(0), 10,
                       std::move(hooks));
  auto record = std::make_shared<ReplicaRecord>(*it.Known);
  record->Address = Loopback::address(replica.port());
  it.Known = record;
  asio::ip::tcp::socket node(it.Context);
  node.connect(Loopback::localhost(it.Relay->port()));
  asio::write(node, asio::buffer(Request));
  REQUIRE(it.until([&] { return answering != nullptr; }));
  bool isOver = false;
  asio::steady_timer pause(it.Context, std::chrono::milliseconds(700));
  pause.async_wait([&](asio::error_code) { isOver = true; });
  it.until([&] { return isOver; });
  // What sockets buffer is a few megabytes.
  CHECK(answering->queued() > BodyBytes / 2);
  std::size_t received = 0;
  std::array<char, 65536> buf{};
  std::function<void()> read = [&] {
    node.async_read_some(asio::buffer(buf), [&](asio::error_code ec, auto n) {
      received += n;
      if (!ec)
        read();
    });
  };
  read();
  CHECK(it.until([&] { return answering->queued() == 0; }));
  answering->finish();
  it.until([&] { return received > BodyBytes; });
  CHECK(received > BodyBytes);
  node.close();
  it.settle();
}

TEST_CASE("a node that leaves ends the relayed run at the replica", "[relay]") {
  RelayFixture it;
  it.Peer.send(Request);
  REQUIRE(it.until([&it] { return it.Replica.Requests.size() == 1; }));
  it.Peer.reset();
  CHECK(it.until([&it] { return it.Replica.Ended == 1; }));
  CHECK(it.Relay->active() == 0);
}

TEST_CASE("a relayed answer without end never counts as not sent",
          "[relay][endless]") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\n";
  auto bytes =
      GENERATE_COPY(EndlessServer::Answer{head, "a: b\r\n"},
                    EndlessServer::Answer{head + "a: ", "x"},
                    EndlessServer::Answer{"", "HTTP/1.1 102 P\r\n\r\n"});
  RelayFixture it;
  EndlessServer endless(it.Context, bytes);
  auto record = std::make_shared<ReplicaRecord>(*it.Known);
  record->Address = endless.address();
  it.Known = record;
  CHECK(it.outcome() == "broken");
  CHECK(it.until([&] { return endless.Ended == 1; }));
  CHECK(it.Relay->active() == 0);
  CHECK(endless.MostBytes < (std::size_t{8} << 20U));
}

TEST_CASE(
    "a relayed body without end is held back by a slow node and ends with "
    "it",
    "[relay][endless]") {
  RelayFixture it;
  EndlessServer endless(it.Context, {"HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "x"});
  auto record = std::make_shared<ReplicaRecord>(*it.Known);
  record->Address = endless.address();
  it.Known = record;
  asio::ip::tcp::socket node(it.Context);
  node.connect(Loopback::localhost(it.Relay->port()));
  asio::write(node, asio::buffer(Request));
  bool isOver = false;
  asio::steady_timer pause(it.Context, std::chrono::milliseconds(500));
  pause.async_wait([&](asio::error_code) { isOver = true; });
  it.until([&] { return isOver; });
  CHECK(it.Relay->active() == 1);
  // What sockets buffer is a few megabytes.
  CHECK(endless.MostBytes < (std::size_t{24} << 20U));
  node.close();
  CHECK(it.until([&] { return endless.Ended == 1; }));
  CHECK(it.Relay->active() == 0);
}

} // namespace hemlockglade::test
