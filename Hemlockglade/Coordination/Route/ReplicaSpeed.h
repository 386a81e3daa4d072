#pragma once

#include "Hemlockglade/State/Ids.h"

#include <optional>

namespace hemlockglade {

/// Estimates how slow one replica is relative to its service: the factor is the
/// time that it takes divided by the service's typical time for the same work.
/// Not defined for responses that queued or failed: these must not be added.
class ReplicaSpeed {
public:
  struct Settings {
    /// Without new samples the factor returns to 1 with this half-life, so that
    /// a slow replica is tried again.
    Span HalfLife = std::chrono::seconds(10);
    /// Time constant of the samples' weights, and time after the last one from
    /// which the factor decays. Three times as long as a spell of
    /// half a second, which therefore moves the factor by less than a third.
    Span SampleMemory = std::chrono::milliseconds(1500);
    /// Least weight of the present estimate against new samples. With 3 and
    /// `MaxStep`, a single outlier moves the factor by less than a fifth.
    double MinWeight = 3;
    /// A sample counts as at most this many times the present factor, or that
    /// part of it.
    double MaxStep = 2;
    /// Weight of a sample above the present factor, relative to one below it: a
    /// queue that this node doesn't know of only ever makes a sample slower.
    double SlowerWeight = 0.5;
    /// Time constant of the steady factor.
    Span SteadyMemory = std::chrono::seconds(5);
  };
  static constexpr double MinFactor = 0.25;
  static constexpr double MaxFactor = 4;

  /// Samples of one node.
  struct Samples {
    std::uint32_t Count = 0;
    /// Their geometric mean.
    double Factor = 1;
  };

  ReplicaSpeed() : ReplicaSpeed(Settings{}) {}
  explicit ReplicaSpeed(Settings settings) : Options(settings) {}

  /// Adds a sample of this node; returns whether it is valid.
  bool add(double ratio, Instant now);
  /// Adds another node's samples; returns whether they are valid.
  bool add(const Samples &samples, Instant now);
  /// Replaces the factor by one that the cell's owner has merged from all
  /// nodes' samples, the last of which it got `age` ago. It is kept as it is
  /// until `release`, since the owner reports how it changes. Returns whether
  /// the report is valid.
  bool onMerged(double factor, Span age, Instant now);
  /// Called when the owner is lost: the factor decays again, and follows this
  /// node's own samples.
  void release(Instant now);

  double factor(Instant now) const;
  bool isFromOwner() const { return FromOwner; }
  /// Whether there are samples of this node that have not been taken.
  bool hasSamples() const { return PendingCount > 0; }
  /// Returns this node's samples since the last call, if there are any.
  std::optional<Samples> takeSamples();
  /// Returns how long ago the last sample was added that the factor contains.
  Span age(Instant now) const;

  /// Updates the steady factor; to be called repeatedly.
  void updateSteady(Instant now);
  /// The factor without changes that last for a few seconds only.
  double steadyFactor() const;

private:
  static bool isValid(double factor);
  double logAt(Instant now) const;
  void merge(double logFactor, double count, Instant now);

  Settings Options;
  /// Logarithm of the factor at `At`.
  double Log = 0;
  Instant At{};
  /// Weight of the samples in `Log`, at `SampledAt`.
  double Weight = 0;
  Instant SampledAt{};
  /// `Log` is the owner's, and does not decay.
  bool FromOwner = false;
  double SteadyLog = 0;
  Instant SteadyAt{};
  double PendingLogs = 0;
  std::uint32_t PendingCount = 0;
};

} // namespace hemlockglade
