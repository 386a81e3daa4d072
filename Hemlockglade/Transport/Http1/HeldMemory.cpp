#include "Hemlockglade/Transport/Http1/HeldMemory.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

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

std::string_view heldKindName(HeldKind kind) {
  switch (kind) {
  case HeldKind::Request:
    return "request";
  case HeldKind::Answer:
    return "answer";
  case HeldKind::Unread:
    return "unread";
  }
  return "unknown";
}

HeldMemory::Settings HeldMemory::defaultFor(const MemoryLimit &limit) {
  auto partOf = [&limit](std::size_t divisor) {
    std::uint64_t out = limit.Bytes ? limit.Bytes / divisor : DefaultMaxBytes;
    if (limit.Physical)
      out = std::min(out, limit.Physical / divisor);
    return std::max<std::size_t>(MinDefaultBytes, out);
  };
  return {partOf(RequestDivisor), partOf(AnswerDivisor), partOf(UnreadDivisor)};
}

void HeldMemory::fitRequest(std::size_t maxRequestBytes) {
  constexpr std::size_t ForOthers = std::size_t{1} << 20U;
  auto &requests = of(HeldKind::Request);
  requests.MaxBytes = std::max(requests.MaxBytes, maxRequestBytes + ForOthers);
}

void HeldMemory::Share::hold(HeldMemory &memory, std::size_t bytes) {
  auto counted = bytes > UncountedBytes ? bytes : 0;
  if (counted == 0)
    return release();
  auto &account = memory.of(Kind);
  if (!Memory) {
    Memory = &memory;
    if (OnEnd)
      account.Endable.insert(this);
  }
  account.Bytes += counted - Bytes;
  if (Ending)
    account.EndingBytes += counted - Bytes;
  Bytes = counted;
  account.PeakBytes = std::max(account.PeakBytes, account.Bytes);
  if (account.Bytes - account.EndingBytes > account.MaxBytes)
    memory.endShares(Kind);
}

void HeldMemory::Share::onTaken() { TakenAt = TimerService::now(); }

void HeldMemory::Share::release() {
  auto *memory = std::exchange(Memory, nullptr);
  auto bytes = std::exchange(Bytes, 0);
  bool wasEnding = std::exchange(Ending, false);
  if (!memory)
    return;
  auto &account = memory->of(Kind);
  account.Endable.erase(this);
  account.Bytes -= bytes;
  if (wasEnding)
    account.EndingBytes -= bytes;
}

HeldMemory::Share *HeldMemory::chooseEnded(HeldKind kind,
                                           const Account &account) {
  auto isWorse = [kind](const Share &one, const Share &other) {
    return kind == HeldKind::Unread ? one.TakenAt < other.TakenAt
                                    : one.Bytes > other.Bytes;
  };
  Share *out = nullptr;
  for (auto *it : account.Endable)
    if (!it->Ending && (!out || isWorse(*it, *out)))
      out = it;
  return out;
}

void HeldMemory::endShares(HeldKind kind) {
  auto &account = of(kind);
  auto excess = [&account](std::size_t limit) {
    return account.Bytes - account.EndingBytes > limit;
  };
  while (excess(account.MaxBytes)) {
    auto *chosen = chooseEnded(kind, account);
    bool isSmall = kind == HeldKind::Request && chosen &&
                   chosen->Bytes <= SmallRequestBytes;
    if (!chosen || (isSmall && !excess(account.MaxBytes +
                                       account.MaxBytes / SmallReserve)))
      return;
    chosen->Ending = true;
    account.EndingBytes += chosen->Bytes;
    ++account.Ended;
    if (kind == HeldKind::Answer)
      count(EndlessKind::Memory);
    // Copied, as the hook may destroy the share.
    if (auto hook = chosen->OnEnd)
      hook();
  }
}

} // namespace hemlockglade
