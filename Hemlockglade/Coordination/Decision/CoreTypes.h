#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockglade {

/// Compact keys for names, valid inside one core.
using AdapterKey = std::uint32_t;
using ReplicaKey = std::uint32_t;
using DomainKey = std::uint32_t;
using CallerKey = std::uint32_t;
/// Number that the driver assigns to a request; never reused in one core.
using RequestKey = std::uint64_t;

/// Stands for "no adapter": a call of a plain service.
inline constexpr AdapterKey NoAdapter = 0;

/// How certain this node's ownership of the cell is.
enum class LeaseMode : std::uint8_t {
  /// Not the owner: nothing is decided.
  None,
  /// Owner, but requests that the former owner admitted may run without this
  /// node's knowledge.
  Recovering,
  /// Owner by a valid lease.
  Held,
  /// The lease may have expired: loaded adapters are served, nothing is
  /// evicted.
  Doubtful,
};

/// Why the core acted; written to the log.
enum class Reason : std::uint8_t {
  Resident,
  PrefixAffinity,
  AfterLoad,
  PlainLeastLoaded,
  Demand,
  Prefetch,
  Operator,
  Pin,
  MakeRoom,
  NobodyWaits,
  QueueFull,
  DeadlineInfeasible,
  DeadlinePassed,
  CallerLimit,
  NoReplica,
  LoadFailing,
  NotOwner,
  Draining,
  RetryBudget,
  Shed,
};

/// The reason's name in logs and metrics.
std::string_view reasonName(Reason reason);

// Events: the inputs of the core.

struct RequestArrived {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  /// Requests of a higher priority are admitted first.
  std::uint8_t Priority = 0;
  /// When the first byte is due.
  Instant Deadline{};
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  CallerKey Caller = 0;
  /// A retry by the caller or the entry; counts against the retry budget.
  bool Retry = false;
  /// Requests of the same class that may wait; 0 for no limit.
  std::uint32_t QueueLimit = 0;
};

/// The request has ended or its caller has disconnected; its place in the batch
/// is free.
struct RequestFinished {
  RequestKey Request = 0;
};

/// A request that the former owner admitted and that is running.
struct RequestAdopted {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  ReplicaKey Replica = 0;
};

/// An engine confirmed a load order.
struct LoadDone {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  /// Number of the order that this answers; 0 if the driver keeps no order
  /// numbers.
  std::uint64_t Order = 0;
};

/// A load order failed.
struct LoadFailed {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  /// Number of the order that this answers; 0 if the driver keeps no order
  /// numbers.
  std::uint64_t Order = 0;
  /// No answer arrived: the adapter may be resident, now or later.
  bool Unknown = false;
};

/// An engine answered an evict order. If it refused, the adapter is still
/// resident.
struct EvictDone {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  bool Refused = false;
  /// Number of the order that this answers; 0 if the driver keeps no order
  /// numbers.
  std::uint64_t Order = 0;
  /// No answer arrived: the adapter may be resident or not.
  bool Unknown = false;
};

/// A replica that may get work was added, or its properties changed.
struct ReplicaAdded {
  ReplicaKey Replica = 0;
  DomainKey Domain = 0;
  std::uint32_t Slots = 8;
  std::uint32_t Batch = 32;
  bool ChecksFencing = false;
  /// Number of concurrent requests that it serves at full speed, as measured; 0
  /// if not measured, in which case the batch size is used.
  double Capacity = 0;
};

struct ReplicaRemoved {
  ReplicaKey Replica = 0;
};

/// A replica that gets no new work until `Draining` is false again.
struct ReplicaDraining {
  ReplicaKey Replica = 0;
  bool Draining = true;
};

/// An adapter on a replica and the number of its running requests, as the
/// engine reports them.
struct ResidentAdapter {
  AdapterKey Adapter = NoAdapter;
  std::uint32_t Running = 0;
};

/// An engine's report of its state.
struct ReplicaReport {
  ReplicaKey Replica = 0;
  /// Hash of the engine's incarnation.
  std::uint64_t Incarnation = 0;
  /// Time at which the report describes the engine.
  Instant TakenAt{};
  std::uint32_t Running = 0;
  std::vector<ResidentAdapter> Resident;
};

/// The replica did not answer a request for a report; it may be down.
struct ReplicaReportMissed {
  ReplicaKey Replica = 0;
};

struct LeaseChanged {
  LeaseMode Mode = LeaseMode::None;
};

/// Limits the adapter loads of this cell: how many run at once and how many
/// start per second on average.
struct LoadLimitChanged {
  std::uint32_t Parallel = 1;
  double LoadsPerSecond = 3.0;
};

struct PinChanged {
  AdapterKey Adapter = NoAdapter;
  /// 0 for any failure domain.
  DomainKey Domain = 0;
  /// 0 removes the pin.
  std::uint32_t Copies = 0;
};

/// Failure domains in which an adapter may run; empty for all.
struct RuleChanged {
  AdapterKey Adapter = NoAdapter;
  std::vector<DomainKey> Domains;
};

/// An operator requests that an adapter be loaded on a replica.
struct OperatorLoad {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
};

/// What the cell's decisions optimise: 0 for few and short load stalls, 1 for
/// full batches.
struct ObjectiveChanged {
  double Objective = 0;
};

/// Time has advanced.
struct Tick {};

using Event =
    std::variant<RequestArrived, RequestFinished, RequestAdopted, LoadDone,
                 LoadFailed, EvictDone, ReplicaAdded, ReplicaRemoved,
                 ReplicaDraining, ReplicaReport, ReplicaReportMissed,
                 LeaseChanged, LoadLimitChanged, PinChanged, RuleChanged,
                 OperatorLoad, ObjectiveChanged, Tick>;

// Actions: the outputs of the core, to be carried out by the driver.

struct Admit {
  RequestKey Request = 0;
  ReplicaKey Replica = 0;
  /// Time for which the request waited for its adapter to load.
  Span LoadStall{};
  Reason Why = Reason::Resident;
};

struct Refuse {
  RequestKey Request = 0;
  /// Time after which the caller should retry.
  Span RetryAfter{};
  Reason Why = Reason::QueueFull;
};

struct Load {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::Demand;
  /// Number of this order, to be passed back with its answer.
  std::uint64_t Order = 0;
};

struct Evict {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::MakeRoom;
  /// Number of this order, to be passed back with its answer.
  std::uint64_t Order = 0;
};

struct CancelLoad {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::NobodyWaits;
};

using Action = std::variant<Admit, Refuse, Load, Evict, CancelLoad>;

} // namespace hemlockglade
