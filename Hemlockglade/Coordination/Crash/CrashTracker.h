#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/RequestKey.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hemlockglade {

/// The end of a replica that ran a request or was about to run it.
struct ReplicaCrash {
  /// Digest of the replica's incarnation.
  std::uint64_t Incarnation = 0;
  Instant SentAt{};
  Instant EndedAt{};
  /// Digest of its failure domain; 0 if unknown.
  std::uint64_t Domain = 0;
  /// When an answer of the service last went on before that, as the node knew
  /// that saw the end.
  Instant SoundAt = LongAgo;

  bool operator==(const ReplicaCrash &) const = default;
};

/// The crashes and the last success of a request, or of a part of prompts, that
/// is suspected of crashing replicas.
struct CrashRecord {
  RequestKey Key;
  std::vector<ReplicaCrash> Crashes;
  /// When the request last completed, or an answer with the part last went on.
  /// Crashes before that were not its fault: what crashes replicas crashes
  /// every one.
  std::optional<Instant> ServedAt;
};

/// Finds the requests, or the parts of prompts, that crash the replicas which
/// run them, from the crashes that all nodes report. A request under which
/// `CrashLimit` replicas ended is barred: it is sent to no other replica. Nodes
/// exchange records, in any order and repeatedly, and converge on the same
/// result. Deterministic: time is passed in, and it does no I/O.
class CrashTracker {
public:
  struct Settings {
    /// Crashes after which a request is barred.
    std::size_t CrashLimit = 3;
    /// The same for one that has been served before.
    std::size_t ServedCrashLimit = 3;
    /// Crashes of requests that were sent before the first of them count as one
    /// unless an answer of the service went on in between: while all replicas
    /// are down nothing can be cleared.
    bool NeedsSoundBetween = false;
    /// A crash counts against one barred key only: what ran beside it is not to
    /// blame.
    bool BlamesOne = false;
    /// Replicas of one failure domain that end within this time are taken to
    /// have ended for one common reason. That counts as one crash of a request
    /// that had been sent to several of them before.
    Span SameFailureWindow = std::chrono::milliseconds(100);
    /// How long after its last crash or success a request below the limit is
    /// kept.
    Span SuspectRetention = std::chrono::minutes(10);
    /// Time after the last crash until a barred request is sent once as a
    /// trial, as the software on the replicas may have been fixed.
    Span TrialAfter = std::chrono::minutes(10);
    /// How long after its last crash or success a barred request is kept. Older
    /// crashes are ignored when they are received.
    Span BarredRetention = std::chrono::hours(24);
    /// Requests in the table.
    std::size_t MaxKeys = 512;
    /// Crashes kept for each request.
    std::size_t MaxCrashes = 8;
  };

  CrashTracker() : CrashTracker(Settings{}) {}
  /// `revision` is the counter of changes, which trackers may share.
  explicit CrashTracker(Settings settings,
                        std::shared_ptr<std::uint64_t> revision =
                            std::make_shared<std::uint64_t>(0))
      : Options(settings), Revision(std::move(revision)) {}

  /// Sets the incarnations whose crashes something else is to blame for.
  void setExplained(std::set<std::uint64_t> incarnations);
  /// Returns the incarnations that ended under barred keys.
  std::set<std::uint64_t> endedUnderBarred() const;
  std::set<RequestKey> barredKeys() const;
  /// Whether one more crash may bar the key.
  bool isNearLimit(const RequestKey &key) const;

  /// Called when a replica ended under the request. Returns whether the record
  /// changed.
  bool onEnd(const RequestKey &key, const ReplicaCrash &crash, Instant now);
  /// Called when the request completed. Returns whether it had any crashes.
  bool onServed(const RequestKey &key, Instant now);
  /// Merges a record received from another node or read from the table. Returns
  /// whether the own record changed.
  bool merge(const CrashRecord &received, Instant now);

  /// Time until the request may be sent as a trial, if it is barred.
  std::optional<Span> barredFor(const RequestKey &key, Instant now) const;
  /// Called when the request is sent, which is its trial if it was barred.
  void onSent(const RequestKey &key, Instant now);
  /// Sets the trial slot of this node among `nodes` slots. Nodes run trials of
  /// barred requests one after the other.
  void setTrialSlot(std::size_t slot, std::size_t nodes);

  /// Crashes that count against the request.
  std::size_t crashesOf(const RequestKey &key) const;
  /// Numbers of requests that are suspected or barred, and of those that are
  /// barred.
  std::size_t suspects() const;
  std::size_t barred() const;

  /// Increases with each change.
  std::uint64_t revision() const { return *Revision; }
  /// Returns the records that changed after a revision; after 0, all.
  std::vector<CrashRecord> since(std::uint64_t after) const;
  /// Removes records that are past their retention time.
  void removeExpired(Instant now);

private:
  struct Entry {
    CrashRecord Record;
    /// When this node last sent the barred request as a trial.
    std::optional<Instant> LastTrialAt;
    std::uint64_t ChangedInRevision = 0;
    /// Crashes that count against it, and whether these bar it.
    std::size_t Count = 0;
    bool Barred = false;
  };

  std::size_t countCrashes(const CrashRecord &record,
                           const std::set<std::uint64_t> &explained) const;
  std::size_t limitOf(const CrashRecord &record) const {
    return record.ServedAt ? Options.ServedCrashLimit : Options.CrashLimit;
  }
  /// Updates what counts against each key. Depends on the records only, so that
  /// all nodes come to the same result.
  void updateVerdicts();
  void blameOneByOne();
  static Instant lastCrashAt(const CrashRecord &record);
  bool addCrash(CrashRecord &record, const ReplicaCrash &crash) const;
  bool clearCrashes(CrashRecord &record, Instant servedAt) const;
  Entry &findOrAddEntry(const RequestKey &key);
  void evictIfFull();

  Settings Options;
  std::map<RequestKey, Entry> Entries;
  std::shared_ptr<std::uint64_t> Revision;
  std::set<std::uint64_t> Explained;
  std::size_t TrialSlot = 0;
  std::size_t NodeCount = 1;
};

} // namespace hemlockglade
