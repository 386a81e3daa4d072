#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// Intervals and timeouts of a node's polls of the registry.
///
/// A call can be lost at either end: the registry may drop it, or its
/// connection may be broken without an error. So the timeout of a lost poll is
/// part of each bound that depends on polls. With `forBounds`, a confirmed
/// change is received within its bound even if the poll that was open at that
/// time is never answered, and also once the registry answers again after an
/// outage.
struct RegistryPollSettings {
  /// Maximum wait of one poll of operators' declarations.
  Span MaxOperatorWait = std::chrono::milliseconds(1000);
  /// Interval between polls of the replicas.
  Span ReplicaInterval = std::chrono::milliseconds(1000);
  /// Time that the registry may take for an answer, in addition to a wait; a
  /// later answer is still accepted.
  Span AnswerTimeout = std::chrono::milliseconds(700);
  /// Age of the forwarded data from which a standby node polls the registry
  /// itself: late enough that the owner must have lost the registry, and early
  /// enough for its own poll within the bound.
  Span MaxOperatorAge = std::chrono::milliseconds(3000);
  Span MaxReplicaAge = std::chrono::milliseconds(3000);
  /// Age of the list of replicas from which no request is sent before the
  /// registry has been polled again, unless it does not answer.
  Span MaxUsableAge = std::chrono::milliseconds(3400);
  /// Backoff after the second failed poll; once the node has data, it doubles
  /// after each further failure, up to the maximum. Calls are charged also
  /// while the registry does not answer, but a node without data can't serve
  /// requests.
  Span RetryDelay = std::chrono::milliseconds(300);
  Span MaxRetryDelay = std::chrono::milliseconds(800);

  /// Returns the settings that keep both bounds: on applying a confirmed plan,
  /// and on new work for a draining replica. Neither is polled less often than
  /// by default, except for a wait of up to 2.5 s where the bound on plans
  /// allows it.
  static RegistryPollSettings forBounds(Span planBound, Span drainBound);
};

} // namespace hemlockglade
