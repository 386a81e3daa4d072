#pragma once

#include "Bench/Core/Baselines/LruCore.h"
#include "Bench/Core/Trace.h"

namespace hemlockglade::bench {

/// An adapter's worth is the rate at which its requests are expected by one
/// who knows the scenario but not what is drawn: its true share of the new
/// sessions, and the next requests of the sessions that have begun. Workload
/// and trace must outlive the result.
LruCoreSettings::Valuation trueDemand(const Workload &workload,
                                      const Trace &trace);

/// An adapter's worth is the less, the later its next request comes. The
/// trace must outlive the result.
LruCoreSettings::Valuation nextUses(const Trace &trace);

} // namespace hemlockglade::bench
