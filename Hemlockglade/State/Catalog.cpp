#include "Hemlockglade/State/Catalog.h"

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
  std::string best;
  std::uint64_t bestWeight = 0;
  for (std::uint32_t it = 0; it < service.Cells; ++it) {
    auto cell = cellName(service.Name, it);
    auto weight = rendezvousWeight(cell, key);
    if (best.empty() || weight > bestWeight) {
      best = std::move(cell);
      bestWeight = weight;
    }
  }
  return best;
}

std::string cellOfReplica(const ServiceConfig &service,
                          const ReplicaConfig &replica) {
  return cellOf(service, replica.Name);
}

} // namespace hemlockglade
