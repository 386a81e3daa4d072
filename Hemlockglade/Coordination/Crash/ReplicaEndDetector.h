#pragma once

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"
#include "Hemlockglade/State/Routing/ReplicaIncarnation.h"

namespace hemlockglade {

/// An attempt that ended without an answer: it broke off, or its node gave it
/// up while the replica may run it on.
struct BrokenAttempt {
  RequestKey Key;
  ReplicaIncarnation Incarnation;
  std::string FailureDomain;
  Instant SentAt{};
  /// When the first part of the answer came, if any did.
  std::optional<Instant> AnswerBeganAt;
  Instant BrokeAt{};
};

/// A replica's end and a request that may have caused it.
struct SuspectCrash {
  RequestKey Key;
  ReplicaCrash Crash;
};

/// Tells replicas that ended from connections that broke for other reasons,
/// and which of the requests there may be to blame. No clock, no sockets.
class ReplicaEndDetector {
public:
  struct Settings {
    /// A request that had begun longer ago than this is not to blame: one that
    /// crashes a replica does so as it begins to run.
    Span Recent = std::chrono::milliseconds(1000);
    /// How long a broken attempt waits for news of its replica. An entry lapses
    /// after three heartbeats.
    Span Patience = std::chrono::seconds(10);
    std::size_t MaxBroken = 1024;
  };

  ReplicaEndDetector() : ReplicaEndDetector(Settings{}) {}
  explicit ReplicaEndDetector(Settings settings) : Setup(settings) {}

  /// An attempt broke. Gives what is certain already.
  std::vector<SuspectCrash> onBroken(const BrokenAttempt &attempt);
  /// Whether to look if something listens at the replica's address; asked once
  /// for each look.
  bool needsProbe(const ReplicaIncarnation &life);
  /// The replica has ended.
  std::vector<SuspectCrash> onEnded(const ReplicaIncarnation &life,
                                    Instant now);
  /// The registry has the replica no more, whichever of its lives that was.
  std::vector<SuspectCrash> onRemoved(const std::string &id, Instant now);
  /// Something listens at its address. That may be another process, or the
  /// replica may yet end, so the attempts are kept.
  void onListening(const ReplicaIncarnation &life);
  void removeExpired(Instant now);

private:
  struct Doubt {
    std::vector<BrokenAttempt> Attempts;
    bool Looking = false;
  };

  static SuspectCrash endOf(const BrokenAttempt &attempt);

  Settings Setup;
  /// Attempts that broke at replicas of which it is not known whether they
  /// live, by life.
  std::map<std::string, Doubt> Doubts;
  std::size_t Broken = 0;
  /// Lives that have ended lately.
  std::map<std::string, Instant> Ended;
};

} // namespace hemlockglade
