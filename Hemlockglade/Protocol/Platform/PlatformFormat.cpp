#include "Hemlockglade/Protocol/Platform/PlatformFormat.h"

#include "Hemlockglade/Protocol/JsonText.h"

#include <cctype>
#include <charconv>

namespace hemlockglade {

using nlohmann::json;

namespace {

json toJson(const TableRow &row) {
  return {{"key", row.Key}, {"version", row.Version}, {"value", row.Value}};
}

TableRow toRow(const json &node) {
  return {node.at("key").get<std::string>(),
          node.at("version").get<std::uint64_t>(),
          node.at("value").get<std::string>()};
}

/// Parses a body and converts it with `read`; any JSON error is returned as a
/// protocol error.
template <typename T, typename Read>
tl::expected<T, ProtocolError> parseBody(std::string_view body, Read read) {
  try {
    return read(parseJson(body));
  } catch (const json::exception &error) {
    return tl::unexpected(
        ProtocolError{ProtocolErrorKind::Malformed, error.what()});
  }
}

} // namespace

namespace platform_format {

std::string commitBody(const TableTransaction &transaction) {
  json writes = json::array();
  for (const auto &write : transaction.Writes) {
    json node{{"key", write.Key}, {"expected", write.ExpectedVersion}};
    node["value"] = write.Value ? json(*write.Value) : json(nullptr);
    writes.push_back(std::move(node));
  }
  return writeJson({{"attempt", transaction.AttemptId}, {"writes", writes}});
}

tl::expected<TableTransaction, ProtocolError>
readCommit(std::string_view body) {
  return parseBody<TableTransaction>(body, [](const json &node) {
    TableTransaction transaction;
    transaction.AttemptId = node.at("attempt").get<std::string>();
    for (const auto &it : node.at("writes")) {
      TableWrite write{it.at("key").get<std::string>(),
                       it.at("expected").get<std::uint64_t>(), std::nullopt};
      if (!it.at("value").is_null())
        write.Value = it.at("value").get<std::string>();
      transaction.Writes.push_back(std::move(write));
    }
    return transaction;
  });
}

std::string rowBody(const TableRow &row) { return writeJson(toJson(row)); }

tl::expected<TableRow, ProtocolError> readRow(std::string_view body) {
  return parseBody<TableRow>(body, [](const json &it) { return toRow(it); });
}

std::string rowsBody(const std::vector<TableRow> &rows) {
  json list = json::array();
  for (const auto &row : rows)
    list.push_back(toJson(row));
  return writeJson({{"rows", list}});
}

tl::expected<std::vector<TableRow>, ProtocolError>
readRows(std::string_view body) {
  return parseBody<std::vector<TableRow>>(body, [](const json &node) {
    std::vector<TableRow> rows;
    for (const auto &it : node.at("rows"))
      rows.push_back(toRow(it));
    return rows;
  });
}

} // namespace platform_format

std::string hostListBody(const std::vector<HostEntry> &hosts) {
  json list = json::array();
  for (const auto &host : hosts)
    list.push_back({{"name", host.Name},
                    {"address", host.Address},
                    {"state", host.Leaving ? "leaving" : "live"}});
  return writeJson({{"hosts", list}});
}

tl::expected<std::vector<HostEntry>, ProtocolError>
readHostList(std::string_view body) {
  return parseBody<std::vector<HostEntry>>(body, [](const json &node) {
    std::vector<HostEntry> hosts;
    for (const auto &it : node.at("hosts"))
      hosts.push_back({it.at("name").get<std::string>(),
                       it.at("address").get<std::string>(),
                       it.at("state").get<std::string>() == "leaving"});
    return hosts;
  });
}

} // namespace hemlockglade
