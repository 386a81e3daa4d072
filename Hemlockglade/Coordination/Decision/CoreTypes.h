#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockglade {

/// Small numbers that stand for names inside one core.
using AdapterKey = std::uint32_t;
using ReplicaKey = std::uint32_t;
using DomainKey = std::uint32_t;
using CallerKey = std::uint32_t;
/// Number that the driver gives a request; never used twice in one core.
using RequestKey = std::uint64_t;

/// Stands for "no adapter": a call of a plain service.
inline constexpr AdapterKey NoAdapter = 0;

/// How far this node may trust its ownership of the cell.
enum class LeaseMode : std::uint8_t {
  /// Not the owner: nothing is decided.
  None,
  /// Owner, but requests of the former owner may run unknown to us.
  Recovering,
  /// Owner by a lease that holds.
  Held,
  /// The lease may have lapsed: serve what is loaded, never evict.
  Doubtful,
};

/// Why the core acted; goes into the log line.
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

// Events: what happened.

struct RequestArrived {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  /// Higher goes first.
  std::uint8_t Priority = 0;
  /// When the first byte is due.
  Instant Deadline{};
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  CallerKey Caller = 0;
  /// A caller's or entry's second try; counts against the retry budget.
  bool Retry = false;
  /// Requests of the same class that may wait; 0 for no limit.
  std::uint32_t QueueLimit = 0;
};

/// The request is over, or its caller has gone; the slot is free.
struct RequestFinished {
  RequestKey Request = 0;
};

/// A request of the former owner that runs already.
struct RequestAdopted {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  ReplicaKey Replica = 0;
};

/// An engine confirmed a load order.
struct LoadDone {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  /// Number of the order that this answers; 0 if the driver keeps none.
  std::uint64_t Order = 0;
};

/// A load order came to nothing.
struct LoadFailed {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  /// Number of the order that this answers; 0 if the driver keeps none.
  std::uint64_t Order = 0;
  /// No answer came: the adapter may be there, now or in a while.
  bool Unknown = false;
};

/// An engine answered an evict order. If it refused, the adapter is still
/// there.
struct EvictDone {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  bool Refused = false;
  /// Number of the order that this answers; 0 if the driver keeps none.
  std::uint64_t Order = 0;
  /// No answer came: the adapter may be there or not.
  bool Unknown = false;
};

/// A replica that may get work, or whose properties changed.
struct ReplicaAdded {
  ReplicaKey Replica = 0;
  DomainKey Domain = 0;
  std::uint32_t Slots = 8;
  std::uint32_t Batch = 32;
  bool ChecksFencing = false;
  /// Measured: requests at once that it serves at full speed; 0 if not
  /// measured, then the batch stands for it.
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

/// An adapter on a replica and the requests it runs, as the engine says.
struct ResidentAdapter {
  AdapterKey Adapter = NoAdapter;
  std::uint32_t Running = 0;
};

/// An engine's report of itself.
struct ReplicaReport {
  ReplicaKey Replica = 0;
  /// Hash of the engine's incarnation.
  std::uint64_t Incarnation = 0;
  /// When the report was true.
  Instant TakenAt{};
  std::uint32_t Running = 0;
  std::vector<ResidentAdapter> Resident;
};

/// The replica did not answer a report; it may be down.
struct ReplicaSilent {
  ReplicaKey Replica = 0;
};

struct LeaseChanged {
  LeaseMode Mode = LeaseMode::None;
};

/// How many adapter loads may run at once, and how many a second on average,
/// for this cell.
struct LoadLimitChanged {
  std::uint32_t Parallel = 1;
  double LoadsPerSecond = 3.0;
};

struct PinChanged {
  AdapterKey Adapter = NoAdapter;
  /// 0 for any failure domain.
  DomainKey Domain = 0;
  /// 0 takes the pin away.
  std::uint32_t Copies = 0;
};

/// Failure domains where an adapter may run; empty for all.
struct RuleChanged {
  AdapterKey Adapter = NoAdapter;
  std::vector<DomainKey> Domains;
};

/// An operator wants an adapter on a replica.
struct OperatorLoad {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
};

/// What the cell's decisions favour: 0 for few and short load stalls, 1 for
/// full batches.
struct ObjectiveChanged {
  double Objective = 0;
};

/// Time has passed.
struct Tick {};

using Event =
    std::variant<RequestArrived, RequestFinished, RequestAdopted, LoadDone,
                 LoadFailed, EvictDone, ReplicaAdded, ReplicaRemoved,
                 ReplicaDraining, ReplicaReport, ReplicaSilent, LeaseChanged,
                 LoadLimitChanged, PinChanged, RuleChanged, OperatorLoad,
                 ObjectiveChanged, Tick>;

// Actions: what to do about it.

struct Admit {
  RequestKey Request = 0;
  ReplicaKey Replica = 0;
  /// Time the request waited for its adapter to load.
  Span LoadStall{};
  Reason Why = Reason::Resident;
};

struct Refuse {
  RequestKey Request = 0;
  /// When it makes sense to come back.
  Span RetryAfter{};
  Reason Why = Reason::QueueFull;
};

struct Load {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::Demand;
  /// Number of this order, to be handed back with its answer.
  std::uint64_t Order = 0;
};

struct Evict {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::MakeRoom;
  /// Number of this order, to be handed back with its answer.
  std::uint64_t Order = 0;
};

struct CancelLoad {
  ReplicaKey Replica = 0;
  AdapterKey Adapter = NoAdapter;
  Reason Why = Reason::NobodyWaits;
};

using Action = std::variant<Admit, Refuse, Load, Evict, CancelLoad>;

} // namespace hemlockglade
