#include "Bench/Core/Checker.h"

namespace hemlockglade::bench {

void Checker::asked(RequestKey request) { Requests[request] = State::Asked; }

void Checker::withdrawn(RequestKey request) {
  auto it = Requests.find(request);
  if (it != Requests.end() && it->second == State::Asked)
    it->second = State::Withdrawn;
}

bool Checker::decided(RequestKey request) {
  auto it = Requests.find(request);
  if (it != Requests.end() && it->second == State::Withdrawn)
    return false;
  if (it == Requests.end() || it->second == State::Decided) {
    ++Out.Doubled;
    return false;
  }
  it->second = State::Decided;
  return true;
}

void Checker::evicted(std::size_t broken, bool leaseHeld) {
  Out.EvictedWhileServing += broken;
  if (!leaseHeld)
    ++Out.EvictedWithoutLease;
}

void Checker::completed(std::size_t index) {
  if (++Completed[index] > 1)
    ++Out.Doubled;
}

} // namespace hemlockglade::bench
