#include "Hemlockglade/Coordination/Streams/SoftwareHistory.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace hemlockglade {

namespace {

// software!known!SINCE!POSITION!; for the known time, then
// software!SERVICE!VERSION!AGE; with digests in hexadecimal and ages in
// milliseconds. Nodes of earlier releases skip the first one, whose number of
// fields they don't know.
constexpr std::string_view Kind = "software";
constexpr std::string_view KnownKind = "known";
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

void SoftwareHistory::onList(std::uint64_t position) {
  if (!StartPosition)
    StartPosition = position;
  Position = std::max(Position, position);
}

void SoftwareHistory::onGap(Instant now) {
  KnownSince = std::max(KnownSince, now);
  StartPosition.reset();
  Claims.clear();
}

std::optional<SoftwareHistory::Claim> SoftwareHistory::takeClaim() {
  if (!StartPosition)
    return std::nullopt;
  std::optional<Claim> out;
  for (const auto &it : std::exchange(Claims, {})) {
    if (it.Position >= *StartPosition)
      KnownSince = std::min(KnownSince, it.Since);
    else if (it.Position > DiscardedPosition &&
             (!out || it.Position > out->Position))
      out = it;
  }
  return out && out->Since < KnownSince ? out : std::nullopt;
}

void SoftwareHistory::settleClaim(const Claim &claim, bool joins) {
  if (joins)
    KnownSince = std::min(KnownSince, claim.Since);
  else
    DiscardedPosition = std::max(DiscardedPosition, claim.Position);
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
  out += FieldSeparator;
  out += KnownKind;
  appendAge(out, KnownSince, now);
  appendField(out, Position, Decimal);
  out += FieldSeparator;
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

void SoftwareHistory::addClaim(std::optional<Span> age,
                               std::optional<std::uint64_t> position,
                               Instant now) {
  if (!age || !position || now - *age >= KnownSince ||
      Claims.size() >= Options.MaxClaims)
    return;
  Claims.push_back({now - *age, *position});
}

void SoftwareHistory::onNotes(std::string_view notes, Instant now) {
  while (!notes.empty()) {
    auto fields = split(takeUntil(notes, RecordEnd));
    constexpr std::size_t KnownFields = 5;
    constexpr std::size_t VersionFields = 4;
    if (fields.front() != Kind)
      continue;
    if (fields.size() == KnownFields && fields[1] == KnownKind) {
      addClaim(parseAge(fields[2]),
               parseNumber<std::uint64_t>(fields[3], Decimal), now);
      continue;
    }
    auto age =
        fields.size() == VersionFields ? parseAge(fields.back()) : std::nullopt;
    if (!age)
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
