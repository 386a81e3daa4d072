#pragma once

#include "Hemlockglade/Transport/Http1/HttpCaller.h"
#include "UnitTests/Platform/Soak/SoakNode.h"
#include "UnitTests/Platform/Soak/SoakReplica.h"

#include <list>

namespace hemlockglade::soak {

/// A stand-in for the platform's callers: they query a node's directory for
/// addresses, reuse connections, check the answers, and abort some requests.
class SoakCallers {
public:
  struct Counts {
    int Sent = 0;
    int Complete = 0;
    int Refused = 0;
    int Failed = 0;
    int Unknown = 0;
    int Aborted = 0;
    /// Refused because a workspace was over its limit.
    int Limited = 0;
    /// Requests sent with a revoked key, and those of them that were served.
    int RevokedSent = 0;
    int RevokedServed = 0;
  };

  SoakCallers(asio::io_context &context,
              std::list<std::unique_ptr<SoakNode>> &nodes, SoakHistory &history,
              std::uint64_t seed);

  /// Sets the request rate, per second.
  void setRate(double rate) { Rate = rate; }
  /// Sets the newest version of the plan that the store has accepted.
  void setPlan(std::uint64_t version) { Plan = version; }
  /// Sets the interval between requests that crash replicas; none are sent if
  /// 0.
  void setCrashingInterval(Span interval) { CrashingInterval = interval; }
  /// Sets the interval between requests with a part in their prompts that
  /// crashes replicas; none are sent if 0.
  void setCrashingPartInterval(Span interval) {
    CrashingPartInterval = interval;
  }
  /// Makes callers send the keys of these workspaces; not owned.
  void setWorkspaces(SoakWorkspaces *all) { Workspaces = all; }
  /// Sends one in three requests to one of these addresses, as callers that
  /// keep an address do; none if empty.
  void setKeptAddresses(std::vector<std::string> addresses) {
    KeptAddresses = std::move(addresses);
  }
  /// Has half of the requests for engines ask for this adapter, by its number;
  /// none if 0.
  void setHotAdapter(int number) { HotAdapter = number; }
  /// Sets how the number of engines is found that serve a software version.
  void setServingCount(std::function<int(const std::string &software)> hook) {
    ServingCount = std::move(hook);
  }
  void start();
  void stop() { Running = false; }
  bool isIdle() const { return OpenCalls == 0; }
  const Counts &counts() const { return Totals; }
  /// Returns the addresses that the directory last returned.
  const std::vector<std::string> &knownAddresses() const { return Targets.All; }

private:
  struct Call;
  struct StreamState;
  struct Addresses {
    std::vector<std::string> All;
    Instant AskedAt{};
    Span TimeToLive{0};
  };

  void sendNext();
  void queryDirectory();
  void send(const std::shared_ptr<Call> &it);
  /// Reads the events of a stream's request that has ended, and takes the
  /// stream up at another gateway if it is incomplete. Returns whether there
  /// were events.
  bool onStreamEnd(const std::shared_ptr<Call> &call, bool wasLost);
  void takeUp(const std::shared_ptr<StreamState> &stream);
  /// Whether two engines serve the software version of a stream.
  bool isServed(const StreamState &stream) const;
  /// Sends the request that crashes replicas, always the same one, to a random
  /// gateway.
  void sendCrashingRequest();
  /// Sends a request with the part that crashes replicas, which is like no
  /// other request, to a random gateway.
  void sendCrashingPart();
  void sendHarmful(const std::string &target, const std::string &parts);
  void probePlan(SoakNode &node);
  void probeNodes();
  /// Sends a request with a key that the plan in force has revoked.
  void probeRevokedKey(SoakNode &node);
  void addKey(HttpRequestHead &head, const std::string &workspace) const;
  std::shared_ptr<Call> drawCall();
  void onHead(Call &call, const HttpAnswerHead &head);
  void finish(const std::shared_ptr<Call> &call, std::string outcome,
              std::string fault = "");
  void onDone(const std::shared_ptr<Call> &call);
  std::string nodeNameOf(const std::string &address) const;

  asio::io_context &Context;
  std::list<std::unique_ptr<SoakNode>> &Nodes;
  SoakHistory &History;
  SoakWorkspaces *Workspaces = nullptr;
  TimerService Timers;
  HttpPool Pool;
  HttpCaller DirectoryCaller;
  std::mt19937_64 Random;
  Addresses Targets;
  std::vector<std::string> KeptAddresses;
  std::function<int(const std::string &software)> ServingCount;
  double Rate = 40;
  Span CrashingInterval{0};
  Span CrashingPartInterval{0};
  /// A separate generator, so that its use doesn't change what the same seed
  /// draws elsewhere.
  std::mt19937_64 CrashingRandom;
  std::mt19937_64 HotRandom;
  int HotAdapter = 0;
  std::uint64_t Plan = 0;
  bool Running = false;
  int OpenCalls = 0;
  std::uint64_t LastId = 0;
  Counts Totals;
  std::vector<TimerService::Subscription> Subscriptions;
};

} // namespace hemlockglade::soak
