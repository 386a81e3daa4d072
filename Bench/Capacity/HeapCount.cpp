#include "HeapCount.h"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

constexpr std::int64_t HeaderBytes = sizeof(std::size_t);
std::atomic<std::int64_t> AllocatedBytes{0};

std::int64_t sizeOf(void *block) {
  return static_cast<std::int64_t>(malloc_usable_size(block)) + HeaderBytes;
}

void *countNew(void *block) {
  if (!block)
    throw std::bad_alloc();
  AllocatedBytes += sizeOf(block);
  return block;
}

void countDelete(void *block) {
  if (!block)
    return;
  AllocatedBytes -= sizeOf(block);
  std::free(block);
}

} // namespace

void *operator new(std::size_t n) { return countNew(std::malloc(n)); }
void *operator new(std::size_t n, std::align_val_t align) {
  auto unit = static_cast<std::size_t>(align);
  return countNew(std::aligned_alloc(unit, (n + unit - 1) / unit * unit));
}
void operator delete(void *block) noexcept { countDelete(block); }
void operator delete(void *block, std::size_t) noexcept { countDelete(block); }
void operator delete(void *block, std::align_val_t) noexcept {
  countDelete(block);
}
void operator delete(void *block, std::size_t, std::align_val_t) noexcept {
  countDelete(block);
}

namespace hemlockglade::bench {

double heapBytes() { return static_cast<double>(AllocatedBytes.load()); }

double mallocBytes() {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace hemlockglade::bench
