#pragma once

#include "UnitTests/Platform/Soak/SoakCallers.h"

#include <asio/signal_set.hpp>
#include <csignal>

namespace hemlockglade::soak {

/// A deployment on loopback: real gateways, and stand-ins for all else. Does
/// what the seed says to it.
class SoakWorld {
public:
  struct Settings {
    std::string Program;
    std::string Folder;
    std::uint64_t Seed = 1;
    int Nodes = 6;
    int Engines = 6;
    /// Requests a second.
    double Rate = 40;
    /// Mean time between two faults; they overlap.
    Span FaultEvery = std::chrono::milliseconds(700);
    /// Mean time between two losses of all that callers were last named; none
    /// if 0.
    Span EntriesEvery{0};
    /// Time between sendings of a request that crashes replicas; none if 0.
    Span CrashingEvery{0};
    /// Mean time between returns of the store as it was before; none if 0.
    Span DrillEvery{0};
    /// Time between names of new versions of few adapters; none if 0. Then
    /// engines also hold requests back and carry orders out late.
    Span NamesEvery{0};
    /// Time within which requests must begin on weights that were named newer.
    Span VersionBound = std::chrono::seconds(5);
    /// Callers belong to workspaces, with keys that each plan changes; one of
    /// them sends far beyond its limit.
    bool Workspaces = false;
    /// Time after the last fault until the deployment must serve again.
    Span Recovery = std::chrono::seconds(12);
    SoakReplica::Plant Planted = SoakReplica::Plant::None;
  };

  explicit SoakWorld(Settings settings);
  ~SoakWorld();

  /// Plays for so long with faults, then heals everything and plays on until
  /// the deployment must serve again.
  void play(Span faulty);

  SoakHistory &history() { return History; }
  const SoakCallers::Counts &counts() const { return Callers.counts(); }
  /// Requests of the quiet end, and those of them that were complete.
  std::pair<int, int> quietEnd() const { return Quiet; }
  /// Times that a gateway ended by itself.
  int selfEnds() const;
  /// What replicas saw of workspaces; null if there are none.
  const SoakWorkspaces *workspaces() const {
    return Setup.Workspaces ? &Workspaces : nullptr;
  }
  /// Revoked keys that were tried at the quiet end, and how many were served.
  std::pair<int, int> quietRevoked() const { return QuietRevoked; }
  /// When replicas began to run the request that crashes them.
  const std::vector<Instant> &crashes() const { return Crashes; }

private:
  std::string takeNetwork();
  /// Whether nothing listens where the first gateway is to.
  bool isFree(const std::string &network);
  void buildNodes();
  void buildReplicas();
  void runFor(Span span);
  void nextFault();
  void fault();
  void nodeFault(SoakNode &node) { nodeFault(node, Random() % 4); }
  void nodeFault(SoakNode &node, std::uint64_t kind);
  void nextEntriesFault();
  /// Loses, in one way, all gateways that callers were last named.
  void entriesFault();
  void storeFault();
  void nextDrill();
  /// The store is away for a moment and comes back some seconds older.
  void drill();
  void linkFault();
  void replicaFault(SoakReplica &replica);
  /// What an operator does: names a new plan. While the store doesn't answer
  /// it is confirmed, and counts, as soon as the store does.
  void changePlan();
  void declare();
  void declareVersion(std::uint64_t number);
  void nextName();
  void nameFault();
  void heal();
  void outage();
  void say(const std::string &what);
  Span upTo(Span span) {
    return Span(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(span.count())));
  }
  template <typename T> T &oneOf(std::list<std::unique_ptr<T>> &all) {
    return **std::next(all.begin(),
                       static_cast<std::ptrdiff_t>(Random() % all.size()));
  }
  void storeMood(SoakStore::Mood mood);

  Settings Setup;
  std::mt19937_64 Random;
  /// Of its own, so that what else a seed draws stays as it is.
  std::mt19937_64 EntriesRandom;
  std::mt19937_64 DrillRandom;
  std::mt19937_64 NamesRandom;
  asio::io_context Context;
  TimerService Timers;
  /// Holds the soak's loopback network.
  asio::ip::tcp::acceptor Network{Context};
  /// Ends the gateways with a soak that is told to end.
  asio::signal_set Ends{Context, SIGTERM, SIGINT, SIGHUP};
  SoakHistory History;
  SoakStore Store;
  SoakWorkspaces Workspaces{Setup.Seed};
  std::list<std::unique_ptr<SoakNode>> Nodes;
  std::list<std::unique_ptr<SoakReplica>> Replicas;
  SoakCallers Callers;
  bool Faulty = false;
  bool Naming = false;
  bool StoreDisturbed = false;
  bool PlanWaits = false;
  std::uint64_t Plan = 0;
  std::map<std::string, std::uint32_t> Versions;
  std::pair<int, int> Quiet{0, 0};
  std::pair<int, int> QuietRevoked{0, 0};
  std::vector<Instant> Crashes;
  TimerService::Subscription Looking;
};

} // namespace hemlockglade::soak
