#pragma once

#include "UnitTests/Platform/Soak/SoakHistory.h"
#include "UnitTests/Platform/Soak/SoakProxy.h"

#include <optional>
#include <sys/types.h>

namespace hemlockglade::soak {

/// A real gateway process and the proxy between it and the store.
class SoakNode {
public:
  struct Settings {
    std::string Program;
    std::string Folder;
    std::string Name;
    std::string FailureDomain;
    /// Numeric loopback address that no other node uses.
    std::string Address;
    std::uint16_t FirstPort = 0;
    std::vector<std::string> Seeds;
    /// How long requests may still begin on a version of weights that has been
    /// replaced.
    Span VersionBound{0};
    /// Retries of a service in each window that don't depend on its requests.
    int RepeatExtra = 200;
    /// Whether owners rank adapter loads by the requests that they let begin.
    bool RanksLoads = false;
    /// Whether other gateways reach this one through a proxy.
    bool ProxiesPeers = false;
    /// Limit of the process's data in bytes; none if 0.
    std::uint64_t MaxDataBytes = 0;
    /// Lines added to the settings file.
    std::string MoreSettings;
  };
  /// Maximum time that a node may take to stop.
  static constexpr Span StopBound = std::chrono::seconds(4);

  SoakNode(asio::io_context &context, Settings settings,
           std::uint16_t storePort, SoakHistory &history);
  ~SoakNode();

  void start();
  void kill();
  void pause();
  void resume();
  void terminate();
  void reload();
  /// Called when something begins or ends to separate the node from the store,
  /// so that it can't receive changes. Several disturbances may overlap; the
  /// history shows the node as paused while there is one.
  void onDisturbance(bool hasBegun);
  /// Checks whether the process has ended. Kills a node that was ordered to
  /// stop and has not done so in time; the history shows no clean exit then.
  void checkProcess();

  const std::string &name() const { return Options.Name; }
  const std::string &domain() const { return Options.FailureDomain; }
  const std::string &address() const { return Options.Address; }
  std::string callerAddress() const { return addressAt(0); }
  std::string readinessAddress() const { return addressAt(1); }
  std::string directoryAddress() const { return addressAt(2); }
  pid_t pid() const { return Pid; }
  bool isRunning() const { return Pid > 0; }
  bool isPaused() const { return Paused; }
  bool isStopping() const { return StoppingSince.has_value(); }
  /// Returns how often the process ended without being killed or ordered to
  /// stop.
  int unexpectedEnds() const { return UnexpectedEnds; }
  SoakProxy &link() { return Link; }
  /// The proxy that other gateways reach this one through; null if there is
  /// none.
  SoakProxy *peerLink() { return PeerLink.get(); }

private:
  /// Offsets of the ports for other gateways, and of the proxy before it.
  static constexpr int PeerPort = 4;
  static constexpr int PeerProxyPort = 5;
  static constexpr int RelayPort = 6;

  std::string addressAt(int offset) const {
    return Options.Address + ":" + std::to_string(Options.FirstPort + offset);
  }
  void writeSettings() const;
  void onEnded(int status);
  HistoryEvent &record(std::string event);

  Settings Options;
  SoakHistory &History;
  SoakProxy Link;
  std::unique_ptr<SoakProxy> PeerLink;
  pid_t Pid = 0;
  bool Paused = false;
  bool Killed = false;
  int Disturbances = 0;
  int UnexpectedEnds = 0;
  std::optional<Instant> StoppingSince;
};

} // namespace hemlockglade::soak
