#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Replicas that owners may tell of before the registry does.
constexpr std::size_t MaxEarly = 1024;

Residency residencyOf(const ReplicaRecord &record, Instant now) {
  Residency out;
  for (const auto &[weights, version] : record.Held)
    out[weights] = {version, now, false};
  return out;
}

} // namespace

bool RouteQuery::excludes(const std::string &incarnation, Instant now) const {
  auto rests = BackoffUntil.find(incarnation);
  return Excluded.contains(incarnation) ||
         (rests != BackoffUntil.end() && now < rests->second);
}

bool ReplicaView::takeLife(const ReplicaIncarnation &life, Instant now,
                           std::vector<ReplicaPtr> &ended) {
  auto [at, isFirst] = Lives.try_emplace(life.id(), life);
  // An earlier start's heartbeat that was on its way, or an entry that does not
  // tell its start where the one before did.
  if (life.before(at->second))
    return false;
  if (!isFirst && at->second.before(life))
    if (auto it = Replicas.find(at->second.text()); it != Replicas.end()) {
      it->second.Replaced = true;
      it->second.VanishesAt = now;
      ++Revision;
      ended.push_back(it->second.Record);
    }
  at->second = life;
  return true;
}

void ReplicaView::takeRecord(const ReplicaRecord &record, Instant now,
                             std::vector<ReplicaPtr> &ended) {
  if (!takeLife(record.Incarnation, now, ended))
    return;
  auto [it, isNew] = Replicas.try_emplace(record.Incarnation.text());
  auto &seen = it->second;
  // A heartbeat that was on its way when the replica began to leave must not
  // bring it back.
  bool leaves = record.Draining || (!isNew && seen.Leaving);
  if (isNew || leaves != seen.Leaving)
    ++Revision;
  seen.Record = std::make_shared<const ReplicaRecord>(record);
  seen.Leaving = leaves;
  seen.VanishesAt.reset();
  seen.GoneTold = false;
  if (isNew)
    index();
  if (auto told = Early.find(record.Incarnation.text()); told != Early.end()) {
    seen.Held = std::move(told->second);
    seen.ByOwner = true;
    Early.erase(told);
  }
  if (!seen.ByOwner) {
    seen.Held = residencyOf(record, now);
    seen.LateSince.clear();
  }
}

std::vector<ReplicaPtr> ReplicaView::onRegistry(const ReplicaChanges &changes,
                                                bool unreachable, Instant now) {
  std::vector<ReplicaPtr> ended;
  for (const auto &it : changes.Present)
    takeRecord(it, now, ended);
  std::set<std::string> vanished(changes.Removed.begin(),
                                 changes.Removed.end());
  std::set<std::string> present(changes.Unreadable.begin(),
                                changes.Unreadable.end());
  for (const auto &it : changes.Present)
    present.insert(it.Incarnation.id());
  std::size_t used = 0;
  for (const auto &[key, seen] : Replicas) {
    const auto &id = seen.Record->Incarnation.id();
    used += usable(seen) ? 1 : 0;
    if (changes.Complete && !present.contains(id))
      vanished.insert(id);
  }
  // Entries lapse together when the registry itself was away. A single one that
  // goes while only this node was cut off is a replica that left, for which the
  // bound on new work runs already.
  constexpr double LapseShare = 1.0 / 3;
  bool lapsed = changes.RolledBack ||
                (unreachable && static_cast<double>(vanished.size()) >=
                                    LapseShare * static_cast<double>(used));
  for (auto &[key, seen] : Replicas)
    if (vanished.contains(seen.Record->Incarnation.id()))
      vanish(seen, lapsed, now);
  return ended;
}

void ReplicaView::vanish(Seen &seen, bool lapsed, Instant now) {
  if (!lapsed) {
    seen.Leaving = true;
    ++Revision;
  }
  if (!seen.VanishesAt)
    seen.VanishesAt = now + (lapsed ? Setup.ExpiryGrace : Span(0));
}

void ReplicaView::onResidency(const std::string &replica, Residency held,
                              Instant) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end()) {
    if (Early.size() < MaxEarly)
      Early[replica] = std::move(held);
    return;
  }
  it->second.Held = std::move(held);
  it->second.LateSince.clear();
  it->second.ByOwner = true;
}

void ReplicaView::onResidencyChange(const std::string &replica,
                                    const Residency &changed,
                                    const std::vector<WeightsRef> &dropped) {
  auto it = Replicas.find(replica);
  auto early = Early.find(replica);
  if (it == Replicas.end() && early == Early.end())
    return;
  auto &held = it == Replicas.end() ? early->second : it->second.Held;
  for (const auto &[weights, at] : changed)
    held[weights] = at;
  for (const auto &weights : dropped)
    held.erase(weights);
  if (it == Replicas.end())
    return;
  for (const auto &[weights, at] : changed)
    it->second.LateSince.erase(weights);
  for (const auto &weights : dropped)
    it->second.LateSince.erase(weights);
}

void ReplicaView::onRunningElsewhere(const std::string &replica,
                                     std::uint32_t running, Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  it->second.Others = running;
  it->second.OthersAt = now;
}

void ReplicaView::onSentElsewhere(const std::string &replica,
                                  std::uint32_t tokens, Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &seen = it->second;
  seen.BusyUntil =
      std::max(now, seen.BusyUntil) + timeToRead(seen.Record->Service, tokens);
}

Span ReplicaView::timeToRead(const std::string &service,
                             std::uint32_t tokens) const {
  auto it = Speeds.find(service);
  double each = it == Speeds.end() ? PrefillSpeed().usPerToken()
                                   : it->second.usPerToken();
  return Span(static_cast<std::int64_t>(Setup.ReadOverhead * each * tokens));
}

void ReplicaView::onFirstEvent(const std::string &replica,
                               const RouteQuery &query, Span took, bool clean) {
  auto it = Replicas.find(replica);
  if (it != Replicas.end() && clean)
    Speeds[it->second.Record->Service].add(unreadTokens(it->second, query),
                                           took);
}

std::uint32_t ReplicaView::tokensToRead(const std::string &replica,
                                        const RouteQuery &query) const {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return query.PromptTokens;
  return unreadTokens(it->second, query);
}

std::uint32_t ReplicaView::unreadTokens(const Seen &seen,
                                        const RouteQuery &query) const {
  return query.PromptTokens -
         std::min(query.PromptTokens, sharedTokens(seen, query));
}

bool ReplicaView::isSuspect(const std::string &replica, Instant now) const {
  auto it = Replicas.find(replica);
  return it != Replicas.end() &&
         it->second.Health.replicaErrorShare(now) >
             usualFailures(it->second.Record->Service, now);
}

std::size_t ReplicaView::loadingOutside(const std::string &domain, bool models,
                                        Instant now) const {
  std::size_t n = 0;
  for (const auto &[id, seen] : Replicas) {
    if (seen.Record->FailureDomain == domain)
      continue;
    for (const auto &[weights, held] : seen.Held)
      n += held.ReadyAt > now && weights.Adapter.empty() == models ? 1 : 0;
  }
  return n;
}

void ReplicaView::onOwnerLost(const std::string &failureDomain) {
  for (auto &[id, seen] : Replicas)
    if (seen.Record->FailureDomain == failureDomain)
      seen.ByOwner = false;
}

bool ReplicaView::usable(const Seen &seen) {
  return !seen.Leaving && !seen.Replaced;
}

bool ReplicaView::versionServes(const WeightsRef &weights,
                                std::uint64_t version, Instant now) const {
  auto replaced = replacedAt(weights, version);
  return !replaced || now - *replaced < Setup.OldVersionGrace;
}

std::optional<Instant> ReplicaView::replacedAt(const WeightsRef &weights,
                                               std::uint64_t version) const {
  // Base models are replaced in place, one after the other.
  if (weights.Adapter.empty())
    return std::nullopt;
  return Versions.replacedAt(weights, version);
}

std::optional<Instant> ReplicaView::mustBeginBy(const WeightsRef &weights,
                                                std::uint64_t version) const {
  auto replaced = replacedAt(weights, version);
  if (!replaced)
    return std::nullopt;
  return *replaced + Setup.OldVersionEnd;
}

std::uint64_t ReplicaView::partKey(const RouteQuery &query,
                                   std::uint64_t part) {
  constexpr std::uint64_t Odd = 0x9E3779B97F4A7C15ULL;
  auto weights = query.Weights ? query.Weights->text() : std::string();
  return (part ^ std::hash<std::string>{}(weights)) * Odd;
}

std::uint32_t ReplicaView::sharedTokens(const Seen &seen,
                                        const RouteQuery &query) const {
  if (query.PromptParts.empty())
    return 0;
  std::size_t n = 0;
  while (n < query.PromptParts.size() &&
         seen.Parts.contains(partKey(query, query.PromptParts[n])))
    ++n;
  return static_cast<std::uint32_t>(query.SharedTokens * n /
                                    query.PromptParts.size());
}

bool ReplicaView::hasRoom(const Seen &seen, const RouteQuery &query,
                          Instant now) const {
  const auto *service = Plan ? Plan->service(seen.Record->Service) : nullptr;
  if (!service || !service->Engine)
    return !Setup.UseWindows || !seen.Window ||
           seen.Window->hasRoom(seen.Own, now);
  auto running = seen.Own + seen.Others;
  double bound = service->Engine->Slots * (1 + Setup.QueueShare);
  if (running + 1 > bound)
    return false;
  if (!service->Engine->MemoryTokens || seen.Own == 0)
    return true;
  // The requests of other nodes are taken to be as large as our own.
  double each =
      static_cast<double>(seen.OwnTokens) / static_cast<double>(seen.Own);
  double tokens = each * running + query.Tokens;
  return tokens <=
         Setup.MemoryShare * static_cast<double>(service->Engine->MemoryTokens);
}

double ReplicaView::usualFailures(const std::string &service,
                                  Instant now) const {
  double least = 1;
  auto all = ByService.find(service);
  if (all == ByService.end())
    return least;
  for (const auto *it : all->second)
    if (usable(*it))
      least = std::min(least, it->Health.replicaErrorShare(now));
  return least + Setup.UsualFailures;
}

double ReplicaView::cost(const Seen &seen, const RouteQuery &query,
                         double usualFailures, Instant now) const {
  double out = static_cast<double>(seen.Own + seen.Others) /
               std::max(1U, seen.Record->Slots);
  if (seen.Record->FailureDomain != Setup.FailureDomain)
    out += Setup.RemoteCost;
  double own =
      std::max(0.0, seen.Health.replicaErrorShare(now) - usualFailures);
  out += Setup.FailureCost * (seen.Health.failureShare(now) + own);
  if (seen.Health.isOverdue(now))
    out += Setup.OverdueCost;
  auto backlog = std::max(Span(0), seen.BusyUntil - now);
  out += Setup.BacklogCost * inSeconds(backlog);
  constexpr double Thousand = 1000;
  out -= Setup.PrefixGain * sharedTokens(seen, query) / Thousand;
  return out;
}

RouteChoice ReplicaView::choose(const RouteQuery &query, Instant now) {
  RouteChoice out;
  const Seen *best = nullptr;
  double lowest = 0;
  bool full = false;
  bool known = false;
  bool near = false;
  Instant soonest = Instant::max();
  // An engine's own failures are too few to tell it from its like.
  double usual = query.Weights ? 1 : usualFailures(query.Service, now);
  static const std::vector<Seen *> None;
  auto all = ByService.find(query.Service);
  for (const auto *it : all == ByService.end() ? None : all->second) {
    const auto &seen = *it;
    if (!usable(seen) || (seen.VanishesAt && now >= *seen.VanishesAt))
      continue;
    known = true;
    near = near || seen.Record->FailureDomain == Setup.FailureDomain;
    if (query.excludes(seen.Record->Incarnation.text(), now))
      continue;
    if (query.Weights) {
      auto held = seen.Held.find(*query.Weights);
      if (held == seen.Held.end() || held->second.Leaving ||
          !versionServes(*query.Weights, held->second.Version, now))
        continue;
      if (held->second.ReadyAt > now) {
        soonest = std::min(soonest, held->second.ReadyAt);
        continue;
      }
    }
    if (!hasRoom(seen, query, now)) {
      full = true;
      continue;
    }
    double its = cost(seen, query, usual, now);
    if (best && its >= lowest)
      continue;
    best = &seen;
    lowest = its;
  }
  if (!best) {
    out.ReadyAt = soonest;
    if (!known)
      out.Result = RouteChoice::Kind::NoReplica;
    else if (soonest != Instant::max())
      out.Result = RouteChoice::Kind::AwaitLoad;
    else if (full)
      out.Result = RouteChoice::Kind::Full;
    else
      out.Result = query.Weights ? RouteChoice::Kind::NotLoaded
                                 : RouteChoice::Kind::Full;
    return out;
  }
  auto bound = paceBound(query, now);
  bool paced = query.Weights && best->BusyUntil - now > bound;
  out.Result =
      paced ? RouteChoice::Kind::AwaitPrefill : RouteChoice::Kind::Send;
  out.ReadyAt = best->BusyUntil - bound;
  out.PrefillIdle = best->BusyUntil <= now;
  out.Replica = best->Record;
  if (query.Weights) {
    out.Version = best->Held.at(*query.Weights).Version;
    out.NewestVersion = Versions.newest(*query.Weights);
    out.ReplacedAt = replacedAt(*query.Weights, out.Version);
    out.MustBeginBy = mustBeginBy(*query.Weights, out.Version);
  }
  out.Remote = near && best->Record->FailureDomain != Setup.FailureDomain;
  out.Running = best->Own + best->Others;
  if (best->OthersAt > Instant{})
    out.LoadAge = now - best->OthersAt;
  return out;
}

Span ReplicaView::paceBound(const RouteQuery &query, Instant now) const {
  if (now >= query.OnTimeUntil)
    return -Setup.LateIdle;
  constexpr std::uint32_t MostRanks = 4;
  return Setup.PaceBacklog -
         Setup.RankStep * static_cast<int>(std::min(MostRanks, query.Rank));
}

std::uint64_t ReplicaView::onSent(const std::string &replica,
                                  const RouteQuery &query, Instant now) {
  auto attempt = NextAttempt++;
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return attempt;
  auto &seen = it->second;
  ++seen.Own;
  seen.OwnTokens += query.Tokens;
  seen.Health.onSent(attempt, now);
  if (!query.Weights && !seen.Window) {
    auto window = Setup.Window;
    constexpr double FirstParts = 2;
    window.First = std::max(1.0, FirstParts * Part * seen.Record->Slots);
    seen.Window.emplace(window);
  }
  if (seen.Window)
    seen.Window->onSent(now);
  if (query.Weights) {
    ++seen.OwnUses[*query.Weights];
    seen.BusyUntil =
        std::max(now, seen.BusyUntil) +
        timeToRead(seen.Record->Service, unreadTokens(seen, query));
  }
  for (auto part : query.PromptParts)
    seen.Parts[partKey(query, part)] = now;
  return attempt;
}

void ReplicaView::onAnswered(const std::string &replica, std::uint64_t attempt,
                             Instant now) {
  if (auto it = Replicas.find(replica); it != Replicas.end())
    it->second.Health.onAnswered(attempt, now);
}

void ReplicaView::onEnd(const std::string &replica, std::uint64_t attempt,
                        const RouteQuery &query, AttemptVerdict verdict,
                        Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &seen = it->second;
  if (seen.Window && verdict == AttemptVerdict::Shed)
    seen.Window->onShed(now);
  else if (seen.Window && verdict != AttemptVerdict::NoValidAnswer)
    seen.Window->onAnswered(now - query.SentAt, query.TargetLatency, seen.Own,
                            Part * seen.Record->Slots, now);
  seen.Own -= seen.Own ? 1 : 0;
  seen.OwnTokens -= std::min<std::uint64_t>(seen.OwnTokens, query.Tokens);
  seen.Health.onEnd(attempt, verdict, now);
  if (!query.Weights)
    return;
  auto use = seen.OwnUses.find(*query.Weights);
  if (use != seen.OwnUses.end() && --use->second == 0)
    seen.OwnUses.erase(use);
}

void ReplicaView::onWeightsRefused(const std::string &replica,
                                   const WeightsRef &weights, bool missing,
                                   Instant now) {
  // What is being loaded is tried again after a tenth of what a load takes.
  constexpr auto Again = std::chrono::milliseconds(30);
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  // An engine says the same of weights that it is just loading as of ones that
  // it does not have; what should have been ready a moment ago is taken to be
  // late.
  constexpr auto Late = std::chrono::milliseconds(1000);
  // Counted from when it was first due: the next try is no new date.
  auto &late = it->second.LateSince;
  auto due = late.try_emplace(weights, held->second.ReadyAt).first;
  if (missing && now - due->second > Late) {
    late.erase(due);
    it->second.Held.erase(held);
  } else {
    held->second.ReadyAt = now + Again;
  }
}

void ReplicaView::onReplaced(const std::string &replica) {
  if (auto it = Replicas.find(replica); it != Replicas.end()) {
    it->second.Replaced = true;
    ++Revision;
  }
}

std::vector<ReplicaIncarnation> ReplicaView::removeExpired(Instant now) {
  std::vector<ReplicaIncarnation> gone;
  constexpr auto KeepGone = std::chrono::seconds(10);
  for (auto it = Replicas.begin(); it != Replicas.end();) {
    auto &seen = it->second;
    if (seen.VanishesAt && now >= *seen.VanishesAt && !seen.Leaving) {
      seen.Leaving = true;
      ++Revision;
    }
    bool isGone = seen.VanishesAt && now >= *seen.VanishesAt;
    if (isGone && !std::exchange(seen.GoneTold, true))
      gone.push_back(seen.Record->Incarnation);
    bool over = seen.VanishesAt && now >= *seen.VanishesAt + KeepGone;
    if (seen.Parts.size() > Setup.MaxPromptParts)
      seen.Parts.clear();
    if (!over || seen.Own > 0) {
      ++it;
      continue;
    }
    const auto &life = seen.Record->Incarnation;
    if (auto at = Lives.find(life.id());
        at != Lives.end() && at->second == life)
      Lives.erase(at);
    it = Replicas.erase(it);
  }
  index();
  return gone;
}

void ReplicaView::index() {
  ByService.clear();
  for (auto &[id, seen] : Replicas)
    ByService[seen.Record->Service].push_back(&seen);
}

std::vector<ReplicaPtr>
ReplicaView::replicasIn(const std::string &domain) const {
  std::vector<ReplicaPtr> out;
  for (const auto &[id, seen] : Replicas)
    if (usable(seen) && seen.Record->FailureDomain == domain)
      out.push_back(seen.Record);
  return out;
}

std::vector<ReplicaPtr> ReplicaView::inUse() const {
  std::vector<ReplicaPtr> out;
  for (const auto &[id, seen] : Replicas)
    if (usable(seen))
      out.push_back(seen.Record);
  return out;
}

bool ReplicaView::anyPendingRemoval() const {
  return std::any_of(Replicas.begin(), Replicas.end(), [](const auto &it) {
    return usable(it.second) && it.second.VanishesAt;
  });
}

std::map<std::string, std::uint32_t>
ReplicaView::ownRunning(const std::string &domain) const {
  std::map<std::string, std::uint32_t> out;
  for (const auto &[id, seen] : Replicas)
    if (seen.Own && seen.Record->FailureDomain == domain)
      out[id] = seen.Own;
  return out;
}

std::map<std::pair<std::string, WeightsRef>, std::uint32_t>
ReplicaView::ownUses(const std::string &domain) const {
  std::map<std::pair<std::string, WeightsRef>, std::uint32_t> out;
  for (const auto &[id, seen] : Replicas)
    if (seen.Record->FailureDomain == domain)
      for (const auto &[weights, n] : seen.OwnUses)
        out[{id, weights}] = n;
  return out;
}

bool ReplicaView::isDraining(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it != Replicas.end() && it->second.Leaving;
}

Instant ReplicaView::onTimeUntil(const RouteQuery &query,
                                 Instant arrivedAt) const {
  // Answers take longer and shorter than usual.
  constexpr double Spread = 1.4;
  constexpr double MostShare = 0.8;
  auto all = ByService.find(query.Service);
  Span quickest = query.TargetLatency;
  if (all != ByService.end())
    for (const auto *it : all->second)
      if (usable(*it))
        quickest = std::min(quickest, it->Health.typicalFirstByte());
  return arrivedAt + query.TargetLatency -
         std::min(scaled(quickest, Spread),
                  scaled(query.TargetLatency, MostShare));
}

Span ReplicaView::typicalFirstByte(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? Span(0) : it->second.Health.typicalFirstByte();
}

} // namespace hemlockglade
