#include "Programs/hemlockgladed/Gateway/CrashCoordinator.h"

#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// Records that a row of the table holds: some 200 bytes each.
constexpr std::size_t MostNotes = 24;
/// Ends from which on a record is worth a place in a row.
constexpr std::size_t NotedEnds = 2;
/// A process that is about to end, or whose listener outlives its connections
/// for a moment, has ended by then.
constexpr Span LookAgainAfter = std::chrono::milliseconds(300);

BrokenAttempt lostNow(const ReplicaRecord &replica, const RequestKey &key,
                      Instant sentAt, std::optional<Instant> beganAt) {
  return {key,     replica.Incarnation, replica.FailureDomain, sentAt,
          beganAt, TimerService::now()};
}

} // namespace

void CrashCoordinator::onBroken(const ReplicaRecord &replica,
                                const RequestKey &key, Instant sentAt,
                                std::optional<Instant> beganAt) {
  take(replica.Incarnation.text(),
       Watch.onBroken(lostNow(replica, key, sentAt, beganAt)));
  if (Watch.needsProbe(replica.Incarnation))
    look(replica, false);
}

void CrashCoordinator::onGivenUp(const ReplicaRecord &replica,
                                 const RequestKey &key, Instant sentAt,
                                 std::optional<Instant> beganAt) {
  take(replica.Incarnation.text(),
       Watch.onBroken(lostNow(replica, key, sentAt, beganAt)));
  if (Watch.needsProbe(replica.Incarnation))
    lookLater(replica);
}

void CrashCoordinator::look(const ReplicaRecord &replica, bool again) {
  Out.Probe(replica.Address,
            [this, alive = Alive, replica, again](Listening how) {
              if (!*alive || how == Listening::Unknown)
                return;
              if (how == Listening::Yes) {
                Watch.onListening(replica.Incarnation);
                if (!again && Watch.needsProbe(replica.Incarnation))
                  lookLater(replica);
                return;
              }
              ++Ended;
              onEnded(replica.Incarnation);
            });
}

void CrashCoordinator::lookLater(const ReplicaRecord &replica) {
  Out.After(LookAgainAfter, [this, alive = Alive, replica] {
    if (*alive)
      look(replica, true);
  });
}

void CrashCoordinator::onEnded(const ReplicaIncarnation &life) {
  take(life.text(), Watch.onEnded(life, TimerService::now()));
}

void CrashCoordinator::onRemoved(const std::string &id) {
  take(id, Watch.onRemoved(id, TimerService::now()));
}

void CrashCoordinator::take(std::string_view replica,
                            const std::vector<SuspectCrash> &ends) {
  auto now = TimerService::now();
  bool news = false;
  for (const auto &it : ends) {
    bool wasBarred = Book.barredFor(it.Key, now).has_value();
    if (!Book.onEnd(it.Key, it.Crash, now))
      continue;
    news = true;
    Log.write(LogClass::State, "ended-under",
              {{"key", it.Key.text()},
               {"replica", replica},
               {"sent_ms_ago", now - it.Crash.SentAt},
               {"ended_ms_ago", now - it.Crash.EndedAt},
               {"suspects", static_cast<std::uint64_t>(ends.size())},
               {"ends", static_cast<std::uint64_t>(Book.crashesOf(it.Key))}});
    note(it.Key, wasBarred, "seen here");
  }
  if (news)
    Out.OnUpdate();
}

void CrashCoordinator::note(const RequestKey &key, bool wasBarred,
                            std::string_view from) {
  auto barred = Book.barredFor(key, TimerService::now());
  if (barred.has_value() == wasBarred)
    return;
  Log.write(LogClass::State, barred ? "request-barred" : "request-let-go",
            {{"key", key.text()},
             {"from", from},
             {"ends", static_cast<std::uint64_t>(Book.crashesOf(key))},
             {"for_ms", barred.value_or(Span(0))}});
  if (barred)
    Out.OnBarred(key);
}

void CrashCoordinator::onServed(const RequestKey &key) {
  auto now = TimerService::now();
  auto ends = Book.crashesOf(key);
  if (!Book.onServed(key, now))
    return;
  Log.write(LogClass::State, "request-cleared",
            {{"key", key.text()},
             {"why", "it ran to its end"},
             {"ends", static_cast<std::uint64_t>(ends)}});
  Out.OnUpdate();
}

void CrashCoordinator::onSent(const RequestKey &key) {
  Book.onSent(key, TimerService::now());
}

std::optional<Span> CrashCoordinator::barredFor(const RequestKey &key) const {
  return Book.barredFor(key, TimerService::now());
}

void CrashCoordinator::takeRecords(const std::vector<CrashRecord> &records,
                                   std::string_view from) {
  auto now = TimerService::now();
  bool news = false;
  for (const auto &it : records) {
    bool wasBarred = Book.barredFor(it.Key, now).has_value();
    if (!Book.merge(it, now))
      continue;
    news = true;
    note(it.Key, wasBarred, from);
  }
  if (news)
    Out.OnUpdate();
}

void CrashCoordinator::onPeerRecords(const std::vector<CrashNotice> &told) {
  auto now = TimerService::now();
  std::vector<CrashRecord> records;
  for (const auto &it : told)
    if (auto record = recordOf(it, now))
      records.push_back(std::move(*record));
  takeRecords(records, "told by a node");
}

std::vector<CrashNotice> CrashCoordinator::since(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<CrashNotice> out;
  for (const auto &it : Book.since(number))
    out.push_back(noticeOf(it, now));
  return out;
}

std::string CrashCoordinator::notes() const {
  auto records = Book.since(0);
  std::erase_if(records, [this](const auto &it) {
    return Book.crashesOf(it.Key) < NotedEnds;
  });
  return encodeCrashRecords(records, MostNotes, TimerService::now());
}

void CrashCoordinator::onNotes(const std::string &notes) {
  takeRecords(decodeCrashRecords(notes, TimerService::now()),
              "kept with a lease");
}

void CrashCoordinator::removeExpired() {
  auto now = TimerService::now();
  Watch.removeExpired(now);
  Book.removeExpired(now);
}

} // namespace hemlockglade
