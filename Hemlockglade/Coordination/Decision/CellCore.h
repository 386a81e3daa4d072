#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace hemlockglade {

/// Bounds and weights of the decisions in one cell.
struct CellCoreSettings {
  /// Requests that may wait in the cell.
  std::uint32_t QueueLimit = 2000;
};

/// The decisions of a cell's owner: which requests go where and when, and
/// which adapters are loaded where. It has no clock, no sockets and no
/// threads: the same events at the same times give the same actions.
class CellCore {
public:
  explicit CellCore(const CellCoreSettings &settings);

  /// Takes in one event; what is to be done is appended to `actions`.
  void handle(const Event &event, Instant now, std::vector<Action> &actions);

  /// Requests that wait for a slot or a load.
  std::size_t waiting() const;
  /// Requests that run.
  std::size_t running() const { return Running.size(); }

private:
  struct Waiting {
    RequestKey Request = 0;
    Instant Deadline{};
    Instant Since{};
    bool Stalled = false;
  };
  struct Resident {
    std::uint32_t Running = 0;
    Instant LastUsed{};
    bool Loading = false;
    bool Leaving = false;
  };
  struct Replica {
    ReplicaAdded Properties;
    bool Draining = false;
    std::uint64_t Incarnation = 0;
    std::uint32_t Running = 0;
    std::map<AdapterKey, Resident> Adapters;
  };
  struct Placed {
    AdapterKey Adapter = NoAdapter;
    ReplicaKey Where = 0;
  };

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
  void on(const ReplicaSilent &event);
  void on(const LeaseChanged &event);
  void on(const TurnChanged &event);
  void on(const PinChanged &event);
  void on(const RuleChanged &event);
  void on(const OperatorLoad &event);
  void on(const Tick &event);

  void serveQueues();
  void serveQueue(AdapterKey adapter, std::deque<Waiting> &queue);
  void startLoads();
  bool makeRoom(AdapterKey adapter);
  Replica *leastLoadedHolder(AdapterKey adapter, ReplicaKey &key);

  CellCoreSettings Settings;
  Instant Now{};
  std::vector<Action> *Out = nullptr;
  LeaseMode Mode = LeaseMode::None;
  std::uint32_t ParallelLoads = 1;
  std::uint32_t LoadsRunning = 0;
  std::map<ReplicaKey, Replica> Replicas;
  std::map<AdapterKey, std::deque<Waiting>> Queues;
  std::unordered_map<RequestKey, Placed> Running;
};

} // namespace hemlockglade
