#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http1/HttpMessage.h"

#include <charconv>

namespace hemlockglade::relay_field {

/// Header fields of requests and answers between a node that can't reach a
/// replica and one that forwards to it. They are dropped from what callers and
/// replicas send.

/// Incarnation of the replica that a request is forwarded to.
inline constexpr std::string_view Replica = "Relay-Replica";
/// Maximum idle time, in milliseconds, of a kept connection to the replica that
/// the request may be sent on; without it any may be used.
inline constexpr std::string_view MaxIdle = "Relay-Max-Idle-Ms";
/// Number of the sending at the node that asks; each answer bears it.
inline constexpr std::string_view Sending = "Relay-Sending";
/// In each answer: `Forwarded` if it is the replica's, else why there is none.
/// An answer without it says nothing of whether the request was sent.
inline constexpr std::string_view Outcome = "Relay-Outcome";

/// With the outcome `Paused`: the rest of the pause in milliseconds.
inline constexpr std::string_view PauseMs = "Relay-Pause-Ms";
/// In a forwarded answer whose head stated no length at the replica, so that
/// its body has ended with the connection there.
inline constexpr std::string_view OpenEnd = "Relay-Open-End";

/// Returns whether an answer's head states no length: its body ends with the
/// connection, of the replica if the answer was forwarded.
inline bool endsWithConnection(const HeaderFields &fields) {
  return findField(fields, OpenEnd) ||
         (!findField(fields, "Content-Length") &&
          !findField(fields, "Transfer-Encoding"));
}

/// Returns the pause that an answer states; 0 if it states none or malformed.
inline Span pauseOf(const HeaderFields &fields) {
  const auto *text = findField(fields, PauseMs);
  std::uint32_t n = 0;
  bool parsed =
      text &&
      std::from_chars(text->data(), text->data() + text->size(), n).ec ==
          std::errc();
  return parsed ? Span(std::chrono::milliseconds(n)) : Span(0);
}

/// Removes these fields from a head's fields.
inline void eraseAll(HeaderFields &fields) {
  std::erase_if(fields, [](const auto &it) {
    return sameFieldName(it.Name, Replica) || sameFieldName(it.Name, MaxIdle) ||
           sameFieldName(it.Name, Outcome) || sameFieldName(it.Name, OpenEnd) ||
           sameFieldName(it.Name, PauseMs) || sameFieldName(it.Name, Sending);
  });
}

} // namespace hemlockglade::relay_field

namespace hemlockglade::relay_outcome {

inline constexpr std::string_view Forwarded = "forwarded";
/// The request may have reached the replica, which sent no valid answer.
inline constexpr std::string_view Broken = "broken";
/// Nothing was sent to the replica: no connection to it was established.
inline constexpr std::string_view NotConnected = "not-connected";
/// Nothing was sent: the relaying node does not forward to this replica.
inline constexpr std::string_view UnknownReplica = "unknown-replica";
/// Nothing was sent: the relaying node is itself cut off from the service.
inline constexpr std::string_view CutOff = "cut-off";
/// Nothing was sent: the replica has asked the relaying node for a pause.
inline constexpr std::string_view Paused = "paused";
/// Nothing was sent: the relaying node stops or has too many requests.
inline constexpr std::string_view Busy = "busy";

/// Returns the constant with this text. If there is none, `Broken`: only a
/// known text promises that nothing was sent.
inline std::string_view known(std::string_view text) {
  for (auto it :
       {Forwarded, NotConnected, UnknownReplica, CutOff, Paused, Busy})
    if (it == text)
      return it;
  return Broken;
}

} // namespace hemlockglade::relay_outcome
