#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <algorithm>
#include <xxhash.h>

namespace hemlockglade {

namespace {

/// Messages shift a told time by their travel. A time that is later by less
/// than this is the same one, so that two nodes don't tell it back and forth.
constexpr Span Travel = std::chrono::seconds(1);

} // namespace

std::uint64_t crashTag(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::size_t CrashTracker::counted(const CrashRecord &record) const {
  std::vector<const ReplicaCrash *> counted;
  for (const auto &it : record.Crashes) {
    // A request that was sent again after an end was there for the next one
    // anew, however soon that came.
    auto explains = [this, &it](const ReplicaCrash *before) {
      return before->Domain == it.Domain && it.SentAt <= before->EndedAt &&
             it.EndedAt - before->EndedAt < Setup.SameFailure;
    };
    if (std::none_of(counted.begin(), counted.end(), explains))
      counted.push_back(&it);
  }
  return counted.size();
}

Instant CrashTracker::lastEnd(const CrashRecord &record) {
  return record.Crashes.empty() ? Instant{} : record.Crashes.back().EndedAt;
}

bool CrashTracker::addEnd(CrashRecord &record, const ReplicaCrash &end) const {
  auto &ends = record.Crashes;
  bool known = (record.ServedAt && end.EndedAt <= *record.ServedAt) ||
               std::any_of(ends.begin(), ends.end(), [&end](const auto &it) {
                 return it.Incarnation == end.Incarnation;
               });
  if (known || ends.size() >= Setup.MaxEnds)
    return false;
  auto at = std::upper_bound(
      ends.begin(), ends.end(), end,
      [](const auto &a, const auto &b) { return a.EndedAt < b.EndedAt; });
  ends.insert(at, end);
  return true;
}

bool CrashTracker::clear(CrashRecord &record, Instant servedAt) const {
  auto dropped = std::erase_if(record.Crashes, [servedAt](const auto &it) {
    return it.EndedAt <= servedAt;
  });
  bool isNews =
      dropped > 0 || !record.ServedAt || servedAt > *record.ServedAt + Travel;
  if (isNews)
    record.ServedAt = std::max(servedAt, record.ServedAt.value_or(servedAt));
  return isNews;
}

void CrashTracker::makeRoom() {
  if (Entries.size() < Setup.MaxKeys)
    return;
  // What is barred outlasts what is only suspected.
  auto rank = [this](const auto &it) {
    return std::pair(counted(it.second.Record) >= Setup.CrashLimit,
                     lastEnd(it.second.Record));
  };
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(),
      [&rank](const auto &a, const auto &b) { return rank(a) < rank(b); }));
}

CrashTracker::Entry &CrashTracker::entryOf(const RequestKey &key) {
  auto it = Entries.find(key);
  if (it == Entries.end()) {
    makeRoom();
    it = Entries.try_emplace(key).first;
    it->second.Record.Key = key;
  }
  return it->second;
}

bool CrashTracker::onEnd(const RequestKey &key, const ReplicaCrash &end,
                         Instant now) {
  return merge({key, {end}, std::nullopt}, now);
}

bool CrashTracker::onServed(const RequestKey &key, Instant now) {
  auto it = Entries.find(key);
  if (it == Entries.end() || it->second.Record.Crashes.empty())
    return false;
  clear(it->second.Record, now);
  it->second.TriedAt.reset();
  it->second.Changed = ++Number;
  return true;
}

bool CrashTracker::merge(const CrashRecord &told, Instant now) {
  auto fresh = [this, now](const ReplicaCrash &it) {
    return now - it.EndedAt < Setup.ForgetAfter;
  };
  bool any = std::any_of(told.Crashes.begin(), told.Crashes.end(), fresh);
  if (!any && !Entries.contains(told.Key))
    return false;
  auto &entry = entryOf(told.Key);
  bool isNews = told.ServedAt && clear(entry.Record, *told.ServedAt);
  for (const auto &it : told.Crashes)
    if (fresh(it) && addEnd(entry.Record, it))
      isNews = true;
  if (isNews)
    entry.Changed = ++Number;
  return isNews;
}

void CrashTracker::setTrialSlot(std::size_t turn, std::size_t nodes) {
  Turn = turn;
  Nodes = std::max<std::size_t>(1, nodes);
}

std::optional<Span> CrashTracker::barredFor(const RequestKey &key,
                                            Instant now) const {
  auto it = Entries.find(key);
  if (it == Entries.end() || counted(it->second.Record) < Setup.CrashLimit)
    return std::nullopt;
  auto turns = static_cast<std::int64_t>((key.spread() + Turn) % Nodes);
  auto trialAt = lastEnd(it->second.Record) + Setup.TrialAfter * (1 + turns);
  if (it->second.TriedAt)
    trialAt = std::max(trialAt,
                       *it->second.TriedAt +
                           Setup.TrialAfter * static_cast<std::int64_t>(Nodes));
  if (now >= trialAt)
    return std::nullopt;
  return trialAt - now;
}

void CrashTracker::onSent(const RequestKey &key, Instant now) {
  auto it = Entries.find(key);
  if (it != Entries.end() && counted(it->second.Record) >= Setup.CrashLimit)
    it->second.TriedAt = now;
}

std::size_t CrashTracker::crashesOf(const RequestKey &key) const {
  auto it = Entries.find(key);
  return it == Entries.end() ? 0 : counted(it->second.Record);
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
        return counted(it.second.Record) >= Setup.CrashLimit;
      }));
}

std::vector<CrashRecord> CrashTracker::since(std::uint64_t number) const {
  std::vector<CrashRecord> out;
  for (const auto &[key, it] : Entries)
    if (it.Changed > number)
      out.push_back(it.Record);
  return out;
}

void CrashTracker::removeExpired(Instant now) {
  std::erase_if(Entries, [this, now](const auto &it) {
    const auto &record = it.second.Record;
    bool barred = counted(record) >= Setup.CrashLimit;
    auto last = std::max(lastEnd(record), record.ServedAt.value_or(Instant{}));
    return now - last >= (barred ? Setup.ForgetAfter : Setup.SuspectFor);
  });
}

} // namespace hemlockglade
