#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hemlockglade {

/// One node's part of the retry budget that all nodes share: the retries of a
/// service that arrive within a sliding window are limited to a share of its
/// requests plus a fixed number.
///
/// Each part of the budget is spent once, whatever nodes come and go, and a
/// node needs to know nothing of what others have sent:
/// - A request adds a part of a retry, which only the node that received it can
///   spend, and only for a short time. All nodes together thus send no more
///   than the requests of the window and of this time allow.
/// - Of the fixed number a node spends the smallest share that it had within
///   the last window. As the shares of all nodes add up to one at each moment,
///   what they spend in a window adds up to no more than one at its start.
///
/// A retry may be held for seconds before it is sent, so it is reserved first
/// and paid for when it is sent.
class SharedRetryBudget {
public:
  struct Settings {
    /// Retries allowed for each request, over all nodes.
    double RetriesPerRequest = 0.2;
    /// Further retries allowed in each window, over all nodes.
    double FixedRetries = 20;
    Span Window = std::chrono::seconds(10);
    /// Share of the window for which a request's part of a retry may be spent.
    double CreditLifetime = 0.2;
    /// How long a retry that was sent may take to arrive: the longest silence
    /// after which a connection is ended.
    Span MaxArrivalDelay = std::chrono::milliseconds(3500);
    /// Share of the budget for each request that is used. The retries of a
    /// window are paid for by the requests of this window, of the time for
    /// which their parts may be spent and of the arrival delay; 1.55 windows
    /// in all.
    double UsedShare = 0.65;
    /// Share of the fixed number that is used. The rest allows for nodes that
    /// know of another change of the nodes in service.
    double UsedFixedShare = 0.5;
  };

  /// What a retry was paid for with.
  struct Payment {
    /// Slot that the credit was added in; unused if it was of the fixed number.
    std::int64_t Slot = 0;
    bool IsFixed = false;
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
  /// `trySend` succeeds or `release`.
  bool tryReserve(const std::string &service, Instant now);
  /// Pays for a reserved retry that is sent now; nothing if what it was
  /// reserved for can't be spent any more. The retry must wait then.
  std::optional<Payment> trySend(const std::string &service, Instant now);
  /// Called when a retry that was paid for has surely not reached its replica:
  /// it is reserved again.
  void onNotSent(const std::string &service, const Payment &payment);
  /// Called when a reserved retry will not be sent.
  void release(const std::string &service);
  /// Returns the usage of each service that had requests.
  std::map<std::string, Usage> usage(Instant now) const;
  /// Replaces the settings; the counts stay.
  void setBounds(const Settings &settings) { Options = settings; }
  /// Sets this node's share of the fixed number, 0 to 1. It is 0 at first:
  /// what earlier processes have sent is not known.
  void setFixedShare(double share, Instant now);
  /// Returns the share of the fixed number that this node may spend: the
  /// smallest one that applied within the last window and arrival delay.
  double fixedShare(Instant now) const;

private:
  static constexpr std::int64_t SlotsPerWindow = 40;

  /// What happened in one part of a window.
  struct Slot {
    std::int64_t Number = 0;
    /// Credits of requests that are not spent.
    std::uint32_t Credits = 0;
    /// Retries of the fixed number.
    std::uint32_t Fixed = 0;
  };
  struct ServiceState {
    /// In ascending order; none older than the window and the arrival delay.
    std::deque<Slot> Slots;
    /// Part of the next credit that requests have added up to.
    double PartialCredit = 0;
    /// Retries that are allowed and not sent.
    std::uint32_t Reserved = 0;
    std::uint64_t RequestCount = 0;
    std::uint64_t SentCount = 0;
    std::uint64_t RefusedCount = 0;
  };
  /// A share of the fixed number and since when it applies.
  struct Share {
    Instant Since{};
    double Value = 0;
  };

  Span slotTime() const { return Options.Window / SlotsPerWindow; }
  std::int64_t slotNumber(Instant now) const;
  /// Number of slots after which a credit expires, and after which a retry of
  /// the fixed number no longer counts.
  std::int64_t creditSlots() const;
  std::int64_t fixedSlots() const;
  Slot &slot(ServiceState &service, Instant now) const;
  std::uint32_t credits(const ServiceState &service, Instant now) const;
  /// Number of retries of the fixed number that may still be sent.
  std::uint32_t fixedLeft(const ServiceState &service, Instant now) const;
  /// Number of retries that may still be reserved.
  double left(const ServiceState &service, Instant now) const;

  Settings Options;
  /// Changes of this node's share, in ascending order; the first one began
  /// before the window and the arrival delay, or is the first of all.
  std::deque<Share> Shares;
  std::map<std::string, ServiceState> Services;
};

} // namespace hemlockglade
