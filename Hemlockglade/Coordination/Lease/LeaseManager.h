#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"
#include "Hemlockglade/Coordination/Lease/LeaseView.h"
#include "Hemlockglade/Coordination/Lease/OwnLease.h"

#include <deque>
#include <memory>
#include <mutex>

namespace hemlockglade {

/// Maintains this node's lease and its ownership of cells in the platform's
/// table. Thread-safe.
///
/// A node's lease is valid for Duration - Margin from the time at which the
/// renewal was sent. Other nodes treat the node as alive while its row keeps
/// changing, and mark the row as ended (`over`) after Duration + Margin without
/// a change; so clocks of two nodes are never compared. The mark is a
/// compare-and-set on the version that was observed unchanged: a renewal in
/// between makes it fail, and it makes each later renewal fail. Cells of an
/// incarnation whose lease has ended may be taken.
class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
  LeaseManager(const LeaseSettings &settings, NodeRecord self, TableHooks table,
               LeaseHooks hooks);

  /// Renews the lease, scans all rows if that is due, and claims those of
  /// `cells` that this node should own. Must be called several times in a
  /// lease's duration.
  void round(std::vector<std::string> cells);
  /// Gives up all cells at once and takes no more; the node stays listed as
  /// leaving. `done` is called when the table has answered or failed. Later
  /// rounds retry the release of cells that the table still lists for it.
  void release(std::function<void()> done);
  /// Ends the lease of a node that is about to stop, so that other nodes don't
  /// wait for it to lapse. `done` is called when the table has answered or
  /// failed.
  void retire(std::function<void()> done);
  /// Called when a lease row was received from another node.
  void onNodeRow(const NodeRow &row);
  /// Called when an ownership row was received from another node.
  void onCellRow(const std::string &cell, const CellRow &row);
  /// Called when another node has announced that a cell's owner changed. Reads
  /// the cell's row at once instead of at the next scan, and claims the cell if
  /// this node should own it.
  void refreshCell(const std::string &cell);

  /// Whether this node owns the cell under a valid lease, and so may give
  /// orders that only the owner may give. Must be checked right before each
  /// order.
  bool holds(const std::string &cell) const;
  /// `Held` if `holds`, `Doubtful` if the lease lapsed and no other node is
  /// known to have taken the cell, otherwise `None`.
  LeaseMode modeOf(const std::string &cell) const;
  /// The last known owner of a cell; nothing if there is none.
  std::optional<NodeRecord> ownerOf(const std::string &cell) const;
  /// All nodes considered alive, this one included.
  std::vector<NodeRecord> nodes() const;
  /// Epoch of an owned cell; 0 if this node does not own it.
  Epoch fenceOf(const std::string &cell) const;
  /// All cells and their last known owners.
  std::map<std::string, CellRecord> cells() const;
  /// This node's lease row as last confirmed, for sending it to other nodes;
  /// nothing before the first confirmation.
  std::optional<NodeRow> self() const;
  /// A cell's last known ownership row, for sending it to other nodes.
  std::optional<CellRow> cell(const std::string &cell) const;
  /// Whether a later process of the same name has taken this node's row; this
  /// process can then not continue.
  bool isSuperseded() const;
  LeaseCounts counts() const;

private:
  struct OwnershipChange {
    std::string Cell;
    /// 0 if the cell was lost.
    Epoch Fence = 0;
  };

  void readRow(std::string key, TableCallback<std::optional<TableRow>> done);
  void commit(TableTransaction transaction, TableCallback<std::uint64_t> done);
  void renewIfDue();
  void sendRenewal();
  void onRenewed(const std::string &attempt,
                 const tl::expected<std::uint64_t, TableError> &result);
  void readOwnRow(std::function<void()> then);
  bool startScan();
  void scan();
  void onNodesScanned(const std::vector<TableRow> &rows);
  void onCellsScanned(const std::vector<TableRow> &rows);
  void claimAndCheckCells();
  void checkOwner(const std::string &owner, const std::string &incarnation);
  void onOwnerRead(const std::string &owner, const std::string &incarnation,
                   const std::optional<TableRow> &row);
  void fenceOwner(const NodeRow &row);
  void claimCell(const std::string &cell);
  void markFormerOwnerLeaving(const std::string &cell);
  void writeCell(const std::string &cell, const CellRecord &record,
                 std::uint64_t version, std::function<void()> then);
  void readCell(const std::string &cell, std::function<void()> then);
  void releaseCells(std::function<void()> done);
  void removeStaleRow();
  void deliverChanges();

  // The functions below must be called with the lock held.
  void updateCell(const std::string &cell, const CellRow &row);
  bool isOwn(const CellRecord &cell) const;
  bool canClaim(const std::string &cell, Instant now) const;
  std::vector<std::string> ownedCells() const;
  void queueLosses(const std::vector<std::string> &owned);
  void updateOwnRow(const std::optional<TableRow> &row, Instant now);

  const LeaseSettings Settings;
  const TableHooks Table;
  const LeaseHooks Hooks;
  const std::string Name;

  mutable std::mutex Mutex;
  OwnLease Own;
  LeaseView View;
  std::optional<Instant> RenewalSentAt;
  /// The row must be written although the lease was renewed recently.
  bool RenewalForced = false;
  bool Leaving = false;
  bool Retired = false;
  std::optional<Instant> ScanStartedAt;
  /// When the first scan of all rows was answered.
  std::optional<Instant> FirstScannedAt;
  std::map<std::string, CellRow> Cells;
  /// All cells that this node may claim, from the last round.
  std::vector<std::string> CandidateCells;
  /// Cells and owners for which a table operation of this node is in flight.
  std::set<std::string> CellsInFlight;
  std::set<std::string> OwnersInFlight;
  LeaseCounts Counts;
  /// Changes for which a hook has still to be called, in order.
  std::deque<OwnershipChange> PendingChanges;
  bool Delivering = false;
};

} // namespace hemlockglade
