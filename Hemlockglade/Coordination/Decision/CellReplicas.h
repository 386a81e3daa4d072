#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <optional>
#include <span>

namespace hemlockglade {

/// State of an adapter on a replica.
enum class ResidentState : std::uint8_t {
  /// A load order is open.
  Loading,
  Resident,
  /// An evict order is open.
  Evicting,
  /// The answer to an order is missing: the adapter may be resident or not. It
  /// keeps its slot and gets no work until a report settles it.
  Uncertain,
};

/// The owner's record of an adapter on a replica.
struct Resident {
  AdapterKey Adapter = NoAdapter;
  ResidentState State = ResidentState::Loading;
  /// Distinguishes this residency from an earlier one of the same adapter on
  /// the same replica.
  std::uint64_t ResidencyId = 0;
  /// Number of the last order while its answer may still arrive, else 0.
  std::uint64_t Order = 0;
  /// Whether the last order was a load.
  bool OrderedLoad = false;
  /// Known only from a report, so requests of former owners may use it.
  bool FromReport = false;
  /// An earlier load order of this residency may still be carried out, so a
  /// failure of the last order does not prove that the adapter is absent.
  bool Overlaps = false;
  /// The engine restarted while the order was open.
  bool Restarted = false;
  /// Reason for the last load order.
  Reason Why = Reason::Demand;
  std::uint32_t Running = 0;
  /// Requests of this adapter that the engine runs by its last report.
  std::uint32_t ReportedRunning = 0;
  /// Time of the last change of state.
  Instant ChangedAt{};
  /// Time of the last load order.
  Instant LoadOrderedAt{};
  /// A report taken after this time shows whether the adapter is resident.
  Instant SettledAfter{};
  /// Whether it was uncertain when its last order was given.
  bool WasUncertain = false;
  Instant LoadedAt{};
  /// Time of this owner's last admission to it, or of the last end of a request
  /// on it.
  Instant LastUsed{};
  /// Whether it is in the eviction order, and its value there.
  bool Idle = false;
  double Value = 0;
};

/// The owner's record of a replica.
struct Replica {
  ReplicaKey Key = 0;
  ReplicaAdded Properties;
  bool Present = false;
  bool Draining = false;
  /// On standby: gets no work, so that the batches of the other replicas fill.
  bool Standby = false;
  std::uint64_t Incarnation = 0;
  /// Time at which the newest report was taken.
  Instant ReportAt{};
  bool HasReport = false;
  /// Consecutive missed reports.
  std::uint32_t MissedReports = 0;
  std::uint32_t Running = 0;
  /// Requests that the engine runs beyond those that this owner has on record.
  std::uint32_t UntrackedRunning = 0;
  /// Requests that an engine which started cold must still serve to count as
  /// warm.
  std::uint32_t WarmupLeft = 0;
  /// Consecutive failed loads, and the time before which no further load is
  /// ordered.
  std::uint32_t LoadFailures = 0;
  Instant NoLoadBefore{};
  /// Time of the last order or answer that changed which adapters are resident.
  Instant OrderAt{};
  std::vector<Resident> Adapters;

  bool hasFreeSlot() const { return Adapters.size() < Properties.Slots; }
  std::uint32_t inFlight() const { return Running + UntrackedRunning; }
  bool hasRoom() const { return inFlight() < Properties.Batch; }
  /// Number of concurrent requests at full speed, as measured; the batch size
  /// if not measured.
  double capacity() const;

  /// Changes the number of running requests by `by` and keeps a short history
  /// of it, so that a lagging report can be compared with the value at its own
  /// time.
  void changeRunning(int by, Instant now);
  /// Returns the number of running requests at `at`, or nothing if the history
  /// does not reach that far back.
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

/// The replicas of the cell and their residents.
class CellReplicas {
public:
  explicit CellReplicas(AdapterTable &adapters) : Adapters(adapters) {}

  /// Returns the replica; adds it if it is not known.
  Replica &obtain(ReplicaKey replica);
  /// Returns the replica, or null if it is not part of the configuration.
  Replica *find(ReplicaKey replica);
  std::span<Replica> all() { return Replicas; }
  std::span<const Replica> all() const { return Replicas; }

  Resident *resident(Replica &replica, AdapterKey adapter);
  /// Adds a resident to a replica that has none for the adapter.
  Resident &add(Replica &replica, AdapterKey adapter, ResidentState state,
                Instant now);
  /// Removes a resident. Invalidates references to the replica's other
  /// residents.
  void remove(Replica &replica, AdapterKey adapter);

private:
  AdapterTable &Adapters;
  std::vector<Replica> Replicas;
  std::uint64_t LastResidencyId = 0;
};

} // namespace hemlockglade
