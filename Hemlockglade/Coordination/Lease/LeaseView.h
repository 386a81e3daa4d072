#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockglade {

/// The lease rows of all nodes as one node has observed them, with the time of
/// their last change on its own clock. Time without a change counts only while
/// the table answers. Not thread-safe.
class LeaseView {
public:
  explicit LeaseView(const LeaseSettings &settings);

  /// Called when the table has answered. After a gap the time without a change
  /// restarts for every row, since the other nodes may have been cut off from
  /// the table too.
  void onTableAnswer(Instant now);
  /// Applies a row that was read from the table.
  void updateNode(const NodeRow &row, Instant now);
  /// Applies a row received from another node, unless it is older than the
  /// known one.
  void updateNodeIfNewer(const NodeRow &row, Instant now);
  /// Applies a scan of all rows; nodes that are not in it are removed.
  void updateAllNodes(const std::vector<NodeRow> &rows, Instant now);
  /// Records that the node's row is missing or of another incarnation.
  void markMissing(const std::string &incarnation, Instant now);
  /// Records that the incarnation has released a cell, which only a leaving
  /// node does.
  void markLeaving(const std::string &incarnation);
  /// Records that the incarnation's lease has ended.
  void markEnded(const std::string &incarnation);
  /// Removes the state kept for incarnations that are not in `referenced`.
  void prune(const std::set<std::string> &referenced);

  /// Whether the node's row has changed within Duration + Margin.
  bool isAlive(const std::string &node, Instant now) const;
  /// Whether the incarnation can't hold a lease any more, so that its cells may
  /// be taken: it was marked as ended, or its row has been missing for
  /// Duration + Margin.
  bool hasEnded(const std::string &incarnation, Instant now) const;
  /// Whether the cell's owner may be dead, which only a read of its row can
  /// establish.
  bool mustCheckOwner(const CellRecord &cell, Instant now) const;
  /// Whether the row of this incarnation has not changed for so long that it
  /// may be marked as ended.
  bool canFence(const std::string &node, const std::string &incarnation,
                Instant now) const;
  /// Name of the live node that should own the cell, by rendezvous hashing over
  /// the nodes that are not leaving; empty if there is none.
  std::string preferredOwner(const std::string &cell, Instant now) const;
  std::optional<NodeRow> findNode(const std::string &node) const;
  std::vector<NodeRecord> liveNodes(Instant now) const;
  /// Rows of dead nodes that have not changed for RowRetention.
  std::vector<NodeRow> staleRows(Instant now) const;

private:
  struct ObservedNode {
    NodeRow Row;
    Instant ChangedAt{};
  };

  /// Time without a change, as far as the table answered in it.
  Span unchangedFor(Instant since, Instant now) const;
  bool isAlive(const ObservedNode &node, Instant now) const;

  LeaseSettings Settings;
  Instant LastContact{};
  /// Start of the current period in which the table answers without a gap.
  Instant ObservingSince{};
  std::map<std::string, ObservedNode> Nodes;
  /// Incarnations whose rows were found missing, and when.
  std::map<std::string, Instant> MissingSince;
  std::set<std::string> EndedIncarnations;
};

} // namespace hemlockglade
