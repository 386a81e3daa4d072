#pragma once

#include "Hemlockglade/Coordination/Decision/AdapterTable.h"

#include <array>
#include <unordered_map>

namespace hemlockglade {

/// Bounds of what may wait.
struct QueueSettings {
  /// Requests that may wait for one adapter; 0 for no limit.
  std::uint32_t AdapterLimit = 500;
  /// Requests of one caller that may wait; 0 for no limit. Caller 0 stands
  /// for "not told" and has no limit.
  std::uint32_t CallerLimit = 500;
  /// No request waits behind one of a higher class that came this much later.
  Span StarvationBound = std::chrono::seconds(5);
};

/// A request that waits for a slot or a load.
struct WaitingRequest {
  RequestArrived Arrival;
  Instant Since{};
  Instant Rank{};
  /// When to look whether it can still be answered in time.
  Instant CheckAt{};
  /// It waits for its adapter to load.
  bool Stalled = false;
};

/// The requests that wait: by adapter, by the time to give up on them, and by
/// the order in which overload sheds them.
class WaitQueues {
public:
  WaitQueues(const QueueSettings &settings, std::pmr::memory_resource *memory);

  std::size_t size() const { return Requests.size(); }
  /// Waiting requests with this class priority.
  std::uint32_t ofClass(std::uint8_t priority) const;
  /// Waiting requests with this class priority or a higher one.
  std::uint32_t fromClass(std::uint8_t priority) const;
  /// Whether one more request of this kind may wait; else the reason.
  bool roomFor(const RequestArrived &arrival, const ActiveAdapter *active,
               Reason &why) const;

  const WaitingRequest *find(RequestKey request) const;
  /// Puts a request into the queue of its adapter.
  void add(const RequestArrived &arrival, Instant now, Instant checkAt,
           bool stalled, ActiveAdapter &active);
  /// Takes a request out and returns it.
  WaitingRequest remove(RequestKey request, ActiveAdapter &active);

  /// The request to be checked next if its time has come, else nothing.
  const WaitingRequest *due(Instant now) const;
  /// Sets the time of the next check.
  void checkAgain(RequestKey request, Instant at);
  /// The request that overload sheds first: the lowest class, the latest.
  const WaitingRequest *lowest() const;

private:
  struct ShedKey {
    std::uint8_t Priority = 0;
    /// Negated, so that later ones come first.
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

/// Weight of a class when loads are ordered.
inline std::uint64_t classWeight(std::uint8_t priority) {
  return std::uint64_t{1} + priority;
}

} // namespace hemlockglade
