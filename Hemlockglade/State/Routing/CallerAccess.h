#pragma once

#include "Hemlockglade/State/Routing/RoutePlan.h"

namespace hemlockglade {

/// What a plan says to a caller's request.
struct CallerAccess {
  enum class Denial : std::uint8_t {
    None,
    /// No route has the host and path.
    NoRoute,
    /// The route needs a key and the caller shows none.
    NoKey,
    /// No workspace has the key.
    UnknownKey,
  };

  Denial Denied = Denial::None;
  /// Set unless there is none; lives as long as the plan.
  const Route *MatchedRoute = nullptr;
  /// Workspace that the request counts for; none on routes that are open to
  /// all, and in plans without workspaces.
  const Workspace *CallerWorkspace = nullptr;
};

/// Finds route and workspace of a request. A missing route goes before a
/// missing key, since the route says whether a key is needed.
CallerAccess resolveAccess(const RoutePlan &plan, std::string_view host,
                           std::string_view path, std::string_view key);

} // namespace hemlockglade
