#pragma once

#include "Hemlockglade/Coordination/Registry/RegistryChangeLog.h"
#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"
#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

/// Keeps one node up to date with the registry: waits for what operators
/// declare, and looks at the replicas again and again. A node that an owner
/// tells of both does not look itself while what it is told is fresh.
class RegistryWatcher {
public:
  struct Settings {
    RegistryPollSettings Poll;
    /// How much older than the longest time between looks what a node is told
    /// may become before it looks itself: the time between two beats of an
    /// owner, 300 ms, and their way.
    Span PeerUpdateSlack = std::chrono::milliseconds(350);
    /// An owner that has been silent for this long, two beats, tells no more.
    Span OwnerSilence = std::chrono::milliseconds(700);
    /// The same for a node that stands by, which hears another owner then.
    Span StandbySilence = std::chrono::milliseconds(3000);
    /// Least pause after a look that failed, of a node that stands by. It asks
    /// others as well, so that few need to look while the registry is away.
    Span StandbyPause = std::chrono::milliseconds(1500);
    /// A registry that failed this recently may have let entries lapse.
    Span LapseWindow = std::chrono::milliseconds(4000);
    /// How long who wants the newest declarations waits for them: an answer
    /// takes some 10 ms.
    Span ConfirmTimeout = std::chrono::milliseconds(250);
    /// Least time between two looks that are made for that, and age up to which
    /// what is known needs none: it bounds what callers with wrong keys cost.
    Span ConfirmInterval = std::chrono::milliseconds(100);
  };
  struct Hooks {
    std::function<void(const OperatorChanges &)> OnOperator;
    std::function<void(const ReplicaChanges &, bool unreachable)> OnReplicas;
    /// Whether this node tells others, so that it has to look itself.
    std::function<bool()> InformsPeers;
    /// Whether this node serves no callers, so that it can leave looks to
    /// others for longer; never if not set.
    std::function<bool()> StandsBy;
    /// There is something new to tell.
    std::function<void()> OnUpdate;
  };

  RegistryWatcher(TimerService &timers, RegistryHooks registry,
                  Settings settings, Hooks hooks, EventLog &log);

  /// Looks for the first time after a while, unless another node tells all
  /// before.
  void start(Span firstLookAfter);
  /// An owner tells what it saw; it sent that after `sentAfter`.
  void onPeerUpdate(const RegistryUpdate &news, Instant sentAfter);
  /// Another node has told all that it knows, complete up to these positions.
  /// From there on this node goes by news; what it has seen itself holds. The
  /// node that tells was asked at `askedAt`.
  void onBriefed(const RegistryPositions &knows, Span operatorAge,
                 Span replicasAge, Instant askedAt);
  /// Looks at the declarations now, and calls back when all that operators had
  /// declared at the time of the call is known, or can't be had in time.
  void confirm(std::function<void(bool known)> done);
  /// What to tell a node that knows the registry up to these positions.
  RegistryUpdate updateSince(const RegistryPositions &known) const;
  RegistryPositions positions() const;
  /// Whether the last looks of both kinds succeeded.
  bool reachable() const { return OperatorLook.Good && ReplicaLook.Good; }
  /// How long ago declarations, and replicas, were surely as this node knows
  /// them.
  Span operatorAge() const { return TimerService::now() - OperatorSeenAt; }
  /// Another node has told all that it knows of the declarations, which was
  /// the newest so long before it was asked.
  void onDeclared(Span age, Instant askedAt);
  /// How long ago declarations were surely as this node knows them, by the
  /// registry or by what another node told.
  Span declaredAge() const {
    return TimerService::now() - std::max(OperatorSeenAt, DeclaredSeenAt);
  }
  /// What to tell others of that age: time that messages to this node were on
  /// their way never makes it shorter.
  Span confirmedAge() const { return TimerService::now() - OperatorSureAt; }
  Span confirmedDeclaredAge() const {
    return TimerService::now() - std::max(OperatorSureAt, DeclaredSeenAt);
  }
  Span replicasAge() const { return TimerService::now() - ReplicasSeenAt; }

private:
  void lookAtOperator();
  void lookAtReplicas();
  void onOperator(const tl::expected<OperatorChanges, RegistryError> &result);
  void onReplicas(const tl::expected<ReplicaChanges, RegistryError> &result);
  /// What has become known of the declarations, with the earliest time at which
  /// each version can have been named.
  OperatorChanges dated(OperatorChanges changes) const;
  void takeOperator(const OperatorChanges &told, std::string_view from);
  void takeReplicas(const ReplicaChanges &changes, bool unreachable);
  void takeDeclared(const RegistryUpdate &news, Instant now, Instant sentAfter);
  void takeRegistered(const RegistryUpdate &news, Instant now);
  void planConfirm();
  void lookToConfirm();
  /// Those who wait are told, whatever came of it.
  void endConfirm(std::uint64_t number, bool known);
  void planOperator(Span pause);
  void planReplicas(Span pause);
  /// How much longer nothing has to be looked at that was seen then and is
  /// looked at once in the period.
  /// `oldest` is how old it may become for a node that stands by.
  Span spared(Instant seenAt, Instant toldAt, Span period, Span oldest) const;
  /// How looks of one kind have ended lately.
  struct LookState {
    std::string_view Name;
    bool Good = true;
    Instant FailedAt{LongAgo};
    /// Since when all of them failed.
    Instant LostAt{LongAgo};
  };

  void note(LookState &look, bool good);
  void logDeclared(const OperatorChanges &changes, std::string_view from);
  bool unreachableLately() const;
  /// The pause before the next look, after one that failed.
  Span pauseAfter(bool firstFailure, bool knowsSome, Span &pause) const;
  bool standsBy() const { return Out.StandsBy && Out.StandsBy(); }

  TimerService &Timers;
  RegistryHooks Registry;
  Settings Setup;
  Hooks Out;
  EventLog &Log;
  std::optional<std::uint64_t> OperatorPosition;
  std::optional<std::uint64_t> ReplicaPosition;
  RegistryChangeLog Seen{RegistryChangeLog::Settings{}};
  /// When the registry was as this node knows it, at the latest.
  Instant OperatorSeenAt{LongAgo};
  Instant ReplicasSeenAt{LongAgo};
  /// As `OperatorSeenAt`, but counted from when this node asked, so that time
  /// that an answer or a message was on its way never makes it later.
  Instant OperatorSureAt{LongAgo};
  /// When the looks under way were begun, and how long the one at declarations
  /// may wait.
  Instant OperatorAskedAt{};
  Span OperatorWaits{0};
  Instant ReplicasAskedAt{};
  Instant ToldAt{LongAgo};
  /// When news of each kind were last such that this node could follow them.
  Instant OperatorToldAt{LongAgo};
  Instant ReplicasToldAt{LongAgo};
  LookState OperatorLook{"operator"};
  LookState ReplicaLook{"replicas"};
  Span OperatorPause{0};
  Span ReplicaPause{0};
  /// When declarations were as this node knows them, by another node's word.
  Instant DeclaredSeenAt{LongAgo};
  /// Who waits for a look that is yet to be made, and for the one under way.
  std::vector<std::function<void(bool)>> ConfirmNext;
  std::vector<std::function<void(bool)>> Confirming;
  /// Number of the look under way; 0 if there is none.
  std::uint64_t ConfirmNumber = 0;
  std::uint64_t LastConfirm = 0;
  Instant ConfirmedAt{LongAgo};
  bool ConfirmPlanned = false;
};

} // namespace hemlockglade
