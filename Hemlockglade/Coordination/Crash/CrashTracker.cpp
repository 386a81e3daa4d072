#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Times in messages are shifted by the time the message takes. A time that is
/// later by less than this counts as the same, so that two nodes don't send it
/// back and forth.
constexpr Span TimeTolerance = std::chrono::seconds(1);

} // namespace

std::size_t CrashTracker::countCrashes(const CrashRecord &record) const {
  std::vector<const ReplicaCrash *> counted;
  for (const auto &it : record.Crashes) {
    // A request that was sent again after a replica ended is counted anew for
    // the next replica that ends, however soon that is.
    auto isSameFailure = [this, &it](const ReplicaCrash *before) {
      return before->Domain == it.Domain && it.SentAt <= before->EndedAt &&
             it.EndedAt - before->EndedAt < Options.SameFailureWindow;
    };
    if (std::none_of(counted.begin(), counted.end(), isSameFailure))
      counted.push_back(&it);
  }
  return counted.size();
}

Instant CrashTracker::lastCrashAt(const CrashRecord &record) {
  return record.Crashes.empty() ? Instant{} : record.Crashes.back().EndedAt;
}

bool CrashTracker::addCrash(CrashRecord &record,
                            const ReplicaCrash &crash) const {
  auto &crashes = record.Crashes;
  bool known =
      (record.ServedAt && crash.EndedAt <= *record.ServedAt) ||
      std::any_of(crashes.begin(), crashes.end(), [&crash](const auto &it) {
        return it.Incarnation == crash.Incarnation;
      });
  if (known || crashes.size() >= Options.MaxCrashes)
    return false;
  auto at = std::upper_bound(
      crashes.begin(), crashes.end(), crash,
      [](const auto &a, const auto &b) { return a.EndedAt < b.EndedAt; });
  crashes.insert(at, crash);
  return true;
}

bool CrashTracker::clearCrashes(CrashRecord &record, Instant servedAt) const {
  auto dropped = std::erase_if(record.Crashes, [servedAt](const auto &it) {
    return it.EndedAt <= servedAt;
  });
  bool changed = dropped > 0 || !record.ServedAt ||
                 servedAt > *record.ServedAt + TimeTolerance;
  if (changed)
    record.ServedAt = std::max(servedAt, record.ServedAt.value_or(servedAt));
  return changed;
}

void CrashTracker::evictIfFull() {
  if (Entries.size() < Options.MaxKeys)
    return;
  // Suspected requests are evicted before barred ones.
  auto rank = [this](const auto &it) {
    return std::pair(countCrashes(it.second.Record) >= Options.CrashLimit,
                     lastCrashAt(it.second.Record));
  };
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(),
      [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

CrashTracker::Entry &CrashTracker::findOrAddEntry(const RequestKey &key) {
  auto it = Entries.find(key);
  if (it == Entries.end()) {
    evictIfFull();
    it = Entries.try_emplace(key).first;
    it->second.Record.Key = key;
  }
  return it->second;
}

bool CrashTracker::onEnd(const RequestKey &key, const ReplicaCrash &crash,
                         Instant now) {
  return merge({key, {crash}, std::nullopt}, now);
}

bool CrashTracker::onServed(const RequestKey &key, Instant now) {
  auto it = Entries.find(key);
  if (it == Entries.end() || it->second.Record.Crashes.empty())
    return false;
  clearCrashes(it->second.Record, now);
  it->second.LastTrialAt.reset();
  it->second.ChangedInRevision = ++Revision;
  return true;
}

bool CrashTracker::merge(const CrashRecord &received, Instant now) {
  auto isRecent = [this, now](const ReplicaCrash &it) {
    return now - it.EndedAt < Options.BarredRetention;
  };
  bool hasRecent =
      std::any_of(received.Crashes.begin(), received.Crashes.end(), isRecent);
  if (!hasRecent && !Entries.contains(received.Key))
    return false;
  auto &entry = findOrAddEntry(received.Key);
  bool changed =
      received.ServedAt && clearCrashes(entry.Record, *received.ServedAt);
  for (const auto &it : received.Crashes)
    if (isRecent(it) && addCrash(entry.Record, it))
      changed = true;
  if (changed)
    entry.ChangedInRevision = ++Revision;
  return changed;
}

void CrashTracker::setTrialSlot(std::size_t slot, std::size_t nodes) {
  TrialSlot = slot;
  NodeCount = std::max<std::size_t>(1, nodes);
}

std::optional<Span> CrashTracker::barredFor(const RequestKey &key,
                                            Instant now) const {
  auto it = Entries.find(key);
  if (it == Entries.end() ||
      countCrashes(it->second.Record) < Options.CrashLimit)
    return std::nullopt;
  auto slots =
      static_cast<std::int64_t>((key.spread() + TrialSlot) % NodeCount);
  auto trialAt =
      lastCrashAt(it->second.Record) + Options.TrialAfter * (1 + slots);
  if (it->second.LastTrialAt)
    trialAt = std::max(trialAt, *it->second.LastTrialAt +
                                    Options.TrialAfter *
                                        static_cast<std::int64_t>(NodeCount));
  if (now >= trialAt)
    return std::nullopt;
  return trialAt - now;
}

void CrashTracker::onSent(const RequestKey &key, Instant now) {
  auto it = Entries.find(key);
  if (it != Entries.end() &&
      countCrashes(it->second.Record) >= Options.CrashLimit)
    it->second.LastTrialAt = now;
}

std::size_t CrashTracker::crashesOf(const RequestKey &key) const {
  auto it = Entries.find(key);
  return it == Entries.end() ? 0 : countCrashes(it->second.Record);
}

std::size_t CrashTracker::suspects() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &it) {
        return !it.second.Record.Crashes.empty();
      }));
}

std::size_t CrashTracker::barred() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [this](const auto &it) {
        return countCrashes(it.second.Record) >= Options.CrashLimit;
      }));
}

std::vector<CrashRecord> CrashTracker::since(std::uint64_t after) const {
  std::vector<CrashRecord> out;
  for (const auto &[key, it] : Entries)
    if (it.ChangedInRevision > after)
      out.push_back(it.Record);
  return out;
}

void CrashTracker::removeExpired(Instant now) {
  std::erase_if(Entries, [this, now](const auto &it) {
    const auto &record = it.second.Record;
    bool isBarred = countCrashes(record) >= Options.CrashLimit;
    auto last =
        std::max(lastCrashAt(record), record.ServedAt.value_or(Instant{}));
    return now - last >=
           (isBarred ? Options.BarredRetention : Options.SuspectRetention);
  });
}

} // namespace hemlockglade
