#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <algorithm>

namespace hemlockglade {

bool ActiveAdapter::isAllowedIn(DomainKey domain) const {
  return Domains.empty() ||
         std::binary_search(Domains.begin(), Domains.end(), domain);
}

ActiveAdapter *AdapterTable::find(AdapterKey adapter) {
  if (adapter >= Index.size() || Index[adapter] == 0)
    return nullptr;
  return &Pool[Index[adapter] - 1];
}

const ActiveAdapter *AdapterTable::find(AdapterKey adapter) const {
  if (adapter >= Index.size() || Index[adapter] == 0)
    return nullptr;
  return &Pool[Index[adapter] - 1];
}

ActiveAdapter &AdapterTable::obtain(AdapterKey adapter) {
  if (auto *found = find(adapter))
    return *found;
  if (adapter >= Index.size())
    Index.resize(adapter + 1);
  if (Free.empty()) {
    Pool.emplace_back(Memory);
    Free.push_back(static_cast<std::uint32_t>(Pool.size()));
  }
  std::uint32_t position = Free.back();
  Free.pop_back();
  Index[adapter] = position;
  auto &active = Pool[position - 1];
  active.Key = adapter;
  return active;
}

void AdapterTable::release(AdapterKey adapter) {
  auto *active = find(adapter);
  if (!active || !active->Holders.empty() || !active->Queue.empty() ||
      !active->Pins.empty() || !active->Domains.empty() ||
      active->Failures != 0 || active->Planned)
    return;
  active->NotBefore = {};
  active->Copy = false;
  Free.push_back(Index[adapter]);
  Index[adapter] = 0;
}

} // namespace hemlockglade
