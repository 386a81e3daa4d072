#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaShares.h"
#include "Hemlockglade/Coordination/Registry/RegistryPollSettings.h"
#include "Hemlockglade/Protocol/Settings/DecisionSettings.h"
#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Ids.h"

#include <optional>
#include <tl/expected.hpp>

namespace hemlockglade {

/// Settings of a gateway: a node that gets its routes, replicas and operators'
/// declarations from a registry instead of from a declarations file.
struct GatewaySettings {
  /// Unique name of the node.
  std::string Name;
  /// Failure domain of the host.
  std::string FailureDomain;
  /// Numeric address for peers.
  std::string Address;
  std::uint16_t PeerPort = 0;
  /// Numeric local address that connections to replicas are made from, for
  /// hosts with several; empty lets the kernel choose.
  std::string OutgoingAddress;
  /// `ip:port` at which other nodes reach this one, if it is another one than
  /// `Address` and `PeerPort`: behind a forwarder, for instance. Seeds are
  /// always reached at their own port for peers.
  std::string AdvertisedPeerAddress;
  /// TCP port at `Address` where requests of nodes that can't reach a replica
  /// are forwarded to it; 0 lets the kernel choose.
  std::uint16_t RelayPort = 0;
  /// `ip:port` where callers are served.
  std::string CallerAddress;
  /// `ip:port` where readiness is served.
  std::string ReadinessAddress;
  /// `ip:port` of the directory, where callers query which address to use.
  std::string DirectoryAddress;
  /// `ip:port` where metrics are served; empty to serve none.
  std::string MetricsAddress;
  /// `ip:port` of the registry and table.
  std::string RegistryAddress;
  /// Failure domains of the deployment; there is one cell per failure domain.
  std::vector<std::string> FailureDomains;
  /// Numeric addresses of hosts that are queried at startup if the registry
  /// does not answer.
  std::vector<std::string> Seeds;

  std::uint32_t MaxDescriptors = 1024;
  /// Capacity of the host that this process may use: cores, and Mbit/s of its
  /// link. Nodes on hosts with little capacity leave the ownership of cells to
  /// nodes with more.
  double Cores = 1;
  double LinkMbps = 1000;
  /// Memory that the process may use, in MB of 2^20; 0 if it is only bounded by
  /// the limits that the process sees itself.
  std::uint32_t MemoryMb = 0;
  /// Maximum bytes, in MB of 2^20, that are held for requests of callers, for
  /// answers that are not complete, and for those that callers have not read,
  /// over all connections; 0 derives them from the memory that the process may
  /// use. One request of the maximum size always fits.
  std::uint32_t RequestMemoryMb = 0;
  std::uint32_t AnswerMemoryMb = 0;
  std::uint32_t UnreadMemoryMb = 0;
  /// No node of the deployment has ever run before this start.
  bool FirstStart = false;
  /// Maximum duration of a graceful stop.
  Span StopBound = std::chrono::seconds(8);
  /// Minimum time between the orders of two successive owners of a cell.
  Span Handover = std::chrono::seconds(3);
  /// Maximum time for which callers may cache an answer of the directory.
  Span MaxDirectoryTtl = std::chrono::seconds(5);
  /// Retry budget over all nodes: retries per request, a fixed number of
  /// further retries, and the window to which both apply.
  double RepeatShare = 0.2;
  double RepeatExtra = 20;
  Span RepeatWindow = std::chrono::seconds(10);
  /// Maximum time until a draining replica gets no new work.
  Span DrainBound = std::chrono::seconds(2);
  /// Maximum time until a confirmed plan is in force.
  Span PlanBound = std::chrono::seconds(2);
  /// Maximum time until requests are sent with a newly declared version of
  /// the weights.
  Span VersionBound = std::chrono::seconds(5);
  /// How far workspaces may exceed their limits, over all nodes.
  QuotaSettings Quota;
  /// Whether callers with keys are rejected once the node has been unable for
  /// longer than `RevokeBound` to confirm that no key has been revoked.
  bool RevokeFailClosed = false;
  Span RevokeBound = std::chrono::seconds(5);
  /// Parameters of routing and of the placement of weights.
  DecisionSettings Decisions;

  /// Returns the poll intervals and timeouts that keep `PlanBound` and
  /// `DrainBound`.
  RegistryPollSettings pollSettings() const {
    return RegistryPollSettings::forBounds(PlanBound, DrainBound);
  }
};

/// Returns why the settings contradict the memory that the process may use,
/// given in bytes, with the name of the field; nothing if they don't. A limit
/// of 0 is unknown.
std::optional<std::string> contradictsMemory(const GatewaySettings &settings,
                                             std::uint64_t memoryLimit);

/// Parses the text of a settings file; `file` is the file name given in faults.
/// If anything is invalid, all faults are returned.
tl::expected<GatewaySettings, SettingsFaults>
readGatewaySettings(const std::string &text, const std::string &file);

} // namespace hemlockglade
