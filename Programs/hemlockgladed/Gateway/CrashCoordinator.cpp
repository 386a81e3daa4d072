#include "Programs/hemlockgladed/Gateway/CrashCoordinator.h"

#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Records in a row of the table: some 200 bytes each.
constexpr std::size_t MaxNotes = 24;
/// The same for parts of prompts, of which fewer are suspected for long.
constexpr std::size_t MaxPartNotes = 8;
constexpr std::string_view PartNotes = "part!";
/// Minimum number of ends for a record to be stored in the row.
constexpr std::size_t MinNotedEnds = 2;
/// Parts of prompts for which it is known when they were last served.
constexpr std::size_t MaxServedParts = 4096;
/// Delay of the second probe. A process that is about to end, or whose listener
/// outlives its connections for a moment, has ended by then.
constexpr Span ReprobeDelay = std::chrono::milliseconds(300);

CrashTracker::Settings partSettings() {
  CrashTracker::Settings out;
  // Ends under a part that many requests share are common while replicas end
  // for other reasons; one that has been served is hardly to blame.
  out.ServedCrashLimit = 5;
  out.NeedsSoundBetween = true;
  out.BlamesOne = true;
  out.MaxKeys = 1024;
  return out;
}

} // namespace

CrashCoordinator::CrashCoordinator(Hooks hooks, EventLog &log)
    : Callbacks(std::move(hooks)), Log(log),
      Requests(CrashTracker::Settings{}, Revision),
      Parts(partSettings(), Revision) {}

BrokenAttempt
CrashCoordinator::brokenAttempt(const ReplicaRecord &replica,
                                const CrashSubject &subject,
                                const AttemptProgress &progress) const {
  auto sound = SoundAt.find(subject.Service);
  return {subject,
          replica.Incarnation,
          replica.FailureDomain,
          progress,
          TimerService::now(),
          sound == SoundAt.end() ? LongAgo : sound->second};
}

void CrashCoordinator::onBroken(const ReplicaRecord &replica,
                                const CrashSubject &subject,
                                const AttemptProgress &progress) {
  recordEnds(replica.Incarnation.text(),
             Detector.onBroken(brokenAttempt(replica, subject, progress)));
  if (Detector.needsProbe(replica.Incarnation))
    probe(replica, false);
}

void CrashCoordinator::onAbandoned(const ReplicaRecord &replica,
                                   const CrashSubject &subject,
                                   const AttemptProgress &progress) {
  recordEnds(replica.Incarnation.text(),
             Detector.onBroken(brokenAttempt(replica, subject, progress)));
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
  auto log = [&](std::string_view event, const RequestKey &key,
                 const ReplicaCrash &crash, std::size_t n) {
    Log.write(LogClass::State, event,
              {{"key", key.text()},
               {"replica", replica},
               {"sent_ms_ago", now - crash.SentAt},
               {"ended_ms_ago", now - crash.EndedAt},
               {"suspects", static_cast<std::uint64_t>(ends.size())},
               {"ends", static_cast<std::uint64_t>(n)}});
  };
  bool changed = false;
  for (const auto &it : ends) {
    // A request counts by itself only: others run on after a pause in between.
    auto crash = it.Crash;
    crash.SoundAt = LongAgo;
    if (it.BlamesRequest && Requests.onEnd(it.Subject.Request, crash, now)) {
      changed = true;
      log("ended-under", it.Subject.Request, crash,
          Requests.crashesOf(it.Subject.Request));
    }
    if (!it.BlamesParts)
      continue;
    for (const auto &part : it.Subject.Parts) {
      if (!Parts.onEnd(part, it.Crash, now))
        continue;
      changed = true;
      addServed(part);
      log("ended-under-part", part, it.Crash, Parts.crashesOf(part));
    }
  }
  if (changed)
    onChanged("seen here");
}

void CrashCoordinator::addServed(const RequestKey &part) {
  auto it = PartServedAt.find(part);
  if (it != PartServedAt.end())
    Parts.merge({part, {}, it->second}, TimerService::now());
}

void CrashCoordinator::onChanged(std::string_view from) {
  // What ended under a barred part counts against no request beside it.
  Requests.setExplained(Parts.endedUnderBarred());
  reportBarring(Requests, BarredRequests, "request", from);
  reportBarring(Parts, BarredParts, "part", from);
  Callbacks.OnUpdate();
}

void CrashCoordinator::reportBarring(const CrashTracker &tracker,
                                     std::set<RequestKey> &known,
                                     std::string_view kind,
                                     std::string_view from) {
  auto barred = tracker.barredKeys();
  auto before = std::exchange(known, barred);
  auto log = [&](const RequestKey &key, bool isBarred) {
    auto remaining = tracker.barredFor(key, TimerService::now());
    Log.write(LogClass::State,
              std::string(kind) + (isBarred ? "-barred" : "-let-go"),
              {{"key", key.text()},
               {"from", from},
               {"ends", static_cast<std::uint64_t>(tracker.crashesOf(key))},
               {"for_ms", remaining.value_or(Span(0))}});
  };
  for (const auto &it : before)
    if (!barred.contains(it))
      log(it, false);
  for (const auto &it : barred) {
    if (before.contains(it))
      continue;
    log(it, true);
    Callbacks.OnBarred(it);
  }
}

void CrashCoordinator::onServed(const CrashSubject &subject) {
  onWentOn(subject);
  auto ends = Requests.crashesOf(subject.Request);
  if (!Requests.onServed(subject.Request, TimerService::now()))
    return;
  Log.write(LogClass::State, "request-cleared",
            {{"key", subject.Request.text()},
             {"why", "it ran to its end"},
             {"ends", static_cast<std::uint64_t>(ends)}});
  onChanged("seen here");
}

void CrashCoordinator::onWentOn(const CrashSubject &subject) {
  auto now = TimerService::now();
  SoundAt[subject.Service] = now;
  bool changed = false;
  for (const auto &part : subject.Parts) {
    if (PartServedAt.size() >= MaxServedParts && !PartServedAt.contains(part))
      PartServedAt.erase(std::min_element(
          PartServedAt.begin(), PartServedAt.end(),
          [](const auto &a, const auto &b) { return a.second < b.second; }));
    PartServedAt[part] = now;
    auto ends = Parts.crashesOf(part);
    if (!Parts.onServed(part, now))
      continue;
    changed = true;
    Log.write(
        LogClass::State, "part-cleared",
        {{"key", part.text()}, {"ends", static_cast<std::uint64_t>(ends)}});
  }
  if (changed)
    onChanged("seen here");
}

void CrashCoordinator::onSent(const CrashSubject &subject) {
  auto now = TimerService::now();
  Requests.onSent(subject.Request, now);
  for (const auto &it : subject.Parts)
    Parts.onSent(it, now);
}

std::optional<Span>
CrashCoordinator::barredFor(const CrashSubject &subject) const {
  auto now = TimerService::now();
  auto out = Requests.barredFor(subject.Request, now);
  for (const auto &it : subject.Parts)
    if (auto barred = Parts.barredFor(it, now))
      out = std::max(out.value_or(Span(0)), *barred);
  return out;
}

bool CrashCoordinator::isSuspect(const CrashSubject &subject) const {
  return std::any_of(subject.Parts.begin(), subject.Parts.end(),
                     [this](const auto &it) { return Parts.isNearLimit(it); });
}

void CrashCoordinator::mergeRecords(CrashTracker &tracker,
                                    const std::vector<CrashRecord> &records,
                                    std::string_view from) {
  auto now = TimerService::now();
  bool changed = false;
  for (const auto &it : records) {
    if (!tracker.merge(it, now))
      continue;
    changed = true;
    if (&tracker == &Parts && !it.Crashes.empty())
      addServed(it.Key);
  }
  if (changed)
    onChanged(from);
}

void CrashCoordinator::onPeerRecords(const std::vector<CrashNotice> &notices) {
  auto now = TimerService::now();
  std::vector<CrashRecord> requests;
  std::vector<CrashRecord> parts;
  for (const auto &it : notices)
    if (auto record = recordOf(it, now))
      (it.IsPart ? parts : requests).push_back(std::move(*record));
  mergeRecords(Requests, requests, "told by a node");
  mergeRecords(Parts, parts, "told by a node");
}

std::vector<CrashNotice> CrashCoordinator::since(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<CrashNotice> out;
  for (const auto &it : Requests.since(number))
    out.push_back(noticeOf(it, false, now));
  for (const auto &it : Parts.since(number))
    out.push_back(noticeOf(it, true, now));
  return out;
}

std::string CrashCoordinator::notes() const {
  auto noted = [](const CrashTracker &tracker) {
    auto out = tracker.since(0);
    std::erase_if(out, [&tracker](const auto &it) {
      return tracker.crashesOf(it.Key) < MinNotedEnds;
    });
    return out;
  };
  auto now = TimerService::now();
  return encodeCrashRecords(noted(Requests), MaxNotes, now) +
         encodeCrashRecords(noted(Parts), MaxPartNotes, now, PartNotes);
}

void CrashCoordinator::onNotes(const std::string &notes) {
  auto now = TimerService::now();
  mergeRecords(Requests, decodeCrashRecords(notes, now), "kept with a lease");
  mergeRecords(Parts, decodeCrashRecords(notes, now, PartNotes),
               "kept with a lease");
}

void CrashCoordinator::removeExpired() {
  auto now = TimerService::now();
  Detector.removeExpired(now);
  Requests.removeExpired(now);
  Parts.removeExpired(now);
}

} // namespace hemlockglade
