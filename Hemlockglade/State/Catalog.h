#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// Kind of a service's endpoints.
enum class ServiceKind : std::uint8_t {
  /// Model engines that load adapters.
  Engine,
  /// A plain service, whose replicas take calls and have no adapters.
  Plain,
};

/// A service as declared by the operators.
struct ServiceConfig {
  std::string Name;
  ServiceKind Kind = ServiceKind::Engine;
  /// Number of cells that the service's replicas are divided into.
  std::uint32_t Cells = 1;
  /// Base model, for engines.
  std::string BaseModel;
  /// Objective of the placement decisions, in percent: 0 favours few and short
  /// stalls for loading, 100 favours full batches.
  std::uint32_t ObjectivePercent = 0;

  bool operator==(const ServiceConfig &) const = default;
};

/// One replica of a service.
struct ReplicaConfig {
  std::string Name;
  std::string Service;
  /// Numeric `ip:port` of the endpoint.
  std::string Address;
  std::string FailureDomain;
  /// Max adapters that are loaded at once.
  std::uint32_t Slots = 8;
  /// Max requests that run at once.
  std::uint32_t Batch = 32;
  /// Whether the endpoint refuses orders with an old fencing number.
  bool ChecksFencing = false;

  bool operator==(const ReplicaConfig &) const = default;
};

/// An adapter and the versions that requests may name.
struct AdapterConfig {
  std::string Name;
  std::string Service;
  /// Version for requests that name none.
  std::uint32_t Current = 1;
  std::vector<std::uint32_t> Versions;

  bool operator==(const AdapterConfig &) const = default;
};

/// A class of requests with a priority of its own.
struct ServiceClass {
  std::string Name;
  /// Requests with a higher priority are served first.
  std::uint8_t Priority = 0;
  /// Max time to the first byte of the answer, if the caller sets none.
  Span Deadline = std::chrono::seconds(30);
  /// Max requests of this class that wait in one cell.
  std::uint32_t QueueLimit = 1000;

  bool operator==(const ServiceClass &) const = default;
};

/// A number of copies of an adapter to keep loaded.
struct PinConfig {
  AdapterRef Adapter;
  /// Failure domain of the copies; empty for any.
  std::string FailureDomain;
  std::uint32_t Copies = 1;

  bool operator==(const PinConfig &) const = default;
};

/// Failure domains in which an adapter's requests may run.
struct PlacementRule {
  /// Adapter name, or a prefix followed by `*`.
  std::string Adapter;
  /// The allowed failure domains.
  std::vector<std::string> FailureDomains;

  bool operator==(const PlacementRule &) const = default;
};

/// The whole configuration that is in force at one revision.
struct Catalog {
  Revision Number = 0;
  std::map<std::string, ServiceConfig> Services;
  std::map<std::string, ReplicaConfig> Replicas;
  std::unordered_map<std::string, AdapterConfig> Adapters;
  std::map<std::string, ServiceClass> Classes;
  /// By `pinName`.
  std::map<std::string, PinConfig> Pins;
  /// In order: the first rule that matches an adapter applies.
  std::vector<PlacementRule> Rules;
  /// Replicas that the operators are draining.
  std::map<std::string, bool> Drained;

  bool operator==(const Catalog &) const = default;
};

/// Name of a pin: `name@version`, followed by ` in DOMAIN` if it has a failure
/// domain.
std::string pinName(const PinConfig &pin);

/// Name of a service's cell: `service/number`.
std::string cellName(std::string_view service, std::uint32_t number);

/// Returns the cell of a service that a key (an adapter's or caller's name)
/// belongs to: the one with the highest rendezvous weight. Empty if the service
/// has no cells.
std::string cellOf(const ServiceConfig &service, std::string_view key);

/// Returns the cell that a replica belongs to.
std::string cellOfReplica(const ServiceConfig &service,
                          const ReplicaConfig &replica);

/// Weight of a candidate for a key in rendezvous hashing; the candidate with
/// the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view candidate,
                               std::string_view key);

} // namespace hemlockglade
