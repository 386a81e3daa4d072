#pragma once

#include "Hemlockglade/Coordination/Decision/CoreTypes.h"
#include "Hemlockglade/Coordination/Lease/LeaseView.h"
#include "Hemlockglade/Coordination/Lease/OwnLease.h"

#include <deque>
#include <memory>
#include <mutex>

namespace hemlockglade {

/// Keeps this node's lease and the ownership of cells in the platform's
/// table. Safe to call from several threads.
///
/// A node counts its lease from before the renewal was sent, less the margin.
/// Another node thinks it alive as long as its row goes on changing, and waits
/// for Duration + Margin without a change before it marks the row `over`; so
/// no two clocks are ever compared. Marking is by compare-and-set on the
/// version that was seen unchanged, so a renewal in between makes it fail, and
/// marking makes each later renewal fail. Cells of an incarnation whose lease
/// is over may be taken.
class LeaseManager : public std::enable_shared_from_this<LeaseManager> {
public:
  LeaseManager(const LeaseSettings &settings, NodeRecord self, TableHooks table,
               LeaseHooks hooks);

  /// Renews the lease, looks at all rows if that is due, and takes those of
  /// `cells` that are due to us. Call it several times in a lease's duration.
  void round(std::vector<std::string> cells);
  /// Gives up all cells at once and takes no more; the node stays listed as
  /// leaving. `done` when the table has answered or failed; rounds go on
  /// trying for cells that it does not have.
  void release(std::function<void()> done);
  /// The node is idle and goes: ends the lease, so that nobody waits for it.
  void retire(std::function<void()> done);
  /// What another node told us of a lease row.
  void onNodeRow(const NodeRow &sight);
  /// What another node told us of an ownership row.
  void onCellRow(const std::string &cell, const CellRow &sight);
  /// Another node told us that a cell has changed hands: reads its row at once
  /// instead of at the next scan, and takes the cell if it is due to us.
  void refreshCell(const std::string &cell);

  /// Whether an order may be given that only the owner may give. Check it
  /// right before each order.
  bool holds(const std::string &cell) const;
  /// `Held` while `holds`, `Doubtful` if the lease lapsed and nobody is known
  /// to have taken the cell, otherwise `None`.
  LeaseMode modeOf(const std::string &cell) const;
  /// The owner of a cell as last seen; nothing if there is none.
  std::optional<NodeRecord> ownerOf(const std::string &cell) const;
  /// All nodes that are thought to live, this one included.
  std::vector<NodeRecord> nodes() const;
  /// Epoch of an owned cell; 0 if it isn't ours.
  Epoch fenceOf(const std::string &cell) const;
  /// All cells and their owners as last seen.
  std::map<std::string, CellRecord> cells() const;
  /// Our lease row as last confirmed, for telling others; nothing before.
  std::optional<NodeRow> self() const;
  /// An ownership row as last seen, for telling others.
  std::optional<CellRow> cell(const std::string &cell) const;
  /// A later process of the same name has taken our row; this one can't go on.
  bool superseded() const;
  LeaseCounts counts() const;

private:
  struct LeaseEvent {
    std::string Cell;
    /// 0 if the cell was lost.
    Epoch Fence = 0;
  };

  void get(std::string key, TableCallback<std::optional<TableRow>> done);
  void commit(TableTransaction transaction, TableCallback<std::uint64_t> done);
  void renew();
  void sendRenewal();
  void onRenewed(const std::string &attempt,
                 const tl::expected<std::uint64_t, TableError> &result);
  void readOwn(std::function<void()> then);
  bool startScan();
  void scan();
  void takeNodes(const std::vector<TableRow> &rows);
  void takeCells(const std::vector<TableRow> &rows);
  void act();
  void check(const std::string &owner, const std::string &incarnation);
  void onChecked(const std::string &owner, const std::string &incarnation,
                 const std::optional<TableRow> &row);
  void fence(const NodeRow &sight);
  void claim(const std::string &cell);
  void takeLeaving(const std::string &cell);
  void writeCell(const std::string &cell, const CellRecord &record,
                 std::uint64_t version, std::function<void()> then);
  void readCell(const std::string &cell, std::function<void()> then);
  void releaseCells(std::function<void()> done);
  void removeStale();
  void deliver();

  // All below need the lock.
  void takeCell(const std::string &cell, const CellRow &sight);
  bool isOurs(const CellRecord &cell) const;
  bool mayClaim(const std::string &cell, Instant now) const;
  std::vector<std::string> ownedCells() const;
  void loseAll(const std::vector<std::string> &owned);
  void takeOwn(const std::optional<TableRow> &row, Instant now);

  const LeaseSettings Settings;
  const TableHooks Table;
  const LeaseHooks Hooks;
  const std::string Name;

  mutable std::mutex Mutex;
  OwnLease Own;
  LeaseView View;
  std::optional<Instant> RenewalSent;
  /// The row must be written though the lease is fresh.
  bool RenewNow = false;
  bool Leaving = false;
  bool Retired = false;
  std::optional<Instant> ScanStarted;
  /// When the first scan of all rows was answered.
  std::optional<Instant> ScannedAt;
  std::map<std::string, CellRow> Cells;
  std::vector<std::string> Wanted;
  /// Cells and owners with an operation of ours in flight.
  std::set<std::string> BusyCells;
  std::set<std::string> BusyOwners;
  LeaseCounts Counts;
  std::deque<LeaseEvent> Events;
  bool Delivering = false;
};

} // namespace hemlockglade
