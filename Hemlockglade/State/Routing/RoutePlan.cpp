#include "Hemlockglade/State/Routing/RoutePlan.h"

#include <algorithm>

namespace hemlockglade {

namespace {

std::string lowerCase(std::string_view text) {
  std::string out(text);
  for (auto &it : out)
    if (it >= 'A' && it <= 'Z')
      it = static_cast<char>(it + ('a' - 'A'));
  return out;
}

} // namespace

const std::string &Route::targetFor(std::uint64_t draw) const {
  std::uint64_t total = 0;
  for (const auto &it : Targets)
    total += it.Weight;
  if (total == 0)
    return Targets.front().Service;
  auto rest = draw % total;
  for (const auto &it : Targets) {
    if (rest < it.Weight)
      return it.Service;
    rest -= it.Weight;
  }
  return Targets.back().Service;
}

const ModelSpec *EngineSpec::model(std::string_view name) const {
  auto it = std::find_if(Models.begin(), Models.end(),
                         [name](const auto &m) { return m.Name == name; });
  return it == Models.end() ? nullptr : &*it;
}

RoutePlan::RoutePlan(std::uint64_t version, std::vector<Route> routes,
                     std::vector<ServiceSpec> services, CallerLimits limits,
                     WorkspaceDirectory workspaces)
    : Version(version), Routes(std::move(routes)),
      Services(std::move(services)), Limits(limits),
      Workspaces(std::move(workspaces)) {
  for (std::size_t it = 0; it < Routes.size(); ++it)
    Index[lowerCase(Routes[it].Host)][Routes[it].Prefix] = it;
}

const Route *RoutePlan::find(std::string_view host,
                             std::string_view path) const {
  auto name = lowerCase(host.substr(0, host.find(':')));
  auto prefixes = Index.find(name);
  if (prefixes == Index.end())
    return nullptr;
  // Every prefix ends with a slash, so each slash of the path, from the last
  // to the first, ends the only prefix of that length that can match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash ? path.rfind('/', slash - 1) : std::string_view::npos) {
    auto it = prefixes->second.find(path.substr(0, slash + 1));
    if (it != prefixes->second.end())
      return &Routes[it->second];
  }
  return nullptr;
}

const ServiceSpec *RoutePlan::service(std::string_view name) const {
  auto it = std::find_if(Services.begin(), Services.end(),
                         [name](const auto &s) { return s.Name == name; });
  return it == Services.end() ? nullptr : &*it;
}

} // namespace hemlockglade
