// The part of ReplicaView about the speed factors of replicas.

#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Maximum number of replicas in one heartbeat: some 800 bytes, 2.6 KB/s to or
/// from each cell. The others follow with the next ones.
constexpr std::size_t MaxSpeedsPerHeartbeat = 16;
/// Maximum number of factors that are published at once, each
/// `SpeedInterval`: no more than heartbeats can carry.
constexpr std::size_t MaxPublishedSpeeds = 10;
/// A factor is published once it has changed by that much.
constexpr double PublishedRatio = 1.1;
/// Bounds how many nodes are assumed to choose as this one does.
constexpr double MaxOtherNodes = 32;
/// Beyond it, the mean wait is no estimate any more.
constexpr double MaxUtilisation = 0.9;
/// A plain response has no tokens that its time depends on.
constexpr std::uint32_t NoTokens = 0;

bool differsByMoreThan(double ratio, double a, double b) {
  return std::max(a, b) > ratio * std::min(a, b);
}

} // namespace

Span ReplicaView::prefillTime(const ReplicaState &state,
                              std::uint32_t tokens) const {
  auto typical = prefillTime(state.Record->Service, tokens);
  return state.UsesSpeed ? scaled(typical, state.SpeedFactor) : typical;
}

double ReplicaView::plainShare(const ReplicaState &state) const {
  return std::max(1.0, TrafficShare * state.Record->Slots);
}

double ReplicaView::speedCost(const ReplicaState &state,
                              const RouteQuery &query, Instant now) const {
  if (!query.Weights)
    return state.SpeedFactor / std::max(1U, state.Record->Slots);
  double seconds = inSeconds(prefillTime(state, uncachedTokens(state, query)));
  if (state.Unseen > 0) {
    double delay = inSeconds(state.UnseenDelay);
    double unseen =
        state.Unseen * std::exp(-inSeconds(now - state.UnseenAt) / delay);
    // The mean wait at a single server with that utilisation.
    double utilisation = std::min(MaxUtilisation, unseen / delay);
    seconds += std::min(unseen, seconds * utilisation / (1 - utilisation));
  }
  return Options.BacklogCost * seconds;
}

void ReplicaView::addUnseen(ReplicaState &state, Span prefill,
                            Instant now) const {
  // Other nodes choose by the same factors, and their requests of the last
  // moments are not known here. They are assumed to have sent to this replica
  // what this node has, each for its share of the traffic.
  auto delay = NewsDelays.find(state.Record->FailureDomain);
  if (delay == NewsDelays.end() || delay->second <= Span(0))
    return;
  double others = std::min(MaxOtherNodes, 1 / std::max(TrafficShare, 0.01) - 1);
  if (state.Unseen > 0)
    state.Unseen *= std::exp(-inSeconds(now - state.UnseenAt) /
                             inSeconds(state.UnseenDelay));
  // In that time, an engine is hardly sent more than it can work off in it.
  state.Unseen =
      std::min(state.Unseen + inSeconds(prefill) * std::max(0.0, others),
               inSeconds(delay->second));
  state.UnseenAt = now;
  state.UnseenDelay = delay->second;
}

void ReplicaView::onNewsDelay(const std::string &domain, Span delay) {
  auto bounded = std::clamp(delay, Span(0), Options.MaxNewsDelay);
  auto [it, isNew] = NewsDelays.try_emplace(domain, bounded);
  if (!isNew)
    it->second = (it->second + bounded) / 2;
}

void ReplicaView::addSpeedSample(const std::string &replica,
                                 ReplicaState &state, Span took, Span typical,
                                 Instant now) {
  bool hadSamples = state.Speed.hasSamples();
  if (!state.Speed.add(inSeconds(took) / inSeconds(typical), now))
    return;
  if (!hadSamples)
    Sampled[state.Record->FailureDomain].push_back(replica);
  applySpeed(state, now);
  refreshSpeeds(now);
}

void ReplicaView::onPromptSent(ReplicaState &state, const RouteQuery &query,
                               Instant now) {
  state.Unstarted[query.SentAt] = {uncachedTokens(state, query),
                                   std::max(Span(0), state.PrefillUntil - now)};
}

void ReplicaView::onPromptStarted(const std::string &replica,
                                  ReplicaState &state, Instant sentAt,
                                  Span took, bool wasIdle) {
  auto prompt = state.Unstarted.extract(sentAt);
  if (prompt.empty())
    return;
  const auto &[tokens, backlog] = prompt.mapped();
  auto &speed = PrefillSpeeds[state.Record->Service];
  auto typical = speed.expected(tokens);
  if (typical && backlog <= Options.MaxPrefillBacklog) {
    // Where engines are sent prompts before they are idle, a backlog that is
    // estimated too long would otherwise never be corrected.
    auto now = sentAt + took;
    double factor = state.Speed.factor(now);
    addSpeedSample(replica, state, scaled(took, factor),
                   scaled(*typical, factor) +
                       scaled(backlog, 1 / Options.PrefillOverhead),
                   now);
  }
  if (wasIdle)
    speed.add(tokens, atMeanSpeed(state, took));
}

void ReplicaView::onSuccess(const std::string &replica, Instant sentAt,
                            Instant now) {
  auto it = Replicas.find(replica);
  if (it == Replicas.end() || !it->second.Unqueued.erase(sentAt))
    return;
  auto &state = it->second;
  auto took = now - sentAt;
  auto &typical = PlainTimes[state.Record->Service];
  if (auto expected = typical.expected(NoTokens))
    addSpeedSample(replica, state, took, *expected, now);
  typical.add(NoTokens, atMeanSpeed(state, took));
}

Span ReplicaView::atMeanSpeed(const ReplicaState &state, Span took) const {
  if (!state.UsesSpeed)
    return took;
  // Without the factor, the service's typical time would follow which replicas
  // are used. Without the mean, both the factors and that time could drift
  // together, since only their product is measured.
  auto range = SpeedRanges.find(state.Record->Service);
  double mean = range == SpeedRanges.end() ? 1 : range->second.Mean;
  return scaled(took, mean / state.SpeedFactor);
}

void ReplicaView::applySpeed(ReplicaState &state, Instant now) const {
  state.SpeedFactor = state.UsesSpeed ? state.Speed.factor(now) : 1;
}

ReplicaView::ReplicaState *
ReplicaView::findForSpeed(const std::string &replica) {
  auto it = Replicas.find(replica);
  if (it != Replicas.end() && isUsable(it->second))
    return &it->second;
  ++RejectedSpeeds;
  return nullptr;
}

void ReplicaView::onSpeedSamples(const SpeedSamples &samples, Instant now) {
  if (!Options.UseSpeeds)
    return;
  auto *state = findForSpeed(samples.Replica);
  if (!state)
    return;
  if (state->Speed.add(samples.Samples, now))
    applySpeed(*state, now);
  else
    ++RejectedSpeeds;
}

void ReplicaView::onMergedSpeed(const MergedSpeed &merged, Instant now) {
  if (!Options.UseSpeeds)
    return;
  auto *state = findForSpeed(merged.Replica);
  if (!state)
    return;
  if (state->Speed.onMerged(merged.Factor, merged.Age, now))
    applySpeed(*state, now);
  else
    ++RejectedSpeeds;
}

std::vector<SpeedSamples>
ReplicaView::takeSpeedSamples(const std::string &domain) {
  std::vector<SpeedSamples> out;
  auto &sampled = Sampled[domain];
  while (!sampled.empty() && out.size() < MaxSpeedsPerHeartbeat) {
    auto id = std::move(sampled.front());
    sampled.pop_front();
    auto found = Replicas.find(id);
    if (found == Replicas.end())
      continue;
    if (auto samples = found->second.Speed.takeSamples())
      out.push_back({std::move(id), *samples});
  }
  return out;
}

std::vector<MergedSpeed> ReplicaView::takeSpeedsSince(const std::string &domain,
                                                      std::uint64_t &revision,
                                                      Instant now) const {
  std::vector<MergedSpeed> out;
  for (auto it = SpeedChanges.upper_bound(revision);
       it != SpeedChanges.end() && out.size() < MaxSpeedsPerHeartbeat; ++it) {
    revision = it->first;
    auto found = Replicas.find(it->second);
    if (found == Replicas.end())
      continue;
    const auto &state = found->second;
    if (isUsable(state) && state.Record->FailureDomain == domain)
      out.push_back(
          {it->second, state.Speed.factor(now), state.Speed.age(now)});
  }
  return out;
}

void ReplicaView::publishSpeeds(std::span<ReplicaState *const> changed,
                                Instant now) {
  auto n = std::min(changed.size(), MaxPublishedSpeeds);
  for (std::size_t it = 0; it < n; ++it) {
    auto &state = *changed[(PublishTurn + it) % changed.size()];
    SpeedChanges.erase(state.SpeedRevision);
    state.PublishedSpeed = state.Speed.factor(now);
    state.SpeedRevision = ++SpeedRevision;
    SpeedChanges[state.SpeedRevision] = state.Record->Incarnation.text();
  }
  PublishTurn += n;
}

void ReplicaView::refreshSpeeds(Instant now) {
  if (!Options.UseSpeeds || now - SpeedsAt < Options.SpeedInterval)
    return;
  SpeedsAt = now;
  std::map<std::string, SpeedRange> ranges;
  std::vector<ReplicaState *> changed;
  for (auto &[service, all] : ByService) {
    SpeedRange range;
    double slowest = 0;
    double logs = 0;
    std::size_t n = 0;
    double fastest = ReplicaSpeed::MaxFactor;
    for (auto *it : all) {
      if (!isUsable(*it))
        continue;
      it->Speed.updateSteady(now);
      double factor = it->Speed.factor(now);
      logs += std::log(factor);
      bool isFirst = n++ == 0;
      range.Min = isFirst ? factor : std::min(range.Min, factor);
      range.Max = isFirst ? factor : std::max(range.Max, factor);
      slowest = std::max(slowest, it->Speed.steadyFactor());
      fastest = std::min(fastest, it->Speed.steadyFactor());
      // What an owner has reported is that owner's to publish.
      if (!it->Speed.isFromOwner() &&
          differsByMoreThan(PublishedRatio, factor, it->PublishedSpeed))
        changed.push_back(it);
    }
    range.InEffect = slowest > Options.MinSpeedRatio * fastest;
    for (auto *it : all) {
      it->UsesSpeed = range.InEffect;
      applySpeed(*it, now);
    }
    if (!n)
      continue;
    range.Mean = std::exp(logs / static_cast<double>(n));
    ranges[service] = range;
  }
  SpeedRanges = std::move(ranges);
  publishSpeeds(changed, now);
}

double ReplicaView::speedOf(const std::string &replica) const {
  auto it = Replicas.find(replica);
  return it == Replicas.end() ? 1 : it->second.SpeedFactor;
}

} // namespace hemlockglade
