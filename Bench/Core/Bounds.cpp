#include "Bench/Core/Bounds.h"

#include <algorithm>
#include <ostream>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace hemlockglade::bench {

namespace {

constexpr const char *MustBeZero[] = {"lost",
                                      "doubled",
                                      "wrong_adapter",
                                      "evicted_while_serving",
                                      "evicted_without_lease",
                                      "outside_rule"};

Bound readBound(const YAML::Node &node) {
  Bound out;
  out.Figure = node["figure"].as<std::string>();
  if (out.Figure.starts_with("decision_ns"))
    throw std::runtime_error("wall-clock figures are not bounded");
  out.IsMaximum = static_cast<bool>(node["max"]);
  if (out.IsMaximum == static_cast<bool>(node["min"]))
    throw std::runtime_error(out.Figure + " needs one of max and min");
  out.Value = node[out.IsMaximum ? "max" : "min"].as<double>();
  if (node["times"])
    out.Versus = node["times"].as<std::string>();
  return out;
}

BoundRow readRow(const YAML::Node &node) {
  BoundRow out;
  out.Scenario = node["scenario"].as<std::string>();
  out.Policy = node["policy"].as<std::string>();
  out.Seeds = node["seeds"].as<std::vector<std::uint64_t>>();
  if (out.Seeds.empty())
    throw std::runtime_error(out.Scenario + " has no seeds");
  for (const auto &it : node["bounds"])
    out.Bounds.push_back(readBound(it));
  return out;
}

bool bounds(const BoundRow &row, std::string_view figure) {
  return std::any_of(row.Bounds.begin(), row.Bounds.end(),
                     [figure](const auto &it) { return it.Figure == figure; });
}

} // namespace

std::vector<BoundRow> readBounds(const std::filesystem::path &path) {
  try {
    std::vector<BoundRow> out;
    for (const auto &it : YAML::LoadFile(path)["rows"])
      out.push_back(readRow(it));
    if (out.empty())
      throw std::runtime_error("no rows");
    return out;
  } catch (const std::exception &ex) {
    throw std::runtime_error(path.string() + ": " + ex.what());
  }
}

BoundsCheck::BoundsCheck(RunFunction run, std::ostream &out)
    : Run(std::move(run)), Out(out) {}

bool BoundsCheck::check(const std::vector<BoundRow> &rows) {
  bool all = true;
  for (const auto &row : rows)
    all &= checkRow(row);
  Out << (all ? "all bounds hold" : "some bounds do not hold") << "\n";
  return all;
}

bool BoundsCheck::checkRow(const BoundRow &row) {
  Out << row.Scenario << " " << row.Policy << " seeds";
  for (std::uint64_t seed : row.Seeds)
    Out << " " << seed;
  Out << ":";
  bool all = true;
  for (const char *it : MustBeZero) {
    if (!bounds(row, it))
      all &= holds({it, true, 0, ""}, row);
  }
  for (const auto &it : row.Bounds)
    all &= holds(it, row);
  Out << (all ? " ok" : " FAILED") << std::endl;
  return all;
}

bool BoundsCheck::holds(const Bound &bound, const BoundRow &row) {
  double value = mean(bound.Figure, row, row.Policy);
  double limit = bound.Value;
  if (!bound.Versus.empty())
    limit *= mean(bound.Figure, row, bound.Versus);
  bool met = bound.IsMaximum ? value <= limit : value >= limit;
  bool zeroMet = met && bound.IsMaximum && limit == 0;
  if (!zeroMet)
    Out << " " << bound.Figure << "=" << value << (met ? " " : " NOT ")
        << (bound.IsMaximum ? "<=" : ">=") << " " << limit << ";";
  return met;
}

double BoundsCheck::mean(const std::string &figure, const BoundRow &row,
                         const std::string &policy) {
  double sum = 0;
  for (std::uint64_t seed : row.Seeds)
    sum += figures(row.Scenario, policy, seed).at(figure).get<double>();
  return sum / static_cast<double>(row.Seeds.size());
}

const nlohmann::json &BoundsCheck::figures(const std::string &scenario,
                                           const std::string &policy,
                                           std::uint64_t seed) {
  auto [it, added] = Results.try_emplace({scenario, policy, seed});
  if (added)
    it->second = Run(scenario, policy, seed);
  return it->second;
}

} // namespace hemlockglade::bench
