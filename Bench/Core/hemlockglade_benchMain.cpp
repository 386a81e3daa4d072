#include "Bench/Core/CostProbe.h"
#include "Bench/Core/MarkdownTable.h"
#include "Bench/Core/Simulation.h"

#include <algorithm>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(scenario, "", "name of a workload file without its folder");
DEFINE_string(workload, "", "workload file; overrides --scenario");
DEFINE_string(workloads, "", "folder of the scenarios' workload files");
DEFINE_string(policy, "ours", "policy under test");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_bool(json, false, "print JSON on one line");
DEFINE_string(check, "", "file of bounds to check the figures against");
DEFINE_bool(table, false, "print a table of policies and scenarios");
DEFINE_string(scenarios, "", "scenarios of the table; all if empty");
DEFINE_string(policies, "lru,ours,oracle,clairvoyant", "policies of the table");
DEFINE_uint64(seeds, 3, "the table gives the mean over seeds 1 to this");
DEFINE_bool(costs, false, "measure the core's memory and decision times");
DEFINE_bool(list, false, "list scenarios and policies");

namespace {

using namespace hemlockglade::bench;
namespace fs = std::filesystem;

/// Returns the folder of --workloads if given; otherwise that of the working
/// directory, or of the source tree that contains the build folder.
fs::path workloadFolder() {
  if (!FLAGS_workloads.empty())
    return FLAGS_workloads;
  fs::path here = "Bench/Core/Workloads";
  if (fs::exists(here))
    return here;
  return fs::read_symlink("/proc/self/exe").parent_path().parent_path() / here;
}

std::vector<std::string> allScenarios() {
  std::vector<std::string> out;
  for (const auto &it : fs::directory_iterator(workloadFolder()))
    out.push_back(it.path().stem().string());
  std::sort(out.begin(), out.end());
  return out;
}

fs::path fileOf(const std::string &scenario) {
  return workloadFolder() / (scenario + ".yaml");
}

std::vector<std::string> split(const std::string &names) {
  std::vector<std::string> out;
  std::istringstream in(names);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

int list() {
  std::cout << "scenarios:\n";
  for (const auto &it : allScenarios())
    std::cout << "  " << it << ": " << readWorkload(fileOf(it)).About << "\n";
  std::cout << "policies:\n";
  for (const auto &it : policies())
    std::cout << "  " << it.Name << ": " << it.About << "\n";
  return 0;
}

nlohmann::json runFile(const fs::path &file, const std::string &name,
                       std::uint64_t seed) {
  const auto *policy = findPolicy(name);
  if (!policy)
    throw std::runtime_error("unknown policy '" + name + "'");
  Workload workload = readWorkload(file);
  auto out = Simulation(workload, *policy, seed).run().toJson();
  out["scenario"] = workload.Name;
  out["policy"] = name;
  out["seed"] = seed;
  return out;
}

nlohmann::json runScenario(const std::string &scenario,
                           const std::string &policy, std::uint64_t seed) {
  return runFile(fileOf(scenario), policy, seed);
}

int runOne() {
  auto figures = FLAGS_workload.empty()
                     ? runScenario(FLAGS_scenario, FLAGS_policy, FLAGS_seed)
                     : runFile(FLAGS_workload, FLAGS_policy, FLAGS_seed);
  std::cout << figures.dump(FLAGS_json ? -1 : 2) << "\n";
  return 0;
}

int checkBounds() {
  BoundsCheck check(runScenario, std::cout);
  return check.check(readBounds(FLAGS_check)) ? 0 : 1;
}

int printTable() {
  MarkdownTableSettings settings;
  settings.Scenarios =
      FLAGS_scenarios.empty() ? allScenarios() : split(FLAGS_scenarios);
  settings.Policies = split(FLAGS_policies);
  settings.Seeds = FLAGS_seeds;
  printMarkdownTable(settings, runScenario, std::cout);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("measures the decision core in virtual time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    if (FLAGS_list)
      return list();
    if (FLAGS_costs) {
      std::cout << measureCosts().dump(2) << "\n";
      return 0;
    }
    if (FLAGS_table)
      return printTable();
    return FLAGS_check.empty() ? runOne() : checkBounds();
  } catch (const std::exception &ex) {
    std::cerr << ex.what() << "\n";
    return 2;
  }
}
