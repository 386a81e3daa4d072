#pragma once

#include "Bench/Core/Checker.h"
#include "Bench/Core/FakeEngine.h"
#include "Bench/Core/ResidencyClock.h"
#include "Bench/Core/Trace.h"

namespace hemlockglade::bench {

/// Connects the callers to the policy.
struct FakeCallersHooks {
  std::function<void(const RequestArrived &)> Send;
  /// Called when an attempt has ended and its place in the batch is free.
  std::function<void(RequestKey)> Release;
};

/// The callers and the entries that they send to. Callers send the requests of
/// the trace and retry refused ones after the given delay; entries retry
/// attempts that didn't run or are repeatable. Records how each request ended.
class FakeCallers {
public:
  FakeCallers(VirtualLoop &loop, const Workload &workload, const Trace &trace,
              const ResidencyClock &residency, Checker &checker,
              std::uint64_t seed, FakeCallersHooks hooks);

  /// Schedules all requests of the trace.
  void start();

  /// Returns the data with which an engine runs an attempt.
  EngineRequest engineRequest(RequestKey attempt) const;

  /// Called when the policy admits an attempt.
  void admitted(RequestKey attempt);
  /// Called when the policy refuses an attempt.
  void refused(RequestKey attempt, Span retryAfter);
  /// Called when the engine refuses an attempt before running it.
  void notRun(RequestKey attempt);
  void firstToken(RequestKey attempt);
  void finished(RequestKey attempt);
  /// Called when the engine breaks off a running attempt.
  void broken(RequestKey attempt);

  /// Called when the owner has been replaced: sends all waiting requests to the
  /// new one.
  void resendWaiting();

  /// Number of requests that have not ended.
  std::size_t pending() const { return Pending; }

  /// Adds the results of all requests to the figures.
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
    /// Whether an attempt that may have run was broken off.
    bool MayHaveRun = false;
    /// The attempt that waits for the policy's decision, or 0.
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
  Checker &Correctness;
  Random Draw;
  FakeCallersHooks Hooks;
  std::vector<State> States;
  std::size_t Pending;
  /// Index of the request of each attempt; attempt 0 is unused.
  std::vector<std::size_t> Attempts{0};
};

} // namespace hemlockglade::bench
