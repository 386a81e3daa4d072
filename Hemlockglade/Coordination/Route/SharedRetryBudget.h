#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <map>
#include <string>

namespace hemlockglade {

/// One node's share of the retry budget that all nodes share: the retries of a
/// service within a sliding window are limited to a share of its requests plus
/// a fixed number.
///
/// A retry may be held for seconds between its decision and its arrival at a
/// replica, so it is reserved at the former and counts from the latter.
class SharedRetryBudget {
public:
  struct Settings {
    /// Retries allowed for each request, over all nodes.
    double RetriesPerRequest = 0.2;
    /// Further retries allowed in each window, over all nodes.
    double FixedRetries = 20;
    Span Window = std::chrono::seconds(10);
    /// Share of the budget for each request that is used. The rest allows for
    /// nodes that see different numbers of requests and of each other.
    double UsedShare = 0.75;
    /// Share of the fixed number that is used. The rest allows for nodes that
    /// take over from others and use the same window as they did.
    double UsedFixedShare = 0.5;
  };

  /// Counts of one service since the start, and its budget at one moment.
  struct Usage {
    std::uint64_t Requests = 0;
    std::uint64_t Sent = 0;
    std::uint64_t Refused = 0;
    /// Retries that are allowed and not sent.
    std::uint32_t Reserved = 0;
    /// Further retries that would be allowed.
    double Left = 0;
  };

  explicit SharedRetryBudget(const Settings &settings) : Options(settings) {}

  /// Called when a request for the service is received.
  void onRequest(const std::string &service, Instant now);
  /// Returns whether one more retry may be sent; if so, reserves it until
  /// `onSent` or `release`.
  bool tryReserve(const std::string &service, Instant now);
  /// Called when a reserved retry is sent. It counts for a window from now.
  void onSent(const std::string &service, Instant now);
  /// Called when a retry that was sent at `sentAt` has not reached its replica:
  /// it is reserved again.
  void onNotSent(const std::string &service, Instant sentAt);
  /// Called when a reserved retry will not be sent.
  void release(const std::string &service);
  /// Returns the usage of each service that had requests.
  std::map<std::string, Usage> usage(Instant now) const;
  /// Replaces the settings; the counts stay.
  void setBounds(const Settings &settings) { Options = settings; }
  /// Sets this node's share of the fixed number, 0 to 1.
  void setTrafficShare(double share) { TrafficShare = share; }

private:
  static constexpr std::int64_t SlotsPerWindow = 20;
  /// One more, so that a retry counts for a whole window although the newest
  /// slot is incomplete.
  static constexpr std::size_t SlotCount = SlotsPerWindow + 1;

  struct Slot {
    std::int64_t Number = -1;
    std::uint32_t Requests = 0;
    std::uint32_t Retries = 0;
  };
  struct ServiceState {
    std::array<Slot, SlotCount> Slots;
    /// Retries that are allowed and not sent.
    std::uint32_t Reserved = 0;
    std::uint64_t RequestCount = 0;
    std::uint64_t SentCount = 0;
    std::uint64_t RefusedCount = 0;
  };

  /// Number of retries that may still be reserved.
  double left(const ServiceState &service, Instant now) const;
  Slot &slot(ServiceState &service, Instant now) const;
  std::int64_t slotNumber(Instant now) const;

  Settings Options;
  /// 0 until other nodes are known: nodes that all start together would
  /// otherwise each use the whole number.
  double TrafficShare = 0;
  std::map<std::string, ServiceState> Services;
};

} // namespace hemlockglade
