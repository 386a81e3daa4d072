#include "Bench/Core/ResidencyClock.h"

#include <cassert>

namespace hemlockglade::bench {

void ResidencyClock::change(AdapterKey adapter, bool loaded, Instant now) {
  auto &state = Adapters[adapter];
  if (loaded && state.Holders == 0)
    state.Absent += now - state.Since;
  assert(loaded || state.Holders > 0);
  state.Holders += loaded ? 1 : -1;
  if (state.Holders == 0)
    state.Since = now;
}

Span ResidencyClock::absent(AdapterKey adapter, Instant now) const {
  const auto &state = Adapters[adapter];
  return state.Holders ? state.Absent : state.Absent + (now - state.Since);
}

} // namespace hemlockglade::bench
