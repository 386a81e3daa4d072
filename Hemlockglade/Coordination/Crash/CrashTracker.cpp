#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Times in messages are shifted by the time the message takes. A time that is
/// later by less than this counts as the same, so that two nodes don't send it
/// back and forth.
constexpr Span TimeTolerance = std::chrono::seconds(1);

} // namespace

std::size_t
CrashTracker::countCrashes(const CrashRecord &record,
                           const std::set<std::uint64_t> &explained) const {
  std::vector<const ReplicaCrash *> counted;
  for (const auto &it : record.Crashes) {
    if (explained.contains(it.Incarnation))
      continue;
    // A request that was sent again after a replica ended is counted anew for
    // the next replica that ends, however soon that is.
    auto isSameFailure = [this, &it](const ReplicaCrash *before) {
      if (it.SentAt > before->EndedAt)
        return false;
      if (Options.NeedsSoundBetween && it.SoundAt <= before->EndedAt)
        return true;
      return before->Domain == it.Domain &&
             it.EndedAt - before->EndedAt < Options.SameFailureWindow;
    };
    if (std::none_of(counted.begin(), counted.end(), isSameFailure))
      counted.push_back(&it);
  }
  return counted.size();
}

void CrashTracker::updateVerdicts() {
  if (Options.BlamesOne)
    return blameOneByOne();
  for (auto &[key, it] : Entries) {
    it.Count = countCrashes(it.Record, Explained);
    it.Barred = it.Count >= limitOf(it.Record);
  }
}

void CrashTracker::blameOneByOne() {
  auto explained = Explained;
  for (auto &[key, it] : Entries)
    it.Barred = false;
  while (true) {
    Entry *worst = nullptr;
    for (auto &[key, it] : Entries) {
      if (it.Barred)
        continue;
      it.Count = countCrashes(it.Record, explained);
      if (it.Count < limitOf(it.Record))
        continue;
      auto rankOf = [](const Entry &entry) {
        return std::pair(entry.Count, !entry.Record.ServedAt);
      };
      if (!worst || rankOf(it) > rankOf(*worst))
        worst = &it;
    }
    if (!worst)
      return;
    worst->Barred = true;
    for (const auto &it : worst->Record.Crashes)
      explained.insert(it.Incarnation);
  }
}

void CrashTracker::setExplained(std::set<std::uint64_t> incarnations) {
  if (Explained == incarnations)
    return;
  Explained = std::move(incarnations);
  updateVerdicts();
}

std::set<std::uint64_t> CrashTracker::endedUnderBarred() const {
  std::set<std::uint64_t> out;
  for (const auto &[key, entry] : Entries)
    if (entry.Barred)
      for (const auto &it : entry.Record.Crashes)
        out.insert(it.Incarnation);
  return out;
}

std::set<RequestKey> CrashTracker::barredKeys() const {
  std::set<RequestKey> out;
  for (const auto &[key, it] : Entries)
    if (it.Barred)
      out.insert(key);
  return out;
}

bool CrashTracker::isNearLimit(const RequestKey &key) const {
  auto it = Entries.find(key);
  // Also ends that count as one yet.
  return it != Entries.end() && !it->second.Record.Crashes.empty() &&
         it->second.Record.Crashes.size() + 1 >= limitOf(it->second.Record);
}

Instant CrashTracker::lastCrashAt(const CrashRecord &record) {
  return record.Crashes.empty() ? Instant{} : record.Crashes.back().EndedAt;
}

bool CrashTracker::addCrash(CrashRecord &record,
                            const ReplicaCrash &crash) const {
  auto &crashes = record.Crashes;
  auto known =
      std::find_if(crashes.begin(), crashes.end(), [&crash](const auto &it) {
        return it.Incarnation == crash.Incarnation;
      });
  if (known != crashes.end()) {
    bool isNews = crash.SoundAt > known->SoundAt + TimeTolerance;
    known->SoundAt = std::max(known->SoundAt, crash.SoundAt);
    return isNews;
  }
  bool isCleared = record.ServedAt && crash.EndedAt <= *record.ServedAt;
  if (isCleared || crashes.size() >= Options.MaxCrashes)
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
  auto rank = [](const auto &it) {
    return std::pair(it.second.Barred, lastCrashAt(it.second.Record));
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
  it->second.ChangedInRevision = ++*Revision;
  updateVerdicts();
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
  if (changed) {
    entry.ChangedInRevision = ++*Revision;
    updateVerdicts();
  }
  return changed;
}

void CrashTracker::setTrialSlot(std::size_t slot, std::size_t nodes) {
  TrialSlot = slot;
  NodeCount = std::max<std::size_t>(1, nodes);
}

std::optional<Span> CrashTracker::barredFor(const RequestKey &key,
                                            Instant now) const {
  auto it = Entries.find(key);
  if (it == Entries.end() || !it->second.Barred)
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
  if (it != Entries.end() && it->second.Barred)
    it->second.LastTrialAt = now;
}

std::size_t CrashTracker::crashesOf(const RequestKey &key) const {
  auto it = Entries.find(key);
  return it == Entries.end() ? 0 : it->second.Count;
}

std::size_t CrashTracker::suspects() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [](const auto &it) {
        return !it.second.Record.Crashes.empty();
      }));
}

std::size_t CrashTracker::barred() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &it) { return it.second.Barred; }));
}

std::vector<CrashRecord> CrashTracker::since(std::uint64_t after) const {
  std::vector<CrashRecord> out;
  for (const auto &[key, it] : Entries)
    if (it.ChangedInRevision > after)
      out.push_back(it.Record);
  return out;
}

void CrashTracker::removeExpired(Instant now) {
  auto removed = std::erase_if(Entries, [this, now](const auto &it) {
    const auto &record = it.second.Record;
    bool isBarred = it.second.Barred;
    auto last =
        std::max(lastCrashAt(record), record.ServedAt.value_or(Instant{}));
    return now - last >=
           (isBarred ? Options.BarredRetention : Options.SuspectRetention);
  });
  if (removed > 0)
    updateVerdicts();
}

} // namespace hemlockglade
