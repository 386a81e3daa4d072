#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

namespace hemlockglade {

/// Key of the row with the newest revision.
inline constexpr std::string_view ConfigHeadKey = "config/head";
/// Prefix of the delta rows.
inline constexpr std::string_view ConfigDeltaPrefix = "config/rev/";

/// Key of a revision's delta row; keys sort as the revisions do.
std::string configDeltaKey(Revision number);
/// Name of a snapshot's objects, without the piece's number.
std::string configSnapshotName(Revision number);

/// The head as the value of its row. Decoding returns nothing if it is
/// malformed.
std::string encodeHead(const ConfigHead &head);
std::optional<ConfigHead> decodeHead(const std::string &text);

/// A delta as text, for rows and for peers. Decoding returns nothing if it is
/// malformed.
std::string encodeDelta(const ConfigDelta &delta);
std::optional<ConfigDelta> decodeDelta(const std::string &text);

/// A piece of a view as text. Decoding returns nothing if it is malformed.
std::string encodePiece(const CatalogView &view, std::size_t index);
std::optional<std::vector<ConfigChange>> decodePiece(const std::string &text);

/// The value of a delta row whose delta is in the object store.
struct ConfigDeltaObjects {
  /// Name of the objects, without the piece's number.
  std::string Name;
  /// Number of objects.
  std::size_t Pieces = 0;
};
std::string encodeDeltaObjects(const ConfigDeltaObjects &objects);
/// Returns nothing if the row has the delta itself.
std::optional<ConfigDeltaObjects> decodeDeltaObjects(const std::string &text);

} // namespace hemlockglade
