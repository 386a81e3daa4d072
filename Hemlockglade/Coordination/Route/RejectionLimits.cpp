#include "Hemlockglade/Coordination/Route/RejectionLimits.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>

namespace hemlockglade {

namespace {

// rejections!SERVICE!LIMIT!AGE; with the service's digest in hexadecimal, the
// limit in thousandths and the age in milliseconds.
constexpr std::string_view Kind = "rejections";
constexpr char FieldSeparator = '!';
constexpr char RecordEnd = ';';
constexpr double Thousand = 1000;

} // namespace

bool RejectionLimits::onStated(const StatedRejectionLimit &stated) {
  auto it = Statements.find(stated.Service);
  if (it == Statements.end()) {
    if (!stated.PerSecond)
      return false;
    it = Statements.try_emplace(stated.Service).first;
  }
  auto &known = it->second;
  // An answer to an earlier request may overtake a later one.
  if (stated.StatedAt < known.StatedAt)
    return false;
  known.StatedAt = stated.StatedAt;
  if (known.PerSecond == stated.PerSecond)
    return false;
  known.PerSecond = stated.PerSecond;
  known.ChangedAt = ++Revision;
  return true;
}

std::optional<double> RejectionLimits::limitOf(std::string_view service) const {
  if (Statements.empty())
    return std::nullopt;
  auto it = Statements.find(digestOf(service));
  return it == Statements.end() ? std::nullopt : it->second.PerSecond;
}

std::size_t RejectionLimits::size() const {
  return static_cast<std::size_t>(
      std::count_if(Statements.begin(), Statements.end(), [](const auto &it) {
        return it.second.PerSecond.has_value();
      }));
}

void RejectionLimits::onRejected(const std::string &service,
                                 const std::string &replica,
                                 double trafficShare, Instant now) {
  std::erase_if(PausedUntil,
                [now](const auto &it) { return now >= it.second; });
  auto limit = limitOf(service);
  if (!limit)
    return;
  auto perSecond = *limit * Options.UsedShare * std::max(trafficShare, 0.0);
  auto pause = perSecond > 0 ? spanOf(1 / perSecond) : Options.MaxPause;
  auto until = now + std::clamp(pause, Options.MinPause, Options.MaxPause);
  auto &at = PausedUntil[replica];
  at = std::max(at, until);
}

bool RejectionLimits::isPaused(const std::string &replica, Instant now) const {
  auto it = PausedUntil.find(replica);
  return it != PausedUntil.end() && now < it->second;
}

std::vector<StatedRejectionLimit>
RejectionLimits::since(std::uint64_t revision) const {
  std::vector<StatedRejectionLimit> out;
  if (revision == Revision)
    return out;
  for (const auto &[service, it] : Statements)
    if (it.ChangedAt > revision)
      out.push_back({service, it.PerSecond, it.StatedAt});
  return out;
}

std::string RejectionLimits::notes(Instant now) const {
  std::string out;
  for (const auto &[service, it] : Statements) {
    if (!it.PerSecond)
      continue;
    out += Kind;
    out += FieldSeparator;
    appendNumber(out, service, Hex);
    out += FieldSeparator;
    appendNumber(out, static_cast<std::uint64_t>(*it.PerSecond * Thousand),
                 Decimal);
    out += FieldSeparator;
    auto age =
        std::max(Span(0), now - it.StatedAt) / std::chrono::milliseconds(1);
    appendNumber(out, static_cast<std::uint64_t>(age), Decimal);
    out += RecordEnd;
  }
  return out;
}

std::vector<StatedRejectionLimit>
RejectionLimits::parseNotes(std::string_view notes, Instant now) {
  std::vector<StatedRejectionLimit> out;
  constexpr std::uint32_t MaxAgeMs = 24 * 3600 * 1000;
  while (!notes.empty()) {
    auto record = takeUntil(notes, RecordEnd);
    if (takeUntil(record, FieldSeparator) != Kind)
      continue;
    auto service =
        parseNumber<std::uint64_t>(takeUntil(record, FieldSeparator), Hex);
    auto limit =
        parseNumber<std::uint32_t>(takeUntil(record, FieldSeparator), Decimal);
    auto age = parseNumber<std::uint32_t>(record, Decimal);
    if (service && limit && age && *age <= MaxAgeMs)
      out.push_back(
          {*service, *limit / Thousand, now - std::chrono::milliseconds(*age)});
  }
  return out;
}

} // namespace hemlockglade
