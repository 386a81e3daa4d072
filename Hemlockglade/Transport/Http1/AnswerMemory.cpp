#include "Hemlockglade/Transport/Http1/AnswerMemory.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

std::string_view endlessKindName(EndlessKind kind) {
  switch (kind) {
  case EndlessKind::Head:
    return "head";
  case EndlessKind::Interim:
    return "interim";
  case EndlessKind::Body:
    return "body";
  case EndlessKind::Event:
    return "event";
  case EndlessKind::Pages:
    return "pages";
  case EndlessKind::Memory:
    return "memory";
  }
  return "unknown";
}

std::size_t AnswerMemory::defaultFor(const MemoryLimit &limit) {
  std::uint64_t out =
      limit.Bytes ? limit.Bytes / LimitDivisor : DefaultMaxBytes;
  if (limit.Physical)
    out = std::min(out, limit.Physical / LimitDivisor);
  return std::max<std::size_t>(MinDefaultBytes, out);
}

void AnswerMemory::Share::hold(AnswerMemory &memory, std::size_t bytes) {
  auto counted = bytes > UncountedBytes ? bytes : 0;
  if (counted == 0)
    return release();
  if (!Memory) {
    Memory = &memory;
    Memory->Shares.insert(this);
  }
  Memory->Bytes += counted - Bytes;
  if (Ending)
    Memory->EndingBytes += counted - Bytes;
  Bytes = counted;
  Memory->PeakBytes = std::max(Memory->PeakBytes, Memory->Bytes);
  if (Memory->Bytes - Memory->EndingBytes > Memory->MaxBytes)
    Memory->endLargest();
}

void AnswerMemory::Share::release() {
  auto *memory = std::exchange(Memory, nullptr);
  auto bytes = std::exchange(Bytes, 0);
  bool wasEnding = std::exchange(Ending, false);
  if (!memory)
    return;
  memory->Shares.erase(this);
  memory->Bytes -= bytes;
  if (wasEnding)
    memory->EndingBytes -= bytes;
}

void AnswerMemory::endLargest() {
  while (Bytes - EndingBytes > MaxBytes) {
    Share *largest = nullptr;
    for (auto *it : Shares)
      if (!it->Ending && (!largest || it->Bytes > largest->Bytes))
        largest = it;
    if (!largest)
      return;
    largest->Ending = true;
    EndingBytes += largest->Bytes;
    count(EndlessKind::Memory);
    if (largest->OnEnd)
      largest->OnEnd();
  }
}

} // namespace hemlockglade
