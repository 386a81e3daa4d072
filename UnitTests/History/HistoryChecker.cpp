#include "UnitTests/History/HistoryChecker.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <set>

namespace hemlockglade {

namespace {

constexpr std::int64_t FirstError = 400;

void add(Verdict &verdict, std::string text,
         std::initializer_list<const HistoryEvent *> events) {
  Violation violation{std::move(text), {}};
  for (const auto *event : events) {
    if (event)
      violation.Lines.push_back(event->Line);
  }
  verdict.Violations.push_back(std::move(violation));
}

/// Whether a served `name@version` is what was asked, with or without version.
bool answers(const std::string &served, const std::string &asked) {
  return served == asked || (asked.find('@') == std::string::npos &&
                             served.starts_with(asked + '@'));
}

bool overlaps(const HistorySpell &spell, Instant from, Instant to) {
  return spell.From <= to && from < spell.To;
}

bool anyOverlaps(const std::vector<HistorySpell> &spells, Instant from,
                 Instant to) {
  return std::any_of(spells.begin(), spells.end(),
                     [&](const auto &it) { return overlaps(it, from, to); });
}

} // namespace

std::string_view promiseName(Promise promise) {
  constexpr std::array<std::string_view, 9> Names{
      "right adapter and version",      "no eviction while serving",
      "whole answer to its own caller", "not-run is true",
      "not repeatable at most once",    "leaving endpoint gets no new work",
      "graceful stop cuts nothing",     "configuration never reverts",
      "orders of one holder at a time"};
  return Names[static_cast<std::size_t>(promise)];
}

void print(std::ostream &out, const Verdict &verdict, std::size_t shown) {
  out << (verdict.Violations.empty() ? "held    " : "BROKEN  ")
      << promiseName(verdict.Which) << ": " << verdict.Examined << " examined, "
      << verdict.Violations.size() << " violations\n";
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
    out[it].Which = static_cast<Promise>(it);
  auto of = [&out](Promise it) -> Verdict & {
    return out[static_cast<std::size_t>(it)];
  };
  rightAdapter(of(Promise::RightAdapter));
  residency(of(Promise::RightAdapter));
  noEvictionWhileServing(of(Promise::NoEvictionWhileServing));
  wholeAnswer(of(Promise::WholeAnswer));
  notRunIsTrue(of(Promise::NotRunIsTrue));
  atMostOnce(of(Promise::AtMostOnce));
  leavingEndpoint(of(Promise::LeavingEndpoint));
  gracefulStop(of(Promise::GracefulStop));
  neverReverts(of(Promise::ConfigurationHolds));
  inForceInTime(of(Promise::ConfigurationHolds));
  oneChangeARevision(of(Promise::ConfigurationHolds));
  oneHolder(of(Promise::OneHolder));
  return out;
}

std::vector<const HistoryEvent *>
HistoryChecker::of(std::string_view kind) const {
  std::vector<const HistoryEvent *> out;
  for (const auto &event : Index.events()) {
    if (event.Event == kind)
      out.push_back(&event);
  }
  return out;
}

bool HistoryChecker::terminated(const HistoryEvent &answer) const {
  auto all = of("terminated");
  return std::any_of(all.begin(), all.end(), [&](const auto *it) {
    return it->To == answer.To && it->At <= answer.At;
  });
}

bool HistoryChecker::currentEver(const std::string &adapter, Instant at) const {
  auto split = adapter.rfind('@');
  auto changes = of("applying");
  if (changes.empty())
    return true;
  return std::any_of(changes.begin(), changes.end(), [&](const auto *change) {
    auto it = change->Current.find(adapter.substr(0, split));
    return change->At <= at && it != change->Current.end() &&
           std::to_string(it->second) == adapter.substr(split + 1);
  });
}

void HistoryChecker::rightAdapter(Verdict &verdict) const {
  for (const auto &run : Index.runs()) {
    const auto *sending = Index.sendingOf(run.Ran->Tag);
    if (!sending || sending->Sent->Adapter.empty())
      continue;
    ++verdict.Examined;
    const auto &asked = sending->Sent->Adapter;
    const auto &served = run.Ran->Adapter;
    if (!answers(served, asked))
      add(verdict,
          std::string("asked ")
              .append(asked)
              .append(", ran on ")
              .append(served),
          {sending->Sent, run.Ran});
    else if (served != asked && !currentEver(served, run.Ran->At))
      add(verdict, served + " was never the current version",
          {sending->Sent, run.Ran});
  }
  for (const auto &[name, sending] : Index.sendings()) {
    if (!sending.Sent || !sending.Answered ||
        sending.Answered->Outcome != "complete" ||
        sending.Answered->Status >= FirstError)
      continue;
    if (!answers(sending.Answered->Adapter, sending.Sent->Adapter))
      add(verdict, "answered by " + sending.Answered->Adapter,
          {sending.Sent, sending.Answered});
  }
}

void HistoryChecker::residency(Verdict &verdict) const {
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

void HistoryChecker::noEvictionWhileServing(Verdict &verdict) const {
  std::map<std::pair<std::string, std::string>, std::vector<const HistoryRun *>>
      runs;
  for (const auto &run : Index.runs())
    runs[{run.Ran->Who, run.Ran->Adapter}].push_back(&run);
  for (const auto *evicted : of("evicted")) {
    ++verdict.Examined;
    for (const auto *run : runs[{evicted->Who, evicted->Adapter}]) {
      if (run->servesAt(evicted->At))
        add(verdict, evicted->Adapter + " was evicted while it served",
            {run->Ran, evicted, run->End});
    }
  }
}

void HistoryChecker::wholeAnswer(Verdict &verdict) const {
  std::set<std::string> done;
  for (const auto *event : of("done"))
    done.insert(event->Who);
  for (const auto &[name, sending] : Index.sendings()) {
    if (!sending.Sent) {
      add(verdict, "an answer to nothing", {sending.Answered});
      continue;
    }
    if (sending.Answered)
      wholeAnswerOf(sending, verdict);
    else if (done.contains(sending.Sent->Who))
      add(verdict, "never answered", {sending.Sent});
  }
}

void HistoryChecker::wholeAnswerOf(const HistorySending &sending,
                                   Verdict &verdict) const {
  const auto &answer = *sending.Answered;
  ++verdict.Examined;
  if (sending.Answers > 1)
    add(verdict, "answered twice", {sending.Sent, &answer});
  if (!answer.Fault.empty())
    add(verdict, answer.Fault, {sending.Sent, &answer});
  if (answer.Outcome == "none" && !Index.killed(answer.To) &&
      !terminated(answer))
    add(verdict, "no outcome from a node that lives", {sending.Sent, &answer});
  if (answer.Outcome != "complete" || answer.Status >= FirstError)
    return;
  auto runs = Index.runsOf(answer.Tag);
  bool whole = std::any_of(runs.begin(), runs.end(), [&](const auto *run) {
    return run->End && run->End->Whole && run->End->Hash == answer.Hash;
  });
  if (!whole)
    add(verdict, "complete, but no endpoint gave this answer to this request",
        {sending.Sent, &answer, runs.empty() ? nullptr : runs.back()->End});
}

void HistoryChecker::notRunIsTrue(Verdict &verdict) const {
  for (const auto &[name, sending] : Index.sendings()) {
    const auto *answer = sending.Answered;
    if (!answer || answer->Outcome != "not-run")
      continue;
    ++verdict.Examined;
    for (const auto *run : Index.runsOf(answer->Tag)) {
      if (isRunOf(*run, *answer))
        add(verdict, "said not to have run, but ran",
            {sending.Sent, run->Ran, answer});
    }
  }
}

/// Sendings of one key share their tag; the entry's id tells them apart. An
/// answer without an id has every run that no other sending has.
bool HistoryChecker::isRunOf(const HistoryRun &run,
                             const HistoryEvent &answer) const {
  if (answer.Key.empty())
    return true;
  if (!answer.Request.empty())
    return run.Ran->Request == answer.Request;
  const auto &all = Index.sendings();
  return std::none_of(all.begin(), all.end(), [&](const auto &it) {
    const auto *other = it.second.Answered;
    return other && other->Tag == answer.Tag &&
           other->Request == run.Ran->Request;
  });
}

void HistoryChecker::atMostOnce(Verdict &verdict) const {
  std::map<std::string, std::vector<const HistoryEvent *>> runs;
  for (const auto &[name, sending] : Index.sendings()) {
    if (sending.Sent && !sending.Sent->Key.empty())
      runs[sending.Sent->Key];
  }
  for (const auto &run : Index.runs()) {
    const auto *sending = Index.sendingOf(run.Ran->Tag);
    const auto &key = sending ? sending->Sent->Key : run.Ran->Key;
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

void HistoryChecker::leavingEndpoint(Verdict &verdict) const {
  for (const auto *event : of("listed"))
    verdict.Examined += event->Leaving;
  for (const auto &run : Index.runs()) {
    auto at = run.Ran->At;
    // The list has to be there to say anything.
    if (anyOverlaps(Index.silent("platform"), at - Bounds.Leaving, at))
      continue;
    // A host that stood still could not hear of it.
    const auto *sending = Index.sendingOf(run.Ran->Tag);
    if (sending &&
        anyOverlaps(Index.paused(sending->Sent->To), at - Bounds.Leaving, at))
      continue;
    for (const auto &spell : Index.leaving(run.Ran->Who)) {
      if (spell.covers(at) && at > spell.From + Bounds.Leaving)
        add(verdict, run.Ran->Who + " got new work while leaving", {run.Ran});
    }
  }
}

/// Whether a stop was cut short from outside, so that no exit could follow.
bool HistoryChecker::killedWhileStopping(const HistoryEvent &stop,
                                         const HistoryEvent *exit) const {
  auto kills = of("killed");
  return std::any_of(kills.begin(), kills.end(), [&](const auto *it) {
    return it->To == stop.To && it->At >= stop.At &&
           (!exit || it->At <= exit->At);
  });
}

void HistoryChecker::gracefulStop(Verdict &verdict) const {
  for (const auto *stop : of("terminated"))
    gracefulStopOf(*stop, verdict);
}

void HistoryChecker::gracefulStopOf(const HistoryEvent &stop,
                                    Verdict &verdict) const {
  ++verdict.Examined;
  HistorySpell spell{stop.At, stop.At};
  const HistoryEvent *exit = nullptr;
  for (const auto *it : of("exited")) {
    if (it->To == stop.To)
      exit = it;
  }
  if (!killedWhileStopping(stop, exit) && (!exit || exit->Code != 0))
    add(verdict, "no clean exit", {&stop, exit});
  if (exit)
    spell.To = exit->At;
  if (Index.killed(stop.To))
    return;
  for (const auto &[name, sending] : Index.sendings()) {
    if (!sending.Sent || !sending.Answered || sending.Sent->To != stop.To ||
        sending.Answered->Outcome != "none" || sending.Answered->At < stop.At)
      continue;
    const auto &sent = *sending.Sent;
    if (sent.At < spell.To || sent.At <= sent.AskedAt + sent.TimeToLive)
      add(verdict, "cut by a planned stop",
          {&stop, &sent, sending.Answered, exit});
  }
  cancelledWithin(spell, verdict);
}

void HistoryChecker::cancelledWithin(const HistorySpell &stop,
                                     Verdict &verdict) const {
  for (const auto &run : Index.runs()) {
    if (!run.End || run.End->Event != "cancelled" ||
        !stop.covers(run.End->At) ||
        Index.severed(run.Ran->Who, run.Ran->At, run.End->At))
      continue;
    const auto *sending = Index.sendingOf(run.Ran->Tag);
    if (!sending || !sending->Answered || Index.killed(sending->Sent->To) ||
        sending->Answered->Outcome == "complete")
      continue;
    add(verdict, "cancelled during a planned stop",
        {run.Ran, run.End, sending->Answered});
  }
}

void HistoryChecker::neverReverts(Verdict &verdict) const {
  auto byAnswer = of("in_force");
  auto byQuestion = byAnswer;
  std::stable_sort(
      byQuestion.begin(), byQuestion.end(),
      [](const auto *a, const auto *b) { return a->AskedAt < b->AskedAt; });
  std::map<std::string, const HistoryEvent *> highest;
  std::size_t seen = 0;
  for (const auto *look : byQuestion) {
    ++verdict.Examined;
    // Only what was answered before this was asked must not be higher.
    for (; seen < byAnswer.size() && byAnswer[seen]->At < look->AskedAt;
         ++seen) {
      auto &best = highest[byAnswer[seen]->To];
      if (!best || best->Revision < byAnswer[seen]->Revision)
        best = byAnswer[seen];
    }
    const auto *best = highest[look->To];
    if (best && look->Revision < best->Revision)
      add(verdict, "a node went back", {best, look});
  }
}

/// A node that was paused, or is just starting, can't have it in force yet.
bool HistoryChecker::excused(const HistoryEvent &look) const {
  auto from = look.AskedAt - Bounds.Configuration;
  if (anyOverlaps(Index.paused(look.To), from, look.At))
    return true;
  auto starts = of("node_started");
  return std::any_of(starts.begin(), starts.end(), [&](const auto *it) {
    return it->To == look.To && it->At > from;
  });
}

void HistoryChecker::inForceInTime(Verdict &verdict) const {
  auto accepted = of("accepted");
  const HistoryEvent *highest = nullptr;
  std::size_t seen = 0;
  auto looks = of("in_force");
  std::stable_sort(
      looks.begin(), looks.end(),
      [](const auto *a, const auto *b) { return a->AskedAt < b->AskedAt; });
  for (const auto *look : looks) {
    for (; seen < accepted.size() &&
           accepted[seen]->At + Bounds.Configuration < look->AskedAt;
         ++seen) {
      if (!highest || highest->Revision < accepted[seen]->Revision)
        highest = accepted[seen];
    }
    if (highest && look->Revision < highest->Revision && !excused(*look))
      add(verdict, "an accepted configuration isn't in force", {highest, look});
  }
}

void HistoryChecker::oneChangeARevision(Verdict &verdict) const {
  std::map<std::uint64_t, const HistoryEvent *> changes;
  for (const auto *event : of("accepted")) {
    auto [it, added] = changes.try_emplace(event->Revision, event);
    if (!added && it->second->Change != event->Change)
      add(verdict, "two changes were accepted as one revision",
          {it->second, event});
  }
}

bool HistoryChecker::justWoken(const HistoryEvent &order) const {
  auto spells = Index.paused(order.Holder);
  return std::any_of(spells.begin(), spells.end(), [&](const auto &it) {
    return it.covers(order.At) ||
           (it.To <= order.At && order.At < it.To + Bounds.Thaw);
  });
}

void HistoryChecker::oneHolder(Verdict &verdict) const {
  std::map<std::string, const HistoryEvent *> last;
  for (const auto *order : of("ordered")) {
    ++verdict.Examined;
    auto &before = last[order->Who];
    if (before && order->Fence < before->Fence && !justWoken(*order))
      add(verdict, "an order with a lower fencing number", {before, order});
    bool turns = before && order->Holder != before->Holder;
    if (turns && order->At < before->At + Bounds.Lease && !justWoken(*order))
      add(verdict, "two holders within a lease", {before, order});
    else if (turns && order->Fence == before->Fence && !justWoken(*order))
      add(verdict, "two holders of one fencing number", {before, order});
    before = order;
  }
  for (const auto *event : of("overloaded"))
    add(verdict, "an engine was told to hold more than it can", {event});
}

} // namespace hemlockglade
