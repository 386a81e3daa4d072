#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <vector>

namespace hemlockglade {

/// What is thought of a member, by rising weight at one incarnation.
enum class MemberState : std::uint8_t {
  Alive,
  /// It didn't answer; it may still refute that.
  Suspect,
  /// It was suspect for long. Kept for a while, since a parted region looks
  /// like this too.
  Dead,
  /// It said itself that it is gone.
  Left,
};

/// What nodes tell each other of one node.
struct MemberRecord {
  std::string Name;
  /// Only the node itself raises it; a higher one overrides all that is said
  /// of a lower one.
  std::uint64_t Incarnation = 0;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` for other nodes.
  std::string PeerAddress;
  std::string FailureDomain;
  std::string Region;
  /// Takes no new callers.
  bool Leaving = false;
  MemberState State = MemberState::Alive;
  bool operator==(const MemberRecord &) const = default;
};

/// Who owns a cell; a higher epoch overrides a lower one.
struct CellOwner {
  std::string Cell;
  /// Name of the owning node; empty if it was released.
  std::string Owner;
  Epoch Fence = 0;
  bool operator==(const CellOwner &) const = default;
};

/// What a message between members is for.
enum class MemberMessageKind : std::uint8_t {
  /// Are you there? Also carries rumours without a probe's consequences.
  Ping,
  /// Please ping `Target` for me.
  PingRequest,
  /// Here are the hashes of all I know; send what differs.
  Sync,
  /// Here is what I know of what differed.
  SyncPush,
  /// An answer to any of them.
  Answer,
};

/// One message, either way.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Ping;
  /// Sender and its incarnation.
  std::string From;
  std::uint64_t FromIncarnation = 0;
  /// What the sender thinks of the receiver; 0 if it doesn't know it.
  std::uint64_t SeenIncarnation = 0;
  MemberState SeenState = MemberState::Alive;
  /// Configuration in force at the sender.
  Revision InForce = 0;
  /// Whom to ping, for PingRequest.
  std::string Target;
  std::vector<MemberRecord> Members;
  std::vector<CellOwner> Cells;
  /// For Sync and its answer: a hash for each part of what the sender knows.
  std::vector<std::uint64_t> Hashes;
  /// There was more that differed than fitted.
  bool More = false;
};

/// Bytes that a record or message takes on the wire, at most.
std::size_t wireSize(const MemberRecord &record);
std::size_t wireSize(const CellOwner &cell);
std::size_t wireSize(const MemberMessage &message);

/// Times and limits of the membership.
struct MembershipSettings {
  /// Time between two rounds.
  Span Round = std::chrono::seconds(1);
  /// Time for a direct answer, and then for one through others.
  Span ProbeTimeout = std::chrono::milliseconds(300);
  /// Members that are asked to probe for us.
  std::size_t Helpers = 3;
  /// Rounds between two probes into other regions.
  std::uint64_t CrossRegionEvery = 5;
  /// Rounds between two probes of a dead member.
  std::uint64_t DeadEvery = 5;
  /// Pings a round that only carry rumours, while there are any.
  std::size_t GossipPerRound = 2;
  /// Rounds for which a new revision counts as a rumour.
  std::uint64_t HeadRounds = 4;
  /// Pings a round, from all members together, that tell a suspect of it.
  std::size_t SuspectPings = 4;
  /// Hearsay that one round checks by probes of its own.
  std::size_t VerifyPerRound = 2;
  /// A suspect is dead after this, times the binary logarithm of the number
  /// of members, but not before the minimum.
  Span SuspectTime = std::chrono::seconds(1);
  Span MinSuspectTime = std::chrono::seconds(3);
  /// Dead members are forgotten after this; longer than regions part.
  Span KeepDead = std::chrono::hours(3);
  /// Each rumour is sent this often, times the binary logarithm of the number
  /// of members.
  std::uint32_t RumourFactor = 2;
  /// Rumours in one message, in bytes.
  std::size_t RumourBytes = 900;
  /// Records in all messages of one round together, in bytes. Beyond it
  /// messages go without.
  std::size_t RoundBytes = 10000;
  /// Rounds between two exchanges of everything.
  std::uint64_t SyncEvery = 10;
  /// Time between two messages of one exchange.
  Span SyncPause = std::chrono::milliseconds(400);
  /// Messages of one exchange at most.
  std::uint32_t SyncMessages = 128;
  /// Rounds after the start in which a seed that isn't a member is asked each
  /// time; later it is asked when an exchange is due. So groups of nodes that
  /// started apart find each other.
  std::uint64_t SeedRounds = 30;
  /// Hearsay that waits to be checked, at most.
  std::size_t MaxDoubtful = 64;
  /// Members that are told at once that this node leaves, or of a cell.
  std::size_t LeaveGossip = 6;
  /// Time in which cells that change hands are gathered for one telling.
  Span CellGossipDelay = std::chrono::milliseconds(10);
  /// Records in one message of such an exchange, in bytes.
  std::size_t SyncBytes = 3500;
  /// Members and cells that are kept at most.
  std::size_t MaxMembers = 4096;
  std::size_t MaxCells = 8192;
  /// Members that are asked for their revision each round while an operator
  /// waits.
  std::size_t RevisionAsks = 100;
};

/// What the membership needs from its node.
struct MembershipHooks {
  std::function<Instant()> Now;
  /// Calls back after a delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Asks the node at `ip:port`; no answer is nothing, or no call at all.
  std::function<void(const std::string &address, MemberMessage message,
                     std::function<void(std::optional<MemberMessage>)> done)>
      Ask;
  /// Peer addresses from the host list or the table, for the start.
  std::function<std::vector<std::string>()> Seeds;
  /// Configuration in force here.
  std::function<Revision()> InForce;
  /// A peer has that revision in force.
  std::function<void(Revision, const std::string &peer)> OnRevision;
  /// What is known of a member has changed. From several threads the calls
  /// may come in another order than the changes: find() has the truth.
  std::function<void(const MemberRecord &)> OnMember;
  /// A cell's owner has changed.
  std::function<void(const CellOwner &)> OnCell;
};

} // namespace hemlockglade
