#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <string>
#include <string_view>

namespace hemlockglade {

/// One line of a history, whose format StandIns/HISTORY.md describes. A field
/// that the line doesn't have is empty or 0.
struct HistoryEvent {
  Instant At{};
  /// Name of the process that wrote the line.
  std::string Who;
  std::string Event;
  /// Name that the caller gave its request; endpoints receive it too.
  std::string Tag;
  /// Name of one call of that request; a retry has another one.
  std::string Sending;
  /// Idempotency key.
  std::string Key;
  /// X-Request-Id, assigned by the entry.
  std::string Request;
  std::string Adapter;
  std::string Outcome;
  std::string Hash;
  std::string Fault;
  /// Address of the node that was called, or that the event happened to.
  std::string To;
  std::string Endpoint;
  /// Service that a request was sent for or arrived at; only the soak sets it.
  std::string Service;
  /// What a request for a stream that may be taken up does: `begins` it, or
  /// `goes-on` with it while two replicas of its software version serve; and
  /// whether it brought events. Only the soak sets them.
  std::string StreamPart;
  bool BroughtEvents = false;
  /// The lease holder that sent an order, and the order's fencing number.
  std::string Holder;
  std::uint64_t Fence = 0;
  /// Name of an operator's change.
  std::string Change;
  /// Adapters and the versions that a change makes current.
  std::map<std::string, std::uint32_t> Current;
  std::uint64_t Run = 0;
  std::uint64_t Revision = 0;
  std::int64_t Running = 0;
  std::int64_t Status = 0;
  std::int64_t Code = 0;
  Instant AskedAt{};
  Span TimeToLive{};
  bool Whole = false;
  bool Leaving = false;
  /// Text of the line, for printed excerpts.
  std::string Line;

  /// Parses one line; nullopt if it isn't a history line.
  static std::optional<HistoryEvent> parse(std::string_view line);
};

} // namespace hemlockglade
