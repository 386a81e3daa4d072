#pragma once

#include "Hemlockglade/Coordination/Claim/GroupCommit.h"

namespace hemlockglade {

/// A request that must not repeat, as its caller names it.
struct ClaimRequest {
  /// Keys of different scopes, such as services, are different keys.
  std::string Scope;
  /// The caller's idempotency key; any bytes.
  std::string Key;
  /// The request's body, or whatever must be the same for the same key.
  std::string_view Body;
  std::string RequestId;
};

/// Names a claim that was won, for recording its outcome.
struct ClaimTicket {
  std::string Row;
  std::uint64_t Version = 0;
  std::string Attempt;
  /// The row's text but for its outcome.
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
  /// The claim was not written and won't be: refuse as not run.
  StoreUnavailable,
  /// The claim may have been written: unknown, and not to be run.
  Ambiguous,
};

/// The answer to a claim.
struct ClaimAnswer {
  ClaimResult Result = ClaimResult::Ambiguous;
  /// With `Claimed`.
  ClaimTicket Ticket;
  /// With `Taken`; `Unknown` while the other request runs.
  Outcome Recorded = Outcome::Unknown;
  /// With `Taken` and `OtherBody`: the request that has the key.
  std::string RequestId;
};

/// Times and bounds of claims.
struct ClaimSettings {
  GroupSettings Group;
  /// How long a key is remembered.
  Span Keep = std::chrono::hours(24);
  /// Times that a claim or an outcome is sent before it is given up.
  int Tries = 3;
  /// Wait before an outcome is sent again.
  Span OutcomeRetry = std::chrono::seconds(1);
  /// Outcomes that may wait to be sent again; more are dropped.
  std::size_t OutcomeBacklog = 1000;
  /// Hexadecimal digits that name a slice of the rows in cleaning up.
  unsigned SliceDigits = 3;
  /// Most rows that one cleaning removes.
  std::size_t CleanupBatch = 16;
};

/// What a claim book needs of its driver.
struct ClaimHooks {
  /// Milliseconds since 1970. Compared between nodes, but only for the age of
  /// old rows: errors must be small against ClaimSettings::Keep.
  std::function<std::int64_t()> WallMs;
  /// Calls back after a span of time.
  std::function<void(Span delay, std::function<void()> call)> After;
};

/// Work of one claim book since its start.
struct ClaimCounts {
  std::uint64_t Transactions = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Claims = 0;
  std::uint64_t OutcomesDropped = 0;
  std::uint64_t RowsRemoved = 0;
};

} // namespace hemlockglade
