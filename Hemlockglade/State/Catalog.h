#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// What stands behind a service.
enum class ServiceKind : std::uint8_t {
  /// Model engines that load adapters.
  Engine,
  /// A plain service; its replicas take calls and hold no adapters.
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
  /// What the decisions favour, in percent: 0 for few and short load stalls,
  /// 100 for full batches.
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
  /// Adapters that fit at once.
  std::uint32_t Slots = 8;
  /// Requests that run at once.
  std::uint32_t Batch = 32;
  /// Whether the endpoint refuses orders with an old fencing number.
  bool ChecksFencing = false;

  bool operator==(const ReplicaConfig &) const = default;
};

/// An adapter and the versions that may be asked for.
struct AdapterConfig {
  std::string Name;
  std::string Service;
  /// The version that a request without a version means.
  std::uint32_t Current = 1;
  std::vector<std::uint32_t> Versions;

  bool operator==(const AdapterConfig &) const = default;
};

/// A class of requests with a priority of its own.
struct ServiceClass {
  std::string Name;
  /// Higher goes first.
  std::uint8_t Priority = 0;
  /// Time a request may take to its first byte if its caller names none.
  Span Deadline = std::chrono::seconds(30);
  /// Requests of this class that may wait in one cell.
  std::uint32_t QueueLimit = 1000;

  bool operator==(const ServiceClass &) const = default;
};

/// A wish to keep copies of an adapter loaded.
struct PinConfig {
  AdapterRef Adapter;
  /// Where; empty for anywhere.
  std::string FailureDomain;
  std::uint32_t Copies = 1;

  bool operator==(const PinConfig &) const = default;
};

/// Where an adapter's work may run.
struct PlacementRule {
  /// Adapter name, or a prefix followed by `*`.
  std::string Adapter;
  /// Failure domains that are allowed.
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
  /// In order: the first rule that fits an adapter is the one that counts.
  std::vector<PlacementRule> Rules;
  /// Replicas that the operators are draining.
  std::map<std::string, bool> Drained;

  bool operator==(const Catalog &) const = default;
};

/// Name of a pin: `name@version`, and ` in DOMAIN` if it names one.
std::string pinName(const PinConfig &pin);

/// Name of a service's cell: `service/number`.
std::string cellName(std::string_view service, std::uint32_t number);

/// The cell of a service that owns the key (an adapter's or caller's name).
std::string cellOf(const ServiceConfig &service, std::string_view key);

/// The cell that a replica belongs to.
std::string cellOfReplica(const ServiceConfig &service,
                          const ReplicaConfig &replica);

/// Weight of a rendezvous candidate for a key; the highest wins.
std::uint64_t rendezvousWeight(std::string_view candidate,
                               std::string_view key);

} // namespace hemlockglade
