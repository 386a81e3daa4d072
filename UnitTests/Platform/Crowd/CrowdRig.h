#pragma once

#include "UnitTests/Platform/Crowd/CrowdSockets.h"
#include "UnitTests/Platform/Soak/LoopbackNetwork.h"
#include "UnitTests/Platform/Soak/ProcessMemory.h"
#include "UnitTests/Platform/Soak/SoakNode.h"
#include "UnitTests/Platform/Soak/SoakReplica.h"
#include "UnitTests/Transport/Http1/EndlessServer.h"

#include <filesystem>
#include <thread>

namespace hemlockglade::crowd {

using soak::MachineBytes;
using soak::peakMemoryOf;

std::size_t descriptorsOf(pid_t pid);
/// Returns whether a child process has not ended.
bool isAlive(pid_t pid);
/// Polls until the condition holds; false if it never does.
bool holdsInTime(const std::function<bool()> &condition);

/// A gateway process with the memory of the smallest machine, a replica and a
/// store. What stands in for the latter two runs on a thread of its own.
class CrowdRig {
public:
  struct Settings {
    /// Limits of callers' requests, of which times are so long that no client
    /// reaches them.
    std::size_t MaxHeadBytes = std::size_t{16} * 1024;
    std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
    /// Requests that the replica runs at a time, and the size of its answers
    /// beyond some bytes.
    std::uint32_t Slots = 8;
    std::size_t AnswerBytes = 0;
    /// Within it the gateway sends the replica more requests at a time.
    int TargetLatencyMs = 500;
    std::string MoreSettings;
    /// Replicas whose answers never end, each of a service of its own: number N
    /// is behind the routes `/plain-N/` and `/stream-N/`.
    std::vector<test::EndlessServer::Answer> Endless;
  };

  /// Returns once the gateway answers requests. Throws if it never does.
  explicit CrowdRig(Settings settings);
  CrowdRig() : CrowdRig(Settings()) {}
  ~CrowdRig();
  CrowdRig(const CrowdRig &) = delete;
  CrowdRig &operator=(const CrowdRig &) = delete;

  const soak::SoakNode &node() const { return *Node; }
  pid_t pid() const { return Node->pid(); }
  std::size_t descriptors() const { return descriptorsOf(pid()); }
  /// Sends an ordinary request on a new connection and returns its status; 0 if
  /// there is no answer.
  int callOrdinary();
  /// Returns the status of a request for addresses, or of a readiness check.
  int callDirectory() const;
  int callReadiness() const;
  /// Returns how many connections to replicas whose answers never end the
  /// gateway has ended, and the most bytes that were sent on one of them.
  std::pair<int, std::size_t> endedEndless();

private:
  void declarePlan(const Settings &settings);
  void registerEndless();

  asio::io_context Context;
  soak::LoopbackNetwork Network{Context};
  std::filesystem::path Folder;
  soak::SoakHistory History;
  soak::SoakStore Store{Context, 1};
  std::unique_ptr<soak::SoakReplica> Replica;
  std::vector<std::unique_ptr<test::EndlessServer>> Endless;
  std::unique_ptr<soak::SoakNode> Node;
  std::thread Thread;
  int LastId = 0;
};

} // namespace hemlockglade::crowd
