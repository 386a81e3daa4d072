#pragma once

#include "Hemlockglade/State/Config/ConfigDelta.h"
#include "Hemlockglade/State/Config/ShardedMap.h"

#include <span>
#include <tuple>

namespace hemlockglade {

/// The whole configuration at one revision, immutable. Views of successive
/// revisions share all shards but the changed ones, so that keeping a view and
/// deriving the next one from it are cheap.
class CatalogView {
public:
  /// Number of pieces that a view is split into for transfer. An entry is in
  /// the same piece at every revision.
  static constexpr std::size_t PieceCount = 64;

  /// An empty configuration, revision 0.
  CatalogView();
  /// Returns a view with the catalog's entries and revision.
  static CatalogView of(const Catalog &catalog);

  Revision number() const { return Number; }

  /// Returns all entries of one kind.
  template <typename T> const ShardedMap<T> &all() const {
    return *std::get<MapPtr<T>>(Maps);
  }
  /// Returns the entry of that kind and name; null if there is none.
  template <typename T>
  std::shared_ptr<const T> find(std::string_view name) const {
    return all<T>().find(name);
  }
  /// Number of entries of all kinds.
  std::size_t size() const;

  /// Returns this view with the changes applied, as revision `number`.
  CatalogView with(Revision number,
                   std::span<const ConfigChange> changes) const;
  /// Returns the changes that turn this view into `after`.
  std::vector<ConfigChange> changesTo(const CatalogView &after) const;
  /// Returns the entries of one piece, in a fixed order. `index` is below
  /// `PieceCount`.
  std::vector<ConfigEntry> piece(std::size_t index) const;
  /// Returns the view as a plain catalog. Copies all entries.
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
