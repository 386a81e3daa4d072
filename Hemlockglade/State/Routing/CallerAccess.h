#pragma once

#include "Hemlockglade/State/Routing/RoutePlan.h"

namespace hemlockglade {

/// Route, workspace and permission of a caller's request in a plan.
struct CallerAccess {
  enum class Denial : std::uint8_t {
    None,
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key and the caller sends none.
    NoKey,
    /// No workspace has the key.
    UnknownKey,
  };

  Denial Denied = Denial::None;
  /// Set unless no route matches; valid as long as the plan.
  const Route *MatchedRoute = nullptr;
  /// Workspace whose quota the request is charged to; unset on public routes,
  /// and in plans without workspaces.
  const Workspace *CallerWorkspace = nullptr;
};

/// Finds the route and the workspace of a request. A missing route is reported
/// before a missing key, because the route determines whether a key is
/// required.
CallerAccess resolveAccess(const RoutePlan &plan, std::string_view host,
                           std::string_view path, std::string_view key);

} // namespace hemlockglade
