#include "Bench/Core/Trace.h"

#include "Bench/Core/VirtualLoop.h"

#include <algorithm>

namespace hemlockglade::bench {

namespace {

constexpr std::uint32_t MinTokens = 8;
constexpr std::uint32_t PrefixesPerAdapter = 4;
constexpr std::uint64_t PrefixFactor = 0x9e3779b97f4a7c15ULL;

/// Generates the requests of a run in the order of time.
class TraceMaker {
public:
  TraceMaker(const Workload &workload, std::uint64_t seed)
      : Work(workload), Draw(seed),
        Shares(workload.Adapters,
               static_cast<std::uint32_t>(workload.Adapters * workload.Idle),
               workload.Zipf, Draw) {}

  Trace make() {
    planExchanges();
    addSessions();
    for (const auto &fault : Work.Faults) {
      if (fault.Kind == FaultKind::Scan)
        addScan(fault);
    }
    std::stable_sort(Out.Requests.begin(), Out.Requests.end(),
                     [](const auto &a, const auto &b) { return a.At < b.At; });
    Out.Shares = Shares.changes();
    return std::move(Out);
  }

private:
  struct Exchange {
    Instant At{};
    std::size_t One = 0;
    std::size_t Other = 0;
  };

  void planExchanges() {
    for (const auto &fault : Work.Faults) {
      if (fault.Kind == FaultKind::Shift)
        planShift(fault);
      if (fault.Kind == FaultKind::Wake)
        planWake(fault);
    }
    std::stable_sort(Exchanges.begin(), Exchanges.end(),
                     [](const auto &a, const auto &b) { return a.At < b.At; });
  }

  /// Each rank, including the most popular one, gets another adapter with the
  /// same probability.
  void planShift(const Fault &fault) {
    for (std::size_t rank = 0; rank < Shares.ranks(); ++rank) {
      if (Draw.uniform() < fault.Value)
        Exchanges.push_back(
            {seconds(fault.AtS), rank, Draw.below(Shares.allRanks())});
    }
  }

  void planWake(const Fault &fault) {
    auto n = static_cast<std::size_t>(fault.Value * Work.Adapters);
    std::size_t idle = Shares.allRanks() - Shares.ranks();
    for (std::size_t it = 0; it < n && idle > 0; ++it) {
      Instant when = seconds(fault.AtS + Draw.uniform() * fault.ForS);
      std::size_t other = Shares.ranks() + it % idle;
      Exchanges.push_back({when, Draw.below(Shares.ranks()), other});
    }
  }

  double rateAt(double now) const {
    double rate = 0;
    for (const auto &point : Work.Rates) {
      if (point.AtS <= now)
        rate = point.Rate;
    }
    return rate;
  }

  double highestRate() const {
    double rate = 0;
    for (const auto &point : Work.Rates)
      rate = std::max(rate, point.Rate);
    return rate;
  }

  /// Adds sessions by thinning a Poisson process: draws arrivals at the highest
  /// rate, and accepts each with the ratio of the rate at its time to it.
  void addSessions() {
    double highest = highestRate() / Work.SessionRequests;
    double now = 0;
    while ((now += Draw.exponential(1 / highest)) < Work.DurationS) {
      applyExchanges(seconds(now));
      bool accepted = Draw.uniform() * highestRate() < rateAt(now);
      if (accepted)
        addSession(now);
    }
  }

  void applyExchanges(Instant now) {
    for (; Applied < Exchanges.size(); ++Applied) {
      const auto &it = Exchanges[Applied];
      if (it.At > now)
        return;
      Shares.exchange(it.One, it.Other, it.At);
    }
  }

  void addSession(double now) {
    AdapterKey adapter = Shares.draw(Draw);
    std::uint32_t kind = drawClass();
    std::uint64_t prefix =
        adapter * PrefixFactor + Draw.below(PrefixesPerAdapter) + 1;
    CallerKey caller = ++Callers;
    double continueProbability = 1 - 1 / Work.SessionRequests;
    do {
      add(now, adapter, kind, prefix, caller);
      now += Draw.exponential(Work.SessionGapS);
    } while (Draw.uniform() < continueProbability && now < Work.DurationS);
  }

  void addScan(const Fault &fault) {
    double now = fault.AtS;
    AdapterKey adapter = 0;
    while ((now += 1 / fault.Value) < fault.AtS + fault.ForS) {
      adapter = adapter % Work.Adapters + 1;
      auto lowest = static_cast<std::uint32_t>(Work.Classes.size() - 1);
      add(now, adapter, lowest, adapter * PrefixFactor, ++Callers);
    }
  }

  void add(double now, AdapterKey adapter, std::uint32_t kind,
           std::uint64_t prefix, CallerKey caller) {
    const auto &callerClass = Work.Classes[kind];
    Out.Requests.push_back({seconds(now), adapter, kind, prefix,
                            drawTokens(callerClass.PromptTokens),
                            drawTokens(callerClass.Tokens), caller});
  }

  std::uint32_t drawTokens(double mean) {
    return MinTokens +
           static_cast<std::uint32_t>(Draw.exponential(mean - MinTokens));
  }

  std::uint32_t drawClass() {
    double n = Draw.uniform();
    for (std::uint32_t it = 0; it + 1 < Work.Classes.size(); ++it) {
      n -= Work.Classes[it].Share;
      if (n < 0)
        return it;
    }
    return static_cast<std::uint32_t>(Work.Classes.size() - 1);
  }

  const Workload &Work;
  Random Draw;
  Popularity Shares;
  std::vector<Exchange> Exchanges;
  std::size_t Applied = 0;
  CallerKey Callers = 0;
  Trace Out;
};

} // namespace

Trace makeTrace(const Workload &workload, std::uint64_t seed) {
  return TraceMaker(workload, seed).make();
}

} // namespace hemlockglade::bench
