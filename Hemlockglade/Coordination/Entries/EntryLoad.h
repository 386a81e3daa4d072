#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// Load that callers put on nodes, a second.
struct EntryLoad {
  double Requests = 0;
  /// Bytes of the bodies of requests and responses.
  double Bytes = 0;

  EntryLoad &operator+=(const EntryLoad &other);
};

/// Capacity that a host has for a node.
struct HostCapacity {
  double Cores = 1;
  double LinkMbps = 1000;
};

/// Cost of load on a host.
struct EntryCost {
  /// Processor seconds for a request, and for a megabyte that is passed on.
  double SecondsPerRequest = 0.0005;
  double SecondsPerMegabyte = 0.06;

  /// Returns the larger of the shares of processor and link that a load takes;
  /// a load whose share is above 1 does not fit.
  double shareOf(const HostCapacity &host, const EntryLoad &load) const;
};

/// Returns how many loads of one typical request a second a host can carry, to
/// compare hosts.
double relativeCapacity(const HostCapacity &host);

/// Measures one node's load as an exponentially decaying average.
class EntryLoadMeter {
public:
  struct Settings {
    Span HalfLife = std::chrono::seconds(1);
  };

  EntryLoadMeter() : EntryLoadMeter(Settings{}) {}
  explicit EntryLoadMeter(Settings settings) : Options(settings) {}

  void onRequest(Instant now);
  /// Called when a request that moved `n` bytes has ended.
  void onBytes(std::uint64_t n, Instant now);
  EntryLoad load(Instant now) const;

private:
  /// Returns `Counted`, decayed since `UpdatedAt`.
  EntryLoad decayed(Instant now) const;

  Settings Options;
  EntryLoad Counted;
  Instant UpdatedAt{};
};

} // namespace hemlockglade
