#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <vector>

namespace hemlockglade {

/// State of a member. Of two states at one incarnation the later one in this
/// list overrides the earlier.
enum class MemberState : std::uint8_t {
  Alive,
  /// It answered no probe. It refutes this by raising its incarnation.
  Suspect,
  /// It was suspect for longer than the suspicion timeout. The record is kept
  /// for a while, since a region behind a network partition looks dead too.
  Dead,
  /// It announced that it has stopped.
  Left,
};

/// What nodes send each other about one node.
struct MemberRecord {
  std::string Name;
  /// Raised only by the node itself. A record with a higher incarnation
  /// overrides every record with a lower one.
  std::uint64_t Incarnation = 0;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` for other nodes.
  std::string PeerAddress;
  std::string FailureDomain;
  std::string Region;
  /// Draining: takes no new callers.
  bool Leaving = false;
  MemberState State = MemberState::Alive;
  bool operator==(const MemberRecord &) const = default;
};

/// The owner of a cell; a higher epoch overrides a lower one.
struct CellOwner {
  std::string Cell;
  /// Name of the owning node; empty if the cell was released.
  std::string Owner;
  Epoch Fence = 0;
  bool operator==(const CellOwner &) const = default;
};

/// Purpose of a message between members.
enum class MemberMessageKind : std::uint8_t {
  /// Checks whether the receiver answers. Also used to carry rumours alone; the
  /// receiver then isn't suspected if it doesn't answer.
  Ping,
  /// Asks the receiver to ping `Target` for the sender.
  PingRequest,
  /// Carries hashes of all that the sender has; the answer has the records that
  /// differ.
  Sync,
  /// Carries the sender's records that differed in the answer to its Sync.
  SyncPush,
  /// The answer to any of the others.
  Answer,
};

/// A request or an answer between members.
struct MemberMessage {
  MemberMessageKind Kind = MemberMessageKind::Ping;
  /// Name of the sender.
  std::string From;
  std::uint64_t FromIncarnation = 0;
  /// Incarnation and state that the sender has for the receiver; incarnation 0
  /// if the sender doesn't know it.
  std::uint64_t SeenIncarnation = 0;
  MemberState SeenState = MemberState::Alive;
  /// Revision of the configuration in force at the sender.
  Revision InForce = 0;
  /// Name of the node to ping, for PingRequest.
  std::string Target;
  std::vector<MemberRecord> Members;
  std::vector<CellOwner> Cells;
  /// For Sync and its answer: the sender's hash of each bucket of members, then
  /// of each bucket of cells.
  std::vector<std::uint64_t> Hashes;
  /// Whether more records differed than fitted.
  bool More = false;
};

/// Upper bound of the bytes that a record or message takes on the wire.
std::size_t wireSize(const MemberRecord &record);
std::size_t wireSize(const CellOwner &cell);
std::size_t wireSize(const MemberMessage &message);

/// Intervals, timeouts and limits of the membership protocol.
struct MembershipSettings {
  /// Interval between two rounds.
  Span Round = std::chrono::seconds(1);
  /// Timeout of a direct probe. The indirect probes that follow it get twice
  /// this.
  Span ProbeTimeout = std::chrono::milliseconds(300);
  /// Members that probe on this node's behalf after a direct probe timed out.
  std::size_t IndirectProbes = 3;
  /// Rounds between two probes of members in other regions.
  std::uint64_t CrossRegionInterval = 5;
  /// Rounds between two probes of a dead member.
  std::uint64_t DeadProbeInterval = 5;
  /// Pings per round that only carry rumours, while there are any.
  std::size_t GossipPerRound = 2;
  /// Rounds for which a new revision in force is sent like a rumour.
  std::uint64_t RevisionGossipRounds = 4;
  /// Pings per round, from all members together, that let a suspect know of the
  /// suspicion.
  std::size_t SuspectPings = 4;
  /// Reports of other nodes that one round verifies by a probe of its own.
  std::size_t VerificationsPerRound = 2;
  /// A suspect becomes dead after this times the binary logarithm of the
  /// number of members, but not before `MinSuspectTime`.
  Span SuspectTime = std::chrono::seconds(1);
  Span MinSuspectTime = std::chrono::seconds(3);
  /// Time for which dead members are kept; longer than network partitions
  /// between regions are expected to last.
  Span DeadRetention = std::chrono::hours(3);
  /// Each rumour is sent this many times the binary logarithm of the number of
  /// members.
  std::uint32_t RumourFactor = 2;
  /// Max bytes of rumours in one message.
  std::size_t MaxRumourBytes = 900;
  /// Max bytes of records in all messages of one round together. Once they are
  /// used up, messages are sent without records.
  std::size_t RoundBytes = 10000;
  /// Rounds between two full exchanges with a random member.
  std::uint64_t SyncInterval = 10;
  /// Delay between two messages of one full exchange.
  Span SyncMessageDelay = std::chrono::milliseconds(400);
  /// Max messages of one full exchange.
  std::uint32_t MaxSyncMessages = 128;
  /// Rounds after the start in each of which a sync is sent to a seed that
  /// isn't a live member. Later one is sent when a full exchange is due, or
  /// each round while no other node is live. So groups of nodes that started
  /// separately find each other.
  std::uint64_t SeedRounds = 30;
  /// Max members that wait to be verified.
  std::size_t MaxUnverified = 64;
  /// Members that get a message at once when this node starts or stops taking
  /// callers, stops, or announces a cell's owner.
  std::size_t ImmediateGossip = 6;
  /// Time for which changes of cells' owners are collected before they are sent
  /// together.
  Span CellGossipDelay = std::chrono::milliseconds(10);
  /// Max bytes of records in one message of a full exchange.
  std::size_t MaxSyncBytes = 3500;
  /// Max members and cells in the table.
  std::size_t MaxMembers = 4096;
  std::size_t MaxCells = 8192;
  /// Members that are pinged for their revision in each round while an operator
  /// waits for a revision to be in force everywhere.
  std::size_t RevisionPings = 100;
};

/// Functions that the membership needs from its node.
struct MembershipHooks {
  std::function<Instant()> Now;
  /// Calls the function after the delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Sends the message to the node at `ip:port`. Without an answer, `done` is
  /// called with nothing or not at all.
  std::function<void(const std::string &address, MemberMessage message,
                     std::function<void(std::optional<MemberMessage>)> done)>
      Ask;
  /// Peer addresses from the host list or the table, for finding first members.
  std::function<std::vector<std::string>()> Seeds;
  /// Revision of the configuration in force on this node.
  std::function<Revision()> InForce;
  /// Called when a peer reported the revision that it has in force.
  std::function<void(Revision, const std::string &peer)> OnRevision;
  /// Called when a member's record has changed. With several threads, calls
  /// may be in another order than the changes; find() returns the current
  /// record.
  std::function<void(const MemberRecord &)> OnMember;
  /// Called when a cell's owner has changed.
  std::function<void(const CellOwner &)> OnCell;
};

} // namespace hemlockglade
