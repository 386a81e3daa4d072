#pragma once

#include "UnitTests/Platform/Soak/LoopbackNetwork.h"
#include "UnitTests/Platform/Soak/ProcessMemory.h"
#include "UnitTests/Platform/Soak/SoakCallers.h"
#include "UnitTests/Platform/Soak/SoakCrowd.h"

#include <asio/signal_set.hpp>
#include <csignal>

namespace hemlockglade::soak {

/// A deployment on loopback: real gateways, and stand-ins for everything else.
/// Injects faults that are drawn from a seed.
class SoakWorld {
public:
  struct Settings {
    std::string Program;
    std::string Folder;
    std::uint64_t Seed = 1;
    int Nodes = 6;
    int Engines = 6;
    /// Requests per second.
    double Rate = 40;
    /// Mean time between two faults, which may overlap.
    Span FaultInterval = std::chrono::milliseconds(700);
    /// Time between two faults of all gateways that the directory last returned
    /// to callers; none if 0.
    Span EntriesInterval{0};
    /// Time between requests that crash replicas; none if 0.
    Span CrashingInterval{0};
    /// Time between requests with a part in their prompts that crashes
    /// replicas; none if 0.
    Span CrashingPartInterval{0};
    /// Time between reverts of the store to an older state; none if 0.
    Span RevertInterval{0};
    /// Time between declarations of new versions of a few adapters; none if 0.
    /// If set, engines also delay requests and execute orders late.
    Span VersionInterval{0};
    /// Time between statements of limits by replicas; none if 0.
    Span LimitInterval{0};
    /// Time between events that leave gateways with an old list of replicas
    /// while a replica drains; none if 0.
    Span StaleListInterval{0};
    /// Time between cuts of gateways from all replicas; none if 0.
    Span CutOffInterval{0};
    /// Time between series in which engines lose their answers while all
    /// gateways are killed several times; none if 0.
    Span LivesInterval{0};
    /// Time between releases of new software versions to some engines; none if
    /// 0.
    Span ReleaseInterval{0};
    /// Time between times in which all replicas of a service fail if they have
    /// to reject too many requests; none if 0. If set, replicas have a limited
    /// room, and callers come in bursts.
    Span BrittleInterval{0};
    /// Time between times in which some or all replicas of a service reject
    /// requests and ask for pauses; none if 0.
    Span PauseInterval{0};
    /// Time between replicas that leave and say so in their answers, in half of
    /// the cases not in the registry, and in half while the store is silent;
    /// none if 0.
    Span LeaveInterval{0};
    /// Whether engines take 0.6, 1 or 1.6 times the usual time.
    bool Uneven = false;
    /// Time between changes of the one adapter that half of the requests for
    /// engines ask for; none if 0. If set, owners rank adapter loads.
    Span HotInterval{0};
    /// Time between times in which a replica answers by bytes without end; none
    /// if 0.
    Span EndlessInterval{0};
    /// Time between times in which replicas repeat answers late, while callers
    /// come in bursts and gateways stand still for moments; none if 0. If set,
    /// plain replicas have one slot.
    Span RepeatInterval{0};
    /// Time between crowds of clients that hold or send too much; none if 0. If
    /// set, gateways have the memory of the smallest machine.
    Span CrowdInterval{0};
    /// Retries of a service in each window that don't depend on its requests.
    int RepeatExtra = 200;
    /// How long requests may still begin on a version of weights that has been
    /// replaced.
    Span VersionBound = std::chrono::seconds(5);
    /// Whether callers belong to workspaces, whose keys change with each plan;
    /// one of them sends far beyond its limit.
    bool Workspaces = false;
    /// Time after the last fault until the deployment must serve again.
    Span Recovery = std::chrono::seconds(12);
    SoakReplica::PlantedViolation Planted = SoakReplica::PlantedViolation::None;
  };

  explicit SoakWorld(Settings settings);
  ~SoakWorld();

  /// Runs for `faultTime` with faults, then ends all faults and runs on until
  /// the deployment must serve again.
  void runScenario(Span faultTime);

  SoakHistory &history() { return History; }
  const SoakCallers::Counts &counts() const { return Callers.counts(); }
  /// Returns the number of requests sent in the last part, without faults, and
  /// of those that were complete. Aborted requests and those over a limit don't
  /// count.
  std::pair<int, int> quietCounts() const { return QuietCounts; }
  /// Returns the number of answers that were repeated late, and of refusals
  /// among them.
  std::pair<int, int> repeatCounts() const { return RepeatCounts; }
  /// Returns the number of crowds, and the most memory that a gateway has used
  /// at a time in bytes, as sampled.
  int crowdCount() const { return CrowdCount; }
  std::uint64_t peakMemory() const { return PeakMemory; }
  /// Returns how often a gateway ended without being killed or ordered to stop.
  int unexpectedEnds() const;
  /// Returns the workspaces with the runs that replicas recorded; null if there
  /// are none.
  const SoakWorkspaces *workspaces() const {
    return Options.Workspaces ? &Workspaces : nullptr;
  }
  /// Returns the number of requests with a revoked key in the last part,
  /// without faults, and of those that were served.
  std::pair<int, int> quietRevoked() const { return QuietRevoked; }
  /// Returns the times at which replicas began to run the request that crashes
  /// them.
  const std::vector<Instant> &crashes() const { return Crashes; }
  /// Returns the times at which requests with the part that crashes replicas
  /// have arrived there, and at which replicas crashed.
  const std::vector<Instant> &partArrivals() const { return PartArrivals; }
  const std::vector<Instant> &partCrashes() const { return PartCrashes; }

private:
  void buildNodes();
  void buildReplicas();
  void runFor(Span span);
  /// Calls an action after each interval, until the condition is false then;
  /// never if the interval is 0.
  void repeatWhile(const bool &condition, Span interval,
                   void (SoakWorld::*action)());
  void scheduleFault();
  void injectFault();
  void injectNodeFault(SoakNode &node) { injectNodeFault(node, Random() % 4); }
  void injectNodeFault(SoakNode &node, std::uint64_t kind);
  /// Injects the same fault into all gateways that the directory last returned.
  void injectEntriesFault();
  void injectStoreFault();
  /// Makes the store silent for a short time, then reverts it by up to 8 s.
  void revertStore();
  void injectLinkFault();
  void injectReplicaFault(SoakReplica &replica);
  /// Declares a new plan, or defers it until the store answers again: operators
  /// get no confirmation before that.
  void declareOrDeferPlan();
  void declarePlan();
  void declareVersion(std::uint64_t number);
  void injectVersionFault();
  /// Has a replica state a limit for a while.
  void injectLimit();
  /// Makes updates between gateways late, or pauses a gateway, and has replicas
  /// drain meanwhile.
  void injectStaleList();
  void drainSomeReplicas();
  /// Cuts some gateways, or all of a failure domain, off from all replicas.
  void injectCutOff();
  void endCutOff();
  /// Has engines lose their answers and kills all gateways several times.
  void injectLives();
  /// Replaces some engines by others of the next software version, while others
  /// break off streams and some gateways are killed.
  void injectRelease();
  /// Has the replicas of a service state that they fail if they have to reject
  /// too many requests, while callers come in bursts.
  void injectBrittle();
  /// Has some or all replicas of a service reject requests for a while and ask
  /// for pauses.
  void injectPauses();
  /// Has a replica leave that says so in its answers.
  void injectLeave();
  /// Has callers ask for another hot adapter.
  void changeHotAdapter();
  /// Has a replica answer by heads or bodies without end for a while.
  void injectEndless();
  void recordEndless(const SoakReplica &replica,
                     const SoakProxy::EndlessAnswer &answer);
  /// Has replicas repeat answers late for a while.
  void injectRepeats();
  /// Has a crowd of clients hold or send too much for a while.
  void injectCrowd();
  void samplePeakMemory();
  /// Returns what follows an answer late; empty for nothing.
  std::string repeatOf(std::string_view answer);
  /// Stops a gateway for a moment, again and again.
  void stutter(SoakNode &node, int times);
  void setBrittle(std::string_view service, std::optional<double> perSecond);
  void restoreAll();
  void causeOutage();
  void log(const std::string &what);
  Span randomUpTo(Span span) {
    return Span(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(span.count())));
  }
  template <typename T> T &randomOf(std::list<std::unique_ptr<T>> &all) {
    return **std::next(all.begin(),
                       static_cast<std::ptrdiff_t>(Random() % all.size()));
  }
  void setStoreMode(SoakStore::Mode mode);

  Settings Options;
  std::mt19937_64 Random;
  /// Separate generators, so that their use doesn't change what the same seed
  /// draws elsewhere.
  std::mt19937_64 EntriesRandom;
  std::mt19937_64 RevertRandom;
  std::mt19937_64 VersionRandom;
  std::mt19937_64 LimitRandom;
  std::mt19937_64 StaleListRandom;
  std::mt19937_64 CutOffRandom;
  std::mt19937_64 LivesRandom;
  std::mt19937_64 ReleaseRandom;
  std::mt19937_64 BrittleRandom;
  std::mt19937_64 PauseRandom;
  std::mt19937_64 LeaveRandom;
  std::mt19937_64 HotRandom;
  std::mt19937_64 EndlessRandom;
  std::mt19937_64 RepeatRandom;
  std::mt19937_64 CrowdRandom;
  std::size_t ReleaseCount = 0;
  asio::io_context Context;
  TimerService Timers;
  LoopbackNetwork Network{Context};
  /// Ends the gateways when the soak receives a signal to end.
  asio::signal_set TerminationSignals{Context, SIGTERM, SIGINT, SIGHUP};
  SoakHistory History;
  SoakStore Store;
  SoakWorkspaces Workspaces{Options.Seed};
  std::list<std::unique_ptr<SoakNode>> Nodes;
  std::list<std::unique_ptr<SoakReplica>> Replicas;
  SoakCallers Callers;
  /// Gateways that are cut off from all replicas.
  std::vector<SoakNode *> CutOffNodes;
  bool InjectsFaults = false;
  bool DeclaresVersions = false;
  bool StatesLimits = false;
  bool StoreDisturbed = false;
  bool PlanDeferred = false;
  std::uint64_t Plan = 0;
  std::map<std::string, std::uint32_t> Versions;
  std::pair<int, int> QuietCounts{0, 0};
  std::pair<int, int> RepeatCounts{0, 0};
  int CrowdCount = 0;
  std::uint64_t PeakMemory = 0;
  std::pair<int, int> QuietRevoked{0, 0};
  std::vector<Instant> Crashes;
  std::vector<Instant> PartArrivals;
  std::vector<Instant> PartCrashes;
  TimerService::Subscription ProcessTimer;
  TimerService::Subscription MemoryTimer;
};

} // namespace hemlockglade::soak
