#pragma once

#include "Hemlockglade/State/Ids.h"
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

/// What bytes are held for. Each kind has a limit of its own, so that neither
/// takes the memory of the other.
enum class HeldKind : std::uint8_t {
  /// Requests of callers: heads, bodies, and what was sent behind a request.
  Request,
  /// Answers that are incomplete.
  Answer,
  /// Answers, or parts of them, that their callers have not read.
  Unread,
};

std::string_view heldKindName(HeldKind kind);

/// Accounts for the bytes that a process holds for others, over all its
/// connections. When those of a kind exceed its limit, shares that may be ended
/// are: of unread answers the one of which nothing was taken for the longest
/// time, else the one that holds the most. Used by one thread.
class HeldMemory {
public:
  /// Shares that hold no more than this don't count: their number is bounded
  /// by that of connections, and an ordinary head takes about as much.
  static constexpr std::size_t UncountedBytes = 4096;
  /// Requests that hold no more than this are ended only beyond
  /// `SmallReserve`, so that ordinary ones are read while large ones that are
  /// complete hold all the memory.
  static constexpr std::size_t SmallRequestBytes = std::size_t{64} << 10U;
  /// Part of the limit of requests beyond it, as 1 to this.
  static constexpr std::size_t SmallReserve = 8;
  static constexpr std::size_t Kinds = 3;
  static constexpr std::size_t EndlessKinds = 6;
  /// Limit of each kind if the memory limit of the process is unknown.
  static constexpr std::size_t DefaultMaxBytes = std::size_t{32} << 20U;
  /// Shares of the memory limit of the process, as 1 to this.
  static constexpr std::size_t RequestDivisor = 5;
  static constexpr std::size_t AnswerDivisor = 16;
  static constexpr std::size_t UnreadDivisor = 10;
  /// A request, or a plain answer, of the maximum size fits with a MiB for
  /// others.
  static constexpr std::size_t MinDefaultBytes = std::size_t{9} << 20U;

  struct Settings {
    std::size_t MaxRequestBytes = DefaultMaxBytes;
    std::size_t MaxAnswerBytes = DefaultMaxBytes;
    std::size_t MaxUnreadBytes = DefaultMaxBytes;
  };

  /// The bytes that one request or answer holds.
  class Share {
  public:
    explicit Share(HeldKind kind = HeldKind::Answer) : Kind(kind) {}
    ~Share() { release(); }
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets how many bytes are held; `memory` has to outlive them. May call
    /// `OnEnd` of this share or of another one.
    void hold(HeldMemory &memory, std::size_t bytes);
    /// Nothing is held any more.
    void release();
    std::size_t bytes() const { return Bytes; }
    /// Called when the caller has taken some of its answer, or can begin to.
    void onTaken();
    /// Returns whether `OnEnd` was called and the bytes are still held.
    bool isEnding() const { return Ending; }

    /// Called once when the share has to be ended, possibly from within `hold`
    /// of another one: it must only arrange for the end. A share without this
    /// hook is never ended.
    std::function<void()> OnEnd;

  private:
    friend HeldMemory;
    HeldKind Kind;
    HeldMemory *Memory = nullptr;
    std::size_t Bytes = 0;
    bool Ending = false;
    /// When the caller has last taken some of its answer.
    Instant TakenAt{};
  };

  HeldMemory() : HeldMemory(Settings()) {}
  explicit HeldMemory(Settings settings) {
    of(HeldKind::Request).MaxBytes = settings.MaxRequestBytes;
    of(HeldKind::Answer).MaxBytes = settings.MaxAnswerBytes;
    of(HeldKind::Unread).MaxBytes = settings.MaxUnreadBytes;
  }
  HeldMemory(const HeldMemory &) = delete;
  HeldMemory &operator=(const HeldMemory &) = delete;

  /// Returns the limits for a process with this memory: shares of its limit, or
  /// `DefaultMaxBytes` if that is unknown, but no more than the same shares of
  /// the host's memory.
  static Settings defaultFor(const MemoryLimit &limit);

  /// Raises the limit of requests to what one of the maximum size holds.
  void fitRequest(std::size_t maxRequestBytes);

  /// Counts an answer that was ended.
  void count(EndlessKind kind) {
    ++EndlessAnswers[static_cast<std::size_t>(kind)];
  }
  /// Returns the number of answers that were ended since the start.
  std::uint64_t endless(EndlessKind kind) const {
    return EndlessAnswers[static_cast<std::size_t>(kind)];
  }
  /// Returns the number of shares that were ended since the start because all
  /// of their kind held too much.
  std::uint64_t ended(HeldKind kind) const { return of(kind).Ended; }
  /// Returns the bytes held now, and the most that were held at a time.
  std::size_t bytes(HeldKind kind) const { return of(kind).Bytes; }
  std::size_t peakBytes(HeldKind kind) const { return of(kind).PeakBytes; }
  std::size_t maxBytes(HeldKind kind) const { return of(kind).MaxBytes; }

private:
  struct Account {
    std::size_t MaxBytes = 0;
    std::size_t Bytes = 0;
    std::size_t PeakBytes = 0;
    /// Part of `Bytes` whose shares are being ended.
    std::size_t EndingBytes = 0;
    std::uint64_t Ended = 0;
    /// Those that may be ended.
    std::unordered_set<Share *> Endable;
  };

  Account &of(HeldKind kind) {
    return Accounts[static_cast<std::size_t>(kind)];
  }
  const Account &of(HeldKind kind) const {
    return Accounts[static_cast<std::size_t>(kind)];
  }
  /// Ends shares of a kind until the others are within its limit.
  void endShares(HeldKind kind);
  /// Returns the share that is ended next; null if none may be.
  static Share *chooseEnded(HeldKind kind, const Account &account);

  std::array<Account, Kinds> Accounts;
  std::array<std::uint64_t, EndlessKinds> EndlessAnswers{};
};

} // namespace hemlockglade
