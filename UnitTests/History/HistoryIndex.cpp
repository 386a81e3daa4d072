#include "UnitTests/History/HistoryIndex.h"

#include <algorithm>

namespace hemlockglade {

bool HistoryRun::servesAt(Instant at) const {
  if (at < Ran->At || (End && End->At <= at))
    return false;
  auto changes = std::count_if(Detached.begin(), Detached.end(),
                               [at](Instant it) { return it <= at; });
  return changes % 2 == 0;
}

HistoryIndex::HistoryIndex(std::vector<HistoryEvent> events)
    : Events(std::move(events)) {
  // All processes read one clock, and each writes its lines in order.
  std::stable_sort(Events.begin(), Events.end(),
                   [](const auto &a, const auto &b) { return a.At < b.At; });
  for (const auto &event : Events)
    link(event);
}

void HistoryIndex::link(const HistoryEvent &event) {
  const auto &kind = event.Event;
  if (kind == "sent") {
    auto &sending = Sendings[event.Sending];
    sending.Sent = &event;
    SendingByTag.try_emplace(event.Tag, &sending);
  } else if (kind == "answered") {
    auto &sending = Sendings[event.Sending];
    ++sending.Answers;
    sending.Answered = &event;
  } else if (kind == "killed") {
    Killed.try_emplace(event.To, event.At);
  } else if (kind == "paused" || kind == "woken") {
    mark(Paused, event.To, kind == "paused", event.At);
  } else if (kind == "silent" || kind == "answering") {
    mark(Silent, event.Endpoint, kind == "silent", event.At);
  } else if (kind == "listed") {
    mark(Leaving, event.Endpoint, event.Leaving, event.At);
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

void HistoryIndex::mark(Spells &spells, const std::string &name, bool on,
                        Instant at) {
  auto &list = spells[name];
  bool open = !list.empty() && list.back().To == Instant::max();
  if (on && !open)
    list.push_back({at});
  else if (!on && open)
    list.back().To = at;
}

std::vector<HistorySpell> HistoryIndex::find(const Spells &spells,
                                             const std::string &name) {
  auto it = spells.find(name);
  return it == spells.end() ? std::vector<HistorySpell>() : it->second;
}

std::vector<const HistoryRun *>
HistoryIndex::runsOf(const std::string &tag) const {
  auto it = RunsByTag.find(tag);
  return it == RunsByTag.end() ? std::vector<const HistoryRun *>() : it->second;
}

const HistorySending *HistoryIndex::sendingOf(const std::string &tag) const {
  auto it = SendingByTag.find(tag);
  return it == SendingByTag.end() ? nullptr : it->second;
}

bool HistoryIndex::killed(const std::string &address) const {
  return Killed.contains(address);
}

std::vector<HistorySpell>
HistoryIndex::paused(const std::string &address) const {
  return find(Paused, address);
}

std::vector<HistorySpell>
HistoryIndex::silent(const std::string &endpoint) const {
  return find(Silent, endpoint);
}

std::vector<HistorySpell>
HistoryIndex::leaving(const std::string &endpoint) const {
  return find(Leaving, endpoint);
}

bool HistoryIndex::severed(const std::string &endpoint, Instant from,
                           Instant to) const {
  auto it = Severed.find(endpoint);
  return it != Severed.end() &&
         std::any_of(it->second.begin(), it->second.end(),
                     [&](Instant at) { return from <= at && at <= to; });
}

} // namespace hemlockglade
