#pragma once

#include "Hemlockglade/State/Ids.h"

namespace hemlockglade {

/// What callers ask of nodes, a second.
struct EntryLoad {
  double Requests = 0;
  /// Bytes of the bodies of requests and answers.
  double Bytes = 0;

  EntryLoad &operator+=(const EntryLoad &other);
};

/// What a host gives a node.
struct HostCapacity {
  double Cores = 1;
  double LinkMbps = 1000;
};

/// What a second of load takes of a host.
struct EntryCost {
  /// Processor time of a request, and of a megabyte that is passed on.
  double SecondsPerRequest = 0.0005;
  double SecondsPerMegabyte = 0.06;

  /// The larger of the shares of processor and link that a load takes; above 1
  /// it does not fit.
  double shareOf(const HostCapacity &host, const EntryLoad &load) const;
};

/// Loads like the usual one that a host could carry, to compare hosts.
double relativeCapacity(const HostCapacity &host);

/// Measures one node's load, with a half life.
class EntryLoadMeter {
public:
  struct Settings {
    Span HalfLife = std::chrono::seconds(1);
  };

  EntryLoadMeter() : EntryLoadMeter(Settings{}) {}
  explicit EntryLoadMeter(Settings settings) : Setup(settings) {}

  void onRequest(Instant now);
  /// A request is over that moved so many bytes.
  void onBytes(std::uint64_t n, Instant now);
  EntryLoad load(Instant now) const;

private:
  /// What is counted, fallen since `At` to its present part.
  EntryLoad faded(Instant now) const;

  Settings Setup;
  EntryLoad Counted;
  Instant At{};
};

} // namespace hemlockglade
