#include "Bench/Core/FakeCallers.h"

#include <algorithm>

namespace hemlockglade::bench {

namespace {

constexpr std::uint32_t MaxEntryRetries = 3;
constexpr Span EntryRetryDelay = std::chrono::milliseconds(50);
constexpr Span MinCallerDelay = std::chrono::milliseconds(500);
/// Callers don't retry if they are to wait longer than this.
constexpr Span MaxCallerDelay = std::chrono::seconds(120);
constexpr Span ResendDelay = std::chrono::milliseconds(200);

} // namespace

FakeCallers::FakeCallers(VirtualLoop &loop, const Workload &workload,
                         const Trace &trace, const ResidencyClock &residency,
                         Checker &checker, std::uint64_t seed,
                         FakeCallersHooks hooks)
    : Loop(loop), Work(workload), Requests(trace), Residency(residency),
      Correctness(checker), Draw(seed), Hooks(std::move(hooks)),
      States(trace.Requests.size()), Pending(States.size()) {}

void FakeCallers::start() {
  for (std::size_t it = 0; it < Requests.Requests.size(); ++it) {
    const auto &request = Requests.Requests[it];
    Loop.at(request.At, [this, it, &request] {
      States[it].AbsentAtArrival =
          Residency.absent(request.Adapter, Loop.now());
      States[it].Due = Loop.now() + seconds(classOf(it).DeadlineS);
      send(it, false);
    });
  }
}

EngineRequest FakeCallers::engineRequest(RequestKey attempt) const {
  const auto &request = Requests.Requests[indexOf(attempt)];
  return {attempt, request.Adapter, request.PrefixHash, request.PromptTokens,
          request.Tokens};
}

void FakeCallers::send(std::size_t index, bool retry) {
  const auto &request = Requests.Requests[index];
  RequestKey attempt = Attempts.size();
  Attempts.push_back(index);
  States[index].Waiting = attempt;
  Correctness.asked(attempt);
  RequestArrived event;
  event.Request = attempt;
  event.Adapter = request.Adapter;
  event.Priority = classOf(index).Priority;
  event.Deadline = States[index].Due;
  event.PrefixHash = request.PrefixHash;
  event.PromptTokens = request.PromptTokens;
  event.Caller = request.Caller;
  event.Retry = retry;
  Hooks.Send(event);
}

void FakeCallers::admitted(RequestKey attempt) {
  std::size_t index = indexOf(attempt);
  auto &state = States[index];
  state.Waiting = 0;
  AdapterKey adapter = Requests.Requests[index].Adapter;
  state.Stall = Residency.absent(adapter, Loop.now()) - state.AbsentAtArrival;
}

void FakeCallers::refused(RequestKey attempt, Span retryAfter) {
  std::size_t index = indexOf(attempt);
  auto &state = States[index];
  admitted(attempt);
  bool retries = retryAfter <= MaxCallerDelay && !state.MayHaveRun &&
                 state.CallerRetries < classOf(index).CallerRetries;
  if (!retries)
    return end(index, state.MayHaveRun ? Status::Unknown : Status::NotRun);
  ++state.CallerRetries;
  Span wait = std::max(retryAfter, MinCallerDelay);
  // Callers retry after the given delay plus up to a quarter of it.
  wait += seconds(toSeconds(wait) * Draw.uniform() / 4);
  Loop.after(wait, [this, index] {
    States[index].Due = Loop.now() + seconds(classOf(index).DeadlineS);
    send(index, true);
  });
}

void FakeCallers::notRun(RequestKey attempt) {
  Hooks.Release(attempt);
  std::size_t index = indexOf(attempt);
  if (States[index].EntryRetries < MaxEntryRetries)
    return retryAtEntry(index);
  end(index, States[index].MayHaveRun ? Status::Unknown : Status::NotRun);
}

void FakeCallers::firstToken(RequestKey attempt) {
  States[indexOf(attempt)].FirstAt = Loop.now();
}

void FakeCallers::finished(RequestKey attempt) {
  Hooks.Release(attempt);
  std::size_t index = indexOf(attempt);
  Correctness.completed(index);
  end(index, Status::Complete);
}

void FakeCallers::broken(RequestKey attempt) {
  Hooks.Release(attempt);
  std::size_t index = indexOf(attempt);
  auto &state = States[index];
  state.MayHaveRun = true;
  bool mustRetry = state.FirstAt == Instant{} && classOf(index).Repeatable &&
                   state.EntryRetries < MaxEntryRetries &&
                   Loop.now() < state.Due;
  if (mustRetry)
    return retryAtEntry(index);
  end(index, Status::Unknown);
}

void FakeCallers::resendWaiting() {
  for (std::size_t it = 0; it < States.size(); ++it) {
    if (!States[it].Waiting)
      continue;
    Correctness.withdrawn(States[it].Waiting);
    States[it].Waiting = 0;
    Loop.after(ResendDelay, [this, it] { send(it, false); });
  }
}

void FakeCallers::retryAtEntry(std::size_t index) {
  ++States[index].EntryRetries;
  Loop.after(EntryRetryDelay, [this, index] { send(index, true); });
}

void FakeCallers::end(std::size_t index, Status status) {
  Pending -= States[index].End == Status::Pending;
  States[index].End = status;
}

const CallerClass &FakeCallers::classOf(std::size_t index) const {
  return Work.Classes[Requests.Requests[index].Class];
}

void FakeCallers::report(Figures &out) const {
  out.Requests = States.size();
  out.Attempts = Attempts.size() - 1;
  for (std::size_t it = 0; it < States.size(); ++it) {
    const auto &state = States[it];
    double stall = toSeconds(state.Stall);
    double deadline = classOf(it).DeadlineS;
    ++out.Classes[classOf(it).Name].Requests;
    if (state.End == Status::Complete) {
      double first = toSeconds(state.FirstAt - Requests.Requests[it].At);
      ++out.Answered;
      out.InTime += first <= deadline;
      out.Classes[classOf(it).Name].InTime += first <= deadline;
      out.Stalls.push_back(stall);
      out.FirstTokens.push_back(first);
      out.PenalisedStalls.push_back(stall);
      continue;
    }
    out.PenalisedStalls.push_back(std::max(stall, deadline));
    out.Lost += state.End == Status::Pending;
    out.Unknown += state.End == Status::Unknown;
    out.RefusedNotRun += state.End == Status::NotRun;
    if (state.End == Status::NotRun)
      out.RefusedStalls.push_back(stall);
  }
}

} // namespace hemlockglade::bench
