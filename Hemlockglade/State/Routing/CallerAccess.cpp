#include "Hemlockglade/State/Routing/CallerAccess.h"

namespace hemlockglade {

CallerAccess accessOf(const RoutePlan &plan, std::string_view host,
                      std::string_view path, std::string_view key) {
  using Denial = CallerAccess::Denial;
  CallerAccess out;
  out.Way = plan.find(host, path);
  if (!out.Way) {
    out.Denied = Denial::NoRoute;
    return out;
  }
  if (out.Way->Public || !plan.workspaces().required())
    return out;
  out.Space = plan.workspaces().find(key);
  if (!out.Space)
    out.Denied = key.empty() ? Denial::NoKey : Denial::UnknownKey;
  return out;
}

} // namespace hemlockglade
