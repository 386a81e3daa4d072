#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"

#include "Hemlockglade/Protocol/Settings/SchemaReader.h"
#include "Hemlockglade/Protocol/Settings/TextChecks.h"

namespace hemlockglade {

namespace {

constexpr std::string_view ExpectedAddress = "a numeric ip:port";
constexpr std::uint64_t MinuteMs = 60'000;
constexpr double MinuteSeconds = 60;
constexpr double MinCores = 0.001;
constexpr double MaxCores = 1024;
constexpr double MinMbps = 0.001;
constexpr double MaxMbps = 1e6;
constexpr double MaxFixedRetries = 1e6;
constexpr double MaxQuotaUnits = 1e12;
/// A plain answer of the maximum size, 8 MB, has to fit beside others.
constexpr std::uint32_t MinAnswerMemoryMb = 9;
constexpr std::uint32_t MaxHeldMemoryMb = 65'536;
constexpr std::uint32_t MaxMemoryMb = 1'048'576;

bool isEndpointOrEmpty(std::string_view text) {
  return text.empty() || isEndpointAddress(text);
}

bool isIpv4OrEmpty(std::string_view text) {
  return text.empty() || isIpv4Address(text);
}

/// Binds every key of the schema to its member.
void bindKeys(SchemaReader &map, GatewaySettings &out) {
  map.name("name", out.Name, Presence::Required);
  map.name("failure_domain", out.FailureDomain, Presence::Required);
  map.text("address", out.Address, Presence::Required, "a numeric IPv4 address",
           isIpv4Address);
  map.number("peer_port", out.PeerPort, {0, 65535});
  map.text("outgoing_address", out.OutgoingAddress, Presence::Optional,
           "a numeric IPv4 address", isIpv4OrEmpty);
  map.number("relay_port", out.RelayPort, {0, 65535});
  map.text("advertised_peer_address", out.AdvertisedPeerAddress,
           Presence::Optional, ExpectedAddress, isEndpointOrEmpty);
  map.text("caller_address", out.CallerAddress, Presence::Required,
           ExpectedAddress, isEndpointAddress);
  map.text("readiness_address", out.ReadinessAddress, Presence::Optional,
           ExpectedAddress, isEndpointOrEmpty);
  map.text("directory_address", out.DirectoryAddress, Presence::Optional,
           ExpectedAddress, isEndpointOrEmpty);
  map.text("metrics_address", out.MetricsAddress, Presence::Optional,
           ExpectedAddress, isEndpointOrEmpty);
  map.text("registry_address", out.RegistryAddress, Presence::Required,
           ExpectedAddress, isEndpointAddress);
  map.names("failure_domains", out.FailureDomains, Presence::Required);
  map.texts("seeds", out.Seeds, ExpectedAddress, isEndpointAddress);
  map.number("max_descriptors", out.MaxDescriptors, {64, 1'000'000});
  map.real("cores", out.Cores, MinCores, MaxCores);
  map.real("link_mbps", out.LinkMbps, MinMbps, MaxMbps);
  map.number("memory_mb", out.MemoryMb, {0, MaxMemoryMb});
  map.number("request_memory_mb", out.RequestMemoryMb, {0, MaxHeldMemoryMb});
  map.number("answer_memory_mb", out.AnswerMemoryMb, {0, MaxHeldMemoryMb});
  map.number("unread_memory_mb", out.UnreadMemoryMb, {0, MaxHeldMemoryMb});
  if (out.AnswerMemoryMb != 0 && out.AnswerMemoryMb < MinAnswerMemoryMb)
    map.fault("answer_memory_mb",
              "0, or 9 to 65536: a plain answer of 8 MB has to fit");
  map.flag("first_start", out.FirstStart);
  map.seconds("stop_bound_s", out.StopBound, 0.1, MinuteSeconds);
  map.milliseconds("handover_ms", out.Handover, {0, MinuteMs});
  map.seconds("max_directory_ttl_s", out.MaxDirectoryTtl, 0.1, MinuteSeconds);
  map.real("repeat_share", out.RepeatShare, 0, 1);
  map.real("repeat_extra", out.RepeatExtra, 0, MaxFixedRetries);
  map.seconds("repeat_window_s", out.RepeatWindow, 0.1, 10 * MinuteSeconds);
  map.milliseconds("drain_bound_ms", out.DrainBound, {1, MinuteMs});
  map.milliseconds("plan_bound_ms", out.PlanBound, {1, MinuteMs});
  map.milliseconds("version_bound_ms", out.VersionBound, {1, MinuteMs});
  map.seconds("quota_window_s", out.Quota.Window, 0.1, 10 * MinuteSeconds);
  map.real("quota_overshoot", out.Quota.Overshoot, 0, 1);
  map.real("quota_slack", out.Quota.Slack, 0, MaxQuotaUnits);
  map.flag("revoke_fail_closed", out.RevokeFailClosed);
  map.milliseconds("revoke_bound_ms", out.RevokeBound, {1, MinuteMs});
  map.section("decisions", [&out](SchemaReader &section) {
    bindDecisions(section, out.Decisions);
  });
}

} // namespace

std::optional<std::string> contradictsMemory(const GatewaySettings &settings,
                                             std::uint64_t memoryLimit) {
  constexpr std::uint64_t MiB = std::uint64_t{1} << 20U;
  if (settings.MemoryMb &&
      (!memoryLimit || settings.MemoryMb * MiB < memoryLimit))
    memoryLimit = settings.MemoryMb * MiB;
  auto most = memoryLimit / 2 / MiB;
  auto held = std::uint64_t{settings.RequestMemoryMb} +
              settings.AnswerMemoryMb + settings.UnreadMemoryMb;
  if (memoryLimit == 0 || held <= most)
    return std::nullopt;
  return "request_memory_mb, answer_memory_mb and unread_memory_mb: " +
         std::to_string(held) +
         " is more than half of what the process may use, " +
         std::to_string(memoryLimit / MiB) + " MB\n";
}

tl::expected<GatewaySettings, SettingsFaults>
readGatewaySettings(const std::string &text, const std::string &file) {
  auto root = parseYaml(text, file);
  if (!root)
    return tl::unexpected(root.error());
  FaultList faults(file);
  GatewaySettings settings;
  SchemaReader map(*root, "", faults);
  bindKeys(map, settings);
  map.finish();
  if (!faults.empty())
    return tl::unexpected(faults.take());
  return settings;
}

} // namespace hemlockglade
