#include "Hemlockglade/Coordination/Lease/LeaseRows.h"

#include <nlohmann/json.hpp>

namespace hemlockglade {

std::string_view processOf(std::string_view incarnation) {
  return incarnation.substr(0, incarnation.rfind('.'));
}

} // namespace hemlockglade

namespace hemlockglade::lease_rows {

using nlohmann::json;

namespace {

std::string textOf(const json &node, const char *name) {
  auto it = node.find(name);
  return it != node.end() && it->is_string() ? it->get<std::string>() : "";
}

bool flagOf(const json &node, const char *name) {
  auto it = node.find(name);
  return it != node.end() && it->is_boolean() && it->get<bool>();
}

} // namespace

std::string nodeKey(std::string_view name) {
  return std::string(NodePrefix).append(name);
}

std::string cellKey(std::string_view cell) {
  return std::string(CellPrefix).append(cell);
}

std::string write(const NodeRecord &node, std::string_view attempt) {
  return json{{"name", node.Name},
              {"incarnation", node.Incarnation},
              {"callers", node.CallerAddress},
              {"peers", node.PeerAddress},
              {"failure_domain", node.FailureDomain},
              {"leaving", node.Leaving},
              {"over", node.Ended},
              {"attempt", attempt}}
      .dump();
}

std::string write(const CellRecord &cell, std::string_view attempt) {
  return json{{"owner", cell.Owner},
              {"incarnation", cell.Incarnation},
              {"epoch", cell.Fence},
              {"former", cell.FormerOwner},
              {"former_incarnation", cell.FormerIncarnation},
              {"attempt", attempt}}
      .dump();
}

std::optional<WrittenRecord<NodeRecord>> parseNode(const std::string &text) {
  auto node = json::parse(text, nullptr, false);
  if (!node.is_object() || textOf(node, "name").empty())
    return std::nullopt;
  NodeRecord record;
  record.Name = textOf(node, "name");
  record.Incarnation = textOf(node, "incarnation");
  record.CallerAddress = textOf(node, "callers");
  record.PeerAddress = textOf(node, "peers");
  record.FailureDomain = textOf(node, "failure_domain");
  record.Leaving = flagOf(node, "leaving");
  record.Ended = flagOf(node, "over");
  return WrittenRecord<NodeRecord>{record, textOf(node, "attempt")};
}

std::optional<WrittenRecord<CellRecord>> parseCell(const std::string &text) {
  auto node = json::parse(text, nullptr, false);
  if (!node.is_object())
    return std::nullopt;
  auto epoch = node.find("epoch");
  if (epoch == node.end() || !epoch->is_number_unsigned())
    return std::nullopt;
  CellRecord record{textOf(node, "owner"), epoch->get<Epoch>(),
                    textOf(node, "incarnation"), textOf(node, "former"),
                    textOf(node, "former_incarnation")};
  return WrittenRecord<CellRecord>{record, textOf(node, "attempt")};
}

std::optional<NodeRow> parseNodeRow(const TableRow &row) {
  auto written = parseNode(row.Value);
  if (!written)
    return std::nullopt;
  return NodeRow{written->Value, row.Version};
}

std::optional<CellRow> parseCellRow(const TableRow &row) {
  auto written = parseCell(row.Value);
  if (!written)
    return std::nullopt;
  return CellRow{written->Value, row.Version};
}

} // namespace hemlockglade::lease_rows
