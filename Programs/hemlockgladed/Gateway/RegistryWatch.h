#pragma once

#include "Hemlockglade/Coordination/Registry/Registry.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

/// Keeps one node up to date with the registry: waits for what operators
/// declare, and looks at the replicas again and again.
class RegistryWatch {
public:
  struct Settings {
    /// Longest wait of one look at operators' declarations. A connection that
    /// has gone silent is noticed after this and the call's time-out.
    Span OperatorWait = std::chrono::milliseconds(2500);
    /// Longest time between looks at the replicas: half of the usual bound on
    /// new work for one that leaves, 2 s. A shorter bound shortens it.
    Span ReplicaPeriod = std::chrono::milliseconds(1000);
    /// Pause after a look that failed; once something is known, twice as long
    /// after each further one, up to the longest. Calls are priced also while
    /// nobody answers, but a node that knows nothing serves nobody.
    Span Pause = std::chrono::milliseconds(300);
    Span LongestPause = std::chrono::milliseconds(1000);
    /// A registry that failed this recently may have let entries lapse.
    Span LapseWindow = std::chrono::milliseconds(4000);
  };
  struct Hooks {
    std::function<void(const OperatorChanges &)> OnOperator;
    std::function<void(const ReplicaChanges &, bool unreachable)> OnReplicas;
  };

  RegistryWatch(TimerService &timers, RegistryHooks registry, Settings settings,
                Hooks hooks, EventLog &log);

  void start();
  /// Whether the last look succeeded.
  bool reachable() const { return Reachable; }

private:
  void lookAtOperator();
  void lookAtReplicas();
  void onOperator(const tl::expected<OperatorChanges, RegistryError> &result);
  void onReplicas(const tl::expected<ReplicaChanges, RegistryError> &result);
  void note(bool good, std::string_view what);
  bool unreachableLately() const;
  static void again(Span &pause, Span longest) {
    pause = std::min(longest, pause * 2);
  }

  TimerService &Timers;
  RegistryHooks Registry;
  Settings Setup;
  Hooks Out;
  EventLog &Log;
  std::optional<std::uint64_t> OperatorPosition;
  std::optional<std::uint64_t> ReplicaPosition;
  bool Reachable = true;
  Instant FailedAt{-3'600'000'000};
  Span OperatorPause{0};
  Span ReplicaPause{0};
};

} // namespace hemlockglade
