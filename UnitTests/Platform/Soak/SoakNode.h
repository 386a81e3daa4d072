#pragma once

#include "UnitTests/Platform/Soak/SoakHistory.h"
#include "UnitTests/Platform/Soak/SoakProxy.h"

#include <optional>
#include <sys/types.h>

namespace hemlockglade::soak {

/// One real gateway process and the link between it and the store.
class SoakNode {
public:
  struct Settings {
    std::string Program;
    std::string Folder;
    std::string Name;
    std::string FailureDomain;
    /// Numeric loopback address of its own.
    std::string Address;
    std::uint16_t FirstPort = 0;
    std::vector<std::string> Seeds;
    /// Time within which requests must begin on weights that were named newer.
    Span VersionBound{0};
  };
  /// Longest time that a node may take to stop.
  static constexpr Span StopBound = std::chrono::seconds(4);

  SoakNode(asio::io_context &context, Settings settings,
           std::uint16_t storePort, SoakHistory &history);
  ~SoakNode();

  void start();
  void kill();
  void pause();
  void wake();
  void terminate();
  void reload();
  /// Something keeps it from the store, or no longer does; several things may
  /// at once. It can't know then what the store says.
  void disturb(bool begins);
  /// Looks whether the process has ended; a node that was told to stop and has
  /// not done so in time is killed, which the history shows as no clean exit.
  void look();

  const std::string &name() const { return Setup.Name; }
  const std::string &domain() const { return Setup.FailureDomain; }
  std::string caller() const { return at(0); }
  std::string directory() const { return at(2); }
  bool running() const { return Pid > 0; }
  bool paused() const { return Paused; }
  bool stopping() const { return StoppingSince.has_value(); }
  /// Times that it ended by itself.
  int selfEnds() const { return SelfEnds; }
  SoakProxy &link() { return Link; }

private:
  std::string at(int offset) const {
    return Setup.Address + ":" + std::to_string(Setup.FirstPort + offset);
  }
  void writeSettings() const;
  void ended(int status);
  HistoryEvent &note(std::string event);

  Settings Setup;
  SoakHistory &History;
  SoakProxy Link;
  pid_t Pid = 0;
  bool Paused = false;
  bool Killed = false;
  int Disturbed = 0;
  int SelfEnds = 0;
  std::optional<Instant> StoppingSince;
};

} // namespace hemlockglade::soak
