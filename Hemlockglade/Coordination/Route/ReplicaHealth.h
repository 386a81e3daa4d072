#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>

namespace hemlockglade {

/// How an attempt at a replica ended, as far as the replica is to blame.
enum class AttemptVerdict : std::uint8_t {
  Success,
  /// It failed the request itself, with a proper answer.
  ReplicaError,
  /// It shed the request.
  Shed,
  /// No connection, a broken one, no answer in time, or wrong bytes.
  NoValidAnswer,
};

/// What one node has seen of a replica's conduct, without asking it.
class ReplicaHealth {
public:
  struct Settings {
    /// Weight of the newest attempt in the share of failures.
    double Step = 0.15;
    /// Failures are forgotten by half in this time, so that a replica that was
    /// avoided is tried again.
    Span HalfLife = std::chrono::seconds(4);
    /// A request without an answer is overdue after this many times the usual
    /// time, and not before the least.
    double OverdueFactor = 5;
    Span LeastOverdue = std::chrono::milliseconds(250);
  };

  ReplicaHealth() : ReplicaHealth(Settings{}) {}
  explicit ReplicaHealth(Settings settings) : Setup(settings) {}

  void onSent(std::uint64_t attempt, Instant now);
  /// The first byte of an answer came.
  void onAnswered(std::uint64_t attempt, Instant now);
  /// The attempt is over.
  void onEnd(std::uint64_t attempt, AttemptVerdict verdict, Instant now);

  /// Share of recent attempts that were bad or shed, 0 to 1.
  double failureShare(Instant now) const;
  /// Share of recent attempts that the replica failed with a proper answer.
  double replicaErrorShare(Instant now) const;
  /// Whether the oldest request without an answer waits unusually long.
  bool isOverdue(Instant now) const;
  /// Usual time to the first byte of an answer.
  Span typicalFirstByte() const { return Usual; }

private:
  double faded(double share, Instant now) const;

  Settings Setup;
  double Failed = 0;
  double OwnFailed = 0;
  Instant At{};
  Span Usual = std::chrono::milliseconds(100);
  std::map<std::uint64_t, Instant> Unanswered;
};

} // namespace hemlockglade
