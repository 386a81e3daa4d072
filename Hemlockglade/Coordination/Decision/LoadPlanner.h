#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <span>

namespace hemlockglade {

/// Settings of the choice of the next adapter to load.
struct LoadPlannerSettings {
  /// Age at which an adapter's score doubles; the age's part of the score is
  /// (age / `AgeScale`) to the power `AgePower`.
  Span AgeScale = std::chrono::seconds(5);
  double AgePower = 2;
  /// Time to the deadline below which the score rises.
  Span UrgencyWindow = std::chrono::seconds(3);
  /// Maximum factor on the score when the deadline is near.
  double MaxUrgency = 4;
  /// Factor on the score of a further copy, relative to a first one.
  double CopyWeight = 0.25;
  /// Choose by time of arrival only.
  bool FirstComeFirstServed = false;
};

/// Indexes the adapters that need a load by deadline and by the total class
/// weight of their waiting requests. The next one is chosen among the first few
/// of both indexes, so the cost does not grow with their number.
class LoadPlanner {
public:
  LoadPlanner(const LoadPlannerSettings &settings,
              std::pmr::memory_resource *memory);

  /// Adds the adapter or updates its position.
  void addOrUpdate(ActiveAdapter &active, std::uint8_t headPriority, bool copy);
  void remove(ActiveAdapter &active);

  /// Returns the number of adapters that need a load.
  std::size_t size() const { return ByWeight.size(); }
  /// Returns the number of those that no replica can serve yet.
  std::size_t firstCopies() const { return ByWeight.size() - Copies; }
  /// Returns the number of adapters whose first waiting request has this class
  /// or a higher one.
  std::size_t fromClass(std::uint8_t priority) const;
  /// Returns the number of adapters whose first waiting request has this class.
  std::size_t ofClass(std::uint8_t priority) const { return Classes[priority]; }

  static constexpr std::size_t MaxCandidates = 16;
  /// Returns the adapters with the highest scores, best first; valid until the
  /// next call.
  std::span<const AdapterKey> candidates(const AdapterTable &adapters,
                                         Instant now);

private:
  struct DeadlineKey {
    Instant Deadline{};
    AdapterKey Adapter = NoAdapter;
    // The linter takes the zero of the comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const DeadlineKey &) const = default;
  };
  struct WeightKey {
    /// Negated, so that the largest weight is first.
    std::int64_t Weight = 0;
    AdapterKey Adapter = NoAdapter;
    // The linter takes the zero of the comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const WeightKey &) const = default;
  };
  struct Score {
    double Value = 0;
    AdapterKey Adapter = NoAdapter;
  };

  double scoreOf(const ActiveAdapter &active, Instant now) const;
  void consider(const ActiveAdapter &active, Instant now, std::size_t &n);

  LoadPlannerSettings Settings;
  std::pmr::set<DeadlineKey> ByDeadline;
  std::pmr::set<WeightKey> ByWeight;
  std::array<std::uint32_t, 256> Classes{};
  std::size_t Copies = 0;
  std::array<Score, 2 * MaxCandidates> Scores{};
  std::array<AdapterKey, MaxCandidates> Chosen{};
};

} // namespace hemlockglade
