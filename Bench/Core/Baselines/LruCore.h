#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <unordered_map>

namespace hemlockglade::bench {

/// Settings of the baseline.
struct LruCoreSettings {
  /// Returns the value of keeping an adapter; the lowest is evicted first.
  using Valuation = std::function<double(AdapterKey, Instant)>;

  /// Max. concurrent loads.
  std::uint32_t ParallelLoads = std::numeric_limits<std::uint32_t>::max();
  /// Max. waiting requests.
  std::uint32_t QueueLimit = 2000;
  /// If empty, adapters are valued by the time of their last use.
  Valuation Worth;
};

/// The baseline that the decision core is compared with: the least recently
/// used adapter is evicted, loads run in parallel, the replica with the fewest
/// in flight is chosen, queues are FIFO, and a request is refused only when its
/// deadline has passed or the queue is full.
class LruCore {
public:
  explicit LruCore(const LruCoreSettings &settings) : Settings(settings) {}

  /// Handles one event and appends the resulting actions to `actions`.
  void handle(const Event &event, Instant now, std::vector<Action> &actions);

private:
  struct Waiting {
    RequestKey Request = 0;
    Instant Deadline{};
    Instant Since{};
  };
  struct Resident {
    std::uint32_t Running = 0;
    Instant LastUsed{};
    Instant LoadedAt{};
    bool Loading = false;
    /// The adapter for which this one is being evicted, or NoAdapter.
    AdapterKey EvictedFor = NoAdapter;
  };
  struct Replica {
    ReplicaAdded Properties;
    bool Draining = false;
    bool Silent = false;
    std::uint32_t Running = 0;
    /// Time of the last eviction; older reports may still list the adapter.
    Instant LastEviction{};
    std::map<AdapterKey, Resident> Adapters;

    bool usable() const {
      return !Draining && !Silent && Running < Properties.Batch;
    }
  };
  struct Queue {
    std::deque<Waiting> Requests;
    Instant NotBefore{};
    bool LoadPending = false;
  };
  struct Placement {
    AdapterKey Adapter = NoAdapter;
    ReplicaKey Where = 0;
  };
  struct Victim {
    ReplicaKey Where = 0;
    AdapterKey Adapter = NoAdapter;
  };

  template <typename T> void on(const T &) {}
  void on(const RequestArrived &event);
  void on(const RequestFinished &event);
  void on(const RequestAdopted &event);
  void on(const LoadDone &event);
  void on(const LoadFailed &event);
  void on(const EvictDone &event);
  void on(const ReplicaAdded &event);
  void on(const ReplicaRemoved &event);
  void on(const ReplicaDraining &event);
  void on(const ReplicaReport &event);
  void on(const ReplicaReportMissed &event);
  void on(const LeaseChanged &event);
  void on(const Tick &event);

  void serveQueues();
  void serveQueue(AdapterKey adapter, Queue &queue);
  void startLoads();
  bool startLoad(AdapterKey adapter, Queue &queue);
  void orderLoad(ReplicaKey where, AdapterKey adapter);
  std::optional<ReplicaKey> freeSlot(AdapterKey adapter) const;
  std::optional<Victim> victim(AdapterKey adapter) const;
  double worth(AdapterKey adapter, const Resident &resident) const;
  ReplicaKey leastLoadedReplica(AdapterKey adapter) const;
  void dropMissing(Replica &replica, const ReplicaReport &event);
  void onLoadEnded(ReplicaKey where, AdapterKey adapter);

  LruCoreSettings Settings;
  Instant Now{};
  std::vector<Action> *Out = nullptr;
  LeaseMode Mode = LeaseMode::None;
  std::uint32_t LoadsRunning = 0;
  std::size_t WaitingRequests = 0;
  std::map<ReplicaKey, Replica> Replicas;
  std::map<AdapterKey, Queue> Queues;
  /// Adapters with queues, in the order in which their requests began to wait.
  std::deque<AdapterKey> LoadOrder;
  std::unordered_map<RequestKey, Placement> Running;
};

} // namespace hemlockglade::bench
