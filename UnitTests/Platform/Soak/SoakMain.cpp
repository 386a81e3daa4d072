// Runs real gateways under load with faults drawn from a seed, and prints a
// verdict from the events that callers and replicas recorded.

#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"
#include "UnitTests/History/HistoryChecker.h"
#include "UnitTests/Platform/Soak/SoakBrittle.h"
#include "UnitTests/Platform/Soak/SoakCutOffs.h"
#include "UnitTests/Platform/Soak/SoakDraining.h"
#include "UnitTests/Platform/Soak/SoakEndless.h"
#include "UnitTests/Platform/Soak/SoakLimits.h"
#include "UnitTests/Platform/Soak/SoakPauses.h"
#include "UnitTests/Platform/Soak/SoakRetries.h"
#include "UnitTests/Platform/Soak/SoakStreams.h"
#include "UnitTests/Platform/Soak/SoakVersions.h"
#include "UnitTests/Platform/Soak/SoakWorld.h"

#include <algorithm>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(
    seed, 1,
    "seed of all random choices; the timing still varies between runs");
DEFINE_double(seconds, 20, "how long faults are injected, in seconds");
DEFINE_string(program, "build/hemlockgladed", "path of the gateway's program");
DEFINE_string(folder, "", "folder for settings and logs; a new one if empty");
DEFINE_int32(nodes, 6, "number of gateways");
DEFINE_int32(engines, 6, "number of engines");
DEFINE_double(rate, 40, "requests per second");
DEFINE_double(
    recovery, 12,
    "time after the faults until the deployment must serve again, in seconds");
DEFINE_string(
    plant, "",
    "a violation that the verdict has to find: workspace, swap, twice, "
    "refused, pause, leaving, endless or crowd");
DEFINE_double(fault_every, 0.7, "mean time between faults, in seconds");
DEFINE_double(crashing_every, 0,
              "time between requests that crash the replicas that run them, in "
              "seconds; 0 for none");
DEFINE_double(crashing_parts_every, 0,
              "time between requests with a part in their prompts that crashes "
              "replicas, in seconds; 0 for none");
DEFINE_double(
    drill_every, 0,
    "time between reverts of the store to a state some seconds older, "
    "in seconds; 0 for none");
DEFINE_double(entries_every, 0,
              "time between faults of all gateways that the directory last "
              "returned to callers, in seconds; 0 for none");

DEFINE_double(names_every, 0,
              "time between declarations of new versions of a few adapters, in "
              "seconds; 0 for none");
DEFINE_double(limits_every, 0,
              "time between statements of limits by replicas, in seconds; 0 "
              "for none");
DEFINE_double(stale_lists_every, 0,
              "time between events that leave gateways with an old list of "
              "replicas while a replica drains, in seconds; 0 for none");
DEFINE_double(cut_off_every, 0,
              "time between cuts of gateways from all replicas, in seconds, at "
              "least 7; 0 for none");
DEFINE_double(lives_every, 0,
              "time between series in which engines lose their answers while "
              "all gateways are killed several times, in seconds; 0 for none");
DEFINE_double(releases_every, 0,
              "time between releases of new software versions to some engines, "
              "in seconds; 0 for none");
DEFINE_double(brittle_every, 0,
              "time between times in which replicas fail from rejections, in "
              "seconds; 0 for none");
DEFINE_double(
    pauses_every, 0,
    "time between times in which replicas reject requests and ask for "
    "pauses, in seconds; 0 for none");
DEFINE_double(
    leaves_every, 0,
    "time between replicas that leave and say so in their answers, in "
    "seconds; 0 for none");
DEFINE_bool(uneven, false, "engines take 0.6, 1 or 1.6 times the usual time");
DEFINE_double(hot_every, 0,
              "time between changes of the adapter that half of the requests "
              "for engines ask for, in seconds; 0 for none");
DEFINE_double(crowds_every, 0,
              "time between crowds of clients that hold or send too much, in "
              "seconds; none if 0");
DEFINE_double(endless_every, 0,
              "time between times in which a replica answers by bytes without "
              "end, in seconds; 0 for none");
DEFINE_double(repeats_every, 0,
              "time between times in which replicas repeat answers late, in "
              "seconds; 0 for none");
DEFINE_bool(workspaces, false,
            "callers belong to workspaces with keys, of which one exceeds its "
            "limit");

namespace hemlockglade::soak {

namespace {

constexpr int UsageError = 2;

/// Checks that a request is barred after it has crashed three replicas. Up to
/// three more crashes may come later than the time in which all nodes must have
/// received this.
bool checkCrashes(const SoakWorld &world) {
  constexpr std::size_t BarredAfter = 3;
  constexpr std::ptrdiff_t MaxLate = 3;
  constexpr auto PropagationTime = std::chrono::seconds(3);
  const auto &all = world.crashes();
  std::ptrdiff_t late = 0;
  if (all.size() >= BarredAfter)
    late = std::count_if(all.begin(), all.end(),
                         [from = all[BarredAfter - 1] + PropagationTime](
                             const auto &at) { return at > from; });
  bool isHeld = late <= MaxLate;
  std::cout << (isHeld ? "held    " : "BROKEN  ")
            << "a request that crashes replicas is sent to few: " << all.size()
            << " crashed, " << late << " of them late\n";
  return isHeld;
}

/// Checks that few requests with a part reach replicas after it has crashed
/// five of them and all nodes must have received this.
bool checkPartCrashes(const SoakWorld &world) {
  constexpr std::size_t BarredAfter = 5;
  constexpr std::ptrdiff_t MaxLate = 3;
  constexpr auto PropagationTime = std::chrono::seconds(3);
  const auto &crashes = world.partCrashes();
  const auto &arrivals = world.partArrivals();
  std::ptrdiff_t late = 0;
  if (crashes.size() >= BarredAfter)
    late = std::count_if(arrivals.begin(), arrivals.end(),
                         [from = crashes[BarredAfter - 1] + PropagationTime](
                             const auto &at) { return at > from; });
  bool isHeld = late <= MaxLate;
  std::cout << (isHeld ? "held    " : "BROKEN  ")
            << "a part that crashes replicas is sent to few: " << crashes.size()
            << " crashed, " << late << " sent late\n";
  return isHeld;
}

bool printResult(bool isHeld, const std::string &what) {
  std::cout << (isHeld ? "held    " : "BROKEN  ") << what << '\n';
  return isHeld;
}

bool checkWorkspaces(const SoakWorld &world) {
  const auto *all = world.workspaces();
  if (!all)
    return true;
  bool isKnown =
      printResult(all->violations().empty(),
                  "each run is its caller's workspace's, without a key: " +
                      std::to_string(all->violations().size()) + " are not");
  if (!isKnown)
    std::cout << "  " << all->violations().front() << '\n';
  auto [maxRuns, allowed] = all->maxRunsInWindow();
  bool isHeld = printResult(
      static_cast<double>(maxRuns) <= allowed,
      "a limit holds over all gateways: " + std::to_string(maxRuns) +
          " run in a window, " + std::to_string(allowed) + " may be");
  for (const auto &name : SoakWorkspaces::names())
    isHeld =
        printResult(all->runCountOf(name) > 0,
                    "nobody starves: " + std::to_string(all->runCountOf(name)) +
                        " run of " + name) &&
        isHeld;
  auto [sent, served] = world.quietRevoked();
  return printResult(served == 0,
                     "a revoked key is refused: " + std::to_string(served) +
                         " of " + std::to_string(sent) + " served") &&
         isHeld;
}

bool checkVersionBound(const std::vector<HistoryEvent> &events, Span bound) {
  constexpr auto ContactTime = std::chrono::seconds(3);
  constexpr std::size_t Shown = 5;
  auto findings = checkVersions(events, bound, ContactTime);
  printResult(
      findings.Late.empty(),
      "requests begin on versions that were not replaced beyond the bound: " +
          std::to_string(findings.Late.size()) + " of " +
          std::to_string(findings.Replaced) + " on replaced ones are late");
  for (std::size_t it = 0; it < std::min(Shown, findings.Late.size()); ++it)
    std::cout << "  " << findings.Late[it] << '\n';
  return findings.Late.empty();
}

bool checkStatedLimits(const std::vector<HistoryEvent> &events) {
  constexpr auto ContactTime = std::chrono::seconds(3);
  auto findings = checkLimits(events, ContactTime);
  auto exceeded = findings.Exceeded.size();
  printResult(exceeded == 0,
              "replicas get no more than the limits that they state: " +
                  std::to_string(exceeded) + " of " +
                  std::to_string(findings.Checked) + " exceeded");
  for (const auto &it : findings.Exceeded)
    std::cout << "  " << it << '\n';
  return exceeded == 0;
}

bool checkDrainingReplicas(const std::vector<HistoryEvent> &events) {
  auto findings = checkDraining(events, GatewaySettings{}.DrainBound);
  printResult(findings.Late.empty(),
              "draining replicas get no new requests, from paused gateways "
              "either: " +
                  std::to_string(findings.Late.size()) + " late, " +
                  std::to_string(findings.Drained) + " drained");
  for (const auto &it : findings.Late)
    std::cout << "  " << it << '\n';
  return findings.Late.empty();
}

bool checkLeavingReplicas(const std::vector<HistoryEvent> &events) {
  auto findings = checkLeaving(events, GatewaySettings{}.DrainBound);
  printResult(findings.Late.empty(),
              "replicas that say that they leave get no new requests: " +
                  std::to_string(findings.Late.size()) + " late, " +
                  std::to_string(findings.Told) + " gateways told");
  for (const auto &it : findings.Late)
    std::cout << "  " << it << '\n';
  return findings.Late.empty();
}

bool checkCutOffGateways(const std::vector<HistoryEvent> &events) {
  constexpr auto ContactTime = std::chrono::seconds(3);
  auto findings = checkCutOffs(events, ContactTime);
  printResult(findings.Poor.empty(),
              "gateways that are cut off from all replicas serve: " +
                  std::to_string(findings.Poor.size()) + " of " +
                  std::to_string(findings.Checked) + " cuts do not; " +
                  std::to_string(findings.Served) + " of " +
                  std::to_string(findings.Sent) + " requests served there");
  for (const auto &it : findings.Poor)
    std::cout << "  " << it << '\n';
  return findings.Poor.empty();
}

bool checkBrittleReplicas(const std::vector<HistoryEvent> &events) {
  constexpr auto ContactTime = std::chrono::seconds(3);
  auto findings = checkBrittle(events, ContactTime);
  printResult(findings.Exceeded.empty(),
              "replicas that fail from rejections are spared: " +
                  std::to_string(findings.Fallen) + " failed in " +
                  std::to_string(findings.Checked) + " times, " +
                  std::to_string(findings.Rejected) + " rejected of " +
                  std::to_string(findings.Arrived));
  for (const auto &it : findings.Exceeded)
    std::cout << "  " << it << '\n';
  return findings.Exceeded.empty();
}

bool checkAskedPauses(const std::vector<HistoryEvent> &events) {
  auto findings = checkPauses(events);
  printResult(findings.Broken.empty(),
              "replicas that ask for pauses get them: " +
                  std::to_string(findings.Broken.size()) + " of " +
                  std::to_string(findings.Asked) + " broken, " +
                  std::to_string(findings.Arrived) +
                  " requests arrived in pauses");
  for (const auto &it : findings.Broken)
    std::cout << "  " << it << '\n';
  return findings.Broken.empty();
}

bool checkEndlessAnswers(const std::vector<HistoryEvent> &events) {
  auto findings = checkEndless(events);
  printResult(
      findings.Open.empty(),
      "gateways close connections with answers without end: " +
          std::to_string(findings.Open.size()) + " of " +
          std::to_string(findings.Checked) + " open too long, " +
          std::to_string(findings.MaxOpen / std::chrono::milliseconds(1)) +
          " ms and " + std::to_string(findings.MaxBytes / 1024) +
          " KiB at most");
  for (const auto &it : findings.Open)
    std::cout << "  " << it << '\n';
  printResult(findings.Delivered.empty(),
              "callers get no answers without end: " +
                  std::to_string(findings.Delivered.size()) + " got one");
  for (const auto &it : findings.Delivered)
    std::cout << "  " << it << '\n';
  return findings.Open.empty() && findings.Delivered.empty();
}

bool checkCrowds(const SoakWorld &world) {
  if (world.crowdCount() == 0)
    return true;
  bool isHeld = world.peakMemory() > 0 && world.peakMemory() < MachineBytes;
  printResult(isHeld, "gateways stay within their memory: " +
                          std::to_string(world.crowdCount()) + " crowds, " +
                          std::to_string(world.peakMemory() >> 20U) + " of " +
                          std::to_string(MachineBytes >> 20U) + " MB at most");
  return isHeld;
}

bool checkRetryBudgets(const std::vector<HistoryEvent> &events,
                       int fixedRetries) {
  GatewaySettings defaults;
  auto findings =
      checkRetries(events, {defaults.RepeatShare, double(fixedRetries),
                            defaults.RepeatWindow});
  printResult(findings.Exceeded.empty(),
              "services get no more retries than their budgets allow: " +
                  std::to_string(findings.Retries) + " sent, at most " +
                  std::to_string(findings.MaxUsed) +
                  " of what is allowed in a window");
  for (const auto &it : findings.Exceeded)
    std::cout << "  " << it << '\n';
  return findings.Exceeded.empty();
}

bool checkStreamEvents(const std::vector<HistoryEvent> &events) {
  constexpr auto ContactTime = std::chrono::seconds(3);
  auto findings = checkStreams(events, ContactTime);
  printResult(findings.Mixed.empty(),
              "streams hold events of one software version: " +
                  std::to_string(findings.Mixed.size()) + " of " +
                  std::to_string(findings.Streams) + " are mixed");
  for (const auto &it : findings.Mixed)
    std::cout << "  " << it << '\n';
  printResult(
      findings.goOn(),
      "streams that are taken up go on: " + std::to_string(findings.GoneOn) +
          " of " + std::to_string(findings.TakenUp) + ", " +
          std::to_string(findings.Begun) + " of " +
          std::to_string(findings.Sent) + " new ones begin");
  return findings.Mixed.empty() && findings.goOn();
}

bool printVerdict(SoakWorld &world, const SoakWorld::Settings &settings) {
  HistoryBounds bounds;
  bounds.Configuration = GatewaySettings{}.PlanBound;
  auto events = world.history().take();
  bool isHeld = checkVersionBound(events, settings.VersionBound);
  isHeld = checkStatedLimits(events) && isHeld;
  isHeld = checkDrainingReplicas(events) && isHeld;
  isHeld = checkLeavingReplicas(events) && isHeld;
  isHeld = checkCutOffGateways(events) && isHeld;
  isHeld = checkBrittleReplicas(events) && isHeld;
  isHeld = checkAskedPauses(events) && isHeld;
  isHeld = checkEndlessAnswers(events) && isHeld;
  isHeld = checkRetryBudgets(events, settings.RepeatExtra) && isHeld;
  isHeld = checkStreamEvents(events) && isHeld;
  HistoryChecker checker(std::move(events), bounds);
  for (const auto &verdict : checker.check()) {
    constexpr std::size_t Shown = 5;
    print(std::cout, verdict, Shown);
    isHeld = isHeld && verdict.Violations.empty();
  }
  // Not all: requests affected by the last faults may still end in this time.
  constexpr double MinServedShare = 0.9;
  auto [sent, complete] = world.quietCounts();
  bool servesAgain = complete >= MinServedShare * sent;
  std::cout << (servesAgain ? "held    " : "BROKEN  ")
            << "serves again: " << complete << " of " << sent << " complete\n";
  bool noUnexpectedEnds = world.unexpectedEnds() == 0;
  std::cout << (noUnexpectedEnds ? "held    " : "BROKEN  ")
            << "no gateway ends by itself: " << world.unexpectedEnds()
            << " ends\n";
  bool partsHeld = checkPartCrashes(world);
  bool crowdsHeld = checkCrowds(world);
  return checkCrashes(world) && partsHeld && checkWorkspaces(world) && isHeld &&
         servesAgain && noUnexpectedEnds && crowdsHeld;
}

std::optional<SoakReplica::PlantedViolation> parsePlant(std::string_view name) {
  using PlantedViolation = SoakReplica::PlantedViolation;
  if (name.empty())
    return PlantedViolation::None;
  if (name == "swap")
    return PlantedViolation::SwapsAnswers;
  if (name == "twice")
    return PlantedViolation::RunsTwice;
  if (name == "refused")
    return PlantedViolation::RunsRefused;
  if (name == "pause")
    return PlantedViolation::SilentPauses;
  if (name == "leaving")
    return PlantedViolation::SilentLeaves;
  if (name == "endless")
    return PlantedViolation::UnclosedAnswers;
  if (name == "crowd")
    return PlantedViolation::HoldsCrowds;
  if (name == "workspace")
    return PlantedViolation::WrongWorkspace;
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
  settings.FaultInterval = spanOf(FLAGS_fault_every);
  settings.EntriesInterval = spanOf(FLAGS_entries_every);
  settings.RevertInterval = spanOf(FLAGS_drill_every);
  settings.VersionInterval = spanOf(FLAGS_names_every);
  // Short, so that short runs exceed it often.
  if (FLAGS_names_every > 0)
    settings.VersionBound = std::chrono::seconds(2);
  settings.LimitInterval = spanOf(FLAGS_limits_every);
  settings.StaleListInterval = spanOf(FLAGS_stale_lists_every);
  settings.CutOffInterval = spanOf(FLAGS_cut_off_every);
  settings.LivesInterval = spanOf(FLAGS_lives_every);
  // Little, so that it is not what retries are served from.
  if (FLAGS_lives_every > 0)
    settings.RepeatExtra = 20;
  settings.ReleaseInterval = spanOf(FLAGS_releases_every);
  settings.BrittleInterval = spanOf(FLAGS_brittle_every);
  settings.PauseInterval = spanOf(FLAGS_pauses_every);
  settings.LeaveInterval = spanOf(FLAGS_leaves_every);
  settings.Uneven = FLAGS_uneven;
  settings.HotInterval = spanOf(FLAGS_hot_every);
  settings.EndlessInterval = spanOf(FLAGS_endless_every);
  settings.RepeatInterval = spanOf(FLAGS_repeats_every);
  settings.CrowdInterval = spanOf(FLAGS_crowds_every);
  settings.Workspaces = FLAGS_workspaces;
  settings.CrashingInterval = spanOf(FLAGS_crashing_every);
  settings.CrashingPartInterval = spanOf(FLAGS_crashing_parts_every);
  settings.Recovery = spanOf(FLAGS_recovery);
  auto planted = parsePlant(FLAGS_plant);
  if (!planted) {
    std::cerr << "platform_soak: no plant is called " << FLAGS_plant << '\n';
    return UsageError;
  }
  settings.Planted = *planted;
  SoakWorld world(settings);
  world.runScenario(spanOf(FLAGS_seconds));
  const auto &counts = world.counts();
  std::cout << "seed " << FLAGS_seed << ": " << counts.Sent << " sent, "
            << counts.Complete << " complete, " << counts.Refused
            << " refused, " << counts.Failed << " failed, " << counts.Unknown
            << " unknown, " << counts.Aborted << " left; logs in "
            << settings.Folder << '\n';
  if (settings.RepeatInterval > Span(0))
    std::cout << "        answers repeated late: " << world.repeatCounts().first
              << ", refusals among them: " << world.repeatCounts().second
              << '\n';
  return printVerdict(world, settings) ? 0 : 1;
}

} // namespace

} // namespace hemlockglade::soak

int main(int argc, char **argv) {
  gflags::SetUsageMessage("platform_soak --seed N --seconds S");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hemlockglade::soak::run();
}
