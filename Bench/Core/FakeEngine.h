#pragma once

#include "Bench/Core/FakeWeightStore.h"
#include "Bench/Core/Workload.h"

#include <deque>
#include <list>
#include <map>

namespace hemlockglade::bench {

/// What an engine does with a request that reaches it.
enum class EngineAnswer : std::uint8_t { Runs, Down, NotLoaded };

/// A request as the engine sees it.
struct EngineRequest {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 1;
};

/// How full the batches were.
struct EngineWork {
  /// Decode steps times the batch's size.
  double StepRoom = 0;
  /// Decode steps times the requests that ran.
  double StepRequests = 0;
};

/// What the engine tells its callers and the bench.
struct FakeEngineHooks {
  std::function<void(RequestKey)> FirstToken;
  std::function<void(RequestKey)> Finished;
  /// The engine went down, or threw the request out.
  std::function<void(RequestKey)> Broken;
  /// The adapter came (true) or went (false).
  std::function<void(AdapterKey, bool)> Resident;
};

/// A model engine in virtual time: adapter slots, a batch that all requests
/// advance in together, steps that take longer the fuller the batch is, a
/// prefix cache, a warm-up after its start.
class FakeEngine {
public:
  FakeEngine(VirtualLoop &loop, FakeWeightStore &store,
             const EngineGroup &group, FakeEngineHooks hooks);

  /// Takes a request if its adapter is loaded.
  EngineAnswer start(const EngineRequest &request);

  /// Loads an adapter; `done` says whether it is there now.
  void load(AdapterKey adapter, std::function<void(bool)> done);

  /// Gives a load up; its `done` hears that it failed.
  void cancelLoad(AdapterKey adapter);

  /// Takes an adapter out of its slot, whatever it runs. Returns the number
  /// of requests that it was serving, which are broken by that.
  std::size_t evict(AdapterKey adapter);

  /// Ends the process: everything in it is gone.
  void stop();

  /// Starts the process anew, empty and cold.
  void restart();

  bool up() const { return Up; }
  bool holds(AdapterKey adapter) const { return Loaded.contains(adapter); }
  std::uint64_t incarnation() const { return Incarnation; }
  EngineWork work();

  /// The engine's report of itself, without the replica's key.
  ReplicaReport report() const;

  /// Requests that run or wait inside, with their adapters.
  std::vector<EngineRequest> requests() const;

private:
  struct Run {
    EngineRequest Request;
    double FirstAt = 0;
    double EndAt = 0;
    bool FirstSent = false;
  };
  struct Loading {
    FakeWeightStore::Ticket Ticket = 0;
    std::function<void(bool)> Done;
  };

  void progress();
  void schedule();
  void sendMilestones();
  void fillBatch();
  double stepSeconds() const;
  double prefillSteps(const EngineRequest &request);
  std::vector<RequestKey> takeOut(AdapterKey adapter);

  VirtualLoop &Loop;
  FakeWeightStore &Store;
  EngineGroup Group;
  FakeEngineHooks Hooks;
  bool Up = true;
  std::uint64_t Incarnation = 1;
  Instant WarmAt{};
  Instant Since{};
  /// Steps made since the start; the time by which requests are measured.
  double Steps = 0;
  std::uint64_t Generation = 0;
  EngineWork Work;
  std::map<RequestKey, Run> Running;
  std::deque<EngineRequest> Pending;
  std::map<AdapterKey, std::uint32_t> Loaded;
  std::map<AdapterKey, Loading> Loads;
  std::list<std::uint64_t> Prefixes;
};

} // namespace hemlockglade::bench
