#include "Bench/Core/Workload.h"

#include "Bench/Core/Random.h"

#include <map>
#include <set>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace hemlockglade::bench {

namespace {

/// Reads the members of a map; `finish` throws if there are unknown ones.
class Reader {
public:
  explicit Reader(const YAML::Node &node) : Node(node) {}

  template <typename T> void read(const char *name, T &out) {
    Known.insert(name);
    if (Node[name])
      out = Node[name].as<T>();
  }

  template <typename T, typename F>
  void list(const char *name, std::vector<T> &out, F readOne) {
    Known.insert(name);
    if (!Node[name])
      return;
    out.clear();
    for (const auto &it : Node[name])
      out.push_back(readOne(it));
  }

  void finish() const {
    for (const auto &it : Node) {
      auto name = it.first.as<std::string>();
      if (!Known.contains(name))
        throw std::runtime_error("unknown member '" + name + "'");
    }
  }

private:
  YAML::Node Node;
  std::set<std::string> Known;
};

EngineGroup readGroup(const YAML::Node &node) {
  EngineGroup out;
  Reader reader(node);
  reader.read("count", out.Count);
  reader.read("slots", out.Slots);
  reader.read("batch", out.Batch);
  reader.read("step_ms", out.StepMs);
  reader.read("step_per_request_ms", out.StepPerRequestMs);
  reader.read("prefill_tokens_per_step", out.PrefillTokensPerStep);
  reader.read("warm_up_s", out.WarmUpS);
  reader.read("warm_up_factor", out.WarmUpFactor);
  reader.finish();
  return out;
}

CallerClass readClass(const YAML::Node &node) {
  CallerClass out;
  Reader reader(node);
  int priority = out.Priority;
  reader.read("name", out.Name);
  reader.read("share", out.Share);
  reader.read("priority", priority);
  reader.read("deadline_s", out.DeadlineS);
  reader.read("tokens", out.Tokens);
  reader.read("prompt_tokens", out.PromptTokens);
  reader.read("caller_retries", out.CallerRetries);
  reader.read("repeatable", out.Repeatable);
  reader.finish();
  out.Priority = static_cast<std::uint8_t>(priority);
  return out;
}

RatePoint readRate(const YAML::Node &node) {
  RatePoint out;
  Reader reader(node);
  reader.read("at_s", out.AtS);
  reader.read("rate", out.Rate);
  reader.finish();
  return out;
}

FaultKind kindOf(const std::string &name) {
  static const std::map<std::string, FaultKind> Kinds = {
      {"shift", FaultKind::Shift},       {"wake", FaultKind::Wake},
      {"scan", FaultKind::Scan},         {"down", FaultKind::Down},
      {"store", FaultKind::Store},       {"doubtful", FaultKind::Doubtful},
      {"takeover", FaultKind::Takeover}, {"drain", FaultKind::Drain}};
  auto it = Kinds.find(name);
  if (it == Kinds.end())
    throw std::runtime_error("unknown fault '" + name + "'");
  return it->second;
}

Fault readFault(const YAML::Node &node) {
  Fault out;
  Reader reader(node);
  std::string kind;
  reader.read("kind", kind);
  reader.read("at_s", out.AtS);
  reader.read("for_s", out.ForS);
  reader.read("value", out.Value);
  reader.read("replica", out.Replica);
  reader.read("domain", out.Domain);
  reader.finish();
  out.Kind = kindOf(kind);
  return out;
}

Workload readAll(const YAML::Node &node) {
  Workload out;
  Reader reader(node);
  reader.read("name", out.Name);
  reader.read("about", out.About);
  reader.read("objective", out.Objective);
  reader.read("duration_s", out.DurationS);
  reader.read("drain_s", out.DrainS);
  reader.list("engines", out.Engines, readGroup);
  reader.read("domains", out.Domains);
  reader.read("adapters", out.Adapters);
  reader.read("zipf", out.Zipf);
  reader.read("idle", out.Idle);
  reader.list("rates", out.Rates, readRate);
  reader.read("session_requests", out.SessionRequests);
  reader.read("session_gap_s", out.SessionGapS);
  reader.list("classes", out.Classes, readClass);
  reader.read("loads_per_s", out.LoadsPerS);
  reader.read("load_failures", out.LoadFailures);
  reader.read("broken_adapters", out.BrokenAdapters);
  reader.read("lost_orders", out.LostOrders);
  reader.read("ruled_adapters", out.RuledAdapters);
  reader.read("report_period_s", out.ReportPeriodS);
  reader.read("report_lag_s", out.ReportLagS);
  reader.read("report_gaps", out.ReportGaps);
  reader.list("faults", out.Faults, readFault);
  reader.finish();
  return out;
}

} // namespace

std::uint32_t Workload::ruledDomain(std::uint32_t adapter) const {
  Random draw(adapter);
  if (draw.uniform() >= RuledAdapters)
    return 0;
  return static_cast<std::uint32_t>(draw.below(Domains)) + 1;
}

std::uint32_t Workload::replicas() const {
  std::uint32_t n = 0;
  for (const auto &group : Engines)
    n += group.Count;
  return n;
}

Workload readWorkload(const std::string &path) {
  try {
    return readAll(YAML::LoadFile(path));
  } catch (const std::exception &ex) {
    throw std::runtime_error(path + ": " + ex.what());
  }
}

} // namespace hemlockglade::bench
