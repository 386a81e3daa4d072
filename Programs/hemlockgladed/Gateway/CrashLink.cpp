#include "Programs/hemlockgladed/Gateway/CrashLink.h"

#include "Hemlockglade/Coordination/Crash/CrashNotes.h"
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
  return {key,    replica.Life, replica.FailureDomain,
          sentAt, beganAt,      TimerService::now()};
}

} // namespace

void CrashLink::onBroken(const ReplicaRecord &replica, const RequestKey &key,
                         Instant sentAt, std::optional<Instant> beganAt) {
  take(replica.Life.text(),
       Watch.onBroken(lostNow(replica, key, sentAt, beganAt)));
  if (Watch.wantsLook(replica.Life))
    look(replica, false);
}

void CrashLink::onGivenUp(const ReplicaRecord &replica, const RequestKey &key,
                          Instant sentAt, std::optional<Instant> beganAt) {
  take(replica.Life.text(),
       Watch.onBroken(lostNow(replica, key, sentAt, beganAt)));
  if (Watch.wantsLook(replica.Life))
    lookLater(replica);
}

void CrashLink::look(const ReplicaRecord &replica, bool again) {
  Out.Probe(replica.Address,
            [this, alive = Alive, replica, again](Listening how) {
              if (!*alive || how == Listening::Unknown)
                return;
              if (how == Listening::Yes) {
                Watch.onListening(replica.Life);
                if (!again && Watch.wantsLook(replica.Life))
                  lookLater(replica);
                return;
              }
              ++Ended;
              onEnded(replica.Life);
            });
}

void CrashLink::lookLater(const ReplicaRecord &replica) {
  Out.After(LookAgainAfter, [this, alive = Alive, replica] {
    if (*alive)
      look(replica, true);
  });
}

void CrashLink::onEnded(const ReplicaLife &life) {
  take(life.text(), Watch.onEnded(life, TimerService::now()));
}

void CrashLink::onGone(const std::string &id) {
  take(id, Watch.onGone(id, TimerService::now()));
}

void CrashLink::take(std::string_view replica,
                     const std::vector<SuspectEnd> &ends) {
  auto now = TimerService::now();
  bool news = false;
  for (const auto &it : ends) {
    bool wasBarred = Book.barredFor(it.Key, now).has_value();
    if (!Book.onEnd(it.Key, it.End, now))
      continue;
    news = true;
    Log.write(LogClass::State, "ended-under",
              {{"key", it.Key.text()},
               {"replica", replica},
               {"sent_ms_ago", now - it.End.SentAt},
               {"ended_ms_ago", now - it.End.EndedAt},
               {"suspects", static_cast<std::uint64_t>(ends.size())},
               {"ends", static_cast<std::uint64_t>(Book.endsOf(it.Key))}});
    note(it.Key, wasBarred, "seen here");
  }
  if (news)
    Out.OnNews();
}

void CrashLink::note(const RequestKey &key, bool wasBarred,
                     std::string_view from) {
  auto barred = Book.barredFor(key, TimerService::now());
  if (barred.has_value() == wasBarred)
    return;
  Log.write(LogClass::State, barred ? "request-barred" : "request-let-go",
            {{"key", key.text()},
             {"from", from},
             {"ends", static_cast<std::uint64_t>(Book.endsOf(key))},
             {"for_ms", barred.value_or(Span(0))}});
  if (barred)
    Out.OnBarred(key);
}

void CrashLink::onServed(const RequestKey &key) {
  auto now = TimerService::now();
  auto ends = Book.endsOf(key);
  if (!Book.onServed(key, now))
    return;
  Log.write(LogClass::State, "request-cleared",
            {{"key", key.text()},
             {"why", "it ran to its end"},
             {"ends", static_cast<std::uint64_t>(ends)}});
  Out.OnNews();
}

void CrashLink::onSent(const RequestKey &key) {
  Book.onSent(key, TimerService::now());
}

std::optional<Span> CrashLink::barredFor(const RequestKey &key) const {
  return Book.barredFor(key, TimerService::now());
}

void CrashLink::takeRecords(const std::vector<CrashRecord> &records,
                            std::string_view from) {
  auto now = TimerService::now();
  bool news = false;
  for (const auto &it : records) {
    bool wasBarred = Book.barredFor(it.Key, now).has_value();
    if (!Book.onTold(it, now))
      continue;
    news = true;
    note(it.Key, wasBarred, from);
  }
  if (news)
    Out.OnNews();
}

void CrashLink::onTold(const std::vector<CrashNotice> &told) {
  auto now = TimerService::now();
  std::vector<CrashRecord> records;
  for (const auto &it : told)
    if (auto record = recordOf(it, now))
      records.push_back(std::move(*record));
  takeRecords(records, "told by a node");
}

std::vector<CrashNotice> CrashLink::since(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<CrashNotice> out;
  for (const auto &it : Book.since(number))
    out.push_back(noticeOf(it, now));
  return out;
}

std::string CrashLink::notes() const {
  auto records = Book.since(0);
  std::erase_if(records, [this](const auto &it) {
    return Book.endsOf(it.Key) < NotedEnds;
  });
  return writeCrashNotes(records, MostNotes, TimerService::now());
}

void CrashLink::onNotes(const std::string &notes) {
  takeRecords(readCrashNotes(notes, TimerService::now()), "kept with a lease");
}

void CrashLink::tidy() {
  auto now = TimerService::now();
  Watch.tidy(now);
  Book.tidy(now);
}

} // namespace hemlockglade
