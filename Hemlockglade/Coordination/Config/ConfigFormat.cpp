#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace hemlockglade {

using nlohmann::json;

namespace {

// An entry is an array that starts with its kind's index in ConfigEntry and
// its name. New fields go to the end and are read with a default.

json fields(const ServiceConfig &it) {
  return {it.Kind == ServiceKind::Plain, it.Cells, it.BaseModel,
          it.ObjectivePercent};
}

json fields(const ReplicaConfig &it) {
  return {it.Service, it.Address, it.FailureDomain,
          it.Slots,   it.Batch,   it.ChecksFencing};
}

json fields(const AdapterConfig &it) {
  return {it.Service, it.Current, it.Versions};
}

json fields(const ServiceClass &it) {
  return {it.Priority, it.Deadline.count(), it.QueueLimit};
}

json fields(const PinEntry &it) {
  return {it.Pin.Adapter.Name, it.Pin.Adapter.Version, it.Pin.FailureDomain,
          it.Pin.Copies};
}

json fields(const RuleEntry &it) {
  return json::array({it.Rule.Adapter, it.Rule.FailureDomains});
}

json fields(const DrainEntry &) { return json::array(); }

void readFields(const json &node, ServiceConfig &it) {
  it.Kind = node.at(0).get<bool>() ? ServiceKind::Plain : ServiceKind::Engine;
  node.at(1).get_to(it.Cells);
  node.at(2).get_to(it.BaseModel);
  if (node.size() > 3)
    node.at(3).get_to(it.ObjectivePercent);
}

void readFields(const json &node, ReplicaConfig &it) {
  node.at(0).get_to(it.Service);
  node.at(1).get_to(it.Address);
  node.at(2).get_to(it.FailureDomain);
  node.at(3).get_to(it.Slots);
  node.at(4).get_to(it.Batch);
  node.at(5).get_to(it.ChecksFencing);
}

void readFields(const json &node, AdapterConfig &it) {
  node.at(0).get_to(it.Service);
  node.at(1).get_to(it.Current);
  node.at(2).get_to(it.Versions);
}

void readFields(const json &node, ServiceClass &it) {
  node.at(0).get_to(it.Priority);
  it.Deadline = Span(node.at(1).get<std::int64_t>());
  node.at(2).get_to(it.QueueLimit);
}

void readFields(const json &node, PinEntry &it) {
  node.at(0).get_to(it.Pin.Adapter.Name);
  node.at(1).get_to(it.Pin.Adapter.Version);
  node.at(2).get_to(it.Pin.FailureDomain);
  node.at(3).get_to(it.Pin.Copies);
}

void readFields(const json &node, RuleEntry &it) {
  node.at(0).get_to(it.Rule.Adapter);
  node.at(1).get_to(it.Rule.FailureDomains);
}

void readFields(const json &, DrainEntry &) {}

json writeChange(const ConfigEntry &entry, bool removed) {
  json node = json::array({entry.index(), entryName(entry)});
  if (!removed)
    node.push_back(
        std::visit([](const auto &it) { return fields(it); }, entry));
  return node;
}

template <std::size_t Index = 0>
ConfigChange readChange(const json &node, std::size_t kind) {
  if constexpr (Index == std::variant_size_v<ConfigEntry>) {
    throw std::out_of_range("unknown kind of entry");
  } else {
    if (kind != Index)
      return readChange<Index + 1>(node, kind);
    std::variant_alternative_t<Index, ConfigEntry> entry;
    node.at(1).get_to(entry.Name);
    bool removed = node.size() == 2;
    if (!removed)
      readFields(node.at(2), entry);
    return {std::move(entry), removed};
  }
}

std::vector<ConfigChange> readChanges(const json &nodes) {
  std::vector<ConfigChange> out;
  out.reserve(nodes.size());
  for (const auto &it : nodes)
    out.push_back(readChange(it, it.at(0).get<std::size_t>()));
  return out;
}

std::string write(const json &node) {
  return node.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Reads text with `read`; nothing if it is malformed.
template <typename Read>
auto parsed(const std::string &text, Read read)
    -> std::optional<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string configDeltaKey(Revision number) {
  std::array<char, 24> buf{};
  std::snprintf(buf.data(), buf.size(), "%020llu",
                static_cast<unsigned long long>(number));
  return std::string(ConfigDeltaPrefix) + buf.data();
}

std::string configSnapshotName(Revision number) {
  return "config/snapshot/" + std::to_string(number);
}

std::string encodeHead(const ConfigHead &head) {
  json commits = json::array();
  for (const auto &it : head.Commits)
    commits.push_back({it.Number, it.CommandId, it.Operator});
  return write({{"revision", head.Number},
                {"snapshot", head.Snapshot},
                {"commits", std::move(commits)}});
}

std::optional<ConfigHead> decodeHead(const std::string &text) {
  return parsed(text, [](const json &node) {
    ConfigHead head;
    node.at("revision").get_to(head.Number);
    node.at("snapshot").get_to(head.Snapshot);
    for (const auto &it : node.at("commits"))
      head.Commits.push_back({it.at(0).get<Revision>(),
                              it.at(1).get<std::string>(),
                              it.at(2).get<std::string>()});
    return head;
  });
}

std::string encodeDelta(const ConfigDelta &delta) {
  json changes = json::array();
  for (const auto &it : delta.Changes)
    changes.push_back(writeChange(it.Entry, it.Removed));
  return write({{"revision", delta.Number},
                {"command", delta.CommandId},
                {"operator", delta.Operator},
                {"changes", std::move(changes)}});
}

std::optional<ConfigDelta> decodeDelta(const std::string &text) {
  return parsed(text, [](const json &node) {
    ConfigDelta delta;
    node.at("revision").get_to(delta.Number);
    node.at("command").get_to(delta.CommandId);
    node.at("operator").get_to(delta.Operator);
    delta.Changes = readChanges(node.at("changes"));
    return delta;
  });
}

std::string encodePiece(const CatalogView &view, std::size_t index) {
  json entries = json::array();
  for (const auto &it : view.piece(index))
    entries.push_back(writeChange(it, false));
  return write(entries);
}

std::optional<std::vector<ConfigChange>> decodePiece(const std::string &text) {
  return parsed(text, [](const json &node) { return readChanges(node); });
}

std::string encodeDeltaObjects(const ConfigDeltaObjects &objects) {
  return write({{"object", objects.Name}, {"pieces", objects.Pieces}});
}

std::optional<ConfigDeltaObjects> decodeDeltaObjects(const std::string &text) {
  // Keys are written in alphabetical order, so a row that refers to objects
  // starts with this one.
  if (!text.starts_with(R"({"object")"))
    return std::nullopt;
  return parsed(text, [](const json &node) {
    return ConfigDeltaObjects{node.at("object").get<std::string>(),
                              node.at("pieces").get<std::size_t>()};
  });
}

} // namespace hemlockglade
