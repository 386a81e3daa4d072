#pragma once

#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"
#include "Hemlockglade/Protocol/Message/CrashMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/State/Routing/ReplicaRecord.h"
#include "Hemlockglade/Transport/Http1/ListenProbe.h"

namespace hemlockglade {

/// A node's part in finding requests, and parts of prompts, that crash
/// replicas: probes replicas whose connections broke, records which requests
/// ran when a replica ended, and sends these records to other nodes through the
/// owners of cells.
class CrashCoordinator {
public:
  struct Hooks {
    /// Probes whether a process listens at a replica's address.
    std::function<void(const std::string &address,
                       std::function<void(Listening)> done)>
        Probe;
    std::function<void(Span, std::function<void()>)> After;
    /// Called when there are new records for other nodes.
    std::function<void()> OnUpdate;
    /// Called when a request, or a part of prompts, becomes barred.
    std::function<void(const RequestKey &key)> OnBarred;
    /// Finds out whether this node can connect to another replica of the
    /// service. If not, its path may have failed rather than the replica. Unset
    /// means that it can.
    std::function<void(const ReplicaRecord &replica,
                       std::function<void(bool reaches)> done)>
        ReachesOther;
    /// Whether this node is cut off from the replica's service; unset means no.
    std::function<bool(const ReplicaRecord &replica)> IsCutOff;
  };

  CrashCoordinator(Hooks hooks, EventLog &log);

  /// Called when an attempt at a replica has broken off.
  void onBroken(const ReplicaRecord &replica, const CrashSubject &subject,
                const AttemptProgress &progress);
  /// Called when an attempt was given up while the replica may still run it.
  void onAbandoned(const ReplicaRecord &replica, const CrashSubject &subject,
                   const AttemptProgress &progress);
  /// Called when an incarnation of a replica has ended, as is known from the
  /// registry or from another incarnation that answers at its address.
  void onEnded(const ReplicaIncarnation &incarnation);
  /// Called when the registry entry of a replica was removed.
  void onRemoved(const std::string &id);
  /// Called when an incarnation that was taken to have ended is registered
  /// again.
  void onReturned(const ReplicaIncarnation &incarnation) {
    Detector.onReturned(incarnation);
  }
  /// Called when a request was served completely.
  void onServed(const CrashSubject &subject);
  /// Called when an answer has gone on for `WentOnAfter`, so that no part of
  /// the prompt crashes replicas.
  void onWentOn(const CrashSubject &subject);
  void onSent(const CrashSubject &subject);
  /// For how long a request must not be sent; nothing if it is not barred.
  std::optional<Span> barredFor(const CrashSubject &subject) const;
  /// Whether one more end would bar a part of the request's prompt.
  bool isSuspect(const CrashSubject &subject) const;
  /// Sets which of `nodes` slots this node uses for trials of barred requests.
  void setTrialSlot(std::size_t slot, std::size_t nodes) {
    Requests.setTrialSlot(slot, nodes);
    Parts.setTrialSlot(slot, nodes);
  }

  /// Merges records that another node has sent.
  void onPeerRecords(const std::vector<CrashNotice> &notices);
  std::uint64_t revision() const { return *Revision; }
  std::vector<CrashNotice> since(std::uint64_t number) const;
  /// Encodes the records that have to survive a restart of all nodes, for a row
  /// of the table.
  std::string notes() const;
  void onNotes(const std::string &notes);

  std::size_t suspects() const { return Requests.suspects(); }
  std::size_t barred() const { return Requests.barred(); }
  std::size_t suspectParts() const { return Parts.suspects(); }
  std::size_t barredParts() const { return Parts.barred(); }
  std::uint64_t ended() const { return Ended; }
  void removeExpired();

private:
  /// Probes whether a process listens at the replica's address; `isRetry` if it
  /// is the second probe.
  void probe(const ReplicaRecord &replica, bool isRetry);
  /// Called when a probe was refused.
  void onRefused(const ReplicaRecord &replica, bool isRetry);
  /// Called when a refused probe shows that the replica has ended.
  void onFoundEnded(const ReplicaRecord &replica);
  void probeLater(const ReplicaRecord &replica);
  void recordEnds(std::string_view replica,
                  const std::vector<SuspectCrash> &ends);
  BrokenAttempt brokenAttempt(const ReplicaRecord &replica,
                              const CrashSubject &subject,
                              const AttemptProgress &progress) const;
  void mergeRecords(CrashTracker &tracker,
                    const std::vector<CrashRecord> &records,
                    std::string_view from);
  /// Adds when this node last saw answers with a part go on.
  void addServed(const RequestKey &part);
  /// Called when records have changed: logs which requests and parts are barred
  /// now or no longer, and informs the other nodes.
  void onChanged(std::string_view from);
  void reportBarring(const CrashTracker &tracker, std::set<RequestKey> &known,
                     std::string_view kind, std::string_view from);

  Hooks Callbacks;
  EventLog &Log;
  ReplicaEndDetector Detector;
  /// Counts the changes of both trackers.
  std::shared_ptr<std::uint64_t> Revision = std::make_shared<std::uint64_t>(0);
  CrashTracker Requests;
  CrashTracker Parts;
  std::set<RequestKey> BarredRequests;
  std::set<RequestKey> BarredParts;
  /// When answers of each service last went on, and those with each part.
  std::map<std::string, Instant, std::less<>> SoundAt;
  std::map<RequestKey, Instant> PartServedAt;
  std::uint64_t Ended = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
