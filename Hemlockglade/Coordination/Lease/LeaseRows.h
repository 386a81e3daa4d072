#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"
#include "Hemlockglade/Coordination/Table.h"

namespace hemlockglade::lease_rows {

/// Keys of all lease rows of nodes start with this.
inline constexpr std::string_view NodePrefix = "node/";
/// Keys of all ownership rows start with this.
inline constexpr std::string_view CellPrefix = "cell/";

/// A record and the attempt that wrote it.
template <typename Record> struct Written {
  Record Value;
  std::string Attempt;
};

std::string nodeKey(std::string_view name);
std::string cellKey(std::string_view cell);
std::string write(const NodeRecord &node, std::string_view attempt);
std::string write(const CellRecord &cell, std::string_view attempt);
/// Nothing if the text is no lease row.
std::optional<Written<NodeRecord>> readNode(const std::string &text);
/// Nothing if the text is no ownership row.
std::optional<Written<CellRecord>> readCell(const std::string &text);
std::optional<NodeRow> sightOfNode(const TableRow &row);
std::optional<CellRow> sightOfCell(const TableRow &row);

} // namespace hemlockglade::lease_rows
