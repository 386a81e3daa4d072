#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Maximum number of replicas whose residency is kept before the registry
/// reports them.
constexpr std::size_t MaxPendingResidency = 1024;

} // namespace

bool RouteQuery::isExcluded(const std::string &incarnation, Instant now) const {
  auto backoff = BackoffUntil.find(incarnation);
  return Excluded.contains(incarnation) ||
         (backoff != BackoffUntil.end() && now < backoff->second);
}

void ReplicaView::onResidency(const std::string &replica, Residency held,
                              Instant) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end()) {
    if (PendingResidency.size() < MaxPendingResidency)
      PendingResidency[replica] = std::move(held);
    return;
  }
  it->second.Held = std::move(held);
  it->second.RejectedDueAt.clear();
  it->second.FromOwner = true;
}

void ReplicaView::onResidencyChange(const std::string &replica,
                                    const Residency &changed,
                                    const std::vector<WeightsRef> &dropped) {
  auto it = Replicas.find(replica);
  auto pending = PendingResidency.find(replica);
  if (it == Replicas.end() && pending == PendingResidency.end())
    return;
  auto &held = it == Replicas.end() ? pending->second : it->second.Held;
  for (const auto &[weights, at] : changed)
    held[weights] = at;
  for (const auto &weights : dropped)
    held.erase(weights);
  if (it == Replicas.end())
    return;
  for (const auto &[weights, at] : changed)
    it->second.RejectedDueAt.erase(weights);
  for (const auto &weights : dropped)
    it->second.RejectedDueAt.erase(weights);
}

void ReplicaView::onRunningElsewhere(const std::string &replica,
                                     std::uint32_t running, Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  it->second.RunningElsewhere = running;
  it->second.RunningElsewhereAt = now;
}

void ReplicaView::onSentElsewhere(const std::string &replica,
                                  std::uint32_t tokens, Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &state = it->second;
  state.PrefillUntil =
      std::max(now, state.PrefillUntil) + prefillTime(state, tokens);
}

Span ReplicaView::prefillTime(const std::string &service,
                              std::uint32_t tokens) const {
  auto it = PrefillSpeeds.find(service);
  double perToken = it == PrefillSpeeds.end() ? PrefillSpeed().usPerToken()
                                              : it->second.usPerToken();
  return Span(
      static_cast<std::int64_t>(Options.PrefillOverhead * perToken * tokens));
}

void ReplicaView::onFirstEvent(const std::string &replica,
                               const RouteQuery &query, Span took,
                               bool wasIdle) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &state = it->second;
  if (Options.UseSpeeds)
    onPromptStarted(replica, state, query.SentAt, took, wasIdle);
  else if (wasIdle)
    PrefillSpeeds[state.Record->Service].add(uncachedTokens(state, query),
                                             took);
}

std::uint32_t ReplicaView::uncachedPromptTokens(const std::string &replica,
                                                const RouteQuery &query) const {
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return query.PromptTokens;
  return uncachedTokens(it->second, query);
}

std::uint32_t ReplicaView::uncachedTokens(const ReplicaState &state,
                                          const RouteQuery &query) const {
  return query.PromptTokens -
         std::min(query.PromptTokens, cachedTokens(state, query));
}

bool ReplicaView::holds(const std::string &replica,
                        const WeightsRef &weights) const {
  auto it = Replicas.find(replica);
  return it != Replicas.end() && it->second.Held.contains(weights);
}

bool ReplicaView::isSuspect(const std::string &replica, Instant now) const {
  auto it = Replicas.find(replica);
  return it != Replicas.end() &&
         it->second.Health.replicaErrorShare(now) >
             typicalErrorShare(it->second.Record->Service, now);
}

std::size_t ReplicaView::loadingOutside(const std::string &domain, bool models,
                                        Instant now) const {
  std::size_t n = 0;
  for (const auto &[id, state] : Replicas) {
    if (state.Record->FailureDomain == domain)
      continue;
    for (const auto &[weights, held] : state.Held)
      n += held.ReadyAt > now && weights.Adapter.empty() == models ? 1 : 0;
  }
  return n;
}

void ReplicaView::onOwnerLost(const std::string &failureDomain) {
  for (auto &[id, state] : Replicas)
    if (state.Record->FailureDomain == failureDomain) {
      state.FromOwner = false;
      state.Speed.release(SpeedsAt);
    }
}

bool ReplicaView::isVersionUsable(const WeightsRef &weights,
                                  std::uint64_t version, Instant now) const {
  auto replacedSince = replacedAt(weights, version);
  return !replacedSince || now - *replacedSince < Options.OldVersionGrace;
}

std::optional<Instant> ReplicaView::replacedAt(const WeightsRef &weights,
                                               std::uint64_t version) const {
  // Base models are replaced in place, one replica after the other.
  if (weights.Adapter.empty())
    return std::nullopt;
  return Versions.replacedAt(weights, version);
}

std::optional<Instant> ReplicaView::mustBeginBy(const WeightsRef &weights,
                                                std::uint64_t version) const {
  auto replacedSince = replacedAt(weights, version);
  if (!replacedSince)
    return std::nullopt;
  return *replacedSince + Options.OldVersionBeginLimit;
}

std::uint64_t ReplicaView::partKey(const RouteQuery &query,
                                   std::uint64_t part) {
  constexpr std::uint64_t Odd = 0x9E3779B97F4A7C15ULL;
  auto weights = query.Weights ? query.Weights->text() : std::string();
  return (part ^ std::hash<std::string>{}(weights)) * Odd;
}

std::uint32_t ReplicaView::cachedTokens(const ReplicaState &state,
                                        const RouteQuery &query) const {
  if (query.PromptParts.empty())
    return 0;
  std::size_t n = 0;
  while (n < query.PromptParts.size() &&
         state.CachedParts.contains(partKey(query, query.PromptParts[n])))
    ++n;
  return static_cast<std::uint32_t>(query.SharedTokens * n /
                                    query.PromptParts.size());
}

bool ReplicaView::hasRoom(const ReplicaState &state, const RouteQuery &query,
                          Instant now) const {
  const auto *service = Plan ? Plan->service(state.Record->Service) : nullptr;
  const auto &id = state.Record->Incarnation.text();
  if (Rejections.isPaused(id, now) || !Pauses.hasRoom(id, now))
    return false;
  if (!service || !service->Engine) {
    return !Options.UseWindows || !state.Window ||
           state.Window->hasRoom(state.OwnRunning, now);
  }
  auto running = state.OwnRunning + state.RunningElsewhere;
  double bound = service->Engine->Slots * (1 + Options.QueueShare);
  if (running + 1 > bound)
    return false;
  if (!service->Engine->MemoryTokens || state.OwnRunning == 0)
    return true;
  // Requests of other nodes are assumed to be as large as this node's.
  double tokensPerRequest = static_cast<double>(state.OwnTokens) /
                            static_cast<double>(state.OwnRunning);
  double tokens = tokensPerRequest * running + query.Tokens;
  return tokens <= Options.MemoryShare *
                       static_cast<double>(service->Engine->MemoryTokens);
}

const ResidentWeights *ReplicaView::usableWeights(const ReplicaState &state,
                                                  const WeightsRef &weights,
                                                  Instant now) const {
  auto held = state.Held.find(weights);
  bool isUsable = held != state.Held.end() && !held->second.Evicting &&
                  isVersionUsable(weights, held->second.Version, now);
  return isUsable ? &held->second : nullptr;
}

double ReplicaView::typicalErrorShare(const std::string &service,
                                      Instant now) const {
  double lowest = 1;
  auto all = ByService.find(service);
  if (all == ByService.end())
    return lowest;
  for (const auto *it : all->second)
    if (isUsable(*it))
      lowest = std::min(lowest, it->Health.replicaErrorShare(now));
  return lowest + Options.TypicalErrorShare;
}

double ReplicaView::cost(const ReplicaState &state, const RouteQuery &query,
                         double typicalErrorShare, Instant now) const {
  double out = static_cast<double>(state.OwnRunning + state.RunningElsewhere) /
               std::max(1U, state.Record->Slots) * state.SpeedFactor;
  if (state.Record->FailureDomain != Options.FailureDomain)
    out += Options.RemoteCost;
  double excessErrors =
      std::max(0.0, state.Health.replicaErrorShare(now) - typicalErrorShare);
  out += Options.FailureCost * (state.Health.failureShare(now) + excessErrors);
  if (state.Health.isOverdue(now))
    out += Options.OverdueCost;
  if (state.RequestLimit && now - state.LimitStatedAt < Options.LimitedCostTime)
    out += Options.LimitedCost;
  auto backlog = std::max(Span(0), state.PrefillUntil - now);
  out += Options.BacklogCost * inSeconds(backlog);
  if (state.UsesSpeed)
    return out + speedCost(state, query, now);
  constexpr double Thousand = 1000;
  out -= Options.PrefixGain * cachedTokens(state, query) / Thousand;
  return out;
}

bool ReplicaView::runsSoftware(const ReplicaState &state,
                               const RouteQuery &query) {
  const auto &needed = query.SoftwareVersion;
  return !needed ||
         (!needed->empty() && *needed == state.Record->SoftwareVersion);
}

std::set<std::string_view>
ReplicaView::leavingVersions(std::span<const ReplicaState *const> all) const {
  std::set<std::string_view> out;
  for (const auto *it : all)
    if (it->Life.isDraining())
      out.insert(it->Record->SoftwareVersion);
  return out;
}

RouteChoice ReplicaView::choose(const RouteQuery &query, Instant now) {
  RouteChoice out;
  const ReplicaState *best = nullptr;
  double lowestCost = 0;
  bool anyFull = false;
  bool anyUsable = false;
  bool anyNear = false;
  bool allLimited = true;
  bool allPaused = true;
  Instant earliestReady = Instant::max();
  Instant earliestGrant = Instant::max();
  Instant earliestReturn = Instant::max();
  Instant earliestHolder = Instant::max();
  // Engines serve too few requests to compare their error shares.
  double typicalErrors =
      query.Weights ? 1 : typicalErrorShare(query.Service, now);
  static const std::vector<ReplicaState *> None;
  auto found = ByService.find(query.Service);
  const auto &all = found == ByService.end() ? None : found->second;
  std::set<std::string_view> leaving;
  if (!query.SoftwareVersion)
    leaving = leavingVersions(all);
  for (const auto *it : all) {
    const auto &state = *it;
    if (!state.Life.isUsable(now))
      continue;
    // For a stream that has begun, one that must not be used again is as good
    // as gone.
    bool isOut = !runsSoftware(state, query) ||
                 (query.SoftwareVersion &&
                  query.Excluded.contains(state.Record->Incarnation.text()));
    if (isOut)
      continue;
    anyUsable = true;
    anyNear = anyNear || state.Record->FailureDomain == Options.FailureDomain;
    const auto &id = state.Record->Incarnation.text();
    if (query.Excluded.contains(id))
      continue;
    const auto *held =
        query.Weights ? usableWeights(state, *query.Weights, now) : nullptr;
    if (auto returnsAt = Pauses.returnsAt(id, now)) {
      earliestReturn = std::min(earliestReturn, *returnsAt);
      if (held)
        earliestHolder = std::min(earliestHolder, *returnsAt);
      continue;
    }
    allPaused = false;
    if (query.isExcluded(id, now))
      continue;
    auto limited = query.LimitedUntil.find(id);
    if (limited != query.LimitedUntil.end() && now < limited->second) {
      earliestGrant = std::min(earliestGrant, limited->second);
      continue;
    }
    allLimited = false;
    if (query.Weights && !held)
      continue;
    if (held && held->ReadyAt > now) {
      earliestReady = std::min(earliestReady, held->ReadyAt);
      continue;
    }
    if (!hasRoom(state, query, now)) {
      anyFull = true;
      continue;
    }
    double candidateCost = cost(state, query, typicalErrors, now);
    if (leaving.contains(state.Record->SoftwareVersion))
      candidateCost += Options.LeavingVersionCost;
    if (best && candidateCost >= lowestCost)
      continue;
    best = &state;
    lowestCost = candidateCost;
  }
  if (!best) {
    out.ReadyAt = earliestReady;
    if (!anyUsable)
      out.Result = query.SoftwareVersion ? RouteChoice::Kind::NoSuchSoftware
                                         : RouteChoice::Kind::NoReplica;
    else if (allPaused && earliestReturn != Instant::max()) {
      out.Result = RouteChoice::Kind::Paused;
      out.ReadyAt = earliestReturn;
    } else if (allLimited && earliestGrant != Instant::max()) {
      out.Result = RouteChoice::Kind::Limited;
      out.ReadyAt = std::min(earliestGrant, earliestReturn);
    } else if (earliestReady != Instant::max())
      out.Result = RouteChoice::Kind::AwaitLoad;
    else if (anyFull)
      out.Result = RouteChoice::Kind::Full;
    else
      out.Result = query.Weights ? RouteChoice::Kind::NotLoaded
                                 : RouteChoice::Kind::Full;
    if (out.Result == RouteChoice::Kind::NotLoaded &&
        earliestHolder != Instant::max())
      out.HoldersReturnAt = earliestHolder;
    return out;
  }
  auto bound = maxPrefillBacklog(query, now);
  bool mustWait = query.Weights && best->PrefillUntil - now > bound;
  out.Result =
      mustWait ? RouteChoice::Kind::AwaitPrefill : RouteChoice::Kind::Send;
  out.ReadyAt = best->PrefillUntil - bound;
  out.PrefillIdle = best->PrefillUntil <= now;
  out.Replica = best->Record;
  out.Speed = best->SpeedFactor;
  if (query.Weights) {
    out.Version = best->Held.at(*query.Weights).Version;
    out.NewestVersion = Versions.newest(*query.Weights);
    out.ReplacedAt = replacedAt(*query.Weights, out.Version);
    out.MustBeginBy = mustBeginBy(*query.Weights, out.Version);
  }
  out.Remote = anyNear && best->Record->FailureDomain != Options.FailureDomain;
  out.Running = best->OwnRunning + best->RunningElsewhere;
  out.RequestLimit = best->RequestLimit;
  out.Place = placeNeed(*best, query);
  if (best->RunningElsewhereAt > Instant{})
    out.LoadAge = now - best->RunningElsewhereAt;
  return out;
}

Span ReplicaView::maxPrefillBacklog(const RouteQuery &query,
                                    Instant now) const {
  if (now >= query.OnTimeUntil)
    return -Options.LateIdle;
  constexpr std::uint32_t MaxRank = 4;
  return Options.MaxPrefillBacklog -
         Options.RankStep * static_cast<int>(std::min(MaxRank, query.Rank));
}

std::uint64_t ReplicaView::onSent(const std::string &replica,
                                  const RouteQuery &query, Instant now) {
  auto attempt = NextAttempt++;
  SentIntoPauses += Pauses.isPaused(replica, now) ? 1 : 0;
  Pauses.onSent(replica, attempt, now);
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return attempt;
  auto &state = it->second;
  ++state.OwnRunning;
  state.OwnTokens += query.Tokens;
  state.Health.onSent(attempt, now);
  // Where there is a limit the request was granted, and so is counted already.
  if (!state.RequestLimit)
    state.UngrantedTimes.push_back(now);
  while (!state.UngrantedTimes.empty() &&
         now - state.UngrantedTimes.front() >= Options.SentHistory)
    state.UngrantedTimes.pop_front();
  if (!query.Weights && !state.Window) {
    auto window = Options.Window;
    constexpr double InitialShares = 2;
    window.InitialSize =
        std::max(1.0, InitialShares * TrafficShare * state.Record->Slots);
    state.Window.emplace(window);
  }
  if (state.Window)
    state.Window->onSent(now);
  if (query.Weights) {
    ++state.OwnByWeights[*query.Weights];
    if (Options.UseSpeeds)
      onPromptSent(state, query, now);
    auto prefill = prefillTime(state, uncachedTokens(state, query));
    state.PrefillUntil = std::max(now, state.PrefillUntil) + prefill;
    if (state.UsesSpeed)
      addUnseen(state, prefill, now);
  } else if (Options.UseSpeeds && state.OwnRunning <= plainShare(state)) {
    state.Unqueued.insert(query.SentAt);
  }
  for (auto promptPart : query.PromptParts)
    state.CachedParts[partKey(query, promptPart)] = now;
  return attempt;
}

void ReplicaView::onAnswered(const std::string &replica, std::uint64_t attempt,
                             bool accepted, Instant now) {
  Pauses.onAnswered(replica, attempt, accepted, now);
  if (auto it = Replicas.find(replica); it != Replicas.end())
    it->second.Health.onAnswered(attempt, now);
}

void ReplicaView::onEnd(const std::string &replica, std::uint64_t attempt,
                        const RouteQuery &query, AttemptVerdict verdict,
                        Instant now) {
  Pauses.onEnd(replica, attempt);
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto &state = it->second;
  bool isRejected =
      verdict == AttemptVerdict::Shed || verdict == AttemptVerdict::Paused;
  if (state.Window && isRejected)
    state.Window->onShed(now);
  else if (state.Window && verdict != AttemptVerdict::NoValidAnswer)
    state.Window->onAnswered(now - query.SentAt, query.TargetLatency,
                             state.OwnRunning,
                             TrafficShare * state.Record->Slots, now);
  state.OwnRunning -= state.OwnRunning ? 1 : 0;
  state.OwnTokens -= std::min<std::uint64_t>(state.OwnTokens, query.Tokens);
  state.Health.onEnd(attempt, verdict, now);
  state.Unstarted.erase(query.SentAt);
  state.Unqueued.erase(query.SentAt);
  if (!query.Weights)
    return;
  auto running = state.OwnByWeights.find(*query.Weights);
  if (running != state.OwnByWeights.end() && --running->second == 0)
    state.OwnByWeights.erase(running);
}

void ReplicaView::onWeightsRefused(const std::string &replica,
                                   const WeightsRef &weights, bool missing,
                                   Instant now) {
  // Weights that are being loaded are retried after a tenth of a load time.
  constexpr auto RetryDelay = std::chrono::milliseconds(30);
  auto it = Replicas.find(replica);
  if (it == Replicas.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  // An engine gives the same answer for weights that it is loading and for
  // weights that it does not have, so weights that were due only a moment ago
  // are assumed to be late.
  constexpr auto MaxDelay = std::chrono::milliseconds(1000);
  // Measured from the time at which they were first due: a retry does not
  // postpone it.
  auto &dueTimes = it->second.RejectedDueAt;
  auto due = dueTimes.try_emplace(weights, held->second.ReadyAt).first;
  if (missing && now - due->second > MaxDelay) {
    dueTimes.erase(due);
    it->second.Held.erase(held);
  } else {
    held->second.ReadyAt = now + RetryDelay;
  }
}

std::map<std::string, std::uint32_t>
ReplicaView::ownRunning(const std::string &domain) const {
  std::map<std::string, std::uint32_t> out;
  for (const auto &[id, state] : Replicas)
    if (state.OwnRunning && state.Record->FailureDomain == domain)
      out[id] = state.OwnRunning;
  return out;
}

std::map<std::pair<std::string, WeightsRef>, std::uint32_t>
ReplicaView::ownRunningByWeights(const std::string &domain) const {
  std::map<std::pair<std::string, WeightsRef>, std::uint32_t> out;
  for (const auto &[id, state] : Replicas)
    if (state.Record->FailureDomain == domain)
      for (const auto &[weights, n] : state.OwnByWeights)
        out[{id, weights}] = n;
  return out;
}

Instant ReplicaView::onTimeUntil(const RouteQuery &query,
                                 Instant arrivedAt) const {
  // Allows for the variation of response times.
  constexpr double VariationFactor = 1.4;
  constexpr double MaxShare = 0.8;
  auto all = ByService.find(query.Service);
  Span shortest = query.TargetLatency;
  if (all != ByService.end())
    for (const auto *it : all->second)
      if (isUsable(*it))
        shortest = std::min(shortest, it->Health.typicalFirstByte());
  return arrivedAt + query.TargetLatency -
         std::min(scaled(shortest, VariationFactor),
                  scaled(query.TargetLatency, MaxShare));
}

Span ReplicaView::typicalFirstByte(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? Span(0) : it->second.Health.typicalFirstByte();
}

} // namespace hemlockglade
