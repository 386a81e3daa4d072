#include "StandIns/StandInHost.h"

#include <random>
#include <xxhash.h>

namespace hemlockglade {

StandIn::StandIn(asio::io_context &context, std::string name,
                 const std::string &historyPath)
    : Context(context), Timers(context), Name(std::move(name)) {
  if (!historyPath.empty())
    History.open(historyPath, std::ios::app);
}

void StandIn::record(nlohmann::json line) {
  if (!History.is_open())
    return;
  line["at_us"] = TimerService::now().count();
  line["who"] = Name;
  // Each line is written at once, so that several processes can append to
  // the same file.
  History << line.dump() + '\n' << std::flush;
}

std::string newStandInId() {
  std::random_device device;
  return std::to_string(device()) + std::to_string(device());
}

std::int64_t queryNumber(const HttpIncoming &in, std::string_view name,
                         std::int64_t fallback) {
  auto text = queryValue(in.Query, name);
  return text.empty() ? fallback : std::atoll(text.c_str());
}

std::string textHash(std::string_view text) {
  constexpr std::size_t Length = 17;
  std::array<char, Length> buf{};
  std::snprintf(
      buf.data(), buf.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
  return buf.data();
}

} // namespace hemlockglade
