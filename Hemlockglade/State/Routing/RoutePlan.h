#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/Workspace.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// Whether and how the requests of a route may run again.
enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Repeatable,
  /// Runs at most once for each request id.
  RunOnce,
  /// Answers with events; runs once unless the route is resumable.
  Stream,
};

/// A service that a route sends requests to, with its share of them.
struct RouteTarget {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Assigns requests to services, and sets how they are handled.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RouteKind Kind = RouteKind::RunOnce;
  /// Maximum time for which a caller is kept waiting.
  Span Timeout = std::chrono::seconds(30);
  /// Time within which an answer, or a stream's first event, counts as in time.
  Span TargetLatency = std::chrono::seconds(1);
  /// Maximum pause between events for a stream to count as in time; 0 if not
  /// set.
  Span TargetGap{0};
  /// Rank; 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<RouteTarget> Targets;
  /// Maximum number of replicas that one request is sent to.
  std::uint32_t MaxAttempts = 1;
  /// A stream may be continued at another replica after the last event.
  bool Resumable = false;
  /// Open to callers without a key.
  bool Public = false;

  /// Returns whether a request may be sent again after it may have run.
  bool idempotent() const {
    return Kind == RouteKind::Repeatable ||
           (Kind == RouteKind::Stream && Resumable);
  }
  /// Returns the service for a random number drawn for the request.
  const std::string &targetFor(std::uint64_t draw) const;
};

/// A base model of a service's engines.
struct ModelSpec {
  std::string Name;
  double WeightsMb = 0;
  /// Load time from the weight store, from a copy on the engine's disk and from
  /// one in its host's memory.
  Span LoadTime{0};
  Span LoadTimeFromDisk{0};
  Span LoadTimeFromMemory{0};
  double AdapterMb = 0;
};

/// Capacity and models of a service's engines.
struct EngineSpec {
  std::uint32_t Slots = 1;
  std::uint64_t MemoryTokens = 0;
  double WeightsMb = 0;
  std::uint32_t AdapterSlots = 0;
  /// Maximum rate of base model loads from the weight store, per second over
  /// all replicas.
  double LoadsPerSecond = 0;
  std::vector<ModelSpec> Models;

  const ModelSpec *model(std::string_view name) const;
};

/// A service of the plan.
struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Maximum number of connections to one replica, from all callers together.
  std::uint32_t MaxConnections = 0;
  /// Set for services that run models.
  std::optional<EngineSpec> Engine;
};

/// Limits on what callers send.
struct CallerLimits {
  std::size_t MaxHeadBytes = std::size_t{16} * 1024;
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  Span HeadTimeout = std::chrono::seconds(3);
  Span IdleTimeout = std::chrono::seconds(15);
};

/// The routes, services, limits and workspaces of one version of the plan.
class RoutePlan {
public:
  RoutePlan() = default;
  RoutePlan(std::uint64_t version, std::vector<Route> routes,
            std::vector<ServiceSpec> services, CallerLimits limits,
            WorkspaceDirectory workspaces = {});

  /// The plan as operators wrote it, for forwarding to nodes that can't read it
  /// themselves.
  std::string Source;

  /// Returns the version; it rises with each plan, sometimes by more than one.
  std::uint64_t version() const { return Version; }
  const std::vector<Route> &routes() const { return Routes; }
  const std::vector<ServiceSpec> &services() const { return Services; }
  const CallerLimits &limits() const { return Limits; }
  const WorkspaceDirectory &workspaces() const { return Workspaces; }

  /// Returns the route of the host with the longest prefix of the path, or
  /// null.
  const Route *find(std::string_view host, std::string_view path) const;
  const ServiceSpec *service(std::string_view name) const;

private:
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
  WorkspaceDirectory Workspaces;
  /// Index of each route, by host and prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      Index;
};

} // namespace hemlockglade
