#include "Hemlockglade/State/Catalog.h"

#include <charconv>
#include <limits>
#include <xxhash.h>

namespace hemlockglade {

std::string pinName(const PinConfig &pin) {
  auto name = pin.Adapter.text();
  if (!pin.FailureDomain.empty())
    name += " in " + pin.FailureDomain;
  return name;
}

std::string cellName(std::string_view service, std::uint32_t number) {
  return std::string(service) + '/' + std::to_string(number);
}

std::uint64_t rendezvousWeight(std::string_view candidate,
                               std::string_view key) {
  auto seed = XXH3_64bits(candidate.data(), candidate.size());
  return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

std::string cellOf(const ServiceConfig &service, std::string_view key) {
  // One buffer for all names avoids allocations: this runs for each request
  // and, when the configuration changes, for each replica.
  auto name = service.Name + '/';
  auto prefix = name.size();
  name.resize(prefix + std::numeric_limits<std::uint32_t>::digits10 + 1);
  char *end = name.data() + name.size();
  std::uint32_t best = 0;
  std::uint64_t bestWeight = 0;
  for (std::uint32_t it = 0; it < service.Cells; ++it) {
    char *last = std::to_chars(name.data() + prefix, end, it).ptr;
    auto length = static_cast<std::size_t>(last - name.data());
    auto weight = rendezvousWeight({name.data(), length}, key);
    if (weight > bestWeight) {
      best = it;
      bestWeight = weight;
    }
  }
  return service.Cells ? cellName(service.Name, best) : std::string();
}

std::string cellOfReplica(const ServiceConfig &service,
                          const ReplicaConfig &replica) {
  return cellOf(service, replica.Name);
}

} // namespace hemlockglade
