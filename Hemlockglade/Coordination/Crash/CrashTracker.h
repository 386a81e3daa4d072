#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/RequestKey.h"

#include <map>
#include <vector>

namespace hemlockglade {

/// A replica ended while it ran a request, or was about to.
struct ReplicaCrash {
  /// Tag of the replica's life.
  std::uint64_t Incarnation = 0;
  Instant SentAt{};
  Instant EndedAt{};
  /// Tag of its failure domain; 0 if unknown.
  std::uint64_t Domain = 0;

  bool operator==(const ReplicaCrash &) const = default;
};

/// What is known of a request that is suspected of crashing replicas.
struct CrashRecord {
  RequestKey Key;
  std::vector<ReplicaCrash> Crashes;
  /// When it was last seen to run to its end. Ends before that were not its
  /// fault: a request that crashes replicas crashes each one.
  std::optional<Instant> ServedAt;
};

/// A replica's life or a failure domain as books and messages name it.
std::uint64_t crashTag(std::string_view text);

/// Which requests crash the replicas that run them, from what all nodes saw.
/// A request under which `CrashLimit` replicas ended is barred: it is sent to
/// no other. Nodes exchange records, in any order and repeatedly, and come to
/// the same verdict. No clock, no sockets.
class CrashTracker {
public:
  struct Settings {
    /// Ends after which a request is barred.
    std::size_t CrashLimit = 3;
    /// Replicas of one failure domain that end within this time are taken to
    /// have ended together, for one reason; that counts as one end of a request
    /// that was sent to several of them before.
    Span SameFailure = std::chrono::milliseconds(100);
    /// How long ends below the limit are remembered.
    Span SuspectFor = std::chrono::minutes(10);
    /// Time after the last end until a barred request is tried once more, as
    /// what runs on the replicas may have been mended.
    Span TrialAfter = std::chrono::minutes(10);
    /// Time after which a barred request that did not come again is forgotten.
    Span ForgetAfter = std::chrono::hours(24);
    std::size_t MaxKeys = 512;
    std::size_t MaxEnds = 8;
  };

  CrashTracker() : CrashTracker(Settings{}) {}
  explicit CrashTracker(Settings settings) : Setup(settings) {}

  /// A replica ended under the request. Whether that was news.
  bool onEnd(const RequestKey &key, const ReplicaCrash &end, Instant now);
  /// The request ran to its end. Whether anything was known against it.
  bool onServed(const RequestKey &key, Instant now);
  /// Another node, or a row that outlived all nodes, tells. Whether that was
  /// news.
  bool merge(const CrashRecord &told, Instant now);

  /// For how long the request must not be sent, if it is barred.
  std::optional<Span> barredFor(const RequestKey &key, Instant now) const;
  /// The request is sent, which is its trial if it was barred.
  void onSent(const RequestKey &key, Instant now);
  /// Nodes take turns with trials: this one's turn of so many.
  void setTrialSlot(std::size_t turn, std::size_t nodes);

  /// Ends that count against the request.
  std::size_t crashesOf(const RequestKey &key) const;
  /// Requests that are suspected or barred, and those that are barred.
  std::size_t suspects() const;
  std::size_t barred() const;

  /// Rises with each change.
  std::uint64_t revision() const { return Number; }
  /// Records that have changed since a number; since 0, all.
  std::vector<CrashRecord> since(std::uint64_t number) const;
  /// Forgets what is past its time.
  void removeExpired(Instant now);

private:
  struct Entry {
    CrashRecord Record;
    /// When a barred request was last tried by this node.
    std::optional<Instant> TriedAt;
    std::uint64_t Changed = 0;
  };

  std::size_t counted(const CrashRecord &record) const;
  static Instant lastEnd(const CrashRecord &record);
  bool addEnd(CrashRecord &record, const ReplicaCrash &end) const;
  bool clear(CrashRecord &record, Instant servedAt) const;
  Entry &entryOf(const RequestKey &key);
  void makeRoom();

  Settings Setup;
  std::map<RequestKey, Entry> Entries;
  std::uint64_t Number = 0;
  std::size_t Turn = 0;
  std::size_t Nodes = 1;
};

} // namespace hemlockglade
