#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>

namespace hemlockglade {

/// Result of an attempt, as far as the replica is at fault.
enum class AttemptVerdict : std::uint8_t {
  Success,
  /// The replica answered with a valid error response.
  ReplicaError,
  /// The replica shed the request.
  Shed,
  /// The replica rejected the request and asked for a pause, which is no
  /// failure.
  Paused,
  /// No connection, a broken one, no answer within the timeout, or invalid
  /// bytes.
  NoValidAnswer,
};

/// Tracks a replica's failures and response times from one node's own attempts,
/// without probing it.
class ReplicaHealth {
public:
  struct Settings {
    /// Weight of the newest attempt in the failure shares and the typical time.
    double SmoothingFactor = 0.15;
    /// Half-life of the failure shares, so that a replica that was avoided is
    /// used again.
    Span HalfLife = std::chrono::seconds(4);
    /// A request without an answer is overdue after this many times the typical
    /// time, and at least the minimum.
    double OverdueFactor = 5;
    Span MinOverdueTime = std::chrono::milliseconds(250);
  };

  ReplicaHealth() : ReplicaHealth(Settings{}) {}
  explicit ReplicaHealth(Settings settings) : Options(settings) {}

  void onSent(std::uint64_t attempt, Instant now);
  /// Called when the first byte of an answer is received.
  void onAnswered(std::uint64_t attempt, Instant now);
  /// Called when the attempt has ended.
  void onEnd(std::uint64_t attempt, AttemptVerdict verdict, Instant now);

  /// Share of recent attempts that were shed or got no valid answer, 0 to 1.
  double failureShare(Instant now) const;
  /// Share of recent attempts that the replica answered with an error response,
  /// 0 to 1.
  double replicaErrorShare(Instant now) const;
  /// Returns whether the oldest request without an answer is overdue.
  bool isOverdue(Instant now) const;
  /// Typical time to the first byte of an answer.
  Span typicalFirstByte() const { return TypicalTime; }

private:
  double decayed(double share, Instant now) const;

  Settings Options;
  double FailedShare = 0;
  double ErrorShare = 0;
  Instant UpdatedAt{};
  Span TypicalTime = std::chrono::milliseconds(100);
  std::map<std::uint64_t, Instant> Unanswered;
};

} // namespace hemlockglade
