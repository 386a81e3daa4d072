#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

namespace {

// KEY:INCARNATION.SENT.ENDED.DOMAIN,INCARNATION.SENT.ENDED.DOMAIN;KEY:... with
// the tags in hexadecimal. The age of SoundAt may follow a domain. Ages are in
// microseconds, since a retry may follow the end of a replica within less than
// one millisecond.
constexpr char RecordSeparator = ';';
constexpr char CrashSeparator = ',';
constexpr char FieldSeparator = '.';

void appendAge(std::string &out, Instant at, Instant now) {
  auto age = std::max(Span(0), now - at);
  out += FieldSeparator;
  appendNumber(out, static_cast<std::uint64_t>(age.count()), Decimal);
}

std::optional<Instant> takeAge(std::string_view &text, Instant now) {
  constexpr Span MaxAge = std::chrono::hours(240);
  auto age =
      parseNumber<std::int64_t>(takeUntil(text, FieldSeparator), Decimal);
  if (!age || *age < 0 || Span(*age) > MaxAge)
    return std::nullopt;
  return now - Span(*age);
}

std::optional<ReplicaCrash> parseCrash(std::string_view text, Instant now) {
  auto incarnation =
      parseNumber<std::uint64_t>(takeUntil(text, FieldSeparator), Hex);
  auto sent = takeAge(text, now);
  auto ended = takeAge(text, now);
  // Rows written by older versions have no domain.
  auto domain =
      text.empty()
          ? std::optional<std::uint64_t>(0)
          : parseNumber<std::uint64_t>(takeUntil(text, FieldSeparator), Hex);
  auto sound = text.empty() ? std::optional(LongAgo) : takeAge(text, now);
  if (!incarnation || !sent || !ended || !domain || !sound)
    return std::nullopt;
  return ReplicaCrash{*incarnation, *sent, *ended, *domain, *sound};
}

} // namespace

std::string encodeCrashRecords(std::span<const CrashRecord> records,
                               std::size_t maxRecords, Instant now,
                               std::string_view kind) {
  std::vector<const CrashRecord *> newest;
  for (const auto &it : records)
    if (!it.Crashes.empty())
      newest.push_back(&it);
  std::sort(newest.begin(), newest.end(), [](const auto *a, const auto *b) {
    return a->Crashes.back().EndedAt > b->Crashes.back().EndedAt;
  });
  newest.resize(std::min(newest.size(), maxRecords));
  std::string out;
  for (const auto *record : newest) {
    out += kind;
    out += record->Key.text();
    char separator = ':';
    for (const auto &it : record->Crashes) {
      out += std::exchange(separator, CrashSeparator);
      appendNumber(out, it.Incarnation, Hex);
      appendAge(out, it.SentAt, now);
      appendAge(out, it.EndedAt, now);
      out += FieldSeparator;
      appendNumber(out, it.Domain, Hex);
      if (it.SoundAt > LongAgo)
        appendAge(out, it.SoundAt, now);
    }
    out += RecordSeparator;
  }
  return out;
}

std::vector<CrashRecord> decodeCrashRecords(std::string_view text, Instant now,
                                            std::string_view kind) {
  std::vector<CrashRecord> out;
  while (!text.empty()) {
    auto record = takeUntil(text, RecordSeparator);
    auto name = takeUntil(record, ':');
    bool isKind = name.starts_with(kind);
    name.remove_prefix(isKind ? kind.size() : 0);
    auto key = RequestKey::parse(name);
    if (!isKind || !key)
      continue;
    CrashRecord parsed{*key, {}, std::nullopt};
    while (!record.empty())
      if (auto crash = parseCrash(takeUntil(record, CrashSeparator), now))
        parsed.Crashes.push_back(*crash);
    if (!parsed.Crashes.empty())
      out.push_back(std::move(parsed));
  }
  return out;
}

} // namespace hemlockglade
