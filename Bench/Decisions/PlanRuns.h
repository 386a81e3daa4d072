#pragma once

#include <cstddef>
#include <vector>

namespace hemlockglade::bench {

/// Processor times in microseconds, of calls of one kind.
using CallTimes = std::vector<double>;

/// Returns the processor time of this thread in microseconds.
double threadMicros();

/// Calls `ReplicaView::choose` for engines of one service, which has `replicas`
/// of them in each of `domains` failure domains. Three times as many replicas
/// belong to other services. Each adapter is held by two engines.
CallTimes chooseTimes(std::size_t replicas, std::size_t domains);

/// Calls `CellPlacement::plan` each 10 ms of virtual time for a failure domain
/// with a number of engines, whose requests ask for 10,000 adapters by Zipf 1.2
/// and for more loads than the weight store serves.
CallTimes planTimes(std::size_t engines, bool ranked);

} // namespace hemlockglade::bench
