#pragma once

namespace hemlockglade::bench {

/// Returns the bytes that the program has allocated by `new` and not freed,
/// including the allocator's rounding and its header word for each block.
double heapBytes();

/// Returns the bytes that the program has allocated by `new` and `malloc` and
/// not freed.
double mallocBytes();

} // namespace hemlockglade::bench
