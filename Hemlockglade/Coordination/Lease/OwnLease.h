#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"
#include "Hemlockglade/Coordination/Table.h"

#include <map>

namespace hemlockglade {

/// The lease of this node: the renewals that were sent, those known to have
/// taken effect, and the time until which the lease is valid. An incarnation
/// whose row was marked as ended or removed is never used again. Not
/// thread-safe.
class OwnLease {
public:
  OwnLease(const LeaseSettings &settings, NodeRecord self);

  /// Returns an attempt id that no other write of this process has.
  std::string nextAttemptId();
  /// Whether the row's version must be read before the next renewal.
  bool needsRead() const { return !Version; }
  /// Creates a renewal, which is pending from `now` on. The row's version must
  /// be known.
  TableTransaction makeRenewal(Instant now);
  /// Creates the write that marks the lease as ended.
  TableTransaction makeEnding();
  /// Called when a renewal is known to have taken effect.
  void confirmRenewal(const std::string &attempt);
  /// Called when a renewal is known to never take effect.
  void dropRenewal(const std::string &attempt) {
    PendingRenewals.erase(attempt);
  }
  /// Applies this node's row as read from the table. Returns true if the lease,
  /// and with it every owned cell, is lost.
  bool updateFromRow(const std::optional<TableRow> &row);
  /// Starts a new incarnation if the lease lapsed so long ago that its row may
  /// have been removed. Returns true if it did: every owned cell is lost.
  bool expireIncarnation(Instant now);

  bool isValid(Instant now) const { return now < ValidUntil; }
  /// The time at which the lease lapses unless it is renewed.
  Instant validUntil() const { return ValidUntil; }
  /// Whether a renewal that was sent at `since` or later took effect.
  bool isConfirmedSince(Instant since) const {
    return RowWritten && ConfirmedAt >= since;
  }
  /// Whether another process has written the row since this one did.
  bool isSuperseded() const { return Superseded; }
  const NodeRecord &record() const { return Self; }
  void setLeaving() { Self.Leaving = true; }
  /// This node's row as last confirmed; nothing before the first confirmation.
  std::optional<NodeRow> confirmedRow() const;

private:
  /// A renewal whose outcome is unknown.
  struct PendingRenewal {
    Instant SentAt{};
    std::uint64_t ExpectedVersion = 0;
  };

  bool isOfThisProcess(const std::string &incarnation) const;
  void startNextIncarnation();

  LeaseSettings Settings;
  NodeRecord Self;
  const std::string ProcessIncarnation;
  /// Number of incarnations of this process so far.
  std::uint64_t Generation = 0;
  std::uint64_t AttemptCount = 0;
  /// Last known version of this node's row; nothing if it must be read.
  std::optional<std::uint64_t> Version;
  std::map<std::string, PendingRenewal> PendingRenewals;
  Instant ValidUntil{};
  Instant ConfirmedAt{};
  /// The row is known to have been written by the current incarnation.
  bool RowWritten = false;
  bool Superseded = false;
};

} // namespace hemlockglade
