#include "UnitTests/History/HistoryChecker.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <set>

namespace hemlockglade {

namespace {

constexpr std::int64_t MinErrorStatus = 400;

void add(Verdict &verdict, std::string text,
         std::initializer_list<const HistoryEvent *> events) {
  Violation violation{std::move(text), {}};
  for (const auto *event : events) {
    if (event)
      violation.Lines.push_back(event->Line);
  }
  verdict.Violations.push_back(std::move(violation));
}

/// Whether a served `name@version` is the requested one. A request may leave
/// out the version.
bool matchesRequested(const std::string &served, const std::string &asked) {
  return served == asked || (asked.find('@') == std::string::npos &&
                             served.starts_with(asked + '@'));
}

bool overlaps(const HistoryInterval &interval, Instant from, Instant to) {
  return interval.From <= to && from < interval.To;
}

bool anyOverlaps(const std::vector<HistoryInterval> &intervals, Instant from,
                 Instant to) {
  return std::any_of(intervals.begin(), intervals.end(),
                     [&](const auto &it) { return overlaps(it, from, to); });
}

} // namespace

std::string_view guaranteeName(Guarantee guarantee) {
  constexpr std::array<std::string_view, 9> Names{
      "right adapter and version",      "no eviction while serving",
      "whole answer to its own caller", "not-run is true",
      "not repeatable at most once",    "leaving endpoint gets no new work",
      "graceful stop cuts nothing",     "configuration never reverts",
      "orders of one holder at a time"};
  return Names[static_cast<std::size_t>(guarantee)];
}

void print(std::ostream &out, const Verdict &verdict, std::size_t shown) {
  out << (verdict.Violations.empty() ? "held    " : "BROKEN  ")
      << guaranteeName(verdict.Which) << ": " << verdict.Examined
      << " examined, " << verdict.Violations.size() << " violations\n";
  for (std::size_t it = 0; it < std::min(shown, verdict.Violations.size());
       ++it) {
    out << "  " << verdict.Violations[it].Text << '\n';
    for (const auto &line : verdict.Violations[it].Lines)
      out << "    " << line << '\n';
  }
}

HistoryChecker::HistoryChecker(std::vector<HistoryEvent> events,
                               HistoryBounds bounds)
    : Index(std::move(events)), Bounds(bounds) {}

std::vector<Verdict> HistoryChecker::check() const {
  std::vector<Verdict> out(9);
  for (std::size_t it = 0; it < out.size(); ++it)
    out[it].Which = static_cast<Guarantee>(it);
  auto verdictOf = [&out](Guarantee it) -> Verdict & {
    return out[static_cast<std::size_t>(it)];
  };
  checkAdapter(verdictOf(Guarantee::CorrectAdapter));
  checkResidency(verdictOf(Guarantee::CorrectAdapter));
  checkEvictions(verdictOf(Guarantee::NoEvictionWhileServing));
  checkAnswers(verdictOf(Guarantee::CompleteAnswer));
  checkNotRun(verdictOf(Guarantee::NotRunMeansNotRun));
  checkAtMostOnce(verdictOf(Guarantee::AtMostOnce));
  checkDrainingEndpoints(verdictOf(Guarantee::DrainingEndpoint));
  checkGracefulStops(verdictOf(Guarantee::GracefulStop));
  checkNeverReverts(verdictOf(Guarantee::ConfigurationNeverReverts));
  checkInForceInTime(verdictOf(Guarantee::ConfigurationNeverReverts));
  checkOneChangePerRevision(verdictOf(Guarantee::ConfigurationNeverReverts));
  checkSingleHolder(verdictOf(Guarantee::SingleHolder));
  return out;
}

std::vector<const HistoryEvent *>
HistoryChecker::eventsOf(std::string_view kind) const {
  std::vector<const HistoryEvent *> out;
  for (const auto &event : Index.events()) {
    if (event.Event == kind)
      out.push_back(&event);
  }
  return out;
}

bool HistoryChecker::wasTerminated(const HistoryEvent &answer) const {
  auto all = eventsOf("terminated");
  return std::any_of(all.begin(), all.end(), [&](const auto *it) {
    return it->To == answer.To && it->At <= answer.At;
  });
}

bool HistoryChecker::wasEverCurrent(const std::string &adapter,
                                    Instant at) const {
  auto split = adapter.rfind('@');
  auto changes = eventsOf("applying");
  if (changes.empty())
    return true;
  return std::any_of(changes.begin(), changes.end(), [&](const auto *change) {
    auto it = change->Current.find(adapter.substr(0, split));
    return change->At <= at && it != change->Current.end() &&
           std::to_string(it->second) == adapter.substr(split + 1);
  });
}

void HistoryChecker::checkAdapter(Verdict &verdict) const {
  for (const auto &run : Index.runs()) {
    const auto *call = Index.firstCallOf(run.Ran->Tag);
    if (!call || call->Sent->Adapter.empty())
      continue;
    ++verdict.Examined;
    const auto &asked = call->Sent->Adapter;
    const auto &served = run.Ran->Adapter;
    if (!matchesRequested(served, asked))
      add(verdict,
          std::string("asked ")
              .append(asked)
              .append(", ran on ")
              .append(served),
          {call->Sent, run.Ran});
    else if (served != asked && !wasEverCurrent(served, run.Ran->At))
      add(verdict, served + " was never the current version",
          {call->Sent, run.Ran});
  }
  for (const auto &[name, call] : Index.calls()) {
    if (!call.Sent || !call.Answered || call.Answered->Outcome != "complete" ||
        call.Answered->Status >= MinErrorStatus)
      continue;
    if (!matchesRequested(call.Answered->Adapter, call.Sent->Adapter))
      add(verdict, "answered by " + call.Answered->Adapter,
          {call.Sent, call.Answered});
  }
}

void HistoryChecker::checkResidency(Verdict &verdict) const {
  std::map<std::string, std::set<std::string>> resident;
  for (const auto &event : Index.events()) {
    if (event.Event == "started" || event.Event == "restarted")
      resident[event.Who].clear();
    else if (event.Event == "loaded")
      resident[event.Who].insert(event.Adapter);
    else if (event.Event == "evicted")
      resident[event.Who].erase(event.Adapter);
    else if (event.Event == "ran" && !event.Adapter.empty() &&
             !resident[event.Who].contains(event.Adapter))
      add(verdict, event.Adapter + " ran where it isn't loaded", {&event});
  }
}

void HistoryChecker::checkEvictions(Verdict &verdict) const {
  std::map<std::pair<std::string, std::string>, std::vector<const HistoryRun *>>
      runs;
  for (const auto &run : Index.runs())
    runs[{run.Ran->Who, run.Ran->Adapter}].push_back(&run);
  for (const auto *evicted : eventsOf("evicted")) {
    ++verdict.Examined;
    for (const auto *run : runs[{evicted->Who, evicted->Adapter}]) {
      if (run->hasReaderAt(evicted->At))
        add(verdict, evicted->Adapter + " was evicted while it served",
            {run->Ran, evicted, run->End});
    }
  }
}

void HistoryChecker::checkAnswers(Verdict &verdict) const {
  std::set<std::string> done;
  for (const auto *event : eventsOf("done"))
    done.insert(event->Who);
  for (const auto &[name, call] : Index.calls()) {
    if (!call.Sent) {
      add(verdict, "an answer to nothing", {call.Answered});
      continue;
    }
    if (call.Answered)
      checkAnswer(call, verdict);
    else if (done.contains(call.Sent->Who))
      add(verdict, "never answered", {call.Sent});
  }
}

void HistoryChecker::checkAnswer(const HistoryCall &call,
                                 Verdict &verdict) const {
  const auto &answer = *call.Answered;
  ++verdict.Examined;
  if (call.Answers > 1)
    add(verdict, "answered twice", {call.Sent, &answer});
  if (!answer.Fault.empty())
    add(verdict, answer.Fault, {call.Sent, &answer});
  if (answer.Outcome == "none" && !Index.wasKilled(answer.To) &&
      !wasTerminated(answer))
    add(verdict, "no outcome from a node that lives", {call.Sent, &answer});
  if (answer.Outcome != "complete" || answer.Status >= MinErrorStatus)
    return;
  auto runs = Index.runsOf(answer.Tag);
  bool whole = std::any_of(runs.begin(), runs.end(), [&](const auto *run) {
    return run->End && run->End->Whole && run->End->Hash == answer.Hash;
  });
  if (!whole)
    add(verdict, "complete, but no endpoint gave this answer to this request",
        {call.Sent, &answer, runs.empty() ? nullptr : runs.back()->End});
}

void HistoryChecker::checkNotRun(Verdict &verdict) const {
  for (const auto &[name, call] : Index.calls()) {
    const auto *answer = call.Answered;
    if (!answer || answer->Outcome != "not-run")
      continue;
    ++verdict.Examined;
    for (const auto *run : Index.runsOf(answer->Tag)) {
      if (isRunOf(*run, *answer))
        add(verdict, "said not to have run, but ran",
            {call.Sent, run->Ran, answer});
    }
  }
}

/// Calls with one idempotency key share their tag; the request id that the
/// entry assigned distinguishes them. An answer without a request id is matched
/// with every run that no other call's answer is matched with.
bool HistoryChecker::isRunOf(const HistoryRun &run,
                             const HistoryEvent &answer) const {
  if (answer.Key.empty())
    return true;
  if (!answer.Request.empty())
    return run.Ran->Request == answer.Request;
  const auto &all = Index.calls();
  return std::none_of(all.begin(), all.end(), [&](const auto &it) {
    const auto *other = it.second.Answered;
    return other && other->Tag == answer.Tag &&
           other->Request == run.Ran->Request;
  });
}

void HistoryChecker::checkAtMostOnce(Verdict &verdict) const {
  std::map<std::string, std::vector<const HistoryEvent *>> runs;
  for (const auto &[name, call] : Index.calls()) {
    if (call.Sent && !call.Sent->Key.empty())
      runs[call.Sent->Key];
  }
  for (const auto &run : Index.runs()) {
    const auto *call = Index.firstCallOf(run.Ran->Tag);
    const auto &key = call ? call->Sent->Key : run.Ran->Key;
    if (!key.empty())
      runs[key].push_back(run.Ran);
  }
  verdict.Examined = runs.size();
  for (const auto &[key, list] : runs) {
    if (list.size() > 1)
      add(verdict, key + " ran " + std::to_string(list.size()) + " times",
          {list[0], list[1]});
  }
}

void HistoryChecker::checkDrainingEndpoints(Verdict &verdict) const {
  for (const auto *event : eventsOf("listed"))
    verdict.Examined += event->Leaving;
  for (const auto &run : Index.runs()) {
    auto at = run.Ran->At;
    // While the host list is unavailable, nodes can't learn that the endpoint
    // is draining.
    if (anyOverlaps(Index.silentIntervals("platform"), at - Bounds.Draining,
                    at))
      continue;
    // A paused node can't receive the change.
    const auto *call = Index.firstCallOf(run.Ran->Tag);
    if (call && anyOverlaps(Index.pausedIntervals(call->Sent->To),
                            at - Bounds.Draining, at))
      continue;
    for (const auto &interval : Index.drainingIntervals(run.Ran->Who)) {
      if (interval.contains(at) && at > interval.From + Bounds.Draining)
        add(verdict, run.Ran->Who + " got new work while leaving", {run.Ran});
    }
  }
}

/// Whether the node was killed while it stopped, so that it could not exit by
/// itself.
bool HistoryChecker::wasKilledWhileStopping(const HistoryEvent &stop,
                                            const HistoryEvent *exit) const {
  auto kills = eventsOf("killed");
  return std::any_of(kills.begin(), kills.end(), [&](const auto *it) {
    return it->To == stop.To && it->At >= stop.At &&
           (!exit || it->At <= exit->At);
  });
}

void HistoryChecker::checkGracefulStops(Verdict &verdict) const {
  for (const auto *stop : eventsOf("terminated"))
    checkGracefulStop(*stop, verdict);
}

void HistoryChecker::checkGracefulStop(const HistoryEvent &stop,
                                       Verdict &verdict) const {
  ++verdict.Examined;
  HistoryInterval interval{stop.At, stop.At};
  const HistoryEvent *exit = nullptr;
  for (const auto *it : eventsOf("exited")) {
    if (it->To == stop.To)
      exit = it;
  }
  if (!wasKilledWhileStopping(stop, exit) && (!exit || exit->Code != 0))
    add(verdict, "no clean exit", {&stop, exit});
  if (exit)
    interval.To = exit->At;
  if (Index.wasKilled(stop.To))
    return;
  for (const auto &[name, call] : Index.calls()) {
    if (!call.Sent || !call.Answered || call.Sent->To != stop.To ||
        call.Answered->Outcome != "none" || call.Answered->At < stop.At)
      continue;
    const auto &sent = *call.Sent;
    if (sent.At < interval.To || sent.At <= sent.AskedAt + sent.TimeToLive)
      add(verdict, "cut by a planned stop",
          {&stop, &sent, call.Answered, exit});
  }
  checkCancelledRuns(interval, verdict);
}

void HistoryChecker::checkCancelledRuns(const HistoryInterval &stop,
                                        Verdict &verdict) const {
  for (const auto &run : Index.runs()) {
    if (!run.End || run.End->Event != "cancelled" ||
        !stop.contains(run.End->At) ||
        Index.hasSeveredConnections(run.Ran->Who, run.Ran->At, run.End->At))
      continue;
    const auto *call = Index.firstCallOf(run.Ran->Tag);
    if (!call || !call->Answered || Index.wasKilled(call->Sent->To) ||
        call->Answered->Outcome == "complete")
      continue;
    add(verdict, "cancelled during a planned stop",
        {run.Ran, run.End, call->Answered});
  }
}

void HistoryChecker::checkNeverReverts(Verdict &verdict) const {
  auto byAnswer = eventsOf("in_force");
  auto byQuestion = byAnswer;
  std::stable_sort(
      byQuestion.begin(), byQuestion.end(),
      [](const auto *a, const auto *b) { return a->AskedAt < b->AskedAt; });
  std::map<std::string, const HistoryEvent *> highest;
  std::size_t seen = 0;
  for (const auto *observation : byQuestion) {
    ++verdict.Examined;
    // Only revisions that were answered before this question was asked must
    // not be higher.
    for (; seen < byAnswer.size() && byAnswer[seen]->At < observation->AskedAt;
         ++seen) {
      auto &best = highest[byAnswer[seen]->To];
      if (!best || best->Revision < byAnswer[seen]->Revision)
        best = byAnswer[seen];
    }
    const auto *best = highest[observation->To];
    if (best && observation->Revision < best->Revision)
      add(verdict, "a node went back", {best, observation});
  }
}

/// Whether the node was paused or had just started, so that it can't have the
/// configuration in force yet.
bool HistoryChecker::isExcused(const HistoryEvent &observation) const {
  auto from = observation.AskedAt - Bounds.Configuration;
  if (anyOverlaps(Index.pausedIntervals(observation.To), from, observation.At))
    return true;
  auto starts = eventsOf("node_started");
  return std::any_of(starts.begin(), starts.end(), [&](const auto *it) {
    return it->To == observation.To && it->At > from;
  });
}

void HistoryChecker::checkInForceInTime(Verdict &verdict) const {
  auto accepted = eventsOf("accepted");
  const HistoryEvent *highest = nullptr;
  std::size_t seen = 0;
  auto observations = eventsOf("in_force");
  std::stable_sort(
      observations.begin(), observations.end(),
      [](const auto *a, const auto *b) { return a->AskedAt < b->AskedAt; });
  for (const auto *observation : observations) {
    for (; seen < accepted.size() &&
           accepted[seen]->At + Bounds.Configuration < observation->AskedAt;
         ++seen) {
      if (!highest || highest->Revision < accepted[seen]->Revision)
        highest = accepted[seen];
    }
    if (highest && observation->Revision < highest->Revision &&
        !isExcused(*observation))
      add(verdict, "an accepted configuration isn't in force",
          {highest, observation});
  }
}

void HistoryChecker::checkOneChangePerRevision(Verdict &verdict) const {
  std::map<std::uint64_t, const HistoryEvent *> changes;
  for (const auto *event : eventsOf("accepted")) {
    auto [it, added] = changes.try_emplace(event->Revision, event);
    if (!added && it->second->Change != event->Change)
      add(verdict, "two changes were accepted as one revision",
          {it->second, event});
  }
}

bool HistoryChecker::isJustResumed(const HistoryEvent &order) const {
  auto intervals = Index.pausedIntervals(order.Holder);
  return std::any_of(intervals.begin(), intervals.end(), [&](const auto &it) {
    return it.contains(order.At) ||
           (it.To <= order.At && order.At < it.To + Bounds.ResumeGrace);
  });
}

void HistoryChecker::checkSingleHolder(Verdict &verdict) const {
  std::map<std::string, const HistoryEvent *> last;
  for (const auto *order : eventsOf("ordered")) {
    ++verdict.Examined;
    auto &before = last[order->Who];
    if (before && order->Fence < before->Fence && !isJustResumed(*order))
      add(verdict, "an order with a lower fencing number", {before, order});
    bool holderChanged = before && order->Holder != before->Holder;
    if (holderChanged && order->At < before->At + Bounds.Lease &&
        !isJustResumed(*order))
      add(verdict, "two holders within a lease", {before, order});
    else if (holderChanged && order->Fence == before->Fence &&
             !isJustResumed(*order))
      add(verdict, "two holders of one fencing number", {before, order});
    before = order;
  }
  for (const auto *event : eventsOf("overloaded"))
    add(verdict, "an engine was told to hold more than it can", {event});
}

} // namespace hemlockglade
