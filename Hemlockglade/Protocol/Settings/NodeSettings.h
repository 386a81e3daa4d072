#pragma once

#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Ids.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// Settings of one node, read from its settings file.
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
  /// Peer addresses, `ip:port`, of nodes that are queried at startup if the
  /// table does not answer.
  std::vector<std::string> Seeds;
  /// Number of serving threads.
  std::uint32_t Threads = 2;
  /// Duration of a lease, counted from when its renewal was sent.
  Span LeaseDuration = std::chrono::seconds(10);
  /// Interval between renewals of a lease.
  Span RenewInterval = std::chrono::seconds(3);
  /// Interval between scans of all lease rows.
  Span ScanInterval = std::chrono::seconds(1);
  /// Safety margin of leases for clock drift.
  Span LeaseMargin = std::chrono::seconds(1);
  /// Interval between reads of the configuration's head row.
  Span ConfigInterval = std::chrono::seconds(1);
  /// Adapter loads per second that the weight store can sustain for the whole
  /// deployment.
  std::uint32_t LoadsPerSecond = 3;
  /// Interval between load reports of a replica.
  Span ReportInterval = std::chrono::milliseconds(500);
  /// Time for which callers may cache an address.
  Span DirectoryTtl = std::chrono::seconds(5);
  /// Maximum time that a graceful stop waits for running requests.
  Span StopBound = std::chrono::seconds(60);
};

/// Parses the text of a settings file; `file` is the file name given in faults.
/// If anything is invalid, all faults are returned.
tl::expected<NodeSettings, SettingsFaults>
readNodeSettings(const std::string &text, const std::string &file);

/// Returns every key that a settings file may have.
std::vector<std::string> nodeSettingsKeys();

} // namespace hemlockglade
