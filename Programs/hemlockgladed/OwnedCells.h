#pragma once

#include "CellRunner.h"
#include "RecoveryLinks.h"

namespace hemlockglade {

/// Callbacks through which OwnedCells reaches its node.
struct OwnedCellsHooks {
  /// Returns the configuration in force.
  std::function<std::shared_ptr<const CatalogView>()> InForce;
  /// Returns the live nodes, this one included.
  std::function<std::vector<NodeRecord>()> Nodes;
  /// Whether the lease allows the orders that only an owner may give.
  std::function<bool(const std::string &cell)> Holds;
  /// Returns the mode of the lease, without regard to recovery.
  std::function<LeaseMode(const std::string &cell)> Mode;
  /// Runs a function asynchronously, outside all locks of the caller.
  std::function<void(std::function<void()>)> Post;
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Loads per second that the weight store allows the whole deployment.
  double LoadsPerSecond = 3.0;
};

/// The cells that this node owns: their runners, and the recovery after each
/// takeover, which must complete before anything is evicted.
class OwnedCells {
public:
  OwnedCells(std::string self, const RecoverySettings &recovery,
             EngineClient &engines, OwnedCellsHooks hooks);

  /// Sets the network; to be called before the first cell is added.
  void attach(PeerNet &net);

  /// Starts running a cell that this node owns now, under this epoch. `former`
  /// is the owner before it, if known.
  void addCell(const std::string &cell, Epoch fence,
               const std::optional<RecoveryNode> &former);
  /// Stops running a cell that this node doesn't own any more.
  void removeCell(const std::string &cell);
  /// Applies a new configuration in force to all cells.
  void configure(const CatalogView &view);
  /// Sets the replicas that the platform lists as leaving.
  void setLeaving(const std::vector<std::string> &replicas);
  /// To be called every few tens of milliseconds; handles deadlines, lease
  /// modes and loads.
  void tick();
  /// To be called a few times a second; ends the waits of recoveries.
  void tickRecoveries(Instant now);
  /// Requests the reports of all replicas.
  void requestReports();

  /// Returns the runner of a cell; null if this node doesn't own it.
  std::shared_ptr<CellRunner> find(const std::string &cell) const;
  std::vector<std::shared_ptr<CellRunner>> all() const;
  /// Returns the mode of the cell: that of its lease, restricted while its
  /// recovery runs.
  LeaseMode modeOf(const std::string &cell) const;

  /// Registers a request that starts to run through this node. Returns false
  /// if a newer owner of the cell has already received the running requests.
  bool registerRequest(const RegisteredRequest &request);
  /// Removes a request that has ended and reports its end to the new owners of
  /// its cell.
  void unregisterRequest(const RegisteredRequest &request);
  /// Serves a stream on which a new owner requests what runs here.
  void serveRecovery(const std::shared_ptr<PeerStream> &stream);

private:
  RecoveryHooks recoveryHooks();
  /// Returns the nodes that were live within the unfenced wait and may still
  /// run requests.
  std::vector<RecoveryNode> recentNodes(Instant now);
  /// Whether all replicas of the cell check the fencing epoch.
  bool allCheckFencing(const std::string &cell) const;

  std::string Self;
  RecoverySettings Recovery;
  EngineClient &Engines;
  OwnedCellsHooks Hooks;
  RunningRequests Running;
  RecoveryCoordinator Recoveries;
  std::shared_ptr<RecoveryLinks> Links;

  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<CellRunner>> Runners;
  std::vector<std::string> LeavingReplicas;
  /// Nodes by name and incarnation, and when each was last live.
  std::map<std::string, std::pair<NodeRecord, Instant>> RecentNodes;
};

} // namespace hemlockglade
