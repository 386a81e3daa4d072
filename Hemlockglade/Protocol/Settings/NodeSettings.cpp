#include "Hemlockglade/Protocol/Settings/NodeSettings.h"

#include "Hemlockglade/Protocol/Settings/SchemaReader.h"
#include "Hemlockglade/Protocol/Settings/TextChecks.h"

namespace hemlockglade {

namespace {

constexpr NumberRange PortRange{0, 65535};
constexpr NumberRange ThreadRange{1, 64};
constexpr std::uint64_t MinuteMs = 60'000;
constexpr std::uint64_t HourMs = 60 * MinuteMs;

/// Binds every key of the schema to its member.
void bindKeys(SchemaReader &map, NodeSettings &out) {
  map.name("name", out.Name, Presence::Required);
  map.name("failure_domain", out.FailureDomain, Presence::Required);
  map.name("region", out.Region, Presence::Required);
  map.text("platform_url", out.PlatformUrl, Presence::Required,
           "a URL that starts with http:// or https://", isUrl);
  map.text("address", out.Address, Presence::Optional, "a numeric IPv4 address",
           isIpv4Address);
  map.number("caller_port", out.CallerPort, PortRange);
  map.number("peer_port", out.PeerPort, PortRange);
  map.texts("seeds", out.Seeds, "a numeric ip:port", isEndpointAddress);
  map.number("threads", out.Threads, ThreadRange);
  map.milliseconds("lease_ms", out.LeaseDuration, {100, 10 * MinuteMs});
  map.milliseconds("renew_ms", out.RenewInterval, {10, 10 * MinuteMs});
  map.milliseconds("scan_ms", out.ScanInterval, {10, 10 * MinuteMs});
  map.milliseconds("lease_margin_ms", out.LeaseMargin, {0, MinuteMs});
  map.milliseconds("config_poll_ms", out.ConfigInterval, {10, MinuteMs});
  map.number("loads_per_second", out.LoadsPerSecond, {1, 100000});
  map.milliseconds("report_ms", out.ReportInterval, {10, MinuteMs});
  map.milliseconds("directory_ttl_ms", out.DirectoryTtl, {100, HourMs});
  map.milliseconds("stop_bound_ms", out.StopBound, {0, HourMs});
}

/// Checks constraints between several keys.
void checkDurations(SchemaReader &map, const NodeSettings &settings) {
  if (settings.RenewInterval >= settings.LeaseDuration)
    map.fault("renew_ms", "less than lease_ms, or each lease lapses");
  if (settings.LeaseMargin >= settings.LeaseDuration)
    map.fault("lease_margin_ms", "less than lease_ms, or no lease ever holds");
}

} // namespace

tl::expected<NodeSettings, SettingsFaults>
readNodeSettings(const std::string &text, const std::string &file) {
  auto root = parseYaml(text, file);
  if (!root)
    return tl::unexpected(root.error());
  FaultList faults(file);
  NodeSettings settings;
  SchemaReader map(*root, "", faults);
  bindKeys(map, settings);
  map.finish();
  if (faults.empty())
    checkDurations(map, settings);
  if (!faults.empty())
    return tl::unexpected(faults.take());
  return settings;
}

std::vector<std::string> nodeSettingsKeys() {
  FaultList faults("");
  NodeSettings settings;
  SchemaReader map(YAML::Node(YAML::NodeType::Map), "", faults);
  bindKeys(map, settings);
  return map.keys();
}

} // namespace hemlockglade
