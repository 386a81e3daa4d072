#include "Hemlockglade/State/Routing/CallerAccess.h"

namespace hemlockglade {

CallerAccess resolveAccess(const RoutePlan &plan, std::string_view host,
                           std::string_view path, std::string_view key) {
  using Denial = CallerAccess::Denial;
  CallerAccess out;
  out.MatchedRoute = plan.find(host, path);
  if (!out.MatchedRoute) {
    out.Denied = Denial::NoRoute;
    return out;
  }
  if (out.MatchedRoute->Public || !plan.workspaces().required())
    return out;
  out.CallerWorkspace = plan.workspaces().find(key);
  if (!out.CallerWorkspace)
    out.Denied = key.empty() ? Denial::NoKey : Denial::UnknownKey;
  return out;
}

} // namespace hemlockglade
