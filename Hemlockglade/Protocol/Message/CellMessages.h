#pragma once

#include "Hemlockglade/Protocol/Message/CrashMessages.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

namespace peer_path {
/// A node follows a cell's owner: it tells its part of the load and hears what
/// the replicas hold. The cell's name follows the path.
inline constexpr std::string_view Cell = "/cell/";
/// A node that starts asks another what it knows. The version of the plan that
/// it has, or 0, follows the path.
inline constexpr std::string_view Briefing = "/briefing/";
/// A node asks another who owns the cells.
inline constexpr std::string_view Leases = "/leases";
/// A node that the registry does not answer asks another what operators have
/// declared since. The version of the plan that it has follows the path.
inline constexpr std::string_view Declared = "/declared/";
/// An entry asks a cell's owner for its part of workspaces' limits. The cell's
/// name follows the path.
inline constexpr std::string_view Quota = "/quota/";
} // namespace peer_path

/// A node as it tells of itself.
struct MemberNotice {
  std::string Node;
  /// Process; another start of the node has another one.
  std::string Incarnation;
  /// `ip:port` for callers.
  std::string CallerAddress;
  std::string FailureDomain;
  /// Takes callers: has what it needs and does not leave.
  bool Ready = false;
  /// What its host gives it.
  double Cores = 1;
  double LinkMbps = 1000;
  /// It serves callers, or may have to at any moment, and has to be told at
  /// once of what engines hold and of what others send them.
  bool Active = false;
  MSGPACK_DEFINE(Node, Incarnation, CallerAddress, FailureDomain, Ready, Cores,
                 LinkMbps, Active)
};

/// A node in service.
struct EntryNotice {
  std::string Node;
  /// `ip:port` for callers.
  std::string CallerAddress;
  MSGPACK_DEFINE(Node, CallerAddress)
};

/// The nodes in service of one failure domain.
struct DomainNotice {
  std::string FailureDomain;
  std::vector<EntryNotice> Entries;
  MSGPACK_DEFINE(FailureDomain, Entries)
};

/// Requests for weights that came to a node since its last beat.
struct DemandNotice {
  std::string Service;
  std::string Weights;
  std::uint32_t Requests = 0;
  /// Some wait now.
  bool Waiting = false;
  /// Some wait because the engines that have the weights are at their limit.
  bool Congested = false;
  MSGPACK_DEFINE(Service, Weights, Requests, Waiting, Congested)
};

/// A replica refused weights that it should have had.
struct RefusalNotice {
  std::string Replica;
  std::string Weights;
  /// It does not have them at all, rather than not yet.
  bool Missing = false;
  MSGPACK_DEFINE(Replica, Weights, Missing)
};

struct RunningNotice {
  std::string Replica;
  std::uint32_t Running = 0;
  MSGPACK_DEFINE(Replica, Running)
};

/// A request went to a replica, with this much of a prompt to read.
struct SentNotice {
  std::string Replica;
  std::uint32_t Tokens = 0;
  MSGPACK_DEFINE(Replica, Tokens)
};

/// Requests of a node that use weights at a replica: how many more, or fewer.
struct UseNotice {
  std::string Replica;
  std::string Weights;
  std::int32_t Change = 0;
  MSGPACK_DEFINE(Replica, Weights, Change)
};

/// A version of weights that operators named.
struct VersionNotice {
  std::string Weights;
  std::uint64_t Version = 0;
  /// How long ago that was, at most; a day if the node does not tell.
  std::int64_t AgeUs = Span(std::chrono::hours(24)).count();
  MSGPACK_DEFINE(Weights, Version, AgeUs)
};

/// Declarations of operators that were seen in one look at the registry.
struct DeclaredNotice {
  /// The plan as operators wrote it; empty if it did not change.
  std::string PlanText;
  std::vector<VersionNotice> Versions;
  MSGPACK_DEFINE(PlanText, Versions)
};

/// Replicas that changed in one look at the registry.
struct RegisteredNotice {
  /// Incarnation and entry as it is registered.
  std::vector<std::pair<std::string, std::string>> Present;
  std::vector<std::string> Removed;
  MSGPACK_DEFINE(Present, Removed)
};

/// What an owner has seen in the registry, for a node that need not look then.
struct RegistryUpdate {
  /// Complete from one position up to another; 0 if there is nothing to tell.
  std::uint64_t OperatorFrom = 0;
  std::uint64_t OperatorPosition = 0;
  /// How long ago that was the registry's newest, as the owner knows.
  std::int64_t OperatorAgeUs = 0;
  std::vector<DeclaredNotice> Declared;
  std::uint64_t ReplicaFrom = 0;
  std::uint64_t ReplicaPosition = 0;
  std::int64_t ReplicaAgeUs = 0;
  std::vector<RegisteredNotice> Registered;
  /// The registry was out of the owner's reach shortly before.
  bool Unreachable = false;
  MSGPACK_DEFINE(OperatorFrom, OperatorPosition, OperatorAgeUs, Declared,
                 ReplicaFrom, ReplicaPosition, ReplicaAgeUs, Registered,
                 Unreachable)
};

/// Positions in the registry up to which a node knows it; 0 if it does not.
struct RegistryPositions {
  std::uint64_t Operator = 0;
  std::uint64_t Replica = 0;
  MSGPACK_DEFINE(Operator, Replica)
};

/// Node to owner, again and again on `/cell/NAME`.
struct NodeHeartbeat {
  MemberNotice Self;
  /// Own running requests at the cell's replicas, all of them.
  std::vector<RunningNotice> Running;
  std::vector<DemandNotice> Demand;
  std::vector<RefusalNotice> Refusals;
  /// Requests sent since the last beat.
  std::vector<SentNotice> Sent;
  /// Changes of what the node's requests use; in the first beat of a stream all
  /// of it.
  std::vector<UseNotice> Uses;
  /// Only `Sent` and `Uses` mean something: there was no time for the rest.
  bool Brief = false;
  /// Set if the node wants news of the registry.
  RegistryPositions KnownPositions;
  /// What callers ask of the node, a second.
  double RequestsPerSecond = 0;
  double BytesPerSecond = 0;
  /// Requests under which replicas ended, as far as that changed since the last
  /// beat; in the first beat of a stream all of them.
  std::vector<CrashNotice> Crashes;
  /// When it was sent, by the node's own clock; 0 in a brief one.
  std::int64_t SentAtUs = 0;
  MSGPACK_DEFINE(Self, Running, Demand, Refusals, Sent, Uses, Brief,
                 KnownPositions, RequestsPerSecond, BytesPerSecond, Crashes,
                 SentAtUs)
};

struct HeldNotice {
  std::string Weights;
  std::uint64_t Version = 0;
  /// Time until it can serve; 0 if it can.
  std::int64_t ReadyInUs = 0;
  bool Leaving = false;
  MSGPACK_DEFINE(Weights, Version, ReadyInUs, Leaving)
};

/// What one replica holds, or what has changed of that since the owner told it
/// last.
struct ReplicaNotice {
  std::string Replica;
  /// All that it holds.
  bool Complete = false;
  std::vector<HeldNotice> Held;
  /// Weights that it no longer holds.
  std::vector<std::string> Dropped;
  MSGPACK_DEFINE(Replica, Complete, Held, Dropped)
};

/// Owner to node, again and again on `/cell/NAME`.
struct OwnerHeartbeat {
  /// Version of the lease row, and how long the lease lasts.
  std::uint64_t LeaseVersion = 0;
  std::int64_t RemainingUs = 0;
  Epoch Fence = 0;
  /// The owner may give orders now.
  bool Ordering = false;
  /// Replicas whose weights have changed since the last beat.
  std::vector<ReplicaNotice> Replicas;
  /// Requests that other nodes run at each replica.
  std::vector<RunningNotice> Running;
  /// Which nodes serve callers, of each failure domain that the owner knows;
  /// sent when that has changed.
  std::vector<DomainNotice> Entries;
  bool EntriesChanged = false;
  /// Other cells and the text of their lease rows; sent to nodes of the owner's
  /// failure domain when they have changed, so that these need not read them.
  std::vector<std::pair<std::string, std::string>> Leases;
  /// Requests that other nodes sent since the last beat.
  std::vector<SentNotice> Sent;
  RegistryUpdate Update;
  /// Requests under which replicas ended, as far as the node has not been told.
  std::vector<CrashNotice> Crashes;
  /// `SentAtUs` of the node's last beat that the owner has taken, so that the
  /// node knows how long this one may have been on its way; 0 if there is none.
  std::int64_t AnswersUs = 0;
  MSGPACK_DEFINE(LeaseVersion, RemainingUs, Fence, Ordering, Replicas, Running,
                 Entries, EntriesChanged, Leases, Sent, Update, Crashes,
                 AnswersUs)
};

/// What a node tells one that starts while the registry is away, or, without
/// replicas and leases, one that only the registry is out of reach of.
struct BriefingReply {
  /// The plan in force, as operators wrote it; empty if there is none.
  std::string PlanText;
  /// Replicas in use, as they registered: incarnation and text.
  std::vector<std::pair<std::string, std::string>> Replicas;
  /// Versions that operators named, as far as they make a difference.
  std::vector<VersionNotice> Versions;
  /// Cells and the text of their lease rows.
  std::vector<std::pair<std::string, std::string>> Leases;
  /// Positions in the registry that all of this is complete up to; 0 where the
  /// node that tells does not know.
  RegistryPositions KnownPositions;
  /// How long ago that was the registry's newest, as that node knows; 0 if the
  /// reply does not tell of it.
  std::int64_t OperatorAgeUs = 0;
  std::int64_t ReplicaAgeUs = 0;
  /// Requests under which replicas ended.
  std::vector<CrashNotice> Crashes;
  MSGPACK_DEFINE(PlanText, Replicas, Versions, Leases, KnownPositions,
                 OperatorAgeUs, ReplicaAgeUs, Crashes)
};

} // namespace hemlockglade
