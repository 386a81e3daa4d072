#include "Hemlockglade/Protocol/Admin/AdminFormat.h"

#include "Hemlockglade/Protocol/JsonText.h"

#include <algorithm>
#include <cassert>

namespace hemlockglade {

std::optional<std::vector<std::string>> nodesBehind(const RowSet &nodes,
                                                    Revision revision) {
  auto columnOf = [&](std::string_view name) {
    auto it = std::find(nodes.Columns.begin(), nodes.Columns.end(), name);
    return static_cast<std::size_t>(it - nodes.Columns.begin());
  };
  auto node = columnOf("node");
  auto state = columnOf("state");
  auto revisionColumn = columnOf("revision");
  if (std::max({node, state, revisionColumn}) >= nodes.Columns.size())
    return std::nullopt;
  std::vector<std::string> behind;
  bool hasLive = false;
  for (const auto &row : nodes.Rows) {
    if (row[state] != FieldValue(std::string(LiveState)))
      continue;
    hasLive = true;
    const auto *number = std::get_if<std::int64_t>(&row[revisionColumn]);
    if (!number || *number < static_cast<std::int64_t>(revision))
      behind.push_back(valueText(row[node]));
  }
  return hasLive ? std::optional(std::move(behind)) : std::nullopt;
}

namespace admin_format {

using nlohmann::json;

namespace {

/// Parses a body; the value is `discarded` if the body is not JSON or is nested
/// too deeply.
json parse(std::string_view body) {
  try {
    return parseJson(body);
  } catch (const json::exception &) {
    return json(json::value_t::discarded);
  }
}

std::string dump(const json &node) { return writeJson(node) + '\n'; }

/// Returns a member of type string; empty if there is none.
std::string stringMember(const json &node, const char *key) {
  auto it = node.find(key);
  return it != node.end() && it->is_string() ? it->get<std::string>() : "";
}

/// Returns a member that is a list of strings; nothing if it is anything else.
std::optional<std::vector<std::string>> stringListMember(const json &node,
                                                         const char *key) {
  auto it = node.find(key);
  if (it == node.end() || !it->is_array())
    return std::nullopt;
  std::vector<std::string> out;
  for (const auto &text : *it) {
    if (!text.is_string())
      return std::nullopt;
    out.push_back(text.get<std::string>());
  }
  return out;
}

json valueJson(const FieldValue &value) {
  return std::visit([](const auto &it) { return json(it); }, value);
}

FieldValue readValue(const json &node) {
  if (node.is_string())
    return node.get<std::string>();
  if (node.is_boolean())
    return node.get<bool>();
  if (node.is_number_integer())
    return node.get<std::int64_t>();
  if (node.is_number())
    return node.get<double>();
  return node.is_null() ? std::string() : node.dump();
}

std::vector<FieldValue> readRow(const json &node,
                                const std::vector<std::string> &columns) {
  std::vector<FieldValue> row;
  for (const auto &column : columns) {
    auto it = node.find(column);
    row.push_back(it == node.end() ? FieldValue() : readValue(*it));
  }
  return row;
}

} // namespace

std::string statementBody(const StatementRequest &request) {
  return dump({{"statement", request.Statement},
               {"id", request.CommandId},
               {"operator", request.Operator}});
}

tl::expected<StatementRequest, ProtocolError>
readStatementRequest(std::string_view body) {
  auto node = parse(body);
  if (!node.is_object())
    return tl::unexpected(
        ProtocolError{ProtocolErrorKind::Malformed, "not a JSON object"});
  StatementRequest out{stringMember(node, "statement"),
                       stringMember(node, "id"),
                       stringMember(node, "operator")};
  if (out.Statement.empty() || out.CommandId.empty())
    return tl::unexpected(ProtocolError{ProtocolErrorKind::BadValue,
                                        "'statement' and 'id' must be texts"});
  return out;
}

std::string rowsBody(const RowSet &rows) {
  json list = json::array();
  for (const auto &row : rows.Rows) {
    assert(row.size() == rows.Columns.size());
    json node = json::object();
    for (std::size_t it = 0; it < row.size(); ++it)
      node[rows.Columns[it]] = valueJson(row[it]);
    list.push_back(std::move(node));
  }
  return dump({{"columns", rows.Columns}, {"rows", std::move(list)}});
}

std::string errorBody(const AdminError &error) {
  return dump(
      {{"error", {{"column", error.Column}, {"message", error.Message}}}});
}

std::string errorBody(const StatementError &error) {
  return errorBody(AdminError{error.Column, "expected " + error.Expected});
}

tl::expected<RowSet, AdminError> readRows(std::string_view body) {
  auto node = parse(body);
  auto columns =
      node.is_object() ? stringListMember(node, "columns") : std::nullopt;
  if (!columns || !node.contains("rows") || !node["rows"].is_array())
    return tl::unexpected(readError(body));
  RowSet out{std::move(*columns), {}};
  for (const auto &row : node["rows"])
    out.Rows.push_back(readRow(row, out.Columns));
  return out;
}

std::string changeBody(const ChangeAnswer &answer) {
  return dump({{"revision", answer.Number}, {"changes", answer.Changes}});
}

tl::expected<ChangeAnswer, AdminError> readChange(std::string_view body) {
  auto node = parse(body);
  auto changes =
      node.is_object() ? stringListMember(node, "changes") : std::nullopt;
  if (!changes || !node.contains("revision") ||
      !node["revision"].is_number_unsigned())
    return tl::unexpected(readError(body));
  return ChangeAnswer{node["revision"].get<Revision>(), std::move(*changes)};
}

AdminError readError(std::string_view body) {
  auto node = parse(body);
  if (!node.is_object() || !node.contains("error") ||
      !node["error"].is_object())
    return {0, "an answer that is not understood: " + std::string(body)};
  const auto &error = node["error"];
  auto column = error.find("column");
  bool hasColumn = column != error.end() && column->is_number_unsigned();
  return {hasColumn ? column->get<std::size_t>() : 0,
          stringMember(error, "message")};
}

} // namespace admin_format

} // namespace hemlockglade
