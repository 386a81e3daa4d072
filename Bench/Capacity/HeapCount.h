#pragma once

namespace hemlockglade::bench {

/// Bytes that this program holds by `new`, with the allocator's rounding and
/// its word of bookkeeping for each block.
double heapBytes();

/// Bytes that this program holds by `new` and by `malloc`.
double mallocBytes();

} // namespace hemlockglade::bench
