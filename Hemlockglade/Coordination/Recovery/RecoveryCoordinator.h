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
  /// Of its lease; the process's part counts.
  std::string Incarnation;
};

/// Times of a recovery.
struct RecoverySettings {
  /// How long a node that does not answer is waited for: lease + margin.
  Span SilentWait = std::chrono::seconds(11);
  /// The same for a cell with engines that do not check the fencing number.
  Span UnfencedWait = std::chrono::seconds(30);
  /// Time between two questions to a node that does not answer.
  Span AskInterval = std::chrono::seconds(1);
};

/// What the keeper asks of its node and tells it. Calls come one at a
/// time and in order, outside the lock.
struct RecoveryHooks {
  /// Asks a node for its running requests of the cell; answer by `onAnswer`.
  std::function<void(const RecoveryNode &node, const std::string &cell,
                     Epoch epoch)>
      Ask;
  /// A request of an earlier owner runs: count it as ours.
  std::function<void(const RecoveryNode &node,
                     const RegisteredRequest &request)>
      OnAdopted;
  /// An adopted request has ended.
  std::function<void(const RegisteredRequest &request)> OnFinished;
  /// All that runs is known, or was waited out: eviction is allowed.
  std::function<void(const std::string &cell, Epoch epoch)> OnRecovered;
};

/// Recovery before eviction: after a takeover, asks every node for what it
/// runs of the cell, and says when all of it is known. Time comes with the
/// calls. Safe to call from several threads.
class RecoveryCoordinator {
public:
  RecoveryCoordinator(const RecoverySettings &settings, RecoveryHooks hooks);

  /// The cell is ours at the epoch. `nodes` are all that may run something of
  /// it: those alive, and the former owner. `allChecked` if all its engines
  /// check the fencing number.
  void begin(const std::string &cell, Epoch epoch,
             const std::vector<RecoveryNode> &nodes, bool allChecked,
             Instant now);
  /// The cell isn't ours any more.
  void end(const std::string &cell);
  /// The nodes that live now: new ones are asked, and what lost ones ran ends
  /// after their wait.
  void setNodes(const std::vector<RecoveryNode> &nodes, Instant now);
  /// A node's answer, or what it registered by itself. False if it is not for
  /// our epoch: the node must not think its requests known.
  bool onAnswer(const RecoveryNode &node, const std::string &cell, Epoch epoch,
                const RunningAnswer &answer);
  /// A node says that a request has ended. It may come before the answer that
  /// names the request.
  void onFinished(const RecoveryNode &node, const std::string &cell,
                  const std::string &id);
  /// Asks again, and ends waits that are over.
  void tick(Instant now);

  /// What the cell's core may do, given the state of the lease.
  LeaseMode mode(const std::string &cell, LeaseMode lease) const;
  bool recovered(const std::string &cell) const;
  /// Names of the nodes that the cell still waits for.
  std::vector<std::string> waitingFor(const std::string &cell) const;
  /// How many nodes were waited out without an answer, since the start.
  std::uint64_t waitedOut() const;

private:
  /// A node as one cell sees it.
  struct OfNode {
    OfNode(RecoveryNode node, Instant now)
        : Node(std::move(node)), Since(now), AskedAt(now) {}

    RecoveryNode Node;
    Instant Since;
    Instant AskedAt;
    /// It has answered, or was waited out.
    bool Settled = false;
    bool Answered = false;
    /// The node is not among the living since `Since`.
    bool Lost = false;
    std::map<std::string, RegisteredRequest> Adopted;
    /// Ended before the answer that may name them.
    std::set<std::string> Ended;
  };
  struct OfCell {
    Epoch At = 0;
    Span Wait{};
    bool Recovered = false;
    /// A node has answered a later owner.
    bool Superseded = false;
    std::map<std::string, OfNode> Nodes;
  };

  static std::string keyOf(const RecoveryNode &node);
  void ask(OfNode &node, const std::string &name, const OfCell &cell,
           Instant now);
  void settle(const std::string &name, OfCell &cell);
  void adopt(OfNode &node, const RegisteredRequest &request, Epoch epoch);
  void dropLost(OfNode &node);
  void deliver();

  const RecoverySettings Settings;
  const RecoveryHooks Hooks;

  mutable std::mutex Mutex;
  std::map<std::string, OfCell> Cells;
  std::uint64_t WaitedOut = 0;
  /// Calls of hooks, in their order.
  std::deque<std::function<void()>> Calls;
  bool Delivering = false;
};

} // namespace hemlockglade
