#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"
#include "Hemlockglade/Coordination/Recovery/RunningRequests.h"

#include <deque>
#include <functional>
#include <set>

namespace hemlockglade {

/// A process that may run requests of a cell.
struct RecoveryNode {
  std::string Name;
  /// Incarnation of its lease; only the part of the process is compared.
  std::string Incarnation;
};

/// Timeouts and intervals of a recovery.
struct RecoverySettings {
  /// How long to wait for a node that does not answer: lease and margin.
  Span SilentWait = std::chrono::seconds(11);
  /// The same for a cell with engines that don't check the fencing number.
  Span UnfencedWait = std::chrono::seconds(30);
  /// Time between two queries to a node that does not answer.
  Span QueryInterval = std::chrono::seconds(1);
};

/// Callbacks of RecoveryCoordinator. They are called one at a time and in
/// order, without the coordinator's lock held.
struct RecoveryHooks {
  /// Queries a node for its running requests of the cell; the answer is passed
  /// to `onAnswer`.
  std::function<void(const RecoveryNode &node, const std::string &cell,
                     Epoch epoch)>
      Query;
  /// Called when a request that an earlier owner admitted is running: it must
  /// be counted like those of this owner.
  std::function<void(const RecoveryNode &node,
                     const RegisteredRequest &request)>
      OnAdopted;
  /// Called when an adopted request has ended.
  std::function<void(const RegisteredRequest &request)> OnFinished;
  /// Called when every node has answered or has timed out, so that eviction is
  /// allowed.
  std::function<void(const std::string &cell, Epoch epoch)> OnRecovered;
};

/// Recovery before eviction: after a takeover, queries every node for its
/// running requests of the cell, and reports when all of them are known. Time
/// is passed in. Thread-safe.
class RecoveryCoordinator {
public:
  RecoveryCoordinator(const RecoverySettings &settings, RecoveryHooks hooks);

  /// Starts the recovery of a cell that this node owns at `epoch`. `nodes` are
  /// all that may run requests of it: the live ones and the former owner.
  /// `allChecked` is true if all its engines check the fencing number.
  void begin(const std::string &cell, Epoch epoch,
             const std::vector<RecoveryNode> &nodes, bool allChecked,
             Instant now);
  /// Called when this node has ceased to own the cell.
  void end(const std::string &cell);
  /// Sets the live nodes. New ones are queried; the adopted requests of those
  /// that are missing are treated as ended after the cell's wait.
  void setNodes(const std::vector<RecoveryNode> &nodes, Instant now);
  /// Called with a node's answer, or with requests that it registered without a
  /// query. Returns false if it is not for this owner's epoch: the node must
  /// then not treat its requests as known.
  bool onAnswer(const RecoveryNode &node, const std::string &cell, Epoch epoch,
                const RunningAnswer &answer);
  /// Called when a node reports that a request has ended, which may be before
  /// its answer that lists the request.
  void onFinished(const RecoveryNode &node, const std::string &cell,
                  const std::string &id);
  /// Repeats queries that are due, and ends waits that have timed out.
  void tick(Instant now);

  /// Mode of the cell's core, given the mode of the lease.
  LeaseMode mode(const std::string &cell, LeaseMode lease) const;
  bool isRecovered(const std::string &cell) const;
  /// Names of the nodes that the cell's recovery still waits for.
  std::vector<std::string> unresolvedNodes(const std::string &cell) const;
  /// How many nodes have timed out without an answer since the start.
  std::uint64_t timedOutNodes() const;

private:
  /// The state of a node in the recovery of one cell.
  struct NodeRecovery {
    NodeRecovery(RecoveryNode node, Instant now)
        : Node(std::move(node)), Since(now), QueriedAt(now) {}

    RecoveryNode Node;
    /// Start of the wait: when the node was added, or, if it had been resolved,
    /// when it became absent.
    Instant Since;
    Instant QueriedAt;
    /// The node has answered or timed out.
    bool Resolved = false;
    bool Answered = false;
    /// The node is not among the live nodes.
    bool Absent = false;
    std::map<std::string, RegisteredRequest> Adopted;
    /// Ids of requests that ended before the answer that may list them.
    std::set<std::string> EndedEarly;
  };
  struct CellRecovery {
    Epoch OwnerEpoch = 0;
    Span MaxWait{};
    bool Recovered = false;
    /// A node has answered an owner of a later epoch.
    bool Superseded = false;
    std::map<std::string, NodeRecovery> Nodes;
  };

  static std::string keyOf(const RecoveryNode &node);
  void queueQuery(NodeRecovery &node, const std::string &name,
                  const CellRecovery &cell, Instant now);
  void completeIfResolved(const std::string &name, CellRecovery &cell);
  void adopt(NodeRecovery &node, const RegisteredRequest &request, Epoch epoch);
  void finishAdopted(NodeRecovery &node);
  void runPendingCalls();

  const RecoverySettings Settings;
  const RecoveryHooks Hooks;

  mutable std::mutex Mutex;
  std::map<std::string, CellRecovery> Cells;
  std::uint64_t TimedOutNodes = 0;
  /// Calls of hooks that are still to be made, in order.
  std::deque<std::function<void()>> PendingCalls;
  bool Delivering = false;
};

} // namespace hemlockglade
