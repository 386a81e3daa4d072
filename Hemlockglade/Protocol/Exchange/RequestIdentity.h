#pragma once

#include "Hemlockglade/State/Routing/RequestKey.h"

#include <string_view>

namespace hemlockglade {

/// What makes two sendings the same request.
struct RequestIdentity {
  /// Whom the request names as its caller; empty if it names nobody.
  std::string_view Caller;
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  std::string_view Body;

  /// A cryptographic hash (BLAKE2b), so that nobody can make up a body that
  /// passes for another caller's request.
  RequestKey key() const;
};

} // namespace hemlockglade
