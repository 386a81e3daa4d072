#pragma once

#include "Bench/Core/FakeWeightStore.h"
#include "Bench/Core/Workload.h"

#include <deque>
#include <list>
#include <map>

namespace hemlockglade::bench {

/// An engine's answer to a request that it receives.
enum class EngineAnswer : std::uint8_t { Runs, Down, NotLoaded };

/// A request as an engine receives it.
struct EngineRequest {
  RequestKey Request = 0;
  AdapterKey Adapter = NoAdapter;
  std::uint64_t PrefixHash = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 1;
};

/// Use of the batch, summed up over decode steps.
struct EngineWork {
  /// Decode steps times the maximum size of the batch.
  double StepRoom = 0;
  /// Decode steps times the running requests.
  double StepRequests = 0;
};

/// Notifications to the callers and the bench.
struct FakeEngineHooks {
  std::function<void(RequestKey)> FirstToken;
  std::function<void(RequestKey)> Finished;
  /// Called if the engine went down, or evicted the request's adapter.
  std::function<void(RequestKey)> Broken;
  /// Called when the adapter became resident (true) or was removed (false).
  std::function<void(AdapterKey, bool)> Resident;
};

/// Simulated model engine in virtual time: adapter slots, a batch whose
/// requests advance together, steps that take longer the more requests run, a
/// prefix cache, and slower steps during a warm-up after a restart.
class FakeEngine {
public:
  FakeEngine(VirtualLoop &loop, FakeWeightStore &store,
             const EngineGroup &group, FakeEngineHooks hooks);

  /// Accepts a request if the engine is up and its adapter is resident.
  EngineAnswer start(const EngineRequest &request);

  /// Loads an adapter; `done` gets whether it is resident now.
  void load(AdapterKey adapter, std::function<void(bool)> done);

  /// Cancels a load; its `done` is called with false.
  void cancelLoad(AdapterKey adapter);

  /// Evicts an adapter even if requests run on it. Returns the number of its
  /// requests, all of which are broken off.
  std::size_t evict(AdapterKey adapter);

  /// Ends the process, with all its requests, loads and resident adapters.
  void stop();

  /// Starts a new incarnation, without adapters and with a warm-up.
  void restart();

  bool up() const { return Up; }
  bool holds(AdapterKey adapter) const { return Loaded.contains(adapter); }
  std::uint64_t incarnation() const { return Incarnation; }
  EngineWork work();

  /// Returns the engine's report; the caller fills in the replica's key.
  ReplicaReport report() const;

  /// Returns the requests that run or wait in the engine.
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
  std::vector<RequestKey> removeRequests(AdapterKey adapter);

  VirtualLoop &Loop;
  FakeWeightStore &Store;
  EngineGroup Group;
  FakeEngineHooks Hooks;
  bool Up = true;
  std::uint64_t Incarnation = 1;
  Instant WarmAt{};
  Instant Since{};
  /// Decode steps since the start; the progress of requests is measured in
  /// them.
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
