#include "Hemlockglade/Protocol/Message/CrashMessages.h"

namespace hemlockglade {

CrashNotice noticeOf(const CrashRecord &record, bool isPart, Instant now) {
  CrashNotice out{record.Key.text(), {}, -1, isPart};
  for (const auto &it : record.Crashes)
    out.Crashes.push_back(
        {it.Incarnation, (now - it.SentAt).count(), (now - it.EndedAt).count(),
         it.Domain, it.SoundAt > LongAgo ? (now - it.SoundAt).count() : -1});
  if (record.ServedAt)
    out.ServedAgeUs = (now - *record.ServedAt).count();
  return out;
}

std::optional<CrashRecord> recordOf(const CrashNotice &notice, Instant now) {
  auto key = RequestKey::parse(notice.Key);
  if (!key)
    return std::nullopt;
  CrashRecord out{*key, {}, std::nullopt};
  for (const auto &it : notice.Crashes)
    out.Crashes.push_back(
        {it.Incarnation, now - Span(it.SentAgeUs), now - Span(it.EndedAgeUs),
         it.Domain, it.SoundAgeUs < 0 ? LongAgo : now - Span(it.SoundAgeUs)});
  if (notice.ServedAgeUs >= 0)
    out.ServedAt = now - Span(notice.ServedAgeUs);
  return out;
}

} // namespace hemlockglade
