#pragma once

#include "UnitTests/Coordination/Orders/PlacementWorld.h"

#include <deque>
#include <functional>
#include <list>
#include <random>

namespace hemlockglade::test {

/// One failure domain of a deployment of 10,000 adapters, whose weight store
/// loads fewer adapters than requests ask for. Engines take a fixed time for
/// each prefill; requests wait in order for an engine that has their adapter.
struct ScarceLoads : PlacementWorld {
  static constexpr int Replicas = 30;
  static constexpr std::uint32_t AdapterSlots = 9;
  static constexpr std::size_t RequestSlots = 16;
  static constexpr int Adapters = 10'000;
  static constexpr int HotAdapter = Adapters + 1;
  static constexpr auto Step = std::chrono::milliseconds(10);
  static constexpr auto PrefillTime = std::chrono::milliseconds(51);
  static constexpr auto StreamTime = std::chrono::milliseconds(450);
  static constexpr auto TargetLatency = std::chrono::milliseconds(600);
  static constexpr auto HoldTime = std::chrono::milliseconds(2500);
  static constexpr auto LoadTime = std::chrono::milliseconds(288);
  /// Loads that the store serves at full speed, in the whole deployment and in
  /// other failure domains.
  static constexpr std::size_t FullSpeedLoads = 30;
  static constexpr std::size_t LoadsElsewhere = 20;
  /// Share of `LoadTime` for an adapter that the engine dropped recently.
  static constexpr int ReloadsPerLoad = 10;

  struct Request {
    int Adapter = 0;
    Instant ArrivedAt{};
    bool Begun = false;
  };

  /// What an engine does beside its orders.
  struct EngineState {
    Instant PrefillUntil{};
    std::map<WeightsRef, Instant> ReadyAt;
    std::set<WeightsRef> Dropped;
    /// End of each running request, by its weights.
    std::multimap<WeightsRef, Instant> Running;
  };

  explicit ScarceLoads(bool ranked, std::uint64_t seed = 1);

  /// Runs for a time at a rate of Zipf requests and one of requests for the hot
  /// adapter.
  void run(Span time, double rate, double hotRate = 0);

  /// Share of the requests that arrived in a time and could begin so early that
  /// their first event was in time; of one adapter if it is not 0.
  double inTimeShare(Instant from, Instant to, int number = 0) const;
  /// Returns the number of adapters that are asked for at least four times in
  /// the 8 s from `from` on, and of those for which none of these requests ever
  /// began.
  std::pair<std::size_t, std::size_t> starved(Instant from) const;

  /// Whether an order evicted an adapter in use.
  bool EvictedInUse = false;
  std::size_t MaxHeld = 0;
  /// Called once a step, before the plan.
  std::function<void()> OnStep;

private:
  void arrive(int number);
  void endRequests();
  void beginRequests();
  bool beginAt(Request &request);
  /// Reports that `n` requests wait for an adapter.
  void report(int number, std::uint32_t n);
  void plan();
  void execute(const PlacementAction &action);
  std::size_t loading() const;

  std::mt19937_64 Random;
  std::discrete_distribution<int> Zipf;
  double Due = 0;
  double HotDue = 0;
  std::deque<Request> Requests;
  /// Indices of the requests that wait, in order of arrival.
  std::list<std::size_t> WaitingRequests;
  std::map<int, Instant> ReportedAt;
  /// Whether each request began in time.
  std::vector<bool> InTime;
  std::map<std::string, EngineState> States;
};

} // namespace hemlockglade::test
