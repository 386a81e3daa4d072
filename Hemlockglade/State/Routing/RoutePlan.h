#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/Workspace.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// What may happen to the requests of a route.
enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Repeatable,
  /// Runs at most once for each request id.
  RunOnce,
  /// Answers with events; runs once unless the route says it can resume.
  Stream,
};

/// A service that a route sends to, with its share of the requests.
struct RouteTarget {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Which requests go to which service, and how they are to be treated.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::RunOnce;
  /// Longest time that a caller is kept waiting.
  Span Timeout = std::chrono::seconds(30);
  /// Time within which an answer, or a stream's first event, is in time.
  Span TargetLatency = std::chrono::seconds(1);
  /// Longest pause between events of a stream that is in time; 0 if not set.
  Span TargetGap{0};
  /// Rank; 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<RouteTarget> Targets;
  /// Replicas that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// A stream may go on at another replica behind the last event.
  bool Resumable = false;
  /// Open to callers that show no key.
  bool Public = false;

  /// Whether a request may be sent again after it may have run.
  bool idempotent() const {
    return Kind == RouteKind::Repeatable ||
           (Kind == RouteKind::Stream && Resumable);
  }
  /// The target that a number drawn for the request falls to.
  const std::string &targetFor(std::uint64_t draw) const;
};

/// A base model of a service's engines.
struct ModelSpec {
  std::string Name;
  double WeightsMb = 0;
  /// Time that a load takes from the weight store, from a copy on the engine's
  /// disk and from one in its host's memory.
  Span LoadTime{0};
  Span LoadTimeFromDisk{0};
  Span LoadTimeFromMemory{0};
  double AdapterMb = 0;
};

/// What the engines of a service can hold.
struct EngineSpec {
  std::uint32_t Slots = 1;
  std::uint64_t MemoryTokens = 0;
  double WeightsMb = 0;
  std::uint32_t AdapterSlots = 0;
  /// Base model loads a second that the weight store allows over all replicas.
  double LoadsPerSecond = 0;
  std::vector<ModelSpec> Models;

  const ModelSpec *model(std::string_view name) const;
};

/// A service of the plan.
struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Connections that one replica takes from all callers together.
  std::uint32_t MaxConnections = 0;
  /// Set for services that run models.
  std::optional<EngineSpec> Engine;
};

/// Bounds on what callers send.
struct CallerLimits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  Span HeadTimeout = std::chrono::seconds(3);
  Span IdleTimeout = std::chrono::seconds(15);
};

/// Routes, services, limits and workspaces that are in force together.
class RoutePlan {
public:
  RoutePlan() = default;
  RoutePlan(std::uint64_t version, std::vector<Route> routes,
            std::vector<ServiceSpec> services, CallerLimits limits,
            WorkspaceDirectory workspaces = {});

  /// The plan as operators wrote it, for nodes that can't read it themselves.
  std::string Source;

  /// Rises with each plan, by more than one at times.
  std::uint64_t version() const { return Number; }
  const std::vector<Route> &routes() const { return All; }
  const std::vector<ServiceSpec> &services() const { return Services; }
  const CallerLimits &limits() const { return Limits; }
  const WorkspaceDirectory &workspaces() const { return Workspaces; }

  /// The route of a host with the longest prefix that begins the path.
  const Route *find(std::string_view host, std::string_view path) const;
  const ServiceSpec *service(std::string_view name) const;

private:
  std::uint64_t Number = 0;
  std::vector<Route> All;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
  WorkspaceDirectory Workspaces;
  /// Host, then prefix, to the route's index.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      Index;
};

} // namespace hemlockglade
