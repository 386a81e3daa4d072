#pragma once

#include "Hemlockglade/State/MemoryLimit.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace hemlockglade {

/// What part of an answer went beyond its limit, so that its connection was
/// ended before the answer was complete.
enum class EndlessKind : std::uint8_t {
  /// A head, a chunk's extension or trailers.
  Head,
  /// Interim answers, or answers to other requests, one after the other.
  Interim,
  /// A body that is buffered until it is complete.
  Body,
  /// One event of a stream.
  Event,
  /// Pages of a table of the registry.
  Pages,
  /// The answer held the most when all answers together held too much.
  Memory,
};

std::string_view endlessKindName(EndlessKind kind);

/// Accounts for the bytes that a process holds for answers that are not
/// complete, over all its connections. When they exceed the limit, the answer
/// that holds the most is ended. Used by one thread.
class AnswerMemory {
public:
  /// Answers that hold no more than this don't count: their number is bounded
  /// by that of connections, and an ordinary head takes about as much.
  static constexpr std::size_t UncountedBytes = 4096;
  static constexpr std::size_t Kinds = 6;
  /// Limit if the memory limit of the process is unknown.
  static constexpr std::size_t DefaultMaxBytes = std::size_t{32} << 20U;
  /// Share of the memory limit of the process, as 1 to this.
  static constexpr std::size_t LimitDivisor = 16;
  /// A plain answer of the maximum size fits with a MiB for others.
  static constexpr std::size_t MinDefaultBytes = std::size_t{9} << 20U;

  /// The bytes that one answer holds.
  class Share {
  public:
    Share() = default;
    ~Share() { release(); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets how many bytes the answer holds; `memory` has to outlive them. May
    /// call `OnEnd` of this share or of another one.
    void hold(AnswerMemory &memory, std::size_t bytes);
    /// The answer is complete or has ended.
    void release();
    std::size_t bytes() const { return Bytes; }

    /// Called once when the answer has to be ended, possibly from within
    /// `hold` of another share: it must only arrange for the end.
    std::function<void()> OnEnd;

  private:
    friend AnswerMemory;
    AnswerMemory *Memory = nullptr;
    std::size_t Bytes = 0;
    bool Ending = false;
  };

  explicit AnswerMemory(std::size_t maxBytes = DefaultMaxBytes)
      : MaxBytes(maxBytes) {}
  AnswerMemory(const AnswerMemory &) = delete;
  AnswerMemory &operator=(const AnswerMemory &) = delete;

  /// Returns the limit for a process with this memory: a share of its limit, or
  /// `DefaultMaxBytes` if that is unknown, but no more than the same share of
  /// the host's memory.
  static std::size_t defaultFor(const MemoryLimit &limit);

  /// Counts an answer that was ended.
  void count(EndlessKind kind) { ++Ended[static_cast<std::size_t>(kind)]; }
  /// Returns the number of answers that were ended since the start.
  std::uint64_t ended(EndlessKind kind) const {
    return Ended[static_cast<std::size_t>(kind)];
  }
  /// Returns the bytes held now, and the most that were held at a time.
  std::size_t bytes() const { return Bytes; }
  std::size_t peakBytes() const { return PeakBytes; }
  std::size_t maxBytes() const { return MaxBytes; }

private:
  void endLargest();

  const std::size_t MaxBytes;
  std::size_t Bytes = 0;
  std::size_t PeakBytes = 0;
  /// Part of `Bytes` whose answers are being ended.
  std::size_t EndingBytes = 0;
  std::unordered_set<Share *> Shares;
  std::array<std::uint64_t, Kinds> Ended{};
};

} // namespace hemlockglade
