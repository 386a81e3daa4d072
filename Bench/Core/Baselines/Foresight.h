#pragma once

#include "Bench/Core/Baselines/LruCore.h"
#include "Bench/Core/Trace.h"

namespace hemlockglade::bench {

/// Values an adapter by the expected rate of its requests, given the scenario
/// but not the random draws: its true share of the new sessions plus the
/// expected requests of the sessions that have begun. Workload and trace must
/// outlive the result.
LruCoreSettings::Valuation trueDemand(const Workload &workload,
                                      const Trace &trace);

/// Values an adapter by the time of its next request in the trace: the later,
/// the lower. The trace must outlive the result.
LruCoreSettings::Valuation nextUses(const Trace &trace);

} // namespace hemlockglade::bench
