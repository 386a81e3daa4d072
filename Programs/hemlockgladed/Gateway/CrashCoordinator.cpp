#include "Programs/hemlockgladed/Gateway/CrashCoordinator.h"

#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// Records in a row of the table: some 200 bytes each.
constexpr std::size_t MaxNotes = 24;
/// Minimum number of ends for a record to be stored in the row.
constexpr std::size_t MinNotedEnds = 2;
/// Delay of the second probe. A process that is about to end, or whose listener
/// outlives its connections for a moment, has ended by then.
constexpr Span ReprobeDelay = std::chrono::milliseconds(300);

BrokenAttempt brokenAttempt(const ReplicaRecord &replica, const RequestKey &key,
                            Instant sentAt, std::optional<Instant> beganAt) {
  return {key,     replica.Incarnation, replica.FailureDomain, sentAt,
          beganAt, TimerService::now()};
}

} // namespace

void CrashCoordinator::onBroken(const ReplicaRecord &replica,
                                const RequestKey &key, Instant sentAt,
                                std::optional<Instant> beganAt) {
  recordEnds(replica.Incarnation.text(),
             Detector.onBroken(brokenAttempt(replica, key, sentAt, beganAt)));
  if (Detector.needsProbe(replica.Incarnation))
    probe(replica, false);
}

void CrashCoordinator::onAbandoned(const ReplicaRecord &replica,
                                   const RequestKey &key, Instant sentAt,
                                   std::optional<Instant> beganAt) {
  recordEnds(replica.Incarnation.text(),
             Detector.onBroken(brokenAttempt(replica, key, sentAt, beganAt)));
  if (Detector.needsProbe(replica.Incarnation))
    probeLater(replica);
}

void CrashCoordinator::probe(const ReplicaRecord &replica, bool isRetry) {
  Callbacks.Probe(replica.Address,
                  [this, alive = Alive, replica, isRetry](Listening result) {
                    if (!*alive || result == Listening::Unknown)
                      return;
                    if (result == Listening::No)
                      return onRefused(replica, isRetry);
                    Detector.onListening(replica.Incarnation);
                    if (!isRetry && Detector.needsProbe(replica.Incarnation))
                      probeLater(replica);
                  });
}

void CrashCoordinator::onRefused(const ReplicaRecord &replica, bool isRetry) {
  // By the second probe it is known whether the node is cut off from all.
  if (isRetry) {
    if (!Callbacks.IsCutOff || !Callbacks.IsCutOff(replica))
      onFoundEnded(replica);
    return;
  }
  if (!Callbacks.ReachesOther)
    return onFoundEnded(replica);
  Callbacks.ReachesOther(replica, [this, alive = Alive, replica](bool reaches) {
    if (!*alive)
      return;
    if (reaches)
      onFoundEnded(replica);
    else
      probeLater(replica);
  });
}

void CrashCoordinator::onFoundEnded(const ReplicaRecord &replica) {
  ++Ended;
  onEnded(replica.Incarnation);
}

void CrashCoordinator::probeLater(const ReplicaRecord &replica) {
  Callbacks.After(ReprobeDelay, [this, alive = Alive, replica] {
    if (*alive)
      probe(replica, true);
  });
}

void CrashCoordinator::onEnded(const ReplicaIncarnation &incarnation) {
  recordEnds(incarnation.text(),
             Detector.onEnded(incarnation, TimerService::now()));
}

void CrashCoordinator::onRemoved(const std::string &id) {
  recordEnds(id, Detector.onRemoved(id, TimerService::now()));
}

void CrashCoordinator::recordEnds(std::string_view replica,
                                  const std::vector<SuspectCrash> &ends) {
  auto now = TimerService::now();
  bool changed = false;
  for (const auto &it : ends) {
    bool wasBarred = Tracker.barredFor(it.Key, now).has_value();
    if (!Tracker.onEnd(it.Key, it.Crash, now))
      continue;
    changed = true;
    Log.write(
        LogClass::State, "ended-under",
        {{"key", it.Key.text()},
         {"replica", replica},
         {"sent_ms_ago", now - it.Crash.SentAt},
         {"ended_ms_ago", now - it.Crash.EndedAt},
         {"suspects", static_cast<std::uint64_t>(ends.size())},
         {"ends", static_cast<std::uint64_t>(Tracker.crashesOf(it.Key))}});
    reportBarring(it.Key, wasBarred, "seen here");
  }
  if (changed)
    Callbacks.OnUpdate();
}

void CrashCoordinator::reportBarring(const RequestKey &key, bool wasBarred,
                                     std::string_view from) {
  auto barred = Tracker.barredFor(key, TimerService::now());
  if (barred.has_value() == wasBarred)
    return;
  Log.write(LogClass::State, barred ? "request-barred" : "request-let-go",
            {{"key", key.text()},
             {"from", from},
             {"ends", static_cast<std::uint64_t>(Tracker.crashesOf(key))},
             {"for_ms", barred.value_or(Span(0))}});
  if (barred)
    Callbacks.OnBarred(key);
}

void CrashCoordinator::onServed(const RequestKey &key) {
  auto now = TimerService::now();
  auto ends = Tracker.crashesOf(key);
  if (!Tracker.onServed(key, now))
    return;
  Log.write(LogClass::State, "request-cleared",
            {{"key", key.text()},
             {"why", "it ran to its end"},
             {"ends", static_cast<std::uint64_t>(ends)}});
  Callbacks.OnUpdate();
}

void CrashCoordinator::onSent(const RequestKey &key) {
  Tracker.onSent(key, TimerService::now());
}

std::optional<Span> CrashCoordinator::barredFor(const RequestKey &key) const {
  return Tracker.barredFor(key, TimerService::now());
}

void CrashCoordinator::mergeRecords(const std::vector<CrashRecord> &records,
                                    std::string_view from) {
  auto now = TimerService::now();
  bool changed = false;
  for (const auto &it : records) {
    bool wasBarred = Tracker.barredFor(it.Key, now).has_value();
    if (!Tracker.merge(it, now))
      continue;
    changed = true;
    reportBarring(it.Key, wasBarred, from);
  }
  if (changed)
    Callbacks.OnUpdate();
}

void CrashCoordinator::onPeerRecords(const std::vector<CrashNotice> &notices) {
  auto now = TimerService::now();
  std::vector<CrashRecord> records;
  for (const auto &it : notices)
    if (auto record = recordOf(it, now))
      records.push_back(std::move(*record));
  mergeRecords(records, "told by a node");
}

std::vector<CrashNotice> CrashCoordinator::since(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<CrashNotice> out;
  for (const auto &it : Tracker.since(number))
    out.push_back(noticeOf(it, now));
  return out;
}

std::string CrashCoordinator::notes() const {
  auto records = Tracker.since(0);
  std::erase_if(records, [this](const auto &it) {
    return Tracker.crashesOf(it.Key) < MinNotedEnds;
  });
  return encodeCrashRecords(records, MaxNotes, TimerService::now());
}

void CrashCoordinator::onNotes(const std::string &notes) {
  mergeRecords(decodeCrashRecords(notes, TimerService::now()),
               "kept with a lease");
}

void CrashCoordinator::removeExpired() {
  auto now = TimerService::now();
  Detector.removeExpired(now);
  Tracker.removeExpired(now);
}

} // namespace hemlockglade
