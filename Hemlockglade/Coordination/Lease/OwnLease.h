#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"
#include "Hemlockglade/Coordination/Table.h"

#include <map>

namespace hemlockglade {

/// The lease of this node: what was sent, what is known to have taken effect,
/// and until when it holds. An incarnation whose row was marked as over or
/// removed is never used again. Not locked.
class OwnLease {
public:
  OwnLease(const LeaseSettings &settings, NodeRecord self);

  /// A number that no other write of this process has.
  std::string nextAttempt();
  /// The version of the row must be read before the next renewal.
  bool needsRead() const { return !Version; }
  /// The renewal to send now.
  TableTransaction renewal(Instant now);
  /// The write that ends the lease.
  TableTransaction ending();
  /// The renewal took effect.
  void confirm(const std::string &attempt);
  /// The renewal took no effect and never will.
  void drop(const std::string &attempt) { Pending.erase(attempt); }
  /// Our row as it is in the table; true if all cells are lost.
  bool take(const std::optional<TableRow> &row);
  /// Takes a new incarnation if the lease lapsed so long ago that our row may
  /// have been removed; true if all cells are lost.
  bool expire(Instant now);

  bool holds(Instant now) const { return now < End; }
  /// When the lease lapses unless it is renewed.
  Instant end() const { return End; }
  /// Whether a renewal that was sent at `since` or later took effect.
  bool confirmedSince(Instant since) const {
    return Established && ConfirmedAt >= since;
  }
  bool superseded() const { return Superseded; }
  const NodeRecord &record() const { return Self; }
  void setLeaving() { Self.Leaving = true; }
  /// Our row as last confirmed; nothing before.
  std::optional<NodeRow> sight() const;

private:
  /// A renewal whose end is not known.
  struct Sent {
    Instant At{};
    std::uint64_t ExpectedVersion = 0;
  };

  bool ofThisProcess(const std::string &incarnation) const;
  void nextIncarnation();

  LeaseSettings Settings;
  NodeRecord Self;
  const std::string Process;
  std::uint64_t Generation = 0;
  std::uint64_t Attempts = 0;
  std::optional<std::uint64_t> Version;
  std::map<std::string, Sent> Pending;
  Instant End{};
  Instant ConfirmedAt{};
  bool Established = false;
  bool Superseded = false;
};

} // namespace hemlockglade
