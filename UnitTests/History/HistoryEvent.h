#pragma once

#include "Hemlockglade/State/Ids.h"

#include <map>
#include <string>
#include <string_view>

namespace hemlockglade {

/// One line of a history, as StandIns/HISTORY.md describes it. A field that
/// the line doesn't have is empty or 0.
struct HistoryEvent {
  Instant At{};
  /// The process that wrote it.
  std::string Who;
  std::string Event;
  /// Name that a caller gave its request, as endpoints see it.
  std::string Tag;
  /// Name of one sending of it.
  std::string Sending;
  /// Idempotency key.
  std::string Key;
  /// X-Request-Id, given by the entry.
  std::string Request;
  std::string Adapter;
  std::string Outcome;
  std::string Hash;
  std::string Fault;
  /// Address of the node that was asked or that something happened to.
  std::string To;
  std::string Endpoint;
  /// Who gave an order, and the fencing number that it bore.
  std::string Holder;
  std::uint64_t Fence = 0;
  /// Name of an operator's change.
  std::string Change;
  /// Adapters and the versions that a change calls current.
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
  /// The line itself, for excerpts.
  std::string Line;

  /// Reads one line; nothing if it isn't a history line.
  static std::optional<HistoryEvent> parse(std::string_view line);
};

} // namespace hemlockglade
