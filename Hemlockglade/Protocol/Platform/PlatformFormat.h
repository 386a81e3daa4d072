#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/ProtocolError.h"

namespace hemlockglade {

/// The platform's table service on the wire: JSON over HTTP.
///
///   GET  /table/row?key=K       200 {"key","version","value"} or 404
///   GET  /table/scan?prefix=P   200 {"rows":[...]}
///   POST /table/commit          200 {"ok":true} or 409 {"key":K}
namespace platform_format {

/// Body of a commit.
std::string commitBody(const TableTransaction &transaction);
/// Reads the body of a commit; for stand-ins.
tl::expected<TableTransaction, ProtocolError> readCommit(std::string_view body);
/// One row as JSON.
std::string rowBody(const TableRow &row);
tl::expected<TableRow, ProtocolError> readRow(std::string_view body);
/// Several rows as JSON.
std::string rowsBody(const std::vector<TableRow> &rows);
tl::expected<std::vector<TableRow>, ProtocolError>
readRows(std::string_view body);

} // namespace platform_format

/// A host or endpoint on the platform's list.
struct HostEntry {
  std::string Name;
  std::string Address;
  /// Whether it is about to go and must get no new work.
  bool Leaving = false;
};

/// The host list on the wire: `{"hosts":[{"name","address","state"}]}`.
std::string hostListBody(const std::vector<HostEntry> &hosts);
tl::expected<std::vector<HostEntry>, ProtocolError>
readHostList(std::string_view body);

} // namespace hemlockglade
