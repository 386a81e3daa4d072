#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/Protocol/ProtocolError.h"

namespace hemlockglade {

/// Encodes and decodes messages of the platform's table service, which is JSON
/// over HTTP:
///
///   GET  /table/row?key=K       200 {"key","version","value"} or 404
///   GET  /table/scan?prefix=P   200 {"rows":[...]}
///   POST /table/commit          200 {"ok":true} or 409 {"key":K}
namespace platform_format {

/// Body of a commit.
std::string commitBody(const TableTransaction &transaction);
/// Parses the body of a commit; used by stand-ins of the platform.
tl::expected<TableTransaction, ProtocolError> readCommit(std::string_view body);
/// Returns one row as JSON.
std::string rowBody(const TableRow &row);
tl::expected<TableRow, ProtocolError> readRow(std::string_view body);
/// Returns several rows as JSON.
std::string rowsBody(const std::vector<TableRow> &rows);
tl::expected<std::vector<TableRow>, ProtocolError>
readRows(std::string_view body);

} // namespace platform_format

/// A host or endpoint in the platform's host list.
struct HostEntry {
  std::string Name;
  std::string Address;
  /// Whether the host is draining and must get no new work.
  bool Leaving = false;
};

/// Returns the host list as JSON: `{"hosts":[{"name","address","state"}]}`.
std::string hostListBody(const std::vector<HostEntry> &hosts);
tl::expected<std::vector<HostEntry>, ProtocolError>
readHostList(std::string_view body);

} // namespace hemlockglade
