// Real gateways under load while things fail, all drawn from a seed, and a
// verdict from what callers and replicas saw.

#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"
#include "UnitTests/History/HistoryChecker.h"
#include "UnitTests/Platform/Soak/SoakVersions.h"
#include "UnitTests/Platform/Soak/SoakWorld.h"

#include <algorithm>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(seed, 1, "what happens follows from it; when, not quite");
DEFINE_double(seconds, 20, "how long things fail, in seconds");
DEFINE_string(program, "build/hemlockgladed", "the gateway's program");
DEFINE_string(folder, "", "folder for settings and logs; a new one if empty");
DEFINE_int32(nodes, 6, "gateways");
DEFINE_int32(engines, 6, "engines");
DEFINE_double(rate, 40, "requests a second");
DEFINE_double(recovery, 12, "time to serve again after faults, in seconds");
DEFINE_string(plant, "",
              "a breach that the verdict has to find: workspace, swap, twice "
              "or refused");
DEFINE_double(fault_every, 0.7, "mean time between faults, in seconds");
DEFINE_double(crashing_every, 0,
              "time between sendings of a request that crashes the replicas "
              "that run it, in seconds; 0 for none");
DEFINE_double(drill_every, 0,
              "time between returns of the store as it was some seconds "
              "before, in seconds; 0 for none");
DEFINE_double(entries_every, 0,
              "time between losses of all gateways that callers were last "
              "named, in seconds; 0 for none");

DEFINE_double(names_every, 0,
              "time between names of new versions of few adapters, in seconds; "
              "0 for none");
DEFINE_bool(workspaces, false,
            "callers belong to workspaces with keys, one beyond its limit");

namespace hemlockglade::soak {

namespace {

constexpr int UsageError = 2;

/// A request that has crashed three replicas may reach three more later than
/// the time in which all nodes have to know.
bool judgeCrashes(const SoakWorld &world) {
  constexpr std::size_t Convicts = 3;
  constexpr std::ptrdiff_t Allowed = 3;
  constexpr auto KnownWithin = std::chrono::seconds(3);
  const auto &all = world.crashes();
  std::ptrdiff_t late = 0;
  if (all.size() >= Convicts)
    late = std::count_if(all.begin(), all.end(),
                         [from = all[Convicts - 1] + KnownWithin](
                             const auto &at) { return at > from; });
  bool holds = late <= Allowed;
  std::cout << (holds ? "held    " : "BROKEN  ")
            << "a request that crashes replicas is sent to few: " << all.size()
            << " crashed, " << late << " of them late\n";
  return holds;
}

bool say(bool holds, const std::string &what) {
  std::cout << (holds ? "held    " : "BROKEN  ") << what << '\n';
  return holds;
}

bool judgeWorkspaces(const SoakWorld &world) {
  const auto *all = world.workspaces();
  if (!all)
    return true;
  bool known = say(all->faults().empty(),
                   "each run is its caller's workspace's, without a key: " +
                       std::to_string(all->faults().size()) + " are not");
  if (!known)
    std::cout << "  " << all->faults().front() << '\n';
  auto [most, allowed] = all->mostInWindow();
  bool held =
      say(static_cast<double>(most) <= allowed,
          "a limit holds over all gateways: " + std::to_string(most) +
              " run in a window, " + std::to_string(allowed) + " may be");
  for (const auto &name : SoakWorkspaces::names())
    held = say(all->runsOf(name) > 0,
               "nobody starves: " + std::to_string(all->runsOf(name)) +
                   " run of " + name) &&
           held;
  auto [tried, served] = world.quietRevoked();
  return say(served == 0,
             "a revoked key is refused: " + std::to_string(served) + " of " +
                 std::to_string(tried) + " served") &&
         held;
}

bool judgeBeginnings(const std::vector<HistoryEvent> &events, Span bound) {
  constexpr auto Contact = std::chrono::seconds(3);
  constexpr std::size_t Shown = 5;
  auto found = judgeVersions(events, bound, Contact);
  say(found.Late.empty(),
      "requests begin on versions that were not replaced beyond the bound: " +
          std::to_string(found.Late.size()) + " of " +
          std::to_string(found.Replaced) + " on replaced ones are late");
  for (std::size_t it = 0; it < std::min(Shown, found.Late.size()); ++it)
    std::cout << "  " << found.Late[it] << '\n';
  return found.Late.empty();
}

bool judge(SoakWorld &world, Span versionBound) {
  HistoryBounds bounds;
  bounds.Configuration = GatewaySettings{}.PlanBound;
  auto events = world.history().take();
  bool held = judgeBeginnings(events, versionBound);
  HistoryChecker checker(std::move(events), bounds);
  for (const auto &verdict : checker.check()) {
    constexpr std::size_t Shown = 5;
    print(std::cout, verdict, Shown);
    held = held && verdict.Violations.empty();
  }
  // Nine in ten: callers of the last faults may still come to their ends.
  constexpr double LeastServed = 0.9;
  auto [sent, complete] = world.quietEnd();
  bool serves = complete >= LeastServed * sent;
  std::cout << (serves ? "held    " : "BROKEN  ")
            << "serves again: " << complete << " of " << sent << " complete\n";
  bool lives = world.selfEnds() == 0;
  std::cout << (lives ? "held    " : "BROKEN  ")
            << "no gateway ends by itself: " << world.selfEnds() << " ends\n";
  return judgeCrashes(world) && judgeWorkspaces(world) && held && serves &&
         lives;
}

std::optional<SoakReplica::Plant> plantNamed(std::string_view name) {
  using Plant = SoakReplica::Plant;
  if (name.empty())
    return Plant::None;
  if (name == "swap")
    return Plant::SwapsAnswers;
  if (name == "twice")
    return Plant::RunsTwice;
  if (name == "refused")
    return Plant::RunsRefused;
  if (name == "workspace")
    return Plant::MistakesWorkspace;
  return std::nullopt;
}

int run() {
  SoakWorld::Settings settings;
  settings.Program = std::filesystem::absolute(FLAGS_program);
  settings.Folder = FLAGS_folder;
  if (settings.Folder.empty()) {
    char name[] = "/tmp/hemlockglade-soak-XXXXXX";
    if (!::mkdtemp(name))
      return UsageError;
    settings.Folder = name;
  }
  std::filesystem::create_directories(settings.Folder);
  settings.Seed = FLAGS_seed;
  settings.Nodes = FLAGS_nodes;
  settings.Engines = FLAGS_engines;
  settings.Rate = FLAGS_rate;
  settings.FaultEvery = spanOf(FLAGS_fault_every);
  settings.EntriesEvery = spanOf(FLAGS_entries_every);
  settings.DrillEvery = spanOf(FLAGS_drill_every);
  settings.NamesEvery = spanOf(FLAGS_names_every);
  // Short, so that short runs pass it often.
  if (FLAGS_names_every > 0)
    settings.VersionBound = std::chrono::seconds(2);
  settings.Workspaces = FLAGS_workspaces;
  settings.CrashingEvery = spanOf(FLAGS_crashing_every);
  settings.Recovery = spanOf(FLAGS_recovery);
  auto planted = plantNamed(FLAGS_plant);
  if (!planted) {
    std::cerr << "platform_soak: no plant is called " << FLAGS_plant << '\n';
    return UsageError;
  }
  settings.Planted = *planted;
  SoakWorld world(settings);
  world.play(spanOf(FLAGS_seconds));
  const auto &counts = world.counts();
  std::cout << "seed " << FLAGS_seed << ": " << counts.Sent << " sent, "
            << counts.Complete << " complete, " << counts.Refused
            << " refused, " << counts.Failed << " failed, " << counts.Unknown
            << " unknown, " << counts.Left << " left; logs in "
            << settings.Folder << '\n';
  return judge(world, settings.VersionBound) ? 0 : 1;
}

} // namespace

} // namespace hemlockglade::soak

int main(int argc, char **argv) {
  gflags::SetUsageMessage("platform_soak --seed N --seconds S");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hemlockglade::soak::run();
}
