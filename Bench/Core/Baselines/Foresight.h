#pragma once

#include "Bench/Core/Baselines/LruCore.h"
#include "Bench/Core/Trace.h"

namespace hemlockglade::bench {

/// An adapter's worth is its true share of the requests at the time. The
/// trace must outlive the result.
LruCoreSettings::Valuation trueShares(const Trace &trace);

/// An adapter's worth is the less, the later its next request comes. The
/// trace must outlive the result.
LruCoreSettings::Valuation nextUses(const Trace &trace);

} // namespace hemlockglade::bench
