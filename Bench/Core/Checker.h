#pragma once

#include "Bench/Core/Figures.h"
#include "Hemlockglade/Coordination/Decision/CoreTypes.h"

#include <unordered_map>

namespace hemlockglade::bench {

/// Judges a policy by what the fakes saw, whatever it says of itself.
class Checker {
public:
  explicit Checker(Figures &figures) : Out(figures) {}

  /// The policy was asked about a request.
  void asked(RequestKey request);

  /// The asker does not wait for the policy's answer any more.
  void withdrawn(RequestKey request);

  /// The policy decided. False, and counted as doubled, if it had decided
  /// before or was never asked.
  bool decided(RequestKey request);

  /// An engine that the policy knew lacked the adapter of an admission.
  void wrongAdapter() { ++Out.WrongAdapter; }

  /// A request ran where a rule does not let its adapter run.
  void outsideRule() { ++Out.OutsideRule; }

  /// An eviction took `broken` running requests with it.
  void evicted(std::size_t broken, bool leaseHeld);

  /// The whole answer of the caller's request `index` came.
  void completed(std::size_t index);

private:
  enum class State : std::uint8_t { Asked, Withdrawn, Decided };

  Figures &Out;
  std::unordered_map<RequestKey, State> Requests;
  std::unordered_map<std::size_t, std::uint32_t> Completed;
};

} // namespace hemlockglade::bench
