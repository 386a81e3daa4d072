#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <optional>
#include <span>

namespace hemlockglade {

/// What the books say of an adapter on a replica.
enum class ResidentState : std::uint8_t {
  /// A load order is out.
  Loading,
  Loaded,
  /// An evict order is out.
  Evicting,
  /// An order's answer is missing: it may be there or not. It keeps its slot
  /// and gets no work until a report tells.
  Uncertain,
};

/// An adapter on a replica.
struct Resident {
  AdapterKey Adapter = NoAdapter;
  ResidentState State = ResidentState::Loading;
  /// Tells this stay from an earlier one of the same adapter.
  std::uint64_t Stay = 0;
  /// Number of the last order while its answer may come, else 0.
  std::uint64_t Order = 0;
  /// Whether the last order was a load.
  bool OrderedLoad = false;
  /// Known from a report only, so former owners may have used it.
  bool FromReport = false;
  /// An earlier load order of this stay may still be carried out, so that a
  /// failure of the last does not mean that it is not there.
  bool Overlaps = false;
  /// The engine restarted while the order was out.
  bool Restarted = false;
  /// Why it was loaded.
  Reason Why = Reason::Demand;
  std::uint32_t Running = 0;
  /// Requests that the engine's last report says it runs.
  std::uint32_t Reported = 0;
  /// When the state changed last.
  Instant ChangedAt{};
  /// When its last load was ordered.
  Instant LoadOrderedAt{};
  /// A report that was true after this tells whether it is there.
  Instant SettledAfter{};
  /// Whether it was uncertain when it was last ordered away.
  bool WasUncertain = false;
  Instant LoadedAt{};
  /// Our last admission or end of a request.
  Instant LastUsed{};
  /// Its place in the eviction order, while it stands there.
  bool Idle = false;
  double Value = 0;
};

/// A replica as the owner's books have it.
struct Replica {
  ReplicaKey Key = 0;
  ReplicaAdded Properties;
  bool Present = false;
  bool Draining = false;
  /// Gets no work so that the batches of others fill.
  bool Resting = false;
  std::uint64_t Incarnation = 0;
  /// When the newest report was true.
  Instant ReportAt{};
  bool Reported = false;
  /// Reports missed in a row.
  std::uint32_t Silent = 0;
  std::uint32_t Running = 0;
  /// Requests that the engine runs and we don't know.
  std::uint32_t Foreign = 0;
  /// Requests until an engine that started cold counts as warm.
  std::uint32_t ColdLeft = 0;
  /// Loads that failed in a row, and when the next may be tried.
  std::uint32_t LoadFailures = 0;
  Instant NoLoadBefore{};
  /// When an order last changed what is loaded.
  Instant OrderAt{};
  std::vector<Resident> Adapters;

  bool hasFreeSlot() const { return Adapters.size() < Properties.Slots; }
  std::uint32_t inFlight() const { return Running + Foreign; }
  bool hasRoom() const { return inFlight() < Properties.Batch; }
  /// Requests at once at full speed, as measured.
  double capacity() const;

  /// Keeps the number of running requests as it was over the last changes,
  /// so that a lagging report can be compared with its own time.
  void changeRunning(int by, Instant now);
  /// What the books said at `at`; nothing if that is too long ago.
  std::optional<std::uint32_t> runningAt(Instant at) const;

private:
  struct Sample {
    Instant At{};
    std::uint32_t Running = 0;
  };

  std::array<Sample, 64> Samples{};
  std::size_t LastSample = 0;
  std::size_t SampleCount = 1;
};

/// All replicas of the cell, and which adapters they hold.
class CellReplicas {
public:
  explicit CellReplicas(AdapterTable &adapters) : Adapters(adapters) {}

  /// The replica, made known if it was not.
  Replica &obtain(ReplicaKey replica);
  /// The replica if the configuration has it.
  Replica *find(ReplicaKey replica);
  std::span<Replica> all() { return Replicas; }
  std::span<const Replica> all() const { return Replicas; }

  Resident *resident(Replica &replica, AdapterKey adapter);
  /// Enters an adapter that the replica's books don't have.
  Resident &add(Replica &replica, AdapterKey adapter, ResidentState state,
                Instant now);
  /// Strikes an adapter out. References to residents of the replica end.
  void remove(Replica &replica, AdapterKey adapter);

private:
  AdapterTable &Adapters;
  std::vector<Replica> Replicas;
  std::uint64_t LastStay = 0;
};

} // namespace hemlockglade
