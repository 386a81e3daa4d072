#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"
#include "Hemlockglade/Coordination/Table.h"

namespace hemlockglade::lease_rows {

/// Prefix of the keys of all nodes' lease rows.
inline constexpr std::string_view NodePrefix = "node/";
/// Prefix of the keys of all ownership rows.
inline constexpr std::string_view CellPrefix = "cell/";

/// A record and the id of the transaction attempt that wrote it.
template <typename Record> struct WrittenRecord {
  Record Value;
  std::string Attempt;
};

std::string nodeKey(std::string_view name);
std::string cellKey(std::string_view cell);
/// Serializes a record, with the id of the attempt that writes it, as JSON.
std::string write(const NodeRecord &node, std::string_view attempt);
std::string write(const CellRecord &cell, std::string_view attempt);
/// Returns nothing if the text is not a valid lease row.
std::optional<WrittenRecord<NodeRecord>> parseNode(const std::string &text);
/// Returns nothing if the text is not a valid ownership row.
std::optional<WrittenRecord<CellRecord>> parseCell(const std::string &text);
/// Like `parseNode` and `parseCell`, with the version of the table's row.
std::optional<NodeRow> parseNodeRow(const TableRow &row);
std::optional<CellRow> parseCellRow(const TableRow &row);

} // namespace hemlockglade::lease_rows
