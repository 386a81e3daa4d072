#pragma once

#include "Bench/Core/Figures.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <unordered_map>

namespace hemlockglade::bench {

/// Counts violations of correctness by a policy, from what the fakes observe
/// and independently of what the policy reports.
class Checker {
public:
  explicit Checker(Figures &figures) : Out(figures) {}

  /// Called when a request is passed to the policy.
  void asked(RequestKey request);

  /// Called when the sender no longer waits for the policy's decision.
  void withdrawn(RequestKey request);

  /// Called when the policy has decided on a request. Returns false if the
  /// decision must be ignored: if the request was withdrawn, or, counted as
  /// doubled, if it was decided before or never passed to the policy.
  bool decided(RequestKey request);

  /// Called when a request was admitted to an engine without its adapter,
  /// though the policy had received a report of this incarnation.
  void wrongAdapter() { ++Out.WrongAdapter; }

  /// Called when a request runs in a failure domain where a rule doesn't allow
  /// its adapter.
  void outsideRule() { ++Out.OutsideRule; }

  /// Called for an eviction that broke `broken` running requests.
  void evicted(std::size_t broken, bool leaseHeld);

  /// Called when the whole answer of request `index` of the trace has arrived.
  void completed(std::size_t index);

private:
  enum class State : std::uint8_t { Asked, Withdrawn, Decided };

  Figures &Out;
  std::unordered_map<RequestKey, State> Requests;
  std::unordered_map<std::size_t, std::uint32_t> Completed;
};

} // namespace hemlockglade::bench
