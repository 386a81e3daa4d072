#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"
#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"
#include "Hemlockglade/Protocol/Settings/DecisionSettings.h"
#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Ids.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// Settings of a node that serves from a registry: routes, replicas and
/// operators' declarations come from there, not from declarations of its own.
struct GatewaySettings {
  /// Unique name of the node.
  std::string Name;
  /// Failure domain of the host.
  std::string FailureDomain;
  /// Numeric address for peers.
  std::string Address;
  std::uint16_t PeerPort = 0;
  /// `ip:port` where callers are served.
  std::string CallerAddress;
  /// `ip:port` where readiness is asked for.
  std::string ReadinessAddress;
  /// `ip:port` where callers ask which address to use.
  std::string DirectoryAddress;
  /// `ip:port` where metrics are served; empty for none.
  std::string MetricsAddress;
  /// `ip:port` of the registry and table.
  std::string RegistryAddress;
  /// Failure domains of the deployment; each is a cell.
  std::vector<std::string> FailureDomains;
  /// Numeric addresses of hosts to ask at a start without the registry.
  std::vector<std::string> Seeds;

  std::uint32_t MaxDescriptors = 1024;
  /// What the host gives this process: cores, and Mbit/s of its link. A weak
  /// host leaves cells to stronger ones.
  double Cores = 1;
  double LinkMbps = 1000;
  /// Longest time that a stop may take.
  Span StopBound = std::chrono::seconds(8);
  /// Time that must lie between the orders of two holders.
  Span Handover = std::chrono::seconds(3);
  /// Longest time that callers may keep a directory answer.
  Span MaxDirectoryTtl = std::chrono::seconds(5);
  /// Repeats over all nodes: share of the requests, number, and window.
  double RepeatShare = 0.2;
  double RepeatExtra = 20;
  Span RepeatWindow = std::chrono::seconds(10);
  /// Time within which a leaving replica must get no new work.
  Span DrainBound = std::chrono::seconds(2);
  /// Time within which a confirmed plan must be in force.
  Span PlanBound = std::chrono::seconds(2);
  /// Time within which requests must begin on weights that were named newer.
  Span VersionBound = std::chrono::seconds(5);
  /// How far workspaces may go beyond their limits, over all nodes.
  QuotaSettings Quota;
  /// Whether callers with keys are turned away once the node has not known for
  /// so long whether a key has been revoked.
  bool RevokeFailClosed = false;
  Span RevokeBound = std::chrono::seconds(5);
  /// How requests are routed and weights are placed.
  DecisionSettings Decisions;

  /// How the registry is looked at to keep the bounds.
  RegistryPollSettings lookPace() const {
    return RegistryPollSettings::forBounds(PlanBound, DrainBound);
  }
};

/// Reads a settings file's text; `file` is the name that faults give.
tl::expected<GatewaySettings, SettingsFaults>
readGatewaySettings(const std::string &text, const std::string &file);

} // namespace hemlockglade
