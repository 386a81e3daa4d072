#include "Hemlockglade/Protocol/Settings/CatalogDiff.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// The fields of a declaration as names and texts, to compare and print them.
using Values = std::vector<std::pair<std::string_view, std::string>>;

template <typename List> std::string join(const List &list) {
  std::string out;
  for (const auto &it : list) {
    out += out.empty() ? "" : ",";
    if constexpr (std::is_integral_v<std::decay_t<decltype(it)>>)
      out += std::to_string(it);
    else
      out += it;
  }
  return '[' + out + ']';
}

Values values(const ServiceConfig &it) {
  return {{"kind", it.Kind == ServiceKind::Plain ? "plain" : "engine"},
          {"cells", std::to_string(it.Cells)},
          {"base_model", it.BaseModel},
          {"objective_percent", std::to_string(it.ObjectivePercent)}};
}

Values values(const ReplicaConfig &it) {
  return {{"service", it.Service},
          {"address", it.Address},
          {"failure_domain", it.FailureDomain},
          {"slots", std::to_string(it.Slots)},
          {"batch", std::to_string(it.Batch)},
          {"checks_fencing", it.ChecksFencing ? "true" : "false"}};
}

Values values(const AdapterConfig &it) {
  return {{"service", it.Service},
          {"versions", join(it.Versions)},
          {"current", std::to_string(it.Current)}};
}

Values values(const ServiceClass &it) {
  auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(it.Deadline);
  return {{"priority", std::to_string(it.Priority)},
          {"deadline_ms", std::to_string(deadline.count())},
          {"queue_limit", std::to_string(it.QueueLimit)}};
}

Values values(const PinConfig &it) {
  return {{"copies", std::to_string(it.Copies)}};
}

Values values(const PlacementRule &it) {
  return {{"failure_domains", join(it.FailureDomains)}};
}

/// Entries of the drained set have no fields beside their name.
Values values(bool) { return {}; }

std::string valueText(const Values &values) {
  std::string out;
  for (const auto &[key, value] : values) {
    if (!value.empty())
      out += ' ' + std::string(key) + '=' + value;
  }
  return out;
}

std::string changeText(const Values &before, const Values &after) {
  std::string out;
  for (std::size_t it = 0; it < before.size(); ++it) {
    if (before[it].second == after[it].second)
      continue;
    auto orNone = [](const std::string &text) {
      return text.empty() ? std::string("none") : text;
    };
    out += ' ' + std::string(before[it].first) + '=' +
           orNone(before[it].second) + "->" + orNone(after[it].second);
  }
  return out;
}

template <typename T>
void diff(const std::string &kind, const std::map<std::string, T> &before,
          const std::map<std::string, T> &after,
          std::vector<std::string> &lines) {
  auto old = before.begin();
  auto now = after.begin();
  while (old != before.end() || now != after.end()) {
    bool removed =
        now == after.end() || (old != before.end() && old->first < now->first);
    bool added =
        old == before.end() || (now != after.end() && now->first < old->first);
    if (removed) {
      lines.push_back("- " + kind + ' ' + old->first);
      ++old;
    } else if (added) {
      lines.push_back("+ " + kind + ' ' + now->first +
                      valueText(values(now->second)));
      ++now;
    } else {
      if (old->second != now->second)
        lines.push_back("~ " + kind + ' ' + now->first +
                        changeText(values(old->second), values(now->second)));
      ++old;
      ++now;
    }
  }
}

template <typename Map> auto sorted(const Map &map) {
  return std::map<std::string, typename Map::mapped_type>(map.begin(),
                                                          map.end());
}

std::map<std::string, PlacementRule> rulesByAdapter(const Catalog &catalog) {
  std::map<std::string, PlacementRule> out;
  for (const auto &it : catalog.Rules)
    out.emplace(it.Adapter, it);
  return out;
}

/// Returns the names of the rules that both catalogs have, in the order of
/// `catalog`. The order matters because the first rule that matches an adapter
/// applies.
std::string ruleOrder(const Catalog &catalog,
                      const std::map<std::string, PlacementRule> &others) {
  std::vector<std::string> names;
  for (const auto &it : catalog.Rules) {
    if (others.contains(it.Adapter))
      names.push_back(it.Adapter);
  }
  return join(names);
}

} // namespace

std::vector<std::string> diffCatalogs(const Catalog &before,
                                      const Catalog &after) {
  std::vector<std::string> lines;
  diff("service", before.Services, after.Services, lines);
  diff("replica", before.Replicas, after.Replicas, lines);
  diff("adapter", sorted(before.Adapters), sorted(after.Adapters), lines);
  diff("class", before.Classes, after.Classes, lines);
  auto oldRules = rulesByAdapter(before);
  auto newRules = rulesByAdapter(after);
  diff("rule", oldRules, newRules, lines);
  auto oldOrder = ruleOrder(before, newRules);
  auto newOrder = ruleOrder(after, oldRules);
  if (oldOrder != newOrder)
    lines.push_back("~ rules order=" + oldOrder + "->" + newOrder);
  diff("pin", before.Pins, after.Pins, lines);
  diff("drained", before.Drained, after.Drained, lines);
  return lines;
}

} // namespace hemlockglade
