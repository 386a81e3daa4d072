#pragma once

#include "Hemlockglade/Coordination/Crash/ReplicaEndDetector.h"
#include "Hemlockglade/Protocol/Message/CrashMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/State/Routing/ReplicaRecord.h"
#include "Hemlockglade/Transport/Http1/ListenProbe.h"

namespace hemlockglade {

/// A node's part in finding requests that crash replicas: looks at replicas
/// whose connections broke, keeps the book, and tells other nodes through the
/// owners of cells.
class CrashCoordinator {
public:
  struct Hooks {
    /// Whether a process listens at a replica's address.
    std::function<void(const std::string &address,
                       std::function<void(Listening)> done)>
        Probe;
    std::function<void(Span, std::function<void()>)> After;
    /// There is something to tell other nodes.
    std::function<void()> OnUpdate;
    /// A request is barred from now on.
    std::function<void(const RequestKey &key)> OnBarred;
  };

  CrashCoordinator(Hooks hooks, EventLog &log)
      : Out(std::move(hooks)), Log(log) {}

  /// An attempt at a replica broke off.
  void onBroken(const ReplicaRecord &replica, const RequestKey &key,
                Instant sentAt, std::optional<Instant> beganAt);
  /// An attempt was given up while the replica may run it on.
  void onGivenUp(const ReplicaRecord &replica, const RequestKey &key,
                 Instant sentAt, std::optional<Instant> beganAt);
  /// A replica's life is over, as the registry tells, or another one that
  /// answers at its address.
  void onEnded(const ReplicaIncarnation &life);
  /// The registry has it no more.
  void onRemoved(const std::string &id);
  /// A request ran to its end.
  void onServed(const RequestKey &key);
  void onSent(const RequestKey &key);
  /// For how long a request must not be sent, if it is barred.
  std::optional<Span> barredFor(const RequestKey &key) const;
  /// This node's turn, of so many, at trying barred requests.
  void setTrialSlot(std::size_t turn, std::size_t nodes) {
    Book.setTrialSlot(turn, nodes);
  }

  /// What other nodes tell.
  void onPeerRecords(const std::vector<CrashNotice> &told);
  std::uint64_t revision() const { return Book.revision(); }
  std::vector<CrashNotice> since(std::uint64_t number) const;
  /// What has to outlast all nodes, as a word for a row of the table.
  std::string notes() const;
  void onNotes(const std::string &notes);

  std::size_t suspects() const { return Book.suspects(); }
  std::size_t barred() const { return Book.barred(); }
  std::uint64_t ended() const { return Ended; }
  void removeExpired();

private:
  /// Looks whether a process listens at the replica's address.
  void look(const ReplicaRecord &replica, bool again);
  void lookLater(const ReplicaRecord &replica);
  void take(std::string_view replica, const std::vector<SuspectCrash> &ends);
  void takeRecords(const std::vector<CrashRecord> &records,
                   std::string_view from);
  /// Logs what became of a request, and tells if it is barred from now on.
  void note(const RequestKey &key, bool wasBarred, std::string_view from);

  Hooks Out;
  EventLog &Log;
  ReplicaEndDetector Watch;
  CrashTracker Book;
  std::uint64_t Ended = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
