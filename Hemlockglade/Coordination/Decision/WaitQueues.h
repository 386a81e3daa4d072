#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <unordered_map>

namespace hemlockglade {

/// Limits of the wait queues.
struct QueueSettings {
  /// Maximum number of waiting requests of one adapter; 0 for no limit.
  std::uint32_t AdapterLimit = 500;
  /// Maximum number of waiting requests of one caller; 0 for no limit. Caller 0
  /// means that the caller is not known and has no limit.
  std::uint32_t CallerLimit = 500;
  /// No request waits behind one of a higher class that arrived later by this
  /// time or more.
  Span StarvationBound = std::chrono::seconds(5);
};

/// A request that waits for a place in a batch or for a load.
struct WaitingRequest {
  RequestArrived Arrival;
  Instant Since{};
  Instant Rank{};
  /// When to check whether it can still be answered in time.
  Instant CheckAt{};
  /// Whether it waits for its adapter to load.
  bool Stalled = false;
};

/// The waiting requests: by adapter, by the time of their next check, and by
/// the order in which overload sheds them.
class WaitQueues {
public:
  WaitQueues(const QueueSettings &settings, std::pmr::memory_resource *memory);

  std::size_t size() const { return Requests.size(); }
  /// Returns the number of waiting requests of this class priority.
  std::uint32_t ofClass(std::uint8_t priority) const;
  /// Returns the number of waiting requests of this class priority or a higher
  /// one.
  std::uint32_t fromClass(std::uint8_t priority) const;
  /// Returns whether one more request of this kind may wait; else sets the
  /// reason.
  bool hasRoomFor(const RequestArrived &arrival, const ActiveAdapter *active,
                  Reason &why) const;

  const WaitingRequest *find(RequestKey request) const;
  /// Adds a request to the queue of its adapter.
  void add(const RequestArrived &arrival, Instant now, Instant checkAt,
           bool stalled, ActiveAdapter &active);
  /// Removes a request and returns it.
  WaitingRequest remove(RequestKey request, ActiveAdapter &active);

  /// Returns the request whose check is due; null if there is none.
  const WaitingRequest *due(Instant now) const;
  /// Sets the time of the request's next check.
  void rescheduleCheck(RequestKey request, Instant at);
  /// Returns the request that overload sheds first: the latest of the lowest
  /// class.
  const WaitingRequest *nextToShed() const;

private:
  struct ShedKey {
    std::uint8_t Priority = 0;
    /// Negated, so that later requests are first.
    std::int64_t Since = 0;
    std::int64_t Request = 0;
    // The linter takes the zero of the comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const ShedKey &) const = default;
  };

  Instant rankOf(const RequestArrived &arrival, Instant now) const;
  ShedKey shedKeyOf(const WaitingRequest &waiting) const;
  void updateHead(ActiveAdapter &active) const;

  QueueSettings Settings;
  std::pmr::unordered_map<RequestKey, WaitingRequest> Requests;
  std::pmr::set<WaitKey> Checks;
  std::pmr::set<ShedKey> ShedOrder;
  std::pmr::unordered_map<CallerKey, std::uint32_t> Callers;
  std::array<std::uint32_t, 256> Classes{};
};

/// Weight of a request of this class in the order of loads.
inline std::uint64_t classWeight(std::uint8_t priority) {
  return std::uint64_t{1} + priority;
}

} // namespace hemlockglade
