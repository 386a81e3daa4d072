#pragma once

#include "Hemlockglade/Coordination/Crash/CrashSubject.h"
#include "Hemlockglade/Coordination/Crash/CrashTracker.h"
#include "Hemlockglade/State/Routing/ReplicaIncarnation.h"

namespace hemlockglade {

/// An attempt that ended without an answer: its connection broke, or the node
/// abandoned it while the replica may still run it.
struct BrokenAttempt {
  CrashSubject Subject;
  ReplicaIncarnation Incarnation;
  std::string FailureDomain;
  AttemptProgress Progress;
  Instant BrokeAt{};
  /// When an answer of the service last went on before that.
  Instant SoundAt = LongAgo;
};

/// The end of a replica and a request that may have caused it.
struct SuspectCrash {
  CrashSubject Subject;
  ReplicaCrash Crash;
  /// Whether the request as a whole, and the parts of its prompt, are
  /// suspected.
  bool BlamesRequest = true;
  bool BlamesParts = true;
};

/// Distinguishes replicas that ended from connections that broke for other
/// reasons, and returns the requests that may have caused the end.
/// Deterministic: time is passed in, and it does no I/O.
class ReplicaEndDetector {
public:
  struct Settings {
    /// A request whose answer had begun longer ago than this is no suspect: one
    /// that crashes a replica does so as it begins to run.
    Span SuspectWindow = std::chrono::milliseconds(1000);
    /// How long a broken attempt is kept until the end of its replica is known.
    /// Must cover the time until a registry entry expires, which is three
    /// missed heartbeats.
    Span SuspicionTimeout = std::chrono::seconds(10);
    /// Broken attempts that are kept.
    std::size_t MaxBroken = 1024;
  };

  ReplicaEndDetector() : ReplicaEndDetector(Settings{}) {}
  explicit ReplicaEndDetector(Settings settings) : Options(settings) {}

  /// Called when an attempt broke. Returns its crash if the replica is already
  /// known to have ended.
  std::vector<SuspectCrash> onBroken(const BrokenAttempt &attempt);
  /// Returns true if attempts broke at the replica and no probe of its address
  /// is pending; the caller must then probe it for a listener.
  bool needsProbe(const ReplicaIncarnation &incarnation);
  /// Called when the replica has ended. Returns the crashes of the broken
  /// attempts there.
  std::vector<SuspectCrash> onEnded(const ReplicaIncarnation &incarnation,
                                    Instant now);
  /// Called when the replica was removed from the registry; that ends all of
  /// its incarnations.
  std::vector<SuspectCrash> onRemoved(const std::string &id, Instant now);
  /// Called when an incarnation that was taken to have ended is registered
  /// again: its connections that break from now on are no proof of an end.
  void onReturned(const ReplicaIncarnation &incarnation);
  /// Called when the probe found a listener at the replica's address. That may
  /// be another process, or the replica may still end, so the attempts are
  /// kept.
  void onListening(const ReplicaIncarnation &incarnation);
  /// Removes attempts and ended incarnations that are past `SuspicionTimeout`.
  void removeExpired(Instant now);

private:
  struct Suspicion {
    std::vector<BrokenAttempt> Attempts;
    bool ProbePending = false;
  };

  SuspectCrash crashOf(const BrokenAttempt &attempt) const;

  Settings Options;
  /// Broken attempts at replicas that are not known to have ended, by
  /// incarnation.
  std::map<std::string, Suspicion> Suspicions;
  std::size_t BrokenCount = 0;
  /// Incarnations that have ended recently, and when.
  std::map<std::string, Instant> Ended;
};

} // namespace hemlockglade
