#include "Hemlockglade/Protocol/Settings/NodeSettings.h"

#include <yaml-cpp/yaml.h>

namespace hemlockglade {

namespace {

void readSpan(const YAML::Node &node, const char *key, Span &span) {
  if (node[key])
    span = std::chrono::milliseconds(node[key].as<std::int64_t>());
}

} // namespace

tl::expected<NodeSettings, ProtocolError>
readNodeSettings(const std::string &text) {
  try {
    auto root = YAML::Load(text);
    NodeSettings settings;
    settings.Name = root["name"].as<std::string>();
    settings.FailureDomain = root["failure_domain"].as<std::string>();
    settings.Region = root["region"].as<std::string>();
    settings.PlatformUrl = root["platform_url"].as<std::string>();
    if (root["address"])
      settings.Address = root["address"].as<std::string>();
    if (root["caller_port"])
      settings.CallerPort = root["caller_port"].as<std::uint16_t>();
    if (root["peer_port"])
      settings.PeerPort = root["peer_port"].as<std::uint16_t>();
    if (root["threads"])
      settings.Threads = root["threads"].as<std::uint32_t>();
    readSpan(root, "lease_ms", settings.LeaseDuration);
    readSpan(root, "renew_ms", settings.RenewInterval);
    readSpan(root, "lease_margin_ms", settings.LeaseMargin);
    readSpan(root, "config_poll_ms", settings.ConfigInterval);
    readSpan(root, "report_ms", settings.ReportInterval);
    readSpan(root, "directory_ttl_ms", settings.DirectoryTtl);
    readSpan(root, "stop_bound_ms", settings.StopBound);
    return settings;
  } catch (const YAML::Exception &error) {
    return tl::unexpected(
        ProtocolError{ProtocolErrorKind::Malformed, error.what()});
  }
}

} // namespace hemlockglade
