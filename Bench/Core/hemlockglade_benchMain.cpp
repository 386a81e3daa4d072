#include "Bench/Core/Simulation.h"

#include <algorithm>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(scenario, "", "name of a workload file without its folder");
DEFINE_string(workload, "", "workload file; goes before --scenario");
DEFINE_string(workloads, "", "folder of the scenarios' workload files");
DEFINE_string(policy, "ours", "policy under test");
DEFINE_uint64(seed, 1, "seed of the arrivals");
DEFINE_bool(json, false, "print JSON on one line");
DEFINE_bool(list, false, "list scenarios and policies");

namespace {

using namespace hemlockglade::bench;
namespace fs = std::filesystem;

/// The named folder, or the one of the source tree that we were built in.
fs::path workloadFolder() {
  if (!FLAGS_workloads.empty())
    return FLAGS_workloads;
  fs::path here = "Bench/Core/Workloads";
  if (fs::exists(here))
    return here;
  return fs::read_symlink("/proc/self/exe").parent_path().parent_path() / here;
}

void list() {
  std::vector<fs::path> files;
  for (const auto &it : fs::directory_iterator(workloadFolder()))
    files.push_back(it.path());
  std::sort(files.begin(), files.end());
  std::cout << "scenarios:\n";
  for (const auto &it : files) {
    auto about = readWorkload(it).About;
    std::cout << "  " << it.stem().string() << ": " << about << "\n";
  }
  std::cout << "policies:\n";
  for (const auto &it : policies())
    std::cout << "  " << it.Name << ": " << it.About << "\n";
}

int runOne() {
  const auto *policy = findPolicy(FLAGS_policy);
  if (!policy)
    throw std::runtime_error("unknown policy '" + FLAGS_policy + "'");
  fs::path file = FLAGS_workload;
  if (file.empty())
    file = workloadFolder() / (FLAGS_scenario + ".yaml");
  Workload workload = readWorkload(file);
  auto figures = Simulation(workload, *policy, FLAGS_seed).run().toJson();
  figures["scenario"] = workload.Name;
  figures["policy"] = policy->Name;
  figures["seed"] = FLAGS_seed;
  std::cout << figures.dump(FLAGS_json ? -1 : 2) << "\n";
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("measures the decision core in virtual time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    if (FLAGS_list) {
      list();
      return 0;
    }
    return runOne();
  } catch (const std::exception &ex) {
    std::cerr << ex.what() << "\n";
    return 2;
  }
}
