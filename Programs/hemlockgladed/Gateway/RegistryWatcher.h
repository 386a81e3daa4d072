#pragma once

#include "Hemlockglade/Coordination/Registry/RegistryChangeLog.h"
#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"
#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

/// Where changes to the replicas come from.
struct ReplicaSource {
  /// `registry`, `owner` or `briefing`.
  std::string_view From;
  /// Entries may have lapsed only because the registry could not be reached.
  bool Unreachable = false;
  /// Age of this node's list just before these changes: none of them can have
  /// been missed for longer.
  Span AgeBefore{0};
};

/// Keeps one node's copy of the registry current: long-polls operators'
/// declarations and polls the replicas periodically. A node that receives
/// updates of both from an owner does not poll while these are recent enough.
class RegistryWatcher {
public:
  struct Settings {
    RegistryPollSettings Poll;
    /// How much older than the poll interval the state from an owner's updates
    /// may become before the node polls itself: an owner's heartbeat interval,
    /// 300 ms, and the time that a message takes in both directions.
    Span PeerUpdateSlack = std::chrono::milliseconds(400);
    /// An owner from which no update has come for this long, two heartbeat
    /// intervals, counts as lost.
    Span OwnerTimeout = std::chrono::milliseconds(700);
    /// The same for a standby node: by then it receives another owner's
    /// updates.
    Span StandbyOwnerTimeout = std::chrono::milliseconds(3000);
    /// Minimum delay after a failed poll of a standby node. It requests the
    /// state from other nodes as well, so that few poll while the registry is
    /// unavailable.
    Span MinStandbyRetryDelay = std::chrono::milliseconds(1500);
    /// How long after a failed poll missing entries may have lapsed only
    /// because their heartbeats could not reach the registry.
    Span LapseWindow = std::chrono::milliseconds(4000);
    /// Timeout of `confirm`. An answer of the registry takes some 10 ms.
    Span ConfirmTimeout = std::chrono::milliseconds(250);
    /// Timeout of `confirmReplicas`. An answer of the registry takes some 10
    /// ms.
    Span ReplicaConfirmTimeout = std::chrono::milliseconds(400);
    /// Minimum interval between two polls of `confirmReplicas`: all nodes of a
    /// large deployment may have to confirm at once.
    Span ReplicaConfirmInterval = std::chrono::milliseconds(300);
    /// Minimum interval between two polls of `confirm`, and the age up to which
    /// declarations need none. It bounds the calls that callers with wrong keys
    /// cause.
    Span ConfirmInterval = std::chrono::milliseconds(100);
  };
  struct Hooks {
    /// Called with changed declarations.
    std::function<void(const OperatorChanges &)> OnOperator;
    /// Called with changed replicas and where they come from.
    std::function<void(const ReplicaChanges &, const ReplicaSource &)>
        OnReplicas;
    /// Returns whether this node sends updates to others, so that it has to
    /// poll itself.
    std::function<bool()> InformsPeers;
    /// Returns whether this node is on standby, so that it can leave polling to
    /// others for longer; unset means never.
    std::function<bool()> IsStandby;
    /// Called when there are new changes to send to other nodes.
    std::function<void()> OnUpdate;
  };

  RegistryWatcher(TimerService &timers, RegistryHooks registry,
                  Settings settings, Hooks hooks, EventLog &log);

  /// Starts polling after a delay. What another node has sent by then needs no
  /// poll.
  void start(Span initialDelay);
  /// Returns whether the list of replicas is too old to send requests by it
  /// although the registry may answer; the registry is then polled at once.
  bool refreshReplicasIfOld();
  /// Called with an owner's update, which was sent after `sentAfter`.
  void onPeerUpdate(const RegistryUpdate &update, Instant sentAfter);
  /// Called when another node has sent its whole state, which is complete up
  /// to these positions and was requested at `askedAt`. Updates apply from
  /// there on. A kind of which this node has state already is not changed.
  void onBriefing(const RegistryPositions &peerPositions, Span operatorAge,
                  Span replicasAge, Instant askedAt);
  /// Polls the declarations at once. `done` is called with true when everything
  /// that was declared before this call is known, or with false if the poll
  /// failed or timed out.
  void confirm(std::function<void(bool known)> done);
  /// Calls `done` with true once the list of replicas is confirmed as of
  /// `since` or later, at once if it is already, or with false after a timeout.
  /// The registry is polled for it.
  void confirmReplicas(Instant since, std::function<void(bool known)> done);
  /// Returns the update for a node that has the registry's state up to these
  /// positions. A kind is left out if its changes since then are not kept.
  RegistryUpdate updateSince(const RegistryPositions &known) const;
  /// Returns the positions up to which the state is known; 0 if it is unknown.
  RegistryPositions positions() const;
  /// Whether the last polls of both kinds succeeded.
  bool reachable() const {
    return OperatorPoll.Reachable && ReplicaPoll.Reachable;
  }
  /// Age of the declarations: how long ago they were surely as this node has
  /// them. `replicasAge` is the same for replicas.
  Span operatorAge() const { return TimerService::now() - OperatorCurrentAt; }
  /// Called when another node has sent all declarations that it has, which were
  /// current `age` before `askedAt`, when they were requested.
  void onPeerDeclarations(Span age, Instant askedAt);
  /// Age of the declarations by the registry or by what other nodes sent on
  /// request.
  Span declaredAge() const {
    return TimerService::now() - std::max(OperatorCurrentAt, DeclaredCurrentAt);
  }
  Span replicasAge() const { return TimerService::now() - ReplicasCurrentAt; }

private:
  void pollOperator();
  void pollReplicas();
  void sendReplicaPoll();
  void
  onOperatorPolled(const tl::expected<OperatorChanges, RegistryError> &result);
  void
  onReplicasPolled(const tl::expected<ReplicaChanges, RegistryError> &result);
  /// Returns the changes with the earliest time at which each version can have
  /// been declared.
  OperatorChanges withNotBefore(OperatorChanges changes) const;
  void applyOperator(const OperatorChanges &reported, std::string_view from);
  void applyReplicas(const ReplicaChanges &changes,
                     const ReplicaSource &source);
  /// Polls the replicas for the callers of `confirmReplicas`, unless a poll is
  /// under way or was sent just before.
  void pollToConfirmReplicas();
  /// Calls back everyone for whom the list is confirmed by now.
  void settleReplicaConfirms();
  void applyDeclaredUpdate(const RegistryUpdate &update, Instant now,
                           Instant sentAfter);
  void applyReplicaUpdate(const RegistryUpdate &update, Instant now,
                          Instant sentAfter);
  /// Schedules a poll for the callers of `confirm` that have none yet.
  void scheduleConfirm();
  void pollToConfirm();
  /// Calls back everyone who waits for the poll of this number.
  void finishConfirm(std::uint64_t number, bool known);
  void scheduleOperatorPoll(Span delay);
  void scheduleReplicaPoll(Span delay);
  /// Returns how long the next poll can be put off: the state was current at
  /// `currentAt` and last updated by a peer at `updatedAt`, and is polled once
  /// in `period`. `maxAge` is how old it may become at a standby node.
  Span pollDelay(Instant currentAt, Instant updatedAt, Span period,
                 Span maxAge) const;
  /// Results of the polls of one kind.
  struct PollState {
    std::string_view Name;
    bool Reachable = true;
    Instant FailedAt{LongAgo};
    /// When `Reachable` changed last.
    Instant ChangedAt{LongAgo};
    /// Failures since the last success.
    int Failures = 0;
  };

  void recordResult(PollState &poll, bool succeeded);
  void logDeclared(const OperatorChanges &changes, std::string_view from);
  bool wasUnreachableRecently() const;
  /// Returns the delay of the next poll after a failed one, and increases
  /// `delay` for the one after it.
  Span retryDelay(bool firstFailure, bool hasState, Span &delay) const;
  bool isStandby() const {
    return Callbacks.IsStandby && Callbacks.IsStandby();
  }

  TimerService &Timers;
  RegistryHooks Registry;
  Settings Options;
  Hooks Callbacks;
  EventLog &Log;
  std::optional<std::uint64_t> OperatorPosition;
  std::optional<std::uint64_t> ReplicaPosition;
  RegistryChangeLog ChangeLog{RegistryChangeLog::Settings{}};
  /// Latest time at which the registry's state surely was as this node has it.
  /// Counted from when a request was sent, or from before a message was, so
  /// that no delay on the way makes it later.
  Instant OperatorCurrentAt{LongAgo};
  Instant ReplicasCurrentAt{LongAgo};
  /// When the polls under way were sent, and the maximum wait of the one of
  /// declarations.
  Instant OperatorPolledAt{};
  Span OperatorWait{0};
  Instant ReplicasPolledAt{};
  bool ReplicaPollOpen = false;
  /// The last poll of replicas failed only after a timeout.
  bool ReplicaPollTimedOut = false;
  /// Number of the timer that is due to poll replicas; earlier ones are void.
  std::uint64_t ReplicaPollTimer = 0;
  /// When an owner's update was last received.
  Instant LastUpdateAt{LongAgo};
  /// When an update or another node's whole state was last applied, by kind.
  Instant OperatorUpdateAt{LongAgo};
  Instant ReplicaUpdateAt{LongAgo};
  PollState OperatorPoll{"operator"};
  PollState ReplicaPoll{"replicas"};
  Span OperatorRetryDelay{0};
  Span ReplicaRetryDelay{0};
  /// Latest time at which declarations were as this node has them, by what
  /// another node sent on request.
  Instant DeclaredCurrentAt{LongAgo};
  /// Callbacks that wait for a poll not yet sent, and for the one under way.
  std::vector<std::function<void(bool)>> PendingConfirms;
  std::vector<std::function<void(bool)>> ActiveConfirms;
  /// Who waits for the list of replicas to be confirmed.
  struct ReplicaConfirm {
    std::uint64_t Number = 0;
    Instant Since{};
    std::function<void(bool)> Done;
  };
  std::vector<ReplicaConfirm> ReplicaConfirms;
  std::uint64_t LastReplicaConfirm = 0;
  Instant ReplicaConfirmPolledAt{LongAgo};
  /// Number of the poll under way; 0 if there is none.
  std::uint64_t ConfirmNumber = 0;
  std::uint64_t LastConfirmNumber = 0;
  /// When the last poll for `confirm` was sent.
  Instant ConfirmPolledAt{LongAgo};
  bool ConfirmScheduled = false;
};

} // namespace hemlockglade
