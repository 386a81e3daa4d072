#pragma once

#include "Bench/Core/Random.h"
#include "Bench/Core/VirtualLoop.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <map>

namespace hemlockglade::bench {

/// Settings of the fake weight store.
struct FakeWeightStoreSettings {
  /// Loads a second, shared by all that run at once.
  double LoadsPerS = 3;
  /// Part of the loads that fail half way.
  double Failures = 0;
  /// Part of the adapters whose loads always fail half way.
  double BrokenAdapters = 0;
  /// When an engine gives a load up.
  double TimeoutS = 60;
};

/// A rate-limited weight store in virtual time: loads that run at once share
/// its rate, so that each is fastest when it runs alone.
class FakeWeightStore {
public:
  using Ticket = std::uint64_t;
  using Done = std::function<void(bool)>;

  FakeWeightStore(VirtualLoop &loop, const FakeWeightStoreSettings &settings,
                  std::uint64_t seed);

  /// Starts a load; `done` says whether it worked.
  Ticket start(AdapterKey adapter, Done done);

  /// Ends a load; its `done` is not called.
  void cancel(Ticket ticket);

  /// Changes the rate; 0 while the store is gone.
  void setRate(double loadsPerS);

  /// Loads that were started.
  std::uint64_t started() const { return Started; }

  /// Whether loads of the adapter always fail.
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
