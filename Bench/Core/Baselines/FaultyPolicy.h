#pragma once

#include "Bench/Core/Policy.h"

namespace hemlockglade::bench {

/// Wraps a policy and injects faults at regular intervals: it admits a request
/// twice, doesn't answer one, admits one to a replica without its adapter, and
/// evicts an adapter with running requests. The check of the bounds runs it to
/// prove that the bench detects such faults.
Policy makeFaulty(Policy policy);

} // namespace hemlockglade::bench
