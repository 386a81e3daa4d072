#pragma once

#include "Bench/Core/Policy.h"

namespace hemlockglade::bench {

/// Wraps a policy and breaks each promise now and then: it admits twice,
/// forgets to answer, sends requests to a replica without their adapter, and
/// evicts what is serving. The check of the bounds runs it to show that the
/// bench notices.
Policy makeFaulty(Policy policy);

} // namespace hemlockglade::bench
