#include "Hemlockglade/State/Config/CatalogStore.h"

namespace hemlockglade {

CatalogStore::CatalogStore() : InForce(std::make_shared<CatalogView>()) {}

std::shared_ptr<const CatalogView> CatalogStore::current() const {
  std::lock_guard lock(Mutex);
  return InForce;
}

bool CatalogStore::apply(const ConfigDelta &delta) {
  auto base = current();
  if (delta.Number != base->number() + 1)
    return false;
  auto next = std::make_shared<const CatalogView>(
      base->with(delta.Number, delta.Changes));
  std::lock_guard lock(Mutex);
  if (InForce != base)
    return false;
  InForce.swap(next);
  return true;
}

bool CatalogStore::replace(CatalogView view) {
  auto next = std::make_shared<const CatalogView>(std::move(view));
  std::lock_guard lock(Mutex);
  if (next->number() <= InForce->number())
    return false;
  InForce.swap(next);
  return true;
}

} // namespace hemlockglade
