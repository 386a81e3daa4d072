#pragma once

#include "Hemlockglade/Transport/Http1/HttpCaller.h"
#include "UnitTests/Platform/Soak/SoakNode.h"
#include "UnitTests/Platform/Soak/SoakReplica.h"

#include <list>

namespace hemlockglade::soak {

/// Callers as the platform has them: they ask a node which address to use,
/// keep connections, check what they get, and at times leave.
class SoakCallers {
public:
  struct Counts {
    int Sent = 0;
    int Complete = 0;
    int Refused = 0;
    int Failed = 0;
    int Unknown = 0;
    int Left = 0;
    /// Refused for being beyond a limit.
    int Limited = 0;
    /// Revoked keys that were tried, and those of them that were let in.
    int RevokedTried = 0;
    int RevokedServed = 0;
  };

  SoakCallers(asio::io_context &context,
              std::list<std::unique_ptr<SoakNode>> &nodes, SoakHistory &history,
              std::uint64_t seed);

  /// Requests a second from now on.
  void setRate(double rate) { Rate = rate; }
  /// Newest version of the plan that the store has taken.
  void setPlan(std::uint64_t version) { Plan = version; }
  /// Time between sendings of a request that crashes replicas; none if 0.
  void setCrashingEvery(Span every) { CrashingEvery = every; }
  /// Callers belong to these workspaces and show their keys.
  void setWorkspaces(SoakWorkspaces *all) { Workspaces = all; }
  void start();
  void stop() { Going = false; }
  bool idle() const { return Open == 0; }
  const Counts &counts() const { return Seen; }
  /// The addresses that callers were last named.
  const std::vector<std::string> &named() const { return Known.All; }

private:
  struct Sending;
  struct Addresses {
    std::vector<std::string> All;
    Instant AskedAt{};
    Span TimeToLive{0};
  };

  void next();
  void ask();
  void send();
  /// One caller sends the same request again and again, to any gateway.
  void sendCrashing();
  void probe(SoakNode &node);
  void probeAll();
  /// Shows a key that the plan in force has taken away.
  void probeRevoked(SoakNode &node);
  void addKey(HttpRequestHead &head, const std::string &workspace) const;
  std::shared_ptr<Sending> draw();
  void onHead(Sending &sending, const HttpAnswerHead &head);
  void finish(const std::shared_ptr<Sending> &sending, std::string outcome,
              std::string fault = "");
  void onDone(const std::shared_ptr<Sending> &sending);
  std::string nameOf(const std::string &address) const;

  asio::io_context &Context;
  std::list<std::unique_ptr<SoakNode>> &Nodes;
  SoakHistory &History;
  SoakWorkspaces *Workspaces = nullptr;
  TimerService Timers;
  HttpPool Pool;
  HttpCaller Asking;
  std::mt19937_64 Random;
  Addresses Known;
  double Rate = 40;
  Span CrashingEvery{0};
  /// Of its own, so that what else a seed draws stays as it is.
  std::mt19937_64 CrashingRandom;
  std::uint64_t Plan = 0;
  bool Going = false;
  int Open = 0;
  std::uint64_t Number = 0;
  Counts Seen;
  std::vector<TimerService::Subscription> Subscriptions;
};

} // namespace hemlockglade::soak
