#include "UnitTests/Platform/Soak/SoakNode.h"

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
    : Setup(std::move(settings)), History(history), Link(context, storePort) {
  writeSettings();
}

SoakNode::~SoakNode() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

HistoryEvent &SoakNode::note(std::string event) {
  auto &out = History.note("soak", std::move(event));
  out.To = Setup.Name;
  return out;
}

void SoakNode::writeSettings() const {
  std::ofstream out(Setup.Folder + "/" + Setup.Name + ".yaml");
  out << "name: " << Setup.Name << "\nfailure_domain: " << Setup.FailureDomain
      << "\naddress: " << Setup.Address
      << "\npeer_port: " << Setup.FirstPort + 4 << "\ncaller_address: \""
      << at(0) << "\"\nreadiness_address: \"" << at(1)
      << "\"\ndirectory_address: \"" << at(2) << "\"\nregistry_address: \""
      << Link.address()
      << "\"\nfailure_domains: [hall-a, hall-b, hall-c]\nstop_bound_s: 4\n"
      << "repeat_extra: 200\nversion_bound_ms: "
      << Setup.VersionBound / std::chrono::milliseconds(1) << "\nseeds: [";
  for (std::size_t it = 0; it < Setup.Seeds.size(); ++it)
    out << (it ? ", " : "") << '"' << Setup.Seeds[it] << '"';
  out << "]\n";
}

void SoakNode::start() {
  if (Pid > 0)
    return;
  auto config = "--config=" + Setup.Folder + "/" + Setup.Name + ".yaml";
  auto log = Setup.Folder + "/" + Setup.Name + ".log";
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // An inherited listener would go on accepting for a replica that has ended.
  ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  std::string gateway = "--gateway";
  char *args[] = {Setup.Program.data(), gateway.data(), config.data(), nullptr};
  int failed = ::posix_spawn(&Pid, Setup.Program.c_str(), &files, nullptr, args,
                             environ);
  ::posix_spawn_file_actions_destroy(&files);
  if (failed)
    throw std::runtime_error("can't start " + Setup.Program);
  Paused = Killed = false;
  StoppingSince.reset();
  note("node_started");
}

void SoakNode::kill() {
  if (Pid <= 0)
    return;
  note("killed");
  Killed = true;
  ::kill(Pid, SIGKILL);
}

void SoakNode::pause() {
  if (Pid <= 0 || Paused || stopping())
    return;
  disturb(true);
  Paused = true;
  ::kill(Pid, SIGSTOP);
}

void SoakNode::wake() {
  if (Pid <= 0 || !Paused)
    return;
  ::kill(Pid, SIGCONT);
  Paused = false;
  disturb(false);
}

void SoakNode::disturb(bool begins) {
  if (begins && Disturbed++ == 0)
    note("paused");
  if (!begins && --Disturbed == 0)
    note("woken");
}

void SoakNode::terminate() {
  if (Pid <= 0 || Paused || Killed || stopping())
    return;
  note("terminated");
  StoppingSince = TimerService::now();
  ::kill(Pid, SIGTERM);
}

void SoakNode::reload() {
  if (Pid > 0 && !stopping())
    ::kill(Pid, SIGHUP);
}

void SoakNode::look() {
  if (Pid <= 0)
    return;
  // A process that is killed or ends late on a busy machine has this long.
  constexpr auto Late = std::chrono::milliseconds(1500);
  int status = 0;
  if (::waitpid(Pid, &status, WNOHANG) == Pid)
    return ended(status);
  if (StoppingSince && TimerService::now() - *StoppingSince > StopBound + Late)
    ::kill(Pid, SIGKILL);
}

void SoakNode::ended(int status) {
  Pid = 0;
  if (std::exchange(Paused, false))
    disturb(false);
  if (StoppingSince && !Killed) {
    note("exited").Code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  } else if (!Killed) {
    ++SelfEnds;
    // Its connections end as those of a killed node do.
    note("killed");
  }
  StoppingSince.reset();
}

} // namespace hemlockglade::soak
