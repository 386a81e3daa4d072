#include "HeapCount.h"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

constexpr std::int64_t Bookkeeping = sizeof(std::size_t);
std::atomic<std::int64_t> Held{0};

std::int64_t sizeOf(void *block) {
  return static_cast<std::int64_t>(malloc_usable_size(block)) + Bookkeeping;
}

void *take(void *block) {
  if (!block)
    throw std::bad_alloc();
  Held += sizeOf(block);
  return block;
}

void give(void *block) {
  if (!block)
    return;
  Held -= sizeOf(block);
  std::free(block);
}

} // namespace

void *operator new(std::size_t n) { return take(std::malloc(n)); }
void *operator new(std::size_t n, std::align_val_t align) {
  auto unit = static_cast<std::size_t>(align);
  return take(std::aligned_alloc(unit, (n + unit - 1) / unit * unit));
}
void operator delete(void *block) noexcept { give(block); }
void operator delete(void *block, std::size_t) noexcept { give(block); }
void operator delete(void *block, std::align_val_t) noexcept { give(block); }
void operator delete(void *block, std::size_t, std::align_val_t) noexcept {
  give(block);
}

namespace hemlockglade::bench {

double heapBytes() { return static_cast<double>(Held.load()); }

double mallocBytes() {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace hemlockglade::bench
