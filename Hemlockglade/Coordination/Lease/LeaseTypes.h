#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>

namespace hemlockglade {

/// The contents of a node's lease row, written by the node itself.
struct NodeRecord {
  std::string Name;
  /// Differs for each start of the node's process, and for each lease that the
  /// process acquires after it lost one.
  std::string Incarnation;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` for other nodes.
  std::string PeerAddress;
  std::string FailureDomain;
  /// The node takes no further cells, but still serves.
  bool Leaving = false;
  /// The lease of this incarnation has ended and is never renewed.
  bool Ended = false;
};

/// The contents of a cell's ownership row.
struct CellRecord {
  /// Name of the owning node; empty if the cell was released.
  std::string Owner;
  Epoch Fence = 0;
  /// The owner's incarnation when it took the cell.
  std::string Incarnation;
  /// Name and incarnation of the previous owner, which for a released cell is
  /// the one that released it; empty if there was none.
  std::string FormerOwner;
  std::string FormerIncarnation;
};

/// Returns the part of a lease's incarnation that identifies the process: all
/// before the last dot.
std::string_view processOf(std::string_view incarnation);

/// A node's record and the version of the row that it was read from.
struct NodeRow {
  NodeRecord Record;
  std::uint64_t Version = 0;
};

/// A cell's record and the version of the row that it was read from.
struct CellRow {
  CellRecord Record;
  std::uint64_t Version = 0;
};

/// Durations and intervals of the leases. Two nodes' clocks may drift apart by
/// up to Margin / Duration.
struct LeaseSettings {
  Span Duration = std::chrono::seconds(10);
  Span Margin = std::chrono::seconds(1);
  /// Minimum time between two renewals; 0 renews in each round. Must be well
  /// below half of the duration, so that the lease survives a failed renewal.
  Span RenewInterval{};
  /// Minimum time between two scans of all rows; 0 scans in each round.
  Span ScanInterval{};
  /// Time after the first scan during which cells that never had an owner are
  /// not claimed, so that nodes that start together share them.
  Span SettleTime{};
  /// How long the row of a dead node is kept. No write to the table may take
  /// effect later than half of this after it was sent.
  Span RowRetention = std::chrono::hours(1);
};

/// Callbacks of LeaseManager. `OnOwned` and `OnLost` are called one at a time
/// and in order, without the manager's lock held.
struct LeaseHooks {
  /// Returns the time of a clock that continues while the machine is suspended.
  std::function<Instant()> Now;
  /// Called when this node has become the owner of a cell, at a new epoch.
  std::function<void(const std::string &cell, Epoch fence)> OnOwned;
  /// Called when this node has ceased to own a cell.
  std::function<void(const std::string &cell)> OnLost;
};

/// Rounds and table operations of one LeaseManager since its start.
struct LeaseCounts {
  std::uint64_t Rounds = 0;
  std::uint64_t Gets = 0;
  std::uint64_t Scans = 0;
  std::uint64_t Commits = 0;
};

} // namespace hemlockglade
