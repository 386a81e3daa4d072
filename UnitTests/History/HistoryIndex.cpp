#include "UnitTests/History/HistoryIndex.h"

#include <algorithm>

namespace hemlockglade {

bool HistoryRun::hasReaderAt(Instant at) const {
  if (at < Ran->At || (End && End->At <= at))
    return false;
  auto changes = std::count_if(Detached.begin(), Detached.end(),
                               [at](Instant it) { return it <= at; });
  return changes % 2 == 0;
}

HistoryIndex::HistoryIndex(std::vector<HistoryEvent> events)
    : Events(std::move(events)) {
  // All processes use the same clock, and each writes its lines in order; the
  // stable sort keeps that order for equal times.
  std::stable_sort(Events.begin(), Events.end(),
                   [](const auto &a, const auto &b) { return a.At < b.At; });
  for (const auto &event : Events)
    link(event);
}

void HistoryIndex::link(const HistoryEvent &event) {
  const auto &kind = event.Event;
  if (kind == "sent") {
    auto &call = Calls[event.Sending];
    call.Sent = &event;
    CallByTag.try_emplace(event.Tag, &call);
  } else if (kind == "answered") {
    auto &call = Calls[event.Sending];
    ++call.Answers;
    call.Answered = &event;
  } else if (kind == "killed") {
    Killed.try_emplace(event.To, event.At);
  } else if (kind == "paused" || kind == "woken") {
    recordChange(Paused, event.To, kind == "paused", event.At);
  } else if (kind == "silent" || kind == "answering") {
    recordChange(Silent, event.Endpoint, kind == "silent", event.At);
  } else if (kind == "listed") {
    recordChange(Draining, event.Endpoint, event.Leaving, event.At);
  } else if (kind == "severed") {
    Severed[event.Endpoint].push_back(event.At);
  } else {
    linkRun(event);
  }
}

void HistoryIndex::linkRun(const HistoryEvent &event) {
  const auto &kind = event.Event;
  if (kind == "ran") {
    Runs.push_back({&event, nullptr, {}});
    RunByNumber[{event.Who, event.Run}] = &Runs.back();
    RunsByTag[event.Tag].push_back(&Runs.back());
    return;
  }
  auto it = RunByNumber.find({event.Who, event.Run});
  if (it == RunByNumber.end())
    return;
  if (kind == "finished" || kind == "cancelled" || kind == "cut")
    it->second->End = &event;
  else if (kind == "detached" || kind == "resumed")
    it->second->Detached.push_back(event.At);
}

void HistoryIndex::recordChange(IntervalMap &intervals, const std::string &name,
                                bool on, Instant at) {
  auto &list = intervals[name];
  bool open = !list.empty() && list.back().To == Instant::max();
  if (on && !open)
    list.push_back({at});
  else if (!on && open)
    list.back().To = at;
}

std::vector<HistoryInterval> HistoryIndex::find(const IntervalMap &intervals,
                                                const std::string &name) {
  auto it = intervals.find(name);
  return it == intervals.end() ? std::vector<HistoryInterval>() : it->second;
}

std::vector<const HistoryRun *>
HistoryIndex::runsOf(const std::string &tag) const {
  auto it = RunsByTag.find(tag);
  return it == RunsByTag.end() ? std::vector<const HistoryRun *>() : it->second;
}

const HistoryCall *HistoryIndex::firstCallOf(const std::string &tag) const {
  auto it = CallByTag.find(tag);
  return it == CallByTag.end() ? nullptr : it->second;
}

bool HistoryIndex::wasKilled(const std::string &address) const {
  return Killed.contains(address);
}

std::vector<HistoryInterval>
HistoryIndex::pausedIntervals(const std::string &address) const {
  return find(Paused, address);
}

std::vector<HistoryInterval>
HistoryIndex::silentIntervals(const std::string &endpoint) const {
  return find(Silent, endpoint);
}

std::vector<HistoryInterval>
HistoryIndex::drainingIntervals(const std::string &endpoint) const {
  return find(Draining, endpoint);
}

bool HistoryIndex::hasSeveredConnections(const std::string &endpoint,
                                         Instant from, Instant to) const {
  auto it = Severed.find(endpoint);
  return it != Severed.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](Instant at) { return from <= at && at <= to; });
}

} // namespace hemlockglade
