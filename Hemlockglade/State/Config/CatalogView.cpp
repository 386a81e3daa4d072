#include "Hemlockglade/State/Config/CatalogView.h"

#include <cassert>
#include <cstdio>
#include <optional>

namespace hemlockglade {

namespace {

constexpr std::size_t ShardsPerPiece =
    ShardedMap<AdapterConfig>::ShardCount / CatalogView::PieceCount;

std::string ruleName(std::size_t position) {
  std::array<char, 24> buf{};
  std::snprintf(buf.data(), buf.size(), "%06zu", position);
  return buf.data();
}

/// Applies the changes to entries of type `T` to the map of that type.
template <typename T>
void applyKind(std::shared_ptr<const ShardedMap<T>> &map,
               std::span<const ConfigChange> changes) {
  std::optional<typename ShardedMap<T>::Editor> editor;
  for (const auto &change : changes) {
    const auto *entry = std::get_if<T>(&change.Entry);
    if (!entry)
      continue;
    if (!editor)
      editor.emplace(*map);
    if (change.Removed)
      editor->erase(entry->Name);
    else
      editor->put(*entry);
  }
  if (editor)
    map = std::make_shared<const ShardedMap<T>>(editor->take());
}

template <typename T> ConfigChange removal(const T &entry) {
  T name;
  name.Name = entry.Name;
  return {std::move(name), true};
}

} // namespace

CatalogView::CatalogView() {
  std::apply(
      [](auto &...map) {
        ((map = std::make_shared<std::decay_t<decltype(*map)>>()), ...);
      },
      Maps);
}

CatalogView CatalogView::of(const Catalog &catalog) {
  std::vector<ConfigChange> all;
  auto add = [&all](ConfigEntry entry) { all.push_back({std::move(entry)}); };
  for (const auto &[name, it] : catalog.Services)
    add(it);
  for (const auto &[name, it] : catalog.Replicas)
    add(it);
  for (const auto &[name, it] : catalog.Adapters)
    add(it);
  for (const auto &[name, it] : catalog.Classes)
    add(it);
  for (const auto &[name, it] : catalog.Pins)
    add(PinEntry{name, it});
  for (std::size_t it = 0; it < catalog.Rules.size(); ++it)
    add(RuleEntry{ruleName(it), catalog.Rules[it]});
  for (const auto &[name, drained] : catalog.Drained) {
    if (drained)
      add(DrainEntry{name});
  }
  return CatalogView().with(catalog.Number, all);
}

std::size_t CatalogView::size() const {
  return std::apply(
      [](const auto &...map) { return (std::size_t{0} + ... + map->size()); },
      Maps);
}

CatalogView CatalogView::with(Revision number,
                              std::span<const ConfigChange> changes) const {
  CatalogView next = *this;
  next.Number = number;
  std::apply([&](auto &...map) { (applyKind(map, changes), ...); }, next.Maps);
  return next;
}

std::vector<ConfigChange>
CatalogView::changesTo(const CatalogView &after) const {
  std::vector<ConfigChange> out;
  auto visit = [&out](const auto *before, const auto *next) {
    if (next)
      out.push_back({*next});
    else
      out.push_back(removal(*before));
  };
  auto compare = [&]<typename T>(const MapPtr<T> &map) {
    const auto &other = after.all<T>();
    if (map.get() != &other)
      map->forEachDifference(other, visit);
  };
  std::apply([&](const auto &...map) { (compare(map), ...); }, Maps);
  return out;
}

std::vector<ConfigEntry> CatalogView::piece(std::size_t index) const {
  assert(index < PieceCount);
  std::vector<ConfigEntry> out;
  auto add = [&out](const auto &entry) { out.emplace_back(entry); };
  auto addShards = [&](const auto &map) {
    for (std::size_t it = 0; it < ShardsPerPiece; ++it)
      map.forEachIn(index * ShardsPerPiece + it, add);
  };
  std::apply([&](const auto &...map) { (addShards(*map), ...); }, Maps);
  return out;
}

Catalog CatalogView::catalog() const {
  Catalog out;
  out.Number = Number;
  auto copyTo = [](auto &target) {
    return [&target](const auto &it) { target.emplace(it.Name, it); };
  };
  all<ServiceConfig>().forEach(copyTo(out.Services));
  all<ReplicaConfig>().forEach(copyTo(out.Replicas));
  all<AdapterConfig>().forEach(copyTo(out.Adapters));
  all<ServiceClass>().forEach(copyTo(out.Classes));
  all<PinEntry>().forEach(
      [&](const PinEntry &it) { out.Pins.emplace(it.Name, it.Pin); });
  all<DrainEntry>().forEach(
      [&](const DrainEntry &it) { out.Drained.emplace(it.Name, true); });
  std::map<std::string, PlacementRule> rules;
  all<RuleEntry>().forEach(
      [&](const RuleEntry &it) { rules.emplace(it.Name, it.Rule); });
  for (auto &[position, rule] : rules)
    out.Rules.push_back(std::move(rule));
  return out;
}

} // namespace hemlockglade
