#include "UnitTests/Platform/Soak/SoakNode.h"

#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "UnitTests/Platform/Soak/DataLimit.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

extern char **environ;

namespace hemlockglade::soak {

SoakNode::SoakNode(asio::io_context &context, Settings settings,
                   std::uint16_t storePort, SoakHistory &history)
    : Options(std::move(settings)), History(history), Link(context, storePort) {
  if (Options.ProxiesPeers)
    PeerLink = std::make_unique<SoakProxy>(
        context, parseEndpoint(addressAt(PeerProxyPort)),
        parseEndpoint(addressAt(PeerPort)));
  writeSettings();
}

SoakNode::~SoakNode() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

HistoryEvent &SoakNode::record(std::string event) {
  auto &out = History.record("soak", std::move(event));
  out.To = Options.Name;
  return out;
}

void SoakNode::writeSettings() const {
  std::ofstream out(Options.Folder + "/" + Options.Name + ".yaml");
  out << "name: " << Options.Name
      << "\nfailure_domain: " << Options.FailureDomain
      << "\naddress: " << Options.Address
      << "\noutgoing_address: " << Options.Address
      << "\nrelay_port: " << Options.FirstPort + RelayPort
      << "\npeer_port: " << Options.FirstPort + PeerPort
      << "\ncaller_address: \"" << addressAt(0) << "\"\nreadiness_address: \""
      << addressAt(1) << "\"\ndirectory_address: \"" << addressAt(2)
      << "\"\nregistry_address: \"" << Link.address()
      << "\"\nfailure_domains: [hall-a, hall-b, hall-c]\nstop_bound_s: 4\n"
      << "repeat_extra: " << Options.RepeatExtra << "\nversion_bound_ms: "
      << Options.VersionBound / std::chrono::milliseconds(1) << "\nseeds: [";
  for (std::size_t it = 0; it < Options.Seeds.size(); ++it)
    out << (it ? ", " : "") << '"' << Options.Seeds[it] << '"';
  out << "]\n";
  if (Options.RanksLoads)
    out << "decisions:\n  rank_loads: true\n";
  if (PeerLink)
    out << "advertised_peer_address: \"" << addressAt(PeerProxyPort) << "\"\n";
  out << Options.MoreSettings;
}

void SoakNode::start() {
  if (Pid > 0)
    return;
  auto config = "--config=" + Options.Folder + "/" + Options.Name + ".yaml";
  auto log = Options.Folder + "/" + Options.Name + ".log";
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // An inherited listener would keep accepting connections to a replica that
  // has ended.
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string gateway = "--gateway";
  char *args[] = {Options.Program.data(), gateway.data(), config.data(),
                  nullptr};
  int failed = 0;
  {
    // The process inherits the limit.
    DataLimit limit(Options.MaxDataBytes);
    failed = ::posix_spawn(&Pid, Options.Program.c_str(), &files, nullptr, args,
                           environ);
  }
  ::posix_spawn_file_actions_destroy(&files);
  if (failed)
    throw std::runtime_error("can't start " + Options.Program);
  Paused = Killed = false;
  StoppingSince.reset();
  record("node_started");
}

void SoakNode::kill() {
  if (Pid <= 0)
    return;
  record("killed");
  Killed = true;
  ::kill(Pid, SIGKILL);
}

void SoakNode::pause() {
  if (Pid <= 0 || Paused || isStopping())
    return;
  onDisturbance(true);
  Paused = true;
  ::kill(Pid, SIGSTOP);
}

void SoakNode::resume() {
  if (Pid <= 0 || !Paused)
    return;
  ::kill(Pid, SIGCONT);
  Paused = false;
  onDisturbance(false);
}

void SoakNode::onDisturbance(bool hasBegun) {
  if (hasBegun && Disturbances++ == 0)
    record("paused");
  if (!hasBegun && --Disturbances == 0)
    record("woken");
}

void SoakNode::terminate() {
  if (Pid <= 0 || Paused || Killed || isStopping())
    return;
  record("terminated");
  StoppingSince = TimerService::now();
  ::kill(Pid, SIGTERM);
}

void SoakNode::reload() {
  if (Pid > 0 && !isStopping())
    ::kill(Pid, SIGHUP);
}

void SoakNode::checkProcess() {
  if (Pid <= 0)
    return;
  // On a busy machine a process may exit this much later than the bound.
  constexpr auto ExitGrace = std::chrono::milliseconds(1500);
  int status = 0;
  if (::waitpid(Pid, &status, WNOHANG) == Pid)
    return onEnded(status);
  if (StoppingSince &&
      TimerService::now() - *StoppingSince > StopBound + ExitGrace)
    ::kill(Pid, SIGKILL);
}

void SoakNode::onEnded(int status) {
  Pid = 0;
  if (std::exchange(Paused, false))
    onDisturbance(false);
  if (StoppingSince && !Killed) {
    record("exited").Code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  } else if (!Killed) {
    ++UnexpectedEnds;
    // Its connections end as those of a killed node do, so callers see the same
    // failures.
    record("killed");
  }
  StoppingSince.reset();
}

} // namespace hemlockglade::soak
