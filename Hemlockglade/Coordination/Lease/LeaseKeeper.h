#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Ids.h"

#include <map>
#include <memory>
#include <mutex>

namespace hemlockglade {

/// What a node says of itself in its lease row.
struct NodeRecord {
  std::string Name;
  /// Changes with each start of the node.
  std::string Incarnation;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` for other nodes.
  std::string PeerAddress;
  std::string FailureDomain;
  bool Leaving = false;
};

/// Who owns a cell.
struct CellRecord {
  /// Name of the owning node; empty if it was released.
  std::string Owner;
  Epoch Fence = 0;
};

/// Times of the leases.
struct LeaseSettings {
  Span Duration = std::chrono::seconds(10);
  Span Margin = std::chrono::seconds(1);
};

/// What the keeper tells its node.
struct LeaseHooks {
  std::function<Instant()> Now;
  /// The cell is ours under a new epoch.
  std::function<void(const std::string &cell, Epoch fence)> OnOwned;
  /// The cell isn't ours any more.
  std::function<void(const std::string &cell)> OnLost;
};

/// Keeps this node's lease and the ownership of cells in the platform's
/// table. A node is thought to live as long as its row goes on changing, so
/// no two clocks are ever compared.
class LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper> {
public:
  LeaseKeeper(const LeaseSettings &settings, NodeRecord self, TableHooks table,
              LeaseHooks hooks);

  /// Renews the lease, looks at all rows and takes cells that are due to us.
  void round(const std::vector<std::string> &cells);
  /// Stops taking cells and gives up the owned ones; `done` when the table
  /// has it.
  void release(std::function<void()> done);

  /// Whether an order may be given that only the owner may give.
  bool holds(const std::string &cell) const;
  /// The owner of a cell as last seen; nothing if there is none.
  std::optional<NodeRecord> ownerOf(const std::string &cell) const;
  /// All nodes that are thought to live, this one included.
  std::vector<NodeRecord> nodes() const;
  /// Epoch of an owned cell; 0 if it isn't ours.
  Epoch fenceOf(const std::string &cell) const;
  /// All cells and their owners as last seen.
  std::map<std::string, CellRecord> cells() const;

private:
  struct SeenNode {
    NodeRecord Record;
    std::uint64_t Version = 0;
    Instant ChangedAt{};
  };
  struct SeenCell {
    CellRecord Record;
    std::uint64_t Version = 0;
  };

  void renew();
  void look(const std::vector<std::string> &wanted);
  void takeNodes(const std::vector<TableRow> &rows);
  void takeCells(const std::vector<TableRow> &rows,
                 const std::vector<std::string> &wanted);
  void claim(const std::string &cell);
  bool lives(const SeenNode &node) const;
  bool dueToUs(const std::string &cell) const;

  LeaseSettings Settings;
  NodeRecord Self;
  TableHooks Table;
  LeaseHooks Hooks;

  mutable std::mutex Mutex;
  std::uint64_t OwnVersion = 0;
  std::uint64_t Attempts = 0;
  Instant LeaseEnd{};
  bool Releasing = false;
  std::map<std::string, SeenNode> Nodes;
  std::map<std::string, SeenCell> Cells;
};

} // namespace hemlockglade
