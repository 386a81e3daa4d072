#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

namespace hemlockglade {

/// Row of the newest revision.
inline constexpr std::string_view ConfigHeadKey = "config/head";
/// Prefix of the delta rows.
inline constexpr std::string_view ConfigDeltaPrefix = "config/rev/";

/// Key of a revision's delta row; keys sort as the revisions do.
std::string configDeltaKey(Revision number);
/// Name of a snapshot's objects, without the piece's number.
std::string configSnapshotName(Revision number);

/// The head as the text of its row.
std::string encodeHead(const ConfigHead &head);
std::optional<ConfigHead> decodeHead(const std::string &text);

/// A delta as text, for rows and for peers.
std::string encodeDelta(const ConfigDelta &delta);
std::optional<ConfigDelta> decodeDelta(const std::string &text);

/// A piece of a view as text.
std::string encodePiece(const CatalogView &view, std::size_t index);
std::optional<std::vector<ConfigChange>> decodePiece(const std::string &text);

/// What a delta row says if its delta lies in the object store.
struct ConfigDeltaObjects {
  std::string Name;
  std::size_t Pieces = 0;
};
std::string encodeDeltaObjects(const ConfigDeltaObjects &objects);
/// Nothing if the row holds the delta itself.
std::optional<ConfigDeltaObjects> decodeDeltaObjects(const std::string &text);

} // namespace hemlockglade
