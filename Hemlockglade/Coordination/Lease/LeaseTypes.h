#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>

namespace hemlockglade {

/// What a node says of itself in its lease row.
struct NodeRecord {
  std::string Name;
  /// Changes with each start of the node and with each lease that was lost.
  std::string Incarnation;
  /// `ip:port` for callers.
  std::string CallerAddress;
  /// `ip:port` for other nodes.
  std::string PeerAddress;
  std::string FailureDomain;
  /// Takes no cells any more, but still serves.
  bool Leaving = false;
  /// The lease of this incarnation is over for good.
  bool Over = false;
};

/// Who owns a cell.
struct CellRecord {
  /// Name of the owning node; empty if it was released.
  std::string Owner;
  Epoch Fence = 0;
  /// The owner's incarnation when it took the cell.
  std::string Incarnation;
  /// The owner before this one, or before it was released, and its
  /// incarnation; empty if there was none.
  std::string FormerOwner;
  std::string FormerIncarnation;
};

/// The process's part of a lease's incarnation.
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

/// Times of the leases. Two clocks may drift apart by up to Margin / Duration.
struct LeaseSettings {
  Span Duration = std::chrono::seconds(10);
  Span Margin = std::chrono::seconds(1);
  /// Least time between two renewals; 0 renews in each round. Well below half
  /// of the duration, so that one may fail.
  Span RenewInterval{};
  /// Least time between two scans of all rows; 0 scans in each round.
  Span ScanInterval{};
  /// Time after the first scan in which cells that never had an owner are left
  /// alone, so that nodes which start together share them.
  Span SettleTime{};
  /// How long the row of a dead node is kept. No write of the table may take
  /// effect later than half of this after it was sent.
  Span RowKeep = std::chrono::hours(1);
};

/// What the keeper tells its node. Calls come one at a time and in order,
/// outside the keeper's lock.
struct LeaseHooks {
  /// A clock that runs on while the machine is suspended.
  std::function<Instant()> Now;
  /// The cell is ours under a new epoch.
  std::function<void(const std::string &cell, Epoch fence)> OnOwned;
  /// The cell isn't ours any more.
  std::function<void(const std::string &cell)> OnLost;
};

/// Table operations of one keeper since its start.
struct LeaseCounts {
  std::uint64_t Rounds = 0;
  std::uint64_t Gets = 0;
  std::uint64_t Scans = 0;
  std::uint64_t Commits = 0;
};

} // namespace hemlockglade
