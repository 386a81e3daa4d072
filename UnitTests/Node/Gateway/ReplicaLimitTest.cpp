#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <algorithm>

namespace hemlockglade::test {

namespace {

/// What replicas may get within `Window` for a limit of `PerSecond`.
constexpr Span Window = std::chrono::seconds(4);
constexpr double Overshoot = 1.5;
constexpr double Slack = 5;

double allowedFor(double perSecond) {
  return Overshoot * perSecond * inSeconds(Window) + Slack;
}

/// Several nodes of one failure domain that send to plain replicas, of which
/// some state a limit.
struct LimitFixture : GatewayFixture {
  struct Server {
    explicit Server(asio::io_context &context) : Replica(context) {}
    ScriptedReplica Replica;
    /// The limit that it states, in requests a second.
    std::optional<double> Limit;
    std::vector<Instant> Arrivals;
  };

  LimitFixture() {
    Platform.HasTable = true;
    Platform.declare(1, "/x/", RouteKind::RunOnce);
  }

  Server &addServer(std::optional<double> limit) {
    auto &it = *Servers.emplace_back(std::make_unique<Server>(Context));
    it.Limit = limit;
    it.Replica.Answer = [&it](const auto &) {
      it.Arrivals.push_back(TimerService::now());
      auto field =
          it.Limit ? "Limit: " + std::to_string(*it.Limit) + "\r\n" : "";
      return ScriptedReplica::Step{"HTTP/1.1 200 OK\r\n" + field +
                                   "Content-Length: 5\r\n\r\nhello"};
    };
    Platform.addReplica(it.Replica.address());
    return it;
  }

  void startNodes(int n) {
    for (int it = 0; it < n; ++it) {
      auto ports = freePorts(4);
      auto settings = Settings;
      settings.Name = "entry-" + std::to_string(it);
      settings.PeerPort = ports[0];
      settings.CallerAddress = address(ports[1]);
      settings.DirectoryAddress = address(ports[2]);
      settings.ReadinessAddress = address(ports[3]);
      Nodes.push_back(
          std::make_unique<Gateway>(Context, settings, Platform.port(), Log));
      Nodes.back()->start();
    }
    REQUIRE(until([this] {
      return std::all_of(Nodes.begin(), Nodes.end(),
                         [](const auto &it) { return it->ready(); });
    }));
    // One node takes the cell's lease, the others find it.
    REQUIRE(until([this] {
      return std::any_of(Lines.begin(), Lines.end(), [](const auto &it) {
        return it.find("quota-keeper") != std::string::npos;
      });
    }));
    runFor(std::chrono::milliseconds(500));
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  /// Sends a request to each node in turn, one every `gap`; returns the
  /// answers.
  std::vector<std::string> sendFor(Span span, Span gap) {
    std::vector<std::string> out;
    auto begin = TimerService::now();
    while (TimerService::now() - begin < span) {
      auto next = TimerService::now() + gap;
      auto n = out.size();
      auto to = Nodes[n % Nodes.size()]->settings().CallerAddress;
      out.push_back(ask(to, "/x/y", "r" + std::to_string(n)));
      until([next] { return TimerService::now() >= next; });
    }
    return out;
  }

  static std::ptrdiff_t countOf(const std::vector<std::string> &answers,
                                const std::string &text) {
    return std::count_if(
        answers.begin(), answers.end(),
        [&text](const auto &it) { return it.find(text) != std::string::npos; });
  }

  /// The most arrivals at a server within any `Window`.
  static double mostArrivals(const Server &server) {
    std::ptrdiff_t most = 0;
    const auto &all = server.Arrivals;
    for (auto it = all.begin(); it != all.end(); ++it)
      most = std::max(most, std::upper_bound(it, all.end(), *it + Window) - it);
    return static_cast<double>(most);
  }

  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Gateway>> Nodes;
};

} // namespace

TEST_CASE("a replica gets no more requests from all nodes than the limit that "
          "it states",
          "[replica-limit]") {
  LimitFixture it;
  auto limit = GENERATE(0.5, 2.0);
  auto &limited = it.addServer(limit);
  it.addServer(std::nullopt);
  it.startNodes(3);
  auto answers = it.sendFor(std::chrono::milliseconds(5500),
                            std::chrono::milliseconds(40));
  CHECK(it.mostArrivals(limited) <= allowedFor(limit));
  // The other replica serves what this one doesn't.
  CHECK(it.countOf(answers, "hello") ==
        static_cast<std::ptrdiff_t>(answers.size()));
}

TEST_CASE("requests are refused at once while all replicas are at the limits "
          "that they state",
          "[replica-limit]") {
  LimitFixture it;
  auto &limited = it.addServer(2);
  it.startNodes(2);
  auto answers = it.sendFor(std::chrono::milliseconds(5500),
                            std::chrono::milliseconds(40));
  CHECK(it.mostArrivals(limited) <= allowedFor(2));
  CHECK(it.countOf(answers, "hello") >= 5);
  auto refused = it.countOf(answers, "HTTP/1.1 503");
  CHECK(refused > 0);
  CHECK(it.countOf(answers, "Retry-After: ") == refused);
  // None is held: each is answered before the next is sent.
  CHECK(answers.size() > 60);
}

TEST_CASE("a limit that one node was told is known to all", "[replica-limit]") {
  LimitFixture it;
  it.addServer(2);
  it.startNodes(3);
  it.ask(it.Nodes[2]->settings().CallerAddress, "/x/y");
  auto toldByNode = [&it] {
    return std::count_if(it.Lines.begin(), it.Lines.end(), [](const auto &at) {
      return at.find("\"replica-limit\"") != std::string::npos &&
             at.find("\"from\":\"node\"") != std::string::npos;
    });
  };
  CHECK(it.until([&] { return toldByNode() == 2; }));
}

TEST_CASE("a replica that no longer states a limit is used as before",
          "[replica-limit]") {
  LimitFixture it;
  auto &limited = it.addServer(1);
  it.startNodes(2);
  it.sendFor(std::chrono::milliseconds(3000), std::chrono::milliseconds(40));
  limited.Limit.reset();
  it.sendFor(std::chrono::milliseconds(3000), std::chrono::milliseconds(40));
  auto answers = it.sendFor(std::chrono::milliseconds(1000),
                            std::chrono::milliseconds(40));
  CHECK(it.countOf(answers, "hello") ==
        static_cast<std::ptrdiff_t>(answers.size()));
}

} // namespace hemlockglade::test
