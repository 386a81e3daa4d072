#pragma once

#include "Bench/Core/Checker.h"
#include "Bench/Core/FakeEngine.h"
#include "Bench/Core/ResidencyClock.h"
#include "Bench/Core/Trace.h"

namespace hemlockglade::bench {

/// How the callers' requests reach the policy.
struct FakeCallersHooks {
  std::function<void(const RequestArrived &)> Send;
  /// An attempt is over; its slot is free.
  std::function<void(RequestKey)> Release;
};

/// The callers and the entries that they ask: they make the trace's requests,
/// come back when told so, try again what was not run or may be repeated, and
/// note how each request ended.
class FakeCallers {
public:
  FakeCallers(VirtualLoop &loop, const Workload &workload, const Trace &trace,
              const ResidencyClock &residency, Checker &checker,
              std::uint64_t seed, FakeCallersHooks hooks);

  /// Makes all requests arrive at their time.
  void start();

  /// What an engine must know to run an attempt.
  EngineRequest engineRequest(RequestKey attempt) const;

  /// The policy admitted an attempt.
  void admitted(RequestKey attempt);
  /// The policy refused it.
  void refused(RequestKey attempt, Span retryAfter);
  /// The engine refused it before it ran.
  void notRun(RequestKey attempt);
  void firstToken(RequestKey attempt);
  void finished(RequestKey attempt);
  /// The engine broke it off.
  void broken(RequestKey attempt);

  /// The owner that was asked is gone: asks the next about all that wait.
  void askAgain();

  /// Requests that have not ended.
  std::size_t pending() const { return Pending; }

  /// Writes down how all requests ended.
  void report(Figures &out) const;

private:
  enum class Status : std::uint8_t { Pending, Complete, NotRun, Unknown };
  struct State {
    Status End = Status::Pending;
    Instant FirstAt{};
    Span AbsentAtArrival{};
    Span Stall{};
    std::uint32_t CallerRetries = 0;
    std::uint32_t EntryRetries = 0;
    /// An attempt that may have run was broken off.
    bool MayHaveRun = false;
    /// The attempt that the policy has not decided on, or 0.
    RequestKey Waiting = 0;
    Instant Due{};
  };

  void send(std::size_t index, bool retry);
  void retryAtEntry(std::size_t index);
  void end(std::size_t index, Status status);
  const CallerClass &classOf(std::size_t index) const;
  std::size_t indexOf(RequestKey attempt) const { return Attempts[attempt]; }

  VirtualLoop &Loop;
  const Workload &Work;
  const Trace &Requests;
  const ResidencyClock &Residency;
  Checker &Judge;
  Random Draw;
  FakeCallersHooks Hooks;
  std::vector<State> States;
  std::size_t Pending;
  /// Index of the request that an attempt belongs to; attempt 0 is none.
  std::vector<std::size_t> Attempts{0};
};

} // namespace hemlockglade::bench
