#include "Hemlockglade/Coordination/Streams/SoftwareHistory.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>
#include <vector>

namespace hemlockglade {

namespace {

// software!SINCE; for the begin of the history, then
// software!SERVICE!VERSION!AGE; with digests in hexadecimal and ages in
// milliseconds.
constexpr std::string_view Kind = "software";
constexpr char FieldSeparator = '!';
constexpr char RecordEnd = ';';

void appendField(std::string &out, std::uint64_t value, int base) {
  out += FieldSeparator;
  appendNumber(out, value, base);
}

void appendAge(std::string &out, Instant at, Instant now) {
  auto age = std::max(Span(0), now - at) / std::chrono::milliseconds(1);
  appendField(out, static_cast<std::uint64_t>(age), Decimal);
}

std::vector<std::string_view> split(std::string_view record) {
  std::vector<std::string_view> out;
  while (true) {
    auto end = record.find(FieldSeparator);
    out.push_back(record.substr(0, end));
    if (end == std::string_view::npos)
      return out;
    record.remove_prefix(end + 1);
  }
}

std::optional<Span> parseAge(std::string_view text) {
  constexpr Span MaxAge = std::chrono::hours(240);
  auto ms = parseNumber<std::uint64_t>(text, Decimal);
  if (!ms ||
      *ms > static_cast<std::uint64_t>(MaxAge / std::chrono::milliseconds(1)))
    return std::nullopt;
  return std::chrono::milliseconds(static_cast<std::int64_t>(*ms));
}

} // namespace

void SoftwareHistory::onSeen(const std::string &service,
                             const std::string &softwareVersion, Instant now) {
  auto version = digestOf(softwareVersion);
  SeenAt[digestOf(service)][version] = now;
  Names.try_emplace(version, softwareVersion);
}

std::optional<std::string>
SoftwareHistory::onlyVersion(const std::string &service, Instant since) const {
  auto it = SeenAt.find(digestOf(service));
  if (KnownSince > since || it == SeenAt.end())
    return std::nullopt;
  std::optional<Digest> only;
  for (const auto &[version, seenAt] : it->second) {
    if (seenAt < since)
      continue;
    if (only)
      return std::nullopt;
    only = version;
  }
  auto name = only ? Names.find(*only) : Names.end();
  return name == Names.end() ? std::nullopt : std::optional(name->second);
}

void SoftwareHistory::removeExpired(Instant now) {
  for (auto &[service, versions] : SeenAt)
    std::erase_if(versions, [this, now](const auto &it) {
      return now - it.second >= Options.Lifetime;
    });
  std::erase_if(SeenAt, [](const auto &it) { return it.second.empty(); });
}

std::string SoftwareHistory::notes(Instant now) const {
  std::string out(Kind);
  appendAge(out, KnownSince, now);
  out += RecordEnd;
  for (const auto &[service, versions] : SeenAt)
    for (const auto &[version, seenAt] : versions) {
      out += Kind;
      appendField(out, service, Hex);
      appendField(out, version, Hex);
      appendAge(out, seenAt, now);
      out += RecordEnd;
    }
  return out;
}

void SoftwareHistory::onNotes(std::string_view notes, Instant now) {
  while (!notes.empty()) {
    auto fields = split(takeUntil(notes, RecordEnd));
    constexpr std::size_t SinceFields = 2;
    constexpr std::size_t VersionFields = 4;
    auto age = fields.front() == Kind ? parseAge(fields.back()) : std::nullopt;
    if (!age)
      continue;
    if (fields.size() == SinceFields)
      KnownSince = std::min(KnownSince, now - *age);
    if (fields.size() != VersionFields)
      continue;
    auto service = parseNumber<std::uint64_t>(fields[1], Hex);
    auto version = parseNumber<std::uint64_t>(fields[2], Hex);
    if (!service || !version)
      continue;
    auto &seenAt =
        SeenAt[*service].try_emplace(*version, now - *age).first->second;
    seenAt = std::max(seenAt, now - *age);
  }
}

} // namespace hemlockglade
