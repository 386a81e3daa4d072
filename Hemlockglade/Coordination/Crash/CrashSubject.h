#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/State/Routing/RequestKey.h"

#include <vector>

namespace hemlockglade {

/// What of a request may be to blame if replicas end under it: the request as a
/// whole, or a part of its prompt that it shares with others.
struct CrashSubject {
  RequestKey Request;
  std::string Service;
  /// Keys of the shared parts of the prompt; the last part is the request's own
  /// and not among them.
  std::vector<RequestKey> Parts;
};

/// How far an attempt has got.
struct AttemptProgress {
  Instant SentAt{};
  /// When the first and the last event of its answer were received, if any was.
  std::optional<Instant> BeganAt;
  Instant LastEventAt{};
};

/// Returns the key of a part of prompts at a service. Its text ends with the
/// part's id.
RequestKey partKeyOf(std::string_view service, std::uint64_t part);

/// How long an answer has to go on after its first event to show that the
/// request does not crash its replica.
constexpr Span WentOnAfter = std::chrono::milliseconds(250);

} // namespace hemlockglade
