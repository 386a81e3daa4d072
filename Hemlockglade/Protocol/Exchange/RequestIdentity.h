#pragma once

#include "Hemlockglade/State/Routing/RequestKey.h"

#include <string_view>

namespace hemlockglade {

/// The parts of a request that identify it: two requests with the same parts
/// are the same request.
struct RequestIdentity {
  /// The caller that the request names; empty if it names none.
  std::string_view Caller;
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  std::string_view Body;

  /// Returns the key of the request: a cryptographic hash (BLAKE2b), so that
  /// nobody can construct a body that collides with another caller's request.
  RequestKey key() const;
};

} // namespace hemlockglade
