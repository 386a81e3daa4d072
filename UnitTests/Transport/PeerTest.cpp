#include "Loopback.h"

#include <algorithm>
#include <cstring>
#include <utility>

using namespace hemlockglade;

namespace {

using StreamPtr = std::shared_ptr<PeerStream>;

/// Records the messages and the end of one side of a stream.
struct StreamRecorder {
  std::vector<std::string> Messages;
  std::vector<bool> Closes;

  PeerHooks hooks() {
    return {
        [this](std::string_view message) { Messages.emplace_back(message); },
        [this](bool clean) { Closes.push_back(clean); }};
  }
  void attach(PeerStream &stream) {
    auto own = hooks();
    stream.OnMessage = own.OnMessage;
    stream.OnClosed = own.OnClosed;
  }
};

/// The networks of two nodes on one context. `Accept` gets the streams that the
/// server accepts.
struct PeerPair : Loopback {
  PeerLink::OnStream Accept;
  std::unique_ptr<PeerNet> Server = std::make_unique<PeerNet>(
      Context, "127.0.0.1", 0,
      [this](StreamPtr stream) { Accept(std::move(stream)); });
  std::unique_ptr<PeerNet> Client =
      std::make_unique<PeerNet>(Context, "127.0.0.1", 0, nullptr);

  ~PeerPair() {
    Client.reset();
    Server.reset();
    // An exception here means that the test has failed before.
    try {
      settle();
    } catch (const std::exception &) {
    }
  }

  StreamPtr open(StreamRecorder &end, std::string message = "hello") {
    return Client->open(address(Server->port()), "/test", std::move(message),
                        end.hooks());
  }
};

/// Returns the frames of a minimal HTTP/2 client that opens stream 1 to /admit
/// and sends `data` on it.
std::string rawFrames(const std::string &data, char flags = 0) {
  auto frame = [](char type, char bits, char stream, const std::string &body) {
    std::string out{static_cast<char>(body.size() >> 16U),
                    static_cast<char>(body.size() >> 8U),
                    static_cast<char>(body.size())};
    return out + type + bits + std::string(3, '\0') + stream + body;
  };
  std::string fields("\x83\x86\x44\x06/admit\x41\x04peer", 16);
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "") +
         frame(1, 4, 1, fields) + frame(0, flags, 1, data);
}

std::string framed(std::uint32_t length, const std::string &text) {
  std::string out(sizeof length, '\0');
  std::memcpy(out.data(), &length, sizeof length);
  return out + text;
}

} // namespace

TEST_CASE("messages arrive complete and in order in both directions",
          "[peer]") {
  StreamRecorder server;
  StreamRecorder client;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) {
    REQUIRE(stream->path() == "/test");
    server.attach(*stream);
    stream->OnMessage = [&, weak = std::weak_ptr(stream)](std::string_view it) {
      server.Messages.emplace_back(it);
      weak.lock()->send("re " + std::string(it));
    };
  };
  auto stream = pair.open(client, "0");
  for (int it = 1; it < 300; ++it)
    stream->send(std::to_string(it));
  stream->send("");
  REQUIRE(pair.until([&] { return client.Messages.size() == 301; }));
  for (int it = 0; it < 300; ++it) {
    REQUIRE(server.Messages[it] == std::to_string(it));
    REQUIRE(client.Messages[it] == "re " + std::to_string(it));
  }
  REQUIRE(client.Messages[300] == "re ");
  REQUIRE(client.Closes.empty());
  REQUIRE(server.Closes.empty());
}

TEST_CASE("the end of a stream is reported once to both sides, and the stream "
          "is freed",
          "[peer]") {
  for (std::string how :
       {"client", "server", "both", "client-net", "server-net"}) {
    CAPTURE(how);
    StreamRecorder server;
    StreamRecorder client;
    StreamPtr accepted;
    PeerPair pair;
    pair.Accept = [&](StreamPtr stream) {
      server.attach(*stream);
      accepted = std::move(stream);
    };
    auto stream = pair.open(client);
    REQUIRE(pair.until([&] { return server.Messages.size() == 1; }));
    stream->send("last");
    accepted->send("reply");
    if (how == "client" || how == "both")
      stream->close();
    if (how == "server" || how == "both")
      accepted->close();
    if (how.ends_with("-net")) {
      REQUIRE(pair.until([&] { return client.Messages.size() == 1; }));
      (how == "client-net" ? pair.Client : pair.Server)->close();
    }
    REQUIRE(pair.until(
        [&] { return client.Closes.size() + server.Closes.size() >= 2; }));
    std::weak_ptr<PeerStream> left = stream;
    std::weak_ptr<PeerStream> right = accepted;
    stream.reset();
    accepted.reset();
    REQUIRE(pair.until([&] { return left.expired() && right.expired(); }));
    bool clean = !how.ends_with("-net");
    REQUIRE(client.Closes == std::vector{clean});
    REQUIRE(server.Closes == std::vector{clean});
    if (clean) {
      REQUIRE(server.Messages.back() == "last");
      REQUIRE(client.Messages.back() == "reply");
    }
  }
}

TEST_CASE("many streams share one connection and are all freed", "[peer]") {
  constexpr std::size_t Count = 3000;
  std::vector<std::weak_ptr<PeerStream>> accepted;
  std::vector<StreamRecorder> ends(Count);
  std::vector<StreamPtr> streams;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) {
    accepted.push_back(stream);
    stream->OnMessage = [weak = std::weak_ptr(stream)](std::string_view it) {
      weak.lock()->send(std::string(it));
    };
  };
  for (std::size_t it = 0; it < Count; ++it)
    streams.push_back(pair.open(ends[it], std::to_string(it)));
  REQUIRE(pair.until([&] { return !ends.back().Messages.empty(); }));
  for (std::size_t it = 0; it < Count; ++it)
    REQUIRE(ends[it].Messages == std::vector{std::to_string(it)});
  for (auto &stream : streams)
    stream->close();
  streams.clear();
  REQUIRE(pair.until([&] {
    return std::all_of(accepted.begin(), accepted.end(),
                       [](const auto &it) { return it.expired(); });
  }));
}

TEST_CASE("OnClosed is called for a stream that can't be opened", "[peer]") {
  StreamRecorder closed;
  PeerPair pair;
  auto dead = Loopback::address(pair.deadPort());
  for (const std::string &address :
       {dead, std::string("nonsense"), std::string("127.0.0.1:99999999999"),
        std::string("host:80"), std::string()}) {
    CAPTURE(address);
    for (int again = 0; again < 2; ++again) {
      StreamRecorder client;
      auto stream = pair.Client->open(address, "/test", "x", client.hooks());
      REQUIRE(pair.until([&] { return !client.Closes.empty(); }));
      stream->send("late");
      stream->close();
      pair.settle();
      REQUIRE(client.Closes == std::vector{false});
    }
  }
  pair.Client->close();
  auto stream = pair.open(closed);
  REQUIRE(pair.until([&] { return !closed.Closes.empty(); }));
  REQUIRE(closed.Closes == std::vector{false});
}

TEST_CASE("a stream opened in OnClosed of another uses a new connection",
          "[peer]") {
  StreamRecorder first;
  StreamRecorder second;
  StreamPtr next;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) {
    stream->OnMessage = [weak = std::weak_ptr(stream)](std::string_view it) {
      weak.lock()->send(std::string(it));
    };
  };
  auto port = pair.Server->port();
  auto hooks = first.hooks();
  hooks.OnClosed = [&](bool) {
    pair.Server = std::make_unique<PeerNet>(
        pair.Context, "127.0.0.1", port,
        [&](StreamPtr stream) { pair.Accept(std::move(stream)); });
    next = pair.open(second, "again");
  };
  auto stream = pair.Client->open(Loopback::address(port), "/test", "x", hooks);
  REQUIRE(pair.until([&] { return !first.Messages.empty(); }));
  pair.Server.reset();
  REQUIRE(pair.until([&] { return !second.Messages.empty(); }));
}

TEST_CASE("a message of the maximum size arrives", "[peer]") {
  StreamRecorder server;
  StreamRecorder client;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) { server.attach(*stream); };
  std::string large(std::size_t{16} * 1024 * 1024, 'm');
  large.back() = 'e';
  auto stream = pair.open(client, large);
  stream->send("small");
  REQUIRE(pair.until([&] { return server.Messages.size() == 2; }));
  REQUIRE((server.Messages[0] == large));
  REQUIRE(server.Messages[1] == "small");
}

TEST_CASE("a malformed length breaks the connection and repeats no message",
          "[peer]") {
  StreamRecorder server;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) { server.attach(*stream); };
  auto good = framed(4, "good");
  auto bad = framed(0xffffffffU, "");
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  auto frames = rawFrames(good + bad);
  // More data of the same stream in the same read.
  frames += std::string("\0\0\x04\0\0\0\0\0\x01more", 13);
  peer->send(frames);
  REQUIRE(pair.until([&] { return peer->Closed; }));
  REQUIRE(server.Messages == std::vector<std::string>{"good"});
  REQUIRE(server.Closes == std::vector{false});
  // Bytes that are not HTTP/2, and a message that is cut off by the end of its
  // stream.
  for (auto &text : {std::string("GET / HTTP/1.1\r\n\r\n"),
                     rawFrames(framed(9, "half"), 1)}) {
    StreamRecorder other;
    pair.Accept = [&](const StreamPtr &stream) { other.attach(*stream); };
    auto next = RawPeer::to(pair.Context, pair.Server->port());
    next->send(text);
    pair.settle();
    REQUIRE(other.Messages.empty());
    next->shut();
    pair.settle();
  }
}

TEST_CASE("a stream whose peer does not read is broken at the queue limit",
          "[peer]") {
  StreamRecorder server;
  StreamPtr accepted;
  PeerPair pair;
  pair.Accept = [&](StreamPtr stream) {
    server.attach(*stream);
    accepted = std::move(stream);
  };
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  peer->send(rawFrames(framed(4, "good")));
  REQUIRE(pair.until([&] { return server.Messages.size() == 1; }));
  std::string message(std::size_t{1024} * 1024, 'm');
  for (int it = 0; it < 100 && server.Closes.empty(); ++it) {
    accepted->send(message);
    pair.settle(1);
  }
  REQUIRE(server.Closes == std::vector{false});
}

TEST_CASE("a network can be destroyed while its streams are in use", "[peer]") {
  std::vector<StreamPtr> accepted;
  std::vector<StreamRecorder> ends(10);
  std::vector<StreamPtr> streams;
  PeerPair pair;
  pair.Accept = [&](const StreamPtr &stream) { accepted.push_back(stream); };
  streams.reserve(ends.size());
  for (auto &end : ends)
    streams.push_back(pair.open(end));
  REQUIRE(pair.until([&] { return accepted.size() == 10; }));
  auto late = RawPeer::to(pair.Context, pair.Server->port());
  pair.Server.reset();
  pair.Client.reset();
  for (auto &stream : streams)
    stream->send("late");
  for (auto &stream : accepted)
    stream->close();
  REQUIRE(pair.until([&] { return late->Closed; }));
  for (auto &end : ends)
    REQUIRE(end.Closes == std::vector{false});
}
