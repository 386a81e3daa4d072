#include "UnitTests/Platform/Soak/SoakWorkspaces.h"

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hemlockglade::soak {

namespace {

using Json = nlohmann::json;

/// Limits of the workspace that sends beyond them: requests per second and
/// burst.
constexpr double HotRate = 8;
constexpr double HotBurst = 8;

std::string key(const std::string &workspace, std::uint64_t plan) {
  return "key-" + workspace + "-" + std::to_string(plan);
}

} // namespace

const std::vector<std::string> &SoakWorkspaces::names() {
  static const std::vector<std::string> All{"hot", "calm", "free"};
  return All;
}

Json SoakWorkspaces::declaredIn(std::uint64_t plan) {
  Json out = Json::array();
  for (const auto &name : names()) {
    Json keys{key(name, plan), key(name, plan + 1)};
    Json node{{"name", name}, {"api_keys", keys}};
    if (name != "free") {
      node["rate_per_s"] = name == "hot" ? HotRate : 1000;
      node["burst"] = name == "hot" ? HotBurst : 1000;
    }
    out.push_back(node);
  }
  return out;
}

const std::string &SoakWorkspaces::drawWorkspace() {
  // Two thirds of all requests come from "hot".
  auto at = Random() % 6;
  return names()[at < 4 ? 0 : at - 3];
}

std::string SoakWorkspaces::keyOf(const std::string &workspace,
                                  std::uint64_t plan) {
  return key(workspace, plan + 1);
}

std::string SoakWorkspaces::keyRevokedBy(std::uint64_t plan) {
  return key("calm", plan - 1);
}

std::string SoakWorkspaces::senderOf(const std::string &workspace,
                                     Instant sentAt) {
  return workspace + "@" + std::to_string(sentAt.count());
}

void SoakWorkspaces::onRun(const std::string &sender,
                           const std::string &received, bool hasKey,
                           Instant now) {
  auto at = sender.find('@');
  if (at == std::string::npos)
    return;
  auto workspace = sender.substr(0, at);
  Runs.push_back({workspace, Instant(std::stoll(sender.substr(at + 1))), now});
  if (hasKey)
    Violations.push_back("the key of a caller of " + workspace +
                         " was passed on");
  if (received != workspace)
    Violations.push_back("run for workspace '" + received + "' in place of " +
                         workspace);
}

std::pair<std::size_t, double> SoakWorkspaces::maxRunsInWindow() const {
  const QuotaSettings quota;
  std::size_t maxRuns = 0;
  for (const auto &first : Runs) {
    auto count = std::count_if(Runs.begin(), Runs.end(), [&](const auto &it) {
      return it.Workspace == "hot" && it.SentAt >= first.SentAt &&
             it.RanAt <= first.SentAt + quota.Window;
    });
    maxRuns = std::max(maxRuns, static_cast<std::size_t>(count));
  }
  auto allowance =
      allowanceOf({LimitUnit::Requests, HotRate, HotBurst, 0}, quota);
  return {maxRuns, allowance * (1 + quota.Overshoot)};
}

std::size_t SoakWorkspaces::runCountOf(const std::string &workspace) const {
  return static_cast<std::size_t>(
      std::count_if(Runs.begin(), Runs.end(),
                    [&](const auto &it) { return it.Workspace == workspace; }));
}

} // namespace hemlockglade::soak
