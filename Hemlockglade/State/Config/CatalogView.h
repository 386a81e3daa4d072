#pragma once

#include "Hemlockglade/State/Config/ConfigDelta.h"
#include "Hemlockglade/State/Config/ShardedMap.h"

#include <span>
#include <tuple>

namespace hemlockglade {

/// The whole configuration at one revision, immutable. Views of neighbouring
/// revisions share all but what changed between them, so a view is cheap to
/// keep and cheap to derive.
class CatalogView {
public:
  /// Pieces that a view is cut into for transfer. An entry is in the same
  /// piece at every revision.
  static constexpr std::size_t PieceCount = 64;

  /// An empty configuration, revision 0.
  CatalogView();
  /// A view of a catalog.
  static CatalogView of(const Catalog &catalog);

  Revision number() const { return Number; }

  /// All entries of one kind.
  template <typename T> const ShardedMap<T> &all() const {
    return *std::get<MapPtr<T>>(Maps);
  }
  /// The entry of that kind and name; null if there is none.
  template <typename T>
  std::shared_ptr<const T> find(std::string_view name) const {
    return all<T>().find(name);
  }
  /// Number of entries of all kinds.
  std::size_t size() const;

  /// The view after the changes, under that revision.
  CatalogView with(Revision number,
                   std::span<const ConfigChange> changes) const;
  /// What has to change to get from here to `after`.
  std::vector<ConfigChange> changesTo(const CatalogView &after) const;
  /// Entries of one piece, in a fixed order.
  std::vector<ConfigEntry> piece(std::size_t index) const;
  /// The view as a plain catalog; costs a copy of everything.
  Catalog catalog() const;

private:
  template <typename T> using MapPtr = std::shared_ptr<const ShardedMap<T>>;
  template <typename Entry> struct MapsOf;
  template <typename... T> struct MapsOf<std::variant<T...>> {
    using Type = std::tuple<MapPtr<T>...>;
  };

  Revision Number = 0;
  MapsOf<ConfigEntry>::Type Maps;
};

} // namespace hemlockglade
