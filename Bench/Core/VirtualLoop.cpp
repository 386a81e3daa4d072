#include "Bench/Core/VirtualLoop.h"

#include <algorithm>

namespace hemlockglade::bench {

void VirtualLoop::at(Instant when, Call call) {
  Entries.push({std::max(when, Now), ++Added, std::move(call)});
}

void VirtualLoop::run(Instant end) {
  while (!Entries.empty() && Entries.top().When <= end) {
    Now = Entries.top().When;
    Call call = Entries.top().Run;
    Entries.pop();
    call();
  }
  Now = std::max(Now, end);
}

} // namespace hemlockglade::bench
