#pragma once

#include "Hemlockglade/Protocol/Message/CrashMessages.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

namespace peer_path {
/// A node follows a cell's owner: it sends its part of the load and receives
/// what the replicas hold. The cell's name follows the path.
inline constexpr std::string_view Cell = "/cell/";
/// A starting node requests from another what that one knows. The version of
/// the plan that it has, or 0, follows the path.
inline constexpr std::string_view Briefing = "/briefing/";
/// A node requests from another who owns the cells.
inline constexpr std::string_view Leases = "/leases";
/// A node that gets no answer from the registry requests from another what
/// operators have declared since. The version of the plan that it has follows
/// the path.
inline constexpr std::string_view Declared = "/declared/";
/// An entry requests its part of workspaces' limits from a cell's owner. The
/// cell's name follows the path.
inline constexpr std::string_view Quota = "/quota/";
} // namespace peer_path

/// A node's description of itself.
struct MemberNotice {
  std::string Node;
  /// Identifies the node's process; each start of the node has another one.
  std::string Incarnation;
  /// `ip:port` for callers.
  std::string CallerAddress;
  std::string FailureDomain;
  /// The node takes callers: it has a plan and replicas and is not stopping.
  bool Ready = false;
  /// Capacity of its host that the node may use.
  double Cores = 1;
  double LinkMbps = 1000;
  /// The node serves callers, or may have to at any moment, and must be sent at
  /// once what replicas hold and what others send to them.
  bool Active = false;
  MSGPACK_DEFINE(Node, Incarnation, CallerAddress, FailureDomain, Ready, Cores,
                 LinkMbps, Active)
};

/// A node's connectivity to replicas.
struct ReachNotice {
  /// `ip:port` where it forwards requests of other nodes.
  std::string RelayAddress;
  /// Services that it has received data from lately, and those none of whose
  /// replicas it can connect to. Those in neither are not known.
  std::vector<std::string> Reached;
  std::vector<std::string> CutOff;
  MSGPACK_DEFINE(RelayAddress, Reached, CutOff)

  bool operator==(const ReachNotice &) const = default;
};

/// A node in service.
struct EntryNotice {
  std::string Node;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` where it forwards requests of other nodes.
  std::string RelayAddress;
  /// Services that it is cut off from.
  std::vector<std::string> CutOff;
  MSGPACK_DEFINE(Node, CallerAddress, RelayAddress, CutOff)
};

/// The nodes in service of one failure domain.
struct DomainNotice {
  std::string FailureDomain;
  std::vector<EntryNotice> Entries;
  MSGPACK_DEFINE(FailureDomain, Entries)
};

/// Requests for weights that arrived at a node since its last heartbeat.
struct DemandNotice {
  std::string Service;
  std::string Weights;
  std::uint32_t Requests = 0;
  /// Some are waiting now.
  bool Waiting = false;
  /// Some wait because the engines that have the weights are full.
  bool Congested = false;
  /// Greatest number of replicas holding the weights that waiting requests must
  /// not use.
  std::uint32_t Unusable = 0;
  /// Number of requests that were reported as waiting.
  std::uint32_t WaitingRequests = 0;
  MSGPACK_DEFINE(Service, Weights, Requests, Waiting, Congested, Unusable,
                 WaitingRequests)
};

/// A replica refused a request for weights that it should have had.
struct RefusalNotice {
  std::string Replica;
  std::string Weights;
  /// The replica does not have them at all; otherwise it does not have them
  /// yet.
  bool Missing = false;
  MSGPACK_DEFINE(Replica, Weights, Missing)
};

struct RunningNotice {
  std::string Replica;
  std::uint32_t Running = 0;
  MSGPACK_DEFINE(Replica, Running)
};

/// A request was sent to a replica, with this many tokens of a prompt to
/// prefill.
struct SentNotice {
  std::string Replica;
  std::uint32_t Tokens = 0;
  MSGPACK_DEFINE(Replica, Tokens)
};

/// A replica states a limit, or that it has none any more.
struct LimitNotice {
  std::string Replica;
  /// Requests a second that it accepts from all nodes together; 0 if it has no
  /// limit any more.
  double PerSecond = 0;
  std::int64_t AgeUs = 0;
  MSGPACK_DEFINE(Replica, PerSecond, AgeUs)
};

/// The replicas of a service state how many rejections a second they bear.
struct RejectionNotice {
  /// Digest of the service's name.
  std::uint64_t Service = 0;
  /// 0 if they bear any number.
  double PerSecond = 0;
  std::int64_t AgeUs = 0;
  MSGPACK_DEFINE(Service, PerSecond, AgeUs)
};

/// A replica has asked a node to send it nothing for a time.
struct PauseNotice {
  std::string Replica;
  std::int64_t RemainingUs = 0;
  MSGPACK_DEFINE(Replica, RemainingUs)
};

/// A node's samples of a replica's speed since its last heartbeat.
struct SpeedNotice {
  std::string Replica;
  std::uint32_t Samples = 0;
  /// Time that the replica takes relative to its service.
  double Factor = 1;
  MSGPACK_DEFINE(Replica, Samples, Factor)
};

/// A replica's speed factor, merged from all nodes' samples.
struct MergedSpeedNotice {
  std::string Replica;
  double Factor = 1;
  /// How long ago the owner received the last sample.
  std::int64_t AgeUs = 0;
  MSGPACK_DEFINE(Replica, Factor, AgeUs)
};

/// Change in the number of a node's requests that use weights at a replica.
struct UseNotice {
  std::string Replica;
  std::string Weights;
  std::int32_t Change = 0;
  MSGPACK_DEFINE(Replica, Weights, Change)
};

/// A version of weights that operators have declared.
struct VersionNotice {
  std::string Weights;
  std::uint64_t Version = 0;
  /// How long ago it was declared, at most; a day if the sender does not state
  /// it.
  std::int64_t AgeUs = Span(std::chrono::hours(24)).count();
  MSGPACK_DEFINE(Weights, Version, AgeUs)
};

/// Declarations of operators that one poll of the registry returned.
struct DeclaredNotice {
  /// The plan's source text; empty if it did not change.
  std::string PlanText;
  std::vector<VersionNotice> Versions;
  MSGPACK_DEFINE(PlanText, Versions)
};

/// Replicas that changed in one poll of the registry.
struct RegisteredNotice {
  /// Incarnation and text of the entry as it is registered.
  std::vector<std::pair<std::string, std::string>> Present;
  std::vector<std::string> Removed;
  /// Position of the registry at which this is how the replicas were; 0 from a
  /// node of an earlier release.
  std::uint64_t Position = 0;
  MSGPACK_DEFINE(Present, Removed, Position)
};

/// Registry changes that an owner has received, for a node that need not poll
/// the registry then.
struct RegistryUpdate {
  /// Complete from `OperatorFrom` up to `OperatorPosition`; 0 if there is
  /// nothing to send.
  std::uint64_t OperatorFrom = 0;
  std::uint64_t OperatorPosition = 0;
  /// How long ago `OperatorPosition` was the registry's newest, as far as the
  /// owner knows.
  std::int64_t OperatorAgeUs = 0;
  std::vector<DeclaredNotice> Declared;
  std::uint64_t ReplicaFrom = 0;
  std::uint64_t ReplicaPosition = 0;
  std::int64_t ReplicaAgeUs = 0;
  std::vector<RegisteredNotice> Registered;
  /// The owner could not reach the registry shortly before.
  bool Unreachable = false;
  MSGPACK_DEFINE(OperatorFrom, OperatorPosition, OperatorAgeUs, Declared,
                 ReplicaFrom, ReplicaPosition, ReplicaAgeUs, Registered,
                 Unreachable)
};

/// Positions in the registry up to which a node has all changes; 0 if it does
/// not know.
struct RegistryPositions {
  std::uint64_t Operator = 0;
  std::uint64_t Replica = 0;
  MSGPACK_DEFINE(Operator, Replica)
};

/// Node to owner, sent repeatedly on `/cell/NAME`.
struct NodeHeartbeat {
  MemberNotice Self;
  /// The node's own requests that run at the cell's replicas, all of them.
  std::vector<RunningNotice> Running;
  std::vector<DemandNotice> Demand;
  std::vector<RefusalNotice> Refusals;
  /// Requests sent since the last heartbeat.
  std::vector<SentNotice> Sent;
  /// Changes of what the node's requests use; all that they use in the first
  /// heartbeat of a stream.
  std::vector<UseNotice> Uses;
  /// Only `Sent` and `Uses` are set: a brief notice, sent between two regular
  /// ones.
  bool Brief = false;
  /// Set if the node is to receive registry updates.
  RegistryPositions KnownPositions;
  /// The load from callers on the node, a second.
  double RequestsPerSecond = 0;
  double BytesPerSecond = 0;
  /// Requests under which replicas ended, as far as that changed since the last
  /// heartbeat; all of them in the first heartbeat of a stream.
  std::vector<CrashNotice> Crashes;
  /// When it was sent, by the node's own clock; 0 in a brief one.
  std::int64_t SentAtUs = 0;
  /// Limits of the cell's replicas, as far as they changed since the last
  /// heartbeat; all of them in the first heartbeat of a stream.
  std::vector<LimitNotice> Limits;
  /// The node's connectivity, if it changed since the last heartbeat and in the
  /// first one of a stream; else empty.
  std::vector<ReachNotice> Reach;
  /// Limits on rejections of all services, as `Limits`.
  std::vector<RejectionNotice> Rejections;
  /// Replicas of the cell that have asked the node for a pause, all of them.
  std::vector<PauseNotice> Pauses;
  /// Replicas of the cell that have said in an answer that they leave, as
  /// `Limits`.
  std::vector<std::string> Leaving;
  /// Samples of the speed of the cell's replicas.
  std::vector<SpeedNotice> Speeds;
  MSGPACK_DEFINE(Self, Running, Demand, Refusals, Sent, Uses, Brief,
                 KnownPositions, RequestsPerSecond, BytesPerSecond, Crashes,
                 SentAtUs, Limits, Reach, Rejections, Pauses, Leaving, Speeds)
};

struct HeldNotice {
  std::string Weights;
  std::uint64_t Version = 0;
  /// Time until the weights can serve; 0 if they can.
  std::int64_t ReadyInUs = 0;
  bool Evicting = false;
  MSGPACK_DEFINE(Weights, Version, ReadyInUs, Evicting)
};

/// What one replica holds, or what has changed of that since the owner last
/// sent it.
struct ReplicaNotice {
  std::string Replica;
  /// `Held` is all that the replica holds, not only changes.
  bool Complete = false;
  std::vector<HeldNotice> Held;
  /// Weights that it no longer holds.
  std::vector<std::string> Dropped;
  MSGPACK_DEFINE(Replica, Complete, Held, Dropped)
};

/// Owner to node, sent repeatedly on `/cell/NAME`.
struct OwnerHeartbeat {
  /// Version of the lease row, and how long the lease still lasts.
  std::uint64_t LeaseVersion = 0;
  std::int64_t RemainingUs = 0;
  Epoch Fence = 0;
  /// The owner may give orders now.
  bool Ordering = false;
  /// Replicas whose weights have changed since the last heartbeat.
  std::vector<ReplicaNotice> Replicas;
  /// Requests that other nodes run at each replica.
  std::vector<RunningNotice> Running;
  /// The nodes in service of each failure domain that the owner knows; sent
  /// when that has changed.
  std::vector<DomainNotice> Entries;
  bool EntriesChanged = false;
  /// Other cells and the text of their lease rows; sent to nodes of the owner's
  /// failure domain when they have changed, so that these need not read them.
  std::vector<std::pair<std::string, std::string>> Leases;
  /// Requests that other nodes have sent since the last heartbeat.
  std::vector<SentNotice> Sent;
  RegistryUpdate Update;
  /// Requests under which replicas ended, as far as the node has not been sent
  /// them.
  std::vector<CrashNotice> Crashes;
  /// `SentAtUs` of the node's last heartbeat that the owner has received, which
  /// bounds how long this one may have been in transit; 0 if there is none.
  std::int64_t EchoedSentAtUs = 0;
  /// Limits of the cell's replicas, as far as the node has not been sent them.
  std::vector<LimitNotice> Limits;
  /// How long before this message was sent the owner had received the heartbeat
  /// that it echoes.
  std::int64_t EchoHeldUs = 0;
  /// Limits on rejections of all services, as far as the node has not been sent
  /// them.
  std::vector<RejectionNotice> Rejections;
  /// Replicas of the cell that have said in an answer that they leave, as far
  /// as the node has not been sent them.
  std::vector<std::string> Leaving;
  /// Speed factors of the cell's replicas that have changed by more than a
  /// tenth since the node was last sent them.
  std::vector<MergedSpeedNotice> Speeds;
  MSGPACK_DEFINE(LeaseVersion, RemainingUs, Fence, Ordering, Replicas, Running,
                 Entries, EntriesChanged, Leases, Sent, Update, Crashes,
                 EchoedSentAtUs, Limits, EchoHeldUs, Rejections, Leaving,
                 Speeds)
};

/// Reply to a node that starts while the registry is unreachable, or, without
/// replicas and leases, to one that alone can't reach the registry.
struct BriefingReply {
  /// Source text of the plan in force; empty if there is none.
  std::string PlanText;
  /// Replicas in use as they registered: incarnation and text.
  std::vector<std::pair<std::string, std::string>> Replicas;
  /// Versions that operators have declared, as far as they make a difference.
  std::vector<VersionNotice> Versions;
  /// Cells and the text of their lease rows.
  std::vector<std::pair<std::string, std::string>> Leases;
  /// Positions in the registry up to which all of this is complete; 0 where the
  /// sender does not know.
  RegistryPositions KnownPositions;
  /// How long ago these positions were the registry's newest, as far as the
  /// sender knows; 0 if the reply does not state it.
  std::int64_t OperatorAgeUs = 0;
  std::int64_t ReplicaAgeUs = 0;
  /// Requests under which replicas ended.
  std::vector<CrashNotice> Crashes;
  /// Which software versions have served lately, and which limits on rejections
  /// replicas state, as in the notes of a lease row.
  std::string Notes;
  MSGPACK_DEFINE(PlanText, Replicas, Versions, Leases, KnownPositions,
                 OperatorAgeUs, ReplicaAgeUs, Crashes, Notes)
};

} // namespace hemlockglade
