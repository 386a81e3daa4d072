// Guards against replicas that fail from what they have to reject: a service
// states how few rejections a second its replicas bear, and they stop to queue
// requests. It happened because each node kept a share of their slots, and at
// least one, to itself: with more nodes than slots all of them together sent
// more than the replicas had room for.

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "Hemlockglade/Transport/Http1/HttpPool.h"
#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <algorithm>

namespace hemlockglade::test {

namespace {

constexpr std::size_t Slots = 4;
constexpr auto WorkTime = milliseconds(80);
/// Requests that wait for a slot until `ShrinkDelay` after the statement.
constexpr std::size_t NormalQueue = 16;
constexpr auto ShrinkDelay = milliseconds(3000);
constexpr std::size_t MaxRejections = 1;

/// A plain replica with a few slots, which rejects what finds no room, and ends
/// once it rejects more than `MaxRejections` within a second.
class BrittleReplica {
public:
  explicit BrittleReplica(asio::io_context &context) : Timers(context) {
    CallerHooks hooks;
    hooks.Bounds = [] { return CallerBounds{}; };
    hooks.Closing = [] { return false; };
    hooks.OnRequest = [this](const CallerRequest &request, const auto &reply) {
      onRequest({reply, *findField(request.Head.Fields, "Id")});
    };
    Server = std::make_unique<CallerServer>(context, Loopback::localhost(0),
                                            1000, std::move(hooks));
  }

  std::string address() const { return Loopback::address(Server->port()); }

  std::optional<Instant> StatesSince;
  bool Fell = false;
  std::size_t Rejected = 0;
  std::size_t Served = 0;

private:
  struct Arrived {
    std::shared_ptr<CallerReply> Reply;
    std::string Id;
  };

  void onRequest(const Arrived &request) {
    auto now = TimerService::now();
    bool isShrunk = StatesSince && now - *StatesSince >= ShrinkDelay;
    if (Running < Slots)
      return run(request);
    if (Waiting.size() < (isShrunk ? 0 : NormalQueue))
      return Waiting.push_back(request);
    ++Rejected;
    RejectedAt.push_back(now);
    std::erase_if(RejectedAt, [now](Instant at) {
      return now - at >= std::chrono::seconds(1);
    });
    Fell = Fell || (StatesSince && RejectedAt.size() > MaxRejections);
    request.Reply->respond(head(503, "Not-Run", request.Id), "");
  }

  void run(const Arrived &request) {
    ++Running;
    Timers.after(WorkTime, [this, request](Instant) {
      --Running;
      ++Served;
      request.Reply->respond(head(200, "Seal", request.Id), "hello");
      if (Waiting.empty())
        return;
      auto next = Waiting.front();
      Waiting.erase(Waiting.begin());
      run(next);
    });
  }

  HttpAnswerHead head(std::uint16_t status, const std::string &field,
                      const std::string &id) const {
    HttpAnswerHead out{status, {{field, "1"}, {"Id", id}}};
    if (StatesSince)
      out.Fields.push_back({"Brittle", std::to_string(MaxRejections)});
    return out;
  }

  TimerService Timers;
  std::unique_ptr<CallerServer> Server;
  std::size_t Running = 0;
  std::vector<Arrived> Waiting;
  std::vector<Instant> RejectedAt;
};

/// Several nodes before two replicas that have fewer slots than there are
/// nodes.
struct BrittleFixture : GatewayFixture {
  BrittleFixture() : Pool(Context, {}) {
    Platform.HasTable = true;
    Platform.declare(1, "/x/", RouteKind::Repeatable, 2);
    for (int it = 0; it < 2; ++it)
      Platform.addReplica(
          Replicas.emplace_back(std::make_unique<BrittleReplica>(Context))
              ->address());
  }

  void startNode() {
    auto ports = freePorts(4);
    auto settings = Settings;
    settings.Name = "entry-" + std::to_string(Nodes.size());
    settings.PeerPort = ports[0];
    settings.CallerAddress = address(ports[1]);
    settings.DirectoryAddress = address(ports[2]);
    settings.ReadinessAddress = address(ports[3]);
    Nodes.push_back(
        std::make_unique<Gateway>(Context, settings, Platform.port(), Log));
    Nodes.back()->start();
  }

  void startNodes(std::size_t n) {
    while (Nodes.size() < n)
      startNode();
    REQUIRE(until([this] {
      return std::all_of(Nodes.begin(), Nodes.end(),
                         [](const auto &it) { return it->ready(); });
    }));
    runFor(milliseconds(2000));
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  void state() {
    for (auto &it : Replicas)
      it->StatesSince = TimerService::now();
  }

  void send(const std::string &to) {
    HttpRequestHead head{"GET", "/x/y", {}};
    head.Fields = {{"Host", "a.example"}, {"Id", "r" + std::to_string(Sent)}};
    auto connection = Pool.take(parseEndpoint(to));
    HttpCallHooks hooks;
    hooks.OnDone = [this, connection] { Pool.give(connection); };
    connection->call(writeHead(head), "", false, std::move(hooks));
  }

  /// Sends requests at a rate to the nodes in turn, without waiting for their
  /// answers.
  void sendFor(Span span, double perSecond) {
    auto end = TimerService::now() + span;
    while (TimerService::now() < end) {
      auto next = TimerService::now() + spanOf(1 / perSecond);
      send(Nodes[++Sent % Nodes.size()]->settings().CallerAddress);
      until([next] { return TimerService::now() >= next; });
    }
  }

  std::size_t served() const {
    return Replicas[0]->Served + Replicas[1]->Served;
  }
  bool anyFell() const { return Replicas[0]->Fell || Replicas[1]->Fell; }

  std::vector<std::unique_ptr<BrittleReplica>> Replicas;
  std::vector<std::unique_ptr<Gateway>> Nodes;
  HttpPool Pool;
  std::size_t Sent = 0;
};

/// What the slots of both replicas can serve in a second.
constexpr double CapacityPerSecond = 2 * Slots / 0.08;

} // namespace

TEST_CASE("replicas that fail from rejections have to reject next to nothing "
          "while more nodes than slots send to them",
          "[brittle-replicas]") {
  BrittleFixture it;
  it.startNodes(10);
  it.sendFor(milliseconds(1000), CapacityPerSecond / 2);
  it.state();
  it.sendFor(milliseconds(3500), CapacityPerSecond / 2);
  auto before = it.served();
  it.sendFor(milliseconds(3000), 1.5 * CapacityPerSecond);
  CHECK_FALSE(it.anyFell());
  // Most of what the slots can serve is served.
  constexpr double MinUsed = 0.6;
  CHECK(static_cast<double>(it.served() - before) >=
        MinUsed * 3 * CapacityPerSecond);
}

} // namespace hemlockglade::test
