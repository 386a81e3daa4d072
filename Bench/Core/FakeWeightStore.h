#pragma once

#include "Bench/Core/Random.h"
#include "Bench/Core/VirtualLoop.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <map>

namespace hemlockglade::bench {

/// Settings of the fake weight store.
struct FakeWeightStoreSettings {
  /// Loads per second, shared by all concurrent ones.
  double LoadsPerS = 3;
  /// Fraction of the loads that fail half way.
  double Failures = 0;
  /// Fraction of the adapters whose loads always fail half way.
  double BrokenAdapters = 0;
  /// Time after which an engine abandons a load.
  double TimeoutS = 60;
};

/// Simulated rate-limited weight store in virtual time. Concurrent loads share
/// its rate evenly, so a load is fastest when it runs alone.
class FakeWeightStore {
public:
  using Ticket = std::uint64_t;
  using Done = std::function<void(bool)>;

  FakeWeightStore(VirtualLoop &loop, const FakeWeightStoreSettings &settings,
                  std::uint64_t seed);

  /// Starts a load; `done` gets whether it succeeded.
  Ticket start(AdapterKey adapter, Done done);

  /// Cancels a load without calling its `done`.
  void cancel(Ticket ticket);

  /// Changes the rate; 0 while the store is unavailable.
  void setRate(double loadsPerS);

  /// Number of loads started.
  std::uint64_t started() const { return Started; }

  /// Returns whether loads of the adapter always fail.
  bool broken(AdapterKey adapter) const;

private:
  struct Transfer {
    double Left = 1;
    bool Fails = false;
    Done Call;
  };

  double transfers() const { return static_cast<double>(Transfers.size()); }
  void progress();
  void schedule();
  void finishReady();
  void finish(Ticket ticket, bool worked);

  VirtualLoop &Loop;
  FakeWeightStoreSettings Settings;
  Random Draw;
  double Rate;
  Instant Since{};
  std::uint64_t Started = 0;
  std::uint64_t Generation = 0;
  std::map<Ticket, Transfer> Transfers;
};

} // namespace hemlockglade::bench
