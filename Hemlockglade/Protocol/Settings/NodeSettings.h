#pragma once

#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Ids.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// What one node reads from its settings file.
struct NodeSettings {
  /// Unique name of the node.
  std::string Name;
  /// Failure domain of the host; declarations use the same names.
  std::string FailureDomain;
  /// Region of the failure domain.
  std::string Region;
  /// Numeric address that all listeners bind.
  std::string Address = "127.0.0.1";
  /// Port for callers and operators; 0 lets the kernel choose.
  std::uint16_t CallerPort = 0;
  /// Port for other nodes; 0 lets the kernel choose.
  std::uint16_t PeerPort = 0;
  /// Base URL of the platform.
  std::string PlatformUrl;
  /// Peer addresses, `ip:port`, of nodes to ask at the start when the table
  /// does not answer.
  std::vector<std::string> Seeds;
  /// Threads that serve.
  std::uint32_t Threads = 2;
  /// How long a lease lasts after its renewal was sent.
  Span LeaseDuration = std::chrono::seconds(10);
  /// Time between renewals.
  Span RenewInterval = std::chrono::seconds(3);
  /// Time between two looks at all lease rows.
  Span ScanInterval = std::chrono::seconds(1);
  /// Allowance for clocks that drift.
  Span LeaseMargin = std::chrono::seconds(1);
  /// Time between two looks at the configuration's head.
  Span ConfigInterval = std::chrono::seconds(1);
  /// Adapter loads a second that the weight store gives the deployment.
  std::uint32_t LoadsPerSecond = 3;
  /// Time between two load reports of a replica.
  Span ReportInterval = std::chrono::milliseconds(500);
  /// How long callers may keep an address.
  Span DirectoryTtl = std::chrono::seconds(5);
  /// Longest time that a stop waits for running requests.
  Span StopBound = std::chrono::seconds(60);
};

/// Reads a settings file's text; `file` is the name that faults give. Either
/// the whole file is right, or all its faults are reported.
tl::expected<NodeSettings, SettingsFaults>
readNodeSettings(const std::string &text, const std::string &file);

/// Every key that a settings file may have.
std::vector<std::string> nodeSettingsKeys();

} // namespace hemlockglade
