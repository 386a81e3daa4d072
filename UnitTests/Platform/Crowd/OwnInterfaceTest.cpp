// A crowd at a node without a registry, which serves callers by another server.

#include "UnitTests/Platform/Crowd/CrowdRig.h"
#include "UnitTests/Platform/Soak/DataLimit.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace hemlockglade::crowd {

namespace {

/// A node that has to stay within half of the memory that it may use: the
/// server survives failed allocations, so that more is no sign of an end. Its
/// platform is not there: it answers requests, and serves none.
class OwnNode {
public:
  OwnNode() {
    auto name =
        (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
    if (!::mkdtemp(name.data()))
      throw std::runtime_error("can't make a folder");
    Folder = name;
    std::ofstream(Folder / "node.yaml")
        << "name: n0\nfailure_domain: hall-a\nregion: north\n"
           "platform_url: http://127.0.0.1:9\n";
    std::string program = HEMLOCKGLADED;
    auto config = "--config=" + (Folder / "node.yaml").string();
    auto ports = "--port_file=" + (Folder / "ports").string();
    auto log = (Folder / "log").string();
    char *args[] = {program.data(), config.data(), ports.data(), nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    soak::DataLimit limit(2 * MachineBytes);
    ::posix_spawn(&Pid, program.c_str(), &files, nullptr, args, environ);
    ::posix_spawn_file_actions_destroy(&files);
  }
  ~OwnNode() {
    if (Pid > 0) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
    }
    std::error_code ec;
    std::filesystem::remove_all(Folder, ec);
  }
  OwnNode(const OwnNode &) = delete;
  OwnNode &operator=(const OwnNode &) = delete;

  pid_t pid() const { return Pid; }
  /// Returns the address for callers; empty until the node listens.
  std::string address() const {
    std::string port;
    std::ifstream(Folder / "ports") >> port;
    return port.empty() ? port : "127.0.0.1:" + port;
  }
  bool answers() const {
    return callOnce(address(),
                    "GET /directory HTTP/1.1\r\nHost: a\r\nConnection: "
                    "close\r\n\r\n")
               .find("the node is starting") != std::string::npos;
  }

private:
  std::filesystem::path Folder;
  pid_t Pid = 0;
};

} // namespace

TEST_CASE("a crowd of chunked bodies at the product's own interface",
          "[OwnInterface]") {
  OwnNode node;
  REQUIRE(holdsInTime([&] { return !node.address().empty(); }));
  REQUIRE(node.answers());
  auto before = descriptorsOf(node.pid());
  constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
  constexpr std::size_t Chunks = 120;
  CrowdSockets crowd(
      node.address(), 40,
      {"POST /v1/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       "10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n",
       Chunks,
       {}});
  crowd.send();
  CHECK(node.answers());
  CHECK(isAlive(node.pid()));
  auto peak = peakMemoryOf(node.pid());
  INFO("peak " << peak / 1024 << " KiB, sent " << crowd.sentBytes() / 1024
               << " KiB, open " << crowd.openCount());
  CHECK(peak > 0);
  CHECK(peak < MachineBytes);
  crowd.close();
  constexpr std::size_t SpareDescriptors = 16;
  CHECK(holdsInTime([&] {
    return !isAlive(node.pid()) ||
           descriptorsOf(node.pid()) <= before + SpareDescriptors;
  }));
  CHECK(node.answers());
}

} // namespace hemlockglade::crowd
