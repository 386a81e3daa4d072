#pragma once

#include "CellRunner.h"
#include "RecoveryLinks.h"

namespace hemlockglade {

/// What the owned cells need of their node.
struct OwnedCellsHooks {
  /// The configuration in force.
  std::function<std::shared_ptr<const CatalogView>()> InForce;
  /// Nodes that live, this one included.
  std::function<std::vector<NodeRecord>()> Nodes;
  /// Whether the lease allows orders that only an owner may give.
  std::function<bool(const std::string &cell)> Holds;
  std::function<LeaseMode(const std::string &cell)> Mode;
  std::function<void(std::function<void()>)> Post;
  std::function<void(Span, std::function<void()>)> After;
  /// Rate of the weight store for the whole deployment.
  double LoadsPerSecond = 3.0;
};

/// The cells that this node owns: their runners, and the recovery that goes
/// before eviction after each takeover.
class OwnedCells {
public:
  OwnedCells(std::string self, const RecoverySettings &recovery,
             EngineClient &engines, OwnedCellsHooks hooks);

  /// Gives the network, once there is one.
  void attach(PeerNet &net);

  /// The cell is ours under this epoch; `former` owned it before.
  void own(const std::string &cell, Epoch fence,
           const std::optional<RecoveryNode> &former);
  /// The cell isn't ours any more.
  void lose(const std::string &cell);
  /// A new configuration is in force.
  void configure(const CatalogView &view);
  /// Replicas that the platform's list calls leaving.
  void setLeaving(const std::vector<std::string> &replicas);
  /// To be called often: deadlines, lease modes, loads.
  void tick();
  /// To be called about twice a second: waits of recoveries.
  void tickRecovery(Instant now);
  void askReports();

  std::shared_ptr<CellRunner> find(const std::string &cell) const;
  std::vector<std::shared_ptr<CellRunner>> all() const;
  /// How far the cell may be served here.
  LeaseMode modeOf(const std::string &cell) const;

  /// Puts a request on the register of what runs here. False if a newer owner
  /// has been told already what runs.
  bool enter(const RegisteredRequest &request);
  void leave(const RegisteredRequest &request);
  /// Serves a new owner's stream.
  void serveRecovery(const std::shared_ptr<PeerStream> &stream);

private:
  RecoveryHooks recoveryHooks();
  std::vector<RecoveryNode> recentNodes(Instant now);
  bool allCheckFencing(const std::string &cell) const;

  std::string Self;
  RecoverySettings Recovery;
  EngineClient &Engines;
  OwnedCellsHooks Hooks;
  RunningRequests Register;
  RecoveryCoordinator Keeper;
  std::shared_ptr<RecoveryLinks> Links;

  mutable std::mutex Mutex;
  std::map<std::string, std::shared_ptr<CellRunner>> Runners;
  std::vector<std::string> LeavingReplicas;
  /// Nodes and when they were last seen alive.
  std::map<std::string, std::pair<NodeRecord, Instant>> Seen;
};

} // namespace hemlockglade
