#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <span>

namespace hemlockglade {

/// How the next adapter to load is chosen.
struct LoadPlannerSettings {
  /// Waiting this long doubles an adapter's claim; the claim grows with the
  /// power `AgePower` of the age.
  Span AgeScale = std::chrono::seconds(5);
  double AgePower = 2;
  /// Time left below which a deadline raises the claim.
  Span UrgentWithin = std::chrono::seconds(3);
  /// How often the claim is raised at most when the deadline is near.
  double LargestUrgency = 4;
  /// Claim of a further copy against that of a first one.
  double CopyShare = 0.25;
  /// Choose by arrival only.
  bool FirstComeFirstServed = false;
};

/// The adapters that need a load, in two orders: by deadline and by the
/// weight of what waits. The next one is chosen among the first few of both,
/// so the cost does not grow with their number.
class LoadPlanner {
public:
  LoadPlanner(const LoadPlannerSettings &settings,
              std::pmr::memory_resource *memory);

  /// Enters the adapter or brings its place up to date.
  void enter(ActiveAdapter &active, std::uint8_t headPriority, bool copy);
  void leave(ActiveAdapter &active);

  /// Adapters that need a load.
  std::size_t size() const { return ByWeight.size(); }
  /// Those that are loaded nowhere.
  std::size_t firsts() const { return ByWeight.size() - Copies; }
  /// Adapters whose first waiting request has this class or a higher one.
  std::size_t ahead(std::uint8_t priority) const;
  /// Adapters whose first waiting request has this class.
  std::size_t ofClass(std::uint8_t priority) const { return Classes[priority]; }

  static constexpr std::size_t MostCandidates = 16;
  /// The adapters with the largest claims, best first; valid until the next
  /// call.
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
    /// Negated, so that the largest comes first.
    std::int64_t Weight = 0;
    AdapterKey Adapter = NoAdapter;
    // The linter takes the zero of the comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const WeightKey &) const = default;
  };
  struct Claim {
    double Value = 0;
    AdapterKey Adapter = NoAdapter;
  };

  double claimOf(const ActiveAdapter &active, Instant now) const;
  void consider(const ActiveAdapter &active, Instant now, std::size_t &n);

  LoadPlannerSettings Settings;
  std::pmr::set<DeadlineKey> ByDeadline;
  std::pmr::set<WeightKey> ByWeight;
  std::array<std::uint32_t, 256> Classes{};
  std::size_t Copies = 0;
  std::array<Claim, 2 * MostCandidates> Claims{};
  std::array<AdapterKey, MostCandidates> Chosen{};
};

} // namespace hemlockglade
