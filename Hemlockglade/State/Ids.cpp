#include "Hemlockglade/State/Ids.h"

#include <charconv>

namespace hemlockglade {

std::string AdapterRef::text() const {
  return Name + '@' + std::to_string(Version);
}

std::optional<AdapterRef> AdapterRef::parse(std::string_view text) {
  auto at = text.rfind('@');
  if (at == std::string_view::npos) {
    if (text.empty())
      return std::nullopt;
    return AdapterRef{std::string(text), 0};
  }
  auto digits = text.substr(at + 1);
  std::uint32_t version = 0;
  auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), version);
  bool whole = ec == std::errc() && end == digits.data() + digits.size();
  if (at == 0 || !whole || version == 0)
    return std::nullopt;
  return AdapterRef{std::string(text.substr(0, at)), version};
}

std::string_view outcomeName(Outcome outcome) {
  switch (outcome) {
  case Outcome::Complete:
    return "complete";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace hemlockglade
