#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade::bench {

namespace {

using StreamPtr = std::shared_ptr<PeerStream>;

constexpr std::size_t MessageBytes = 120;

/// A node that receives streams from other nodes, all in this process.
class PeerWorld {
public:
  PeerWorld()
      : Server(Context, "127.0.0.1", 0, [this](const StreamPtr &stream) {
          Served.push_back(stream);
          stream->OnMessage = [this](std::string_view) { ++Received; };
        }) {}

  /// Closes all connections. Nothing else may be called afterwards.
  void close() {
    for (auto &it : Clients)
      it->close();
    Server.close();
    Opened.clear();
    Served.clear();
    Context.run_for(std::chrono::milliseconds(50));
  }

  /// Adds a node with one stream that stays open.
  void connect() {
    Clients.push_back(
        std::make_unique<PeerNet>(Context, "127.0.0.1", 0, nullptr));
    open(*Clients.back());
  }
  void open(PeerNet &client) {
    Opened.push_back(client.open("127.0.0.1:" + std::to_string(Server.port()),
                                 "/admit", std::string(MessageBytes, 'x'),
                                 {[](std::string_view) {}, [](bool) {}}));
  }
  /// Runs until the first message of every opened stream has arrived; returns
  /// false if they don't arrive within a timeout.
  bool waitForMessages() {
    for (int it = 0; it < 1000 && Received < Opened.size(); ++it)
      Context.run_for(std::chrono::milliseconds(10));
    return Received == Opened.size();
  }
  PeerNet &firstClient() { return *Clients.front(); }

private:
  asio::io_context Context{1};
  std::vector<StreamPtr> Served;
  std::size_t Received = 0;
  PeerNet Server;
  std::vector<std::unique_ptr<PeerNet>> Clients;
  std::vector<StreamPtr> Opened;
};

double connectionBytes(std::size_t n) {
  PeerWorld world;
  world.connect();
  world.waitForMessages();
  auto before = mallocBytes();
  for (std::size_t it = 0; it < n; ++it)
    world.connect();
  auto bytes = world.waitForMessages() ? mallocBytes() - before : 0;
  world.close();
  return bytes;
}

double streamBytes(std::size_t n) {
  PeerWorld world;
  world.connect();
  world.waitForMessages();
  auto before = mallocBytes();
  for (std::size_t it = 0; it < n; ++it)
    world.open(world.firstClient());
  auto bytes = world.waitForMessages() ? mallocBytes() - before : 0;
  world.close();
  return bytes;
}

double streamMicros(std::size_t n) {
  return microsOf([n] {
    PeerWorld world;
    world.connect();
    for (std::size_t it = 0; it < n; ++it)
      world.open(world.firstClient());
    world.waitForMessages();
    world.close();
  });
}

} // namespace

void measurePeers(std::ostream &out) {
  measureSlope(out,
               {"connection between nodes, both ends, one stream each",
                "bytes",
                "connections",
                2 * planned::Nodes,
                {}},
               {25, 100, 300}, &connectionBytes);
  measureSlope(out,
               {"open stream, both ends",
                "bytes",
                "streams",
                planned::RunningOfNode,
                {}},
               {500, 2000, 6000}, &streamBytes);
  measureSlope(out,
               {"stream opened with its first message, both ends",
                "us",
                "streams",
                0,
                {}},
               {500, 2000, 6000}, &streamMicros);
}

} // namespace hemlockglade::bench
