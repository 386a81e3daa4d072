#pragma once

#include "UnitTests/Node/Gateway/GatewayRig.h"

#include <algorithm>

namespace hemlockglade::test {

inline constexpr std::string_view Crashing = "/x/crashing";
/// Number of replicas that one request may crash before it is barred.
inline constexpr int MaxCrashed = 3;

/// Replicas that end when they run one request, and serve all others.
struct CrashingFixture : GatewayFixture {
  explicit CrashingFixture(RouteKind kind, int replicas = 8) {
    constexpr std::uint32_t Attempts = 2;
    Platform.declare(1, "/x/", kind, Attempts);
    for (int it = 0; it < replicas; ++it) {
      auto &replica =
          *Replicas.emplace_back(std::make_unique<ScriptedReplica>(Context));
      replica.Answer = [](const ScriptedReplica::Request &request) {
        if (request.Head.Target == Crashing)
          return ScriptedReplica::Step{"", ScriptedReplica::Then::Crash};
        return ScriptedReplica::Step{
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
      };
      Platform.addReplica(replica.address());
    }
  }

  int crashed() const {
    return static_cast<int>(
        std::count_if(Replicas.begin(), Replicas.end(),
                      [](const auto &it) { return it->Crashed; }));
  }

  /// Sends the crashing request to a node, under an id of its own.
  std::string sendCrashing(const std::string &node) {
    return ask(node, std::string(Crashing),
               "r" + std::to_string(++RequestCount));
  }

  void runFor(Span span) {
    auto end = TimerService::now() + span;
    until([end] { return TimerService::now() >= end; });
  }

  /// Starts one more node, which shares platform and peers with the others.
  void addNode() {
    auto ports = freePorts(4);
    auto settings = Settings;
    settings.Name = "entry-" + std::to_string(Nodes.size());
    settings.PeerPort = ports[0];
    settings.CallerAddress = Loopback::address(ports[1]);
    settings.DirectoryAddress = Loopback::address(ports[2]);
    settings.ReadinessAddress = Loopback::address(ports[3]);
    Nodes.push_back(
        std::make_unique<Gateway>(Context, settings, Platform.port(), Log));
    Nodes.back()->start();
  }

  void startNodes(int n) {
    Platform.HasTable = true;
    for (int it = 0; it < n; ++it)
      addNode();
    REQUIRE(until([&] { return allReady(); }));
    // One node takes the cell's lease, the others find it.
    REQUIRE(until([&] { return countLines("owner-heard") == n - 1; }));
  }

  bool allReady() const {
    return std::all_of(Nodes.begin(), Nodes.end(),
                       [](const auto &it) { return it->ready(); });
  }
  std::string callerAddress(std::size_t node) const {
    return Nodes[node]->settings().CallerAddress;
  }
  int countLines(const std::string &event) const {
    return static_cast<int>(
        std::count_if(Lines.begin(), Lines.end(), [&event](const auto &it) {
          return it.find("\"" + event + "\"") != std::string::npos;
        }));
  }

  std::vector<std::unique_ptr<ScriptedReplica>> Replicas;
  std::vector<std::unique_ptr<Gateway>> Nodes;
  int RequestCount = 0;
};

inline bool contains(const std::string &text, const std::string &part) {
  return text.find(part) != std::string::npos;
}

} // namespace hemlockglade::test
