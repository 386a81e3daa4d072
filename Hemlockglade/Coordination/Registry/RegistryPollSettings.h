#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// How often a node looks at the registry, and how long it trusts a look that
/// has not been answered.
///
/// A call can be lost at either end: the registry may swallow it, or its
/// connection may be dead without a sign. So the time until a node knows that a
/// look is lost belongs to each bound that rests on looks. With `forBounds`,
/// what is confirmed is known within its bound though the look that was open
/// then is never answered, and also once the registry answers again.
struct RegistryPollSettings {
  /// Longest wait of one look at operators' declarations.
  Span MaxOperatorWait = std::chrono::milliseconds(1000);
  /// Time between looks at the replicas.
  Span ReplicaPeriod = std::chrono::milliseconds(1000);
  /// Time that the registry may take for an answer, beside a wait; a slow one
  /// is still waited for.
  Span AnswerTimeout = std::chrono::milliseconds(700);
  /// Age of what a node in reserve is told from which on it looks itself: old
  /// enough that the owner must have lost the registry, and early enough for
  /// its own look within the bound.
  Span MaxOperatorAge = std::chrono::milliseconds(3000);
  Span MaxReplicaAge = std::chrono::milliseconds(3000);
  /// Pause after a second look that failed; once something is known, twice as
  /// long after each further one, up to the longest. Calls are priced also
  /// while nobody answers, but a node that knows nothing serves nobody.
  Span RetryPause = std::chrono::milliseconds(300);
  Span MaxRetryPause = std::chrono::milliseconds(800);

  /// The pace that keeps both bounds: on a confirmed plan, and on new work for
  /// a replica that leaves. Neither is looked for more rarely than by default,
  /// but for a wait of up to 2.5 s where the bound on plans allows it.
  static RegistryPollSettings forBounds(Span planBound, Span drainBound);
};

} // namespace hemlockglade
