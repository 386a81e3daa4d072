#include "Hemlockglade/Coordination/Crash/CrashRowFormat.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace hemlockglade {

namespace {

// KEY:LIFE.SENT.ENDED.DOMAIN,LIFE.SENT.ENDED.DOMAIN;KEY:... with the tags in
// hexadecimal and ages in microseconds, since a repeat may follow an end within
// less than one millisecond.
constexpr char RecordEnd = ';';
constexpr char EndEnd = ',';
constexpr char FieldEnd = '.';
constexpr int Hex = 16;
constexpr int Decimal = 10;

std::string_view takeUntil(std::string_view &text, char mark) {
  auto out = text.substr(0, text.find(mark));
  text.remove_prefix(std::min(text.size(), out.size() + 1));
  return out;
}

template <typename T> std::optional<T> number(std::string_view text, int base) {
  T out{};
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out, base);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return out;
}

void write(std::string &out, std::uint64_t value, int base) {
  constexpr std::size_t Digits = 20;
  char buf[Digits];
  auto end = std::to_chars(std::begin(buf), std::end(buf), value, base).ptr;
  out.append(buf, end);
}

void writeAge(std::string &out, Instant at, Instant now) {
  auto age = std::max(Span(0), now - at);
  out += FieldEnd;
  write(out, static_cast<std::uint64_t>(age.count()), Decimal);
}

std::optional<Instant> readAge(std::string_view &text, Instant now) {
  constexpr Span Most = std::chrono::hours(240);
  auto age = number<std::int64_t>(takeUntil(text, FieldEnd), Decimal);
  if (!age || *age < 0 || Span(*age) > Most)
    return std::nullopt;
  return now - Span(*age);
}

std::optional<ReplicaCrash> readEnd(std::string_view text, Instant now) {
  auto life = number<std::uint64_t>(takeUntil(text, FieldEnd), Hex);
  auto sent = readAge(text, now);
  auto ended = readAge(text, now);
  // Older rows name no domain.
  auto domain = text.empty() ? std::optional<std::uint64_t>(0)
                             : number<std::uint64_t>(text, Hex);
  if (!life || !sent || !ended || !domain)
    return std::nullopt;
  return ReplicaCrash{*life, *sent, *ended, *domain};
}

} // namespace

std::string encodeCrashRecords(std::span<const CrashRecord> records,
                               std::size_t most, Instant now) {
  std::vector<const CrashRecord *> newest;
  for (const auto &it : records)
    if (!it.Crashes.empty())
      newest.push_back(&it);
  std::sort(newest.begin(), newest.end(), [](const auto *a, const auto *b) {
    return a->Crashes.back().EndedAt > b->Crashes.back().EndedAt;
  });
  newest.resize(std::min(newest.size(), most));
  std::string out;
  for (const auto *record : newest) {
    out += record->Key.text();
    char mark = ':';
    for (const auto &it : record->Crashes) {
      out += std::exchange(mark, EndEnd);
      write(out, it.Incarnation, Hex);
      writeAge(out, it.SentAt, now);
      writeAge(out, it.EndedAt, now);
      out += FieldEnd;
      write(out, it.Domain, Hex);
    }
    out += RecordEnd;
  }
  return out;
}

std::vector<CrashRecord> decodeCrashRecords(std::string_view text,
                                            Instant now) {
  std::vector<CrashRecord> out;
  while (!text.empty()) {
    auto record = takeUntil(text, RecordEnd);
    auto key = RequestKey::parse(takeUntil(record, ':'));
    if (!key)
      continue;
    CrashRecord read{*key, {}, std::nullopt};
    while (!record.empty())
      if (auto end = readEnd(takeUntil(record, EndEnd), now))
        read.Crashes.push_back(*end);
    if (!read.Crashes.empty())
      out.push_back(std::move(read));
  }
  return out;
}

} // namespace hemlockglade
