#pragma once

#include "Hemlockglade/Coordination/Claim/GroupCommit.h"

namespace hemlockglade {

/// A request that must not run twice, and the key that its caller gave it.
struct ClaimRequest {
  /// Keys of different scopes, such as services, are different keys.
  std::string Scope;
  /// The caller's idempotency key; any bytes.
  std::string Key;
  /// The request's body, or other content that must be the same for the same
  /// key.
  std::string_view Body;
  std::string RequestId;
};

/// Identifies a successful claim, for recording its outcome.
struct ClaimTicket {
  std::string Row;
  std::uint64_t Version = 0;
  std::string Attempt;
  /// The other fields of the row, except its outcome.
  std::string BodyHash;
  std::string RequestId;
  std::int64_t ClaimedAtMs = 0;
};

/// How a claim ended. Only after `Claimed` may the request be run.
enum class ClaimResult : std::uint8_t {
  Claimed,
  /// Another request has the key; its outcome is `Recorded`.
  Taken,
  /// The key was used with another body: the caller's error.
  OtherBody,
  /// The claim was not written and won't be: the request is refused as not run.
  StoreUnavailable,
  /// The claim may have been written: the outcome is unknown, and the request
  /// must not be run.
  Ambiguous,
};

/// The answer to a claim.
struct ClaimAnswer {
  ClaimResult Result = ClaimResult::Ambiguous;
  /// Valid with `Claimed`.
  ClaimTicket Ticket;
  /// Valid with `Taken`; `Unknown` while the other request runs.
  Outcome Recorded = Outcome::Unknown;
  /// Valid with `Taken` and `OtherBody`: id of the request that has the key.
  std::string RequestId;
};

/// Times and limits of claims.
struct ClaimSettings {
  GroupSettings Group;
  /// How long the row of a key is kept.
  Span Retention = std::chrono::hours(24);
  /// Maximum number of times that a claim or an outcome is written.
  int MaxAttempts = 3;
  /// Delay before the write of an outcome is retried.
  Span OutcomeRetry = std::chrono::seconds(1);
  /// Maximum number of outcomes that are not recorded yet; further ones are
  /// dropped.
  std::size_t OutcomeBacklog = 1000;
  /// Number of hexadecimal digits that identify a slice of the rows in cleanup.
  unsigned SliceDigits = 3;
  /// Maximum number of rows that one cleanup removes.
  std::size_t CleanupBatch = 16;
};

/// Callbacks that a claim store needs.
struct ClaimHooks {
  /// Returns milliseconds since 1970. Values are compared between nodes, but
  /// only for the age of rows: clock errors must be small against
  /// ClaimSettings::Retention.
  std::function<std::int64_t()> WallMs;
  /// Calls `call` after `delay`.
  std::function<void(Span delay, std::function<void()> call)> After;
};

/// Operations of one claim store since its start.
struct ClaimCounts {
  std::uint64_t Transactions = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Claims = 0;
  std::uint64_t OutcomesDropped = 0;
  std::uint64_t RowsRemoved = 0;
};

} // namespace hemlockglade
