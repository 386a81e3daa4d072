#include "Hemlockglade/Coordination/Route/HeldRequests.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

std::uint32_t HeldRequests::countedTokens(const Request &request) const {
  return std::clamp<std::uint32_t>(request.Tokens, 1, Options.MaxTokens);
}

Instant HeldRequests::oldFrom(const Request &request) const {
  return request.ArrivedAt +
         scaled(request.HoldUntil - request.ArrivedAt, Options.OldShare);
}

HeldRequests::Ticket HeldRequests::join(Request request, Instant now) {
  QueueKey key{request.Service, request.Weights};
  auto &queue = Queues[key];
  measure(queue, key, now);
  auto ticket = ++LastTicket;
  auto &it = Requests[ticket];
  it.Details = std::move(request);
  it.In = &queue;
  ++queue.Waiting;
  place(ticket, it, now);
  return ticket;
}

void HeldRequests::place(Ticket ticket, Waiting &it, Instant now) {
  auto &queue = *it.In;
  const auto &details = it.Details;
  auto oldAt = oldFrom(details);
  bool late = now >= details.OnTimeUntil;
  it.IsOld = now >= oldAt;
  it.IsPlaced = now >= it.DeferredUntil;
  it.ChangesAt = Instant::max();
  if (!it.IsPlaced)
    it.ChangesAt = it.DeferredUntil;
  if (it.IsPlaced && !late)
    it.ChangesAt = details.OnTimeUntil;
  if (it.IsPlaced && !it.IsOld)
    it.ChangesAt = std::min(it.ChangesAt, oldAt);
  if (it.ChangesAt != Instant::max())
    queue.Changes.emplace(it.ChangesAt, ticket);
  if (!it.IsPlaced)
    return;
  it.Class =
      ClassKey{late, late ? details.TargetLatency : Span(0), details.Rank};
  auto &group = queue.Classes[it.Class];
  auto &lane = group.Lanes[details.Workspace];
  if (lane.Requests.empty()) {
    // A workspace without requests saves up no turns.
    lane.Used = std::max(lane.Used, group.VirtualTime);
    group.Turns.emplace(lane.Used, details.Workspace);
  }
  lane.Requests.emplace(!it.IsOld, details.ArrivedAt, ticket);
  lane.Tokens += countedTokens(details);
  group.Tokens += countedTokens(details);
  if (it.IsOld)
    queue.Old.emplace(details.ArrivedAt, ticket);
}

void HeldRequests::unplace(Ticket ticket, Waiting &it) {
  auto &queue = *it.In;
  const auto &details = it.Details;
  queue.Changes.erase({it.ChangesAt, ticket});
  if (!std::exchange(it.IsPlaced, false))
    return;
  queue.Old.erase({details.ArrivedAt, ticket});
  auto group = queue.Classes.find(it.Class);
  auto &lane = group->second.Lanes.at(details.Workspace);
  lane.Requests.erase({!it.IsOld, details.ArrivedAt, ticket});
  lane.Tokens -= countedTokens(details);
  group->second.Tokens -= countedTokens(details);
  if (lane.Requests.empty())
    group->second.Turns.erase({lane.Used, details.Workspace});
  if (group->second.Turns.empty())
    queue.Classes.erase(group);
}

void HeldRequests::refresh(Queue &queue, Instant now) {
  while (!queue.Changes.empty() && queue.Changes.begin()->first <= now) {
    auto ticket = queue.Changes.begin()->second;
    auto &it = Requests.at(ticket);
    unplace(ticket, it);
    place(ticket, it, now);
  }
}

void HeldRequests::measure(Queue &queue, const QueueKey &key, Instant now) {
  if (!Options.Copies)
    return;
  auto since = std::max(Span(0), now - queue.MeasuredAt);
  queue.MeasuredAt = std::max(queue.MeasuredAt, now);
  auto halfLife = inSeconds(Options.RateHalfLife);
  double left = std::exp2(-inSeconds(since) / halfLife);
  auto ready = std::count_if(queue.Copies.begin(), queue.Copies.end(),
                             [now](auto at) { return at <= now; });
  if (queue.CopySeconds > 0) {
    double sent = queue.SentTokens / queue.CopySeconds *
                  static_cast<double>(ready) * inSeconds(since);
    queue.Promised = std::max(0.0, queue.Promised - sent);
  }
  queue.Sends *= left;
  queue.SentTokens *= left;
  queue.CopySeconds *= left;
  // Without a request that could be sent, the engines' rate does not show.
  if (queue.Classes.empty())
    return;
  queue.CopySeconds +=
      static_cast<double>(ready) * (1 - left) * halfLife / std::log(2.0);
  if (now - queue.CopiesAt < Options.CopiesInterval)
    return;
  queue.Copies = Options.Copies(key.first, key.second, now);
  queue.CopiesAt = now;
}

void HeldRequests::remove(Ticket ticket, Waiting &it) {
  auto &queue = *it.In;
  unplace(ticket, it);
  std::erase(queue.Passed, ticket);
  --queue.Waiting;
  Requests.erase(ticket);
}

void HeldRequests::onSent(Ticket ticket, Instant now) {
  auto found = Requests.find(ticket);
  if (found == Requests.end())
    return;
  auto &it = found->second;
  auto &queue = *it.In;
  measure(queue, {it.Details.Service, it.Details.Weights}, now);
  auto tokens = countedTokens(it.Details);
  queue.Sends += 1;
  queue.SentTokens += tokens;
  queue.SendsSinceOldest = it.IsOld ? 0 : queue.SendsSinceOldest + 1;
  queue.Passed.clear();
  if (it.IsPlaced) {
    auto &group = queue.Classes.at(it.Class);
    auto &lane = group.Lanes.at(it.Details.Workspace);
    group.Turns.erase({lane.Used, it.Details.Workspace});
    group.VirtualTime = std::max(group.VirtualTime, lane.Used);
    lane.Used += tokens;
    group.Turns.emplace(lane.Used, it.Details.Workspace);
  }
  remove(ticket, it);
  wakeNext(queue, now);
}

void HeldRequests::leave(Ticket ticket, Instant now) {
  auto found = Requests.find(ticket);
  if (found == Requests.end())
    return;
  auto &queue = *found->second.In;
  const auto &details = found->second.Details;
  measure(queue, {details.Service, details.Weights}, now);
  remove(ticket, found->second);
  wakeNext(queue, now);
}

bool HeldRequests::hasWaiting(const std::string &service,
                              const WeightsRef &weights) const {
  auto it = Queues.find({service, weights});
  return it != Queues.end() && it->second.Waiting > 0;
}

bool HeldRequests::isOldestTurn(const Queue &queue) const {
  return !queue.Old.empty() &&
         queue.SendsSinceOldest + 1 >= Options.SendsPerOldest;
}

HeldRequests::Ticket HeldRequests::next(Queue &queue, Instant now) {
  refresh(queue, now);
  if (isOldestTurn(queue))
    return queue.Old.begin()->second;
  if (queue.Classes.empty())
    return 0;
  const auto &group = queue.Classes.begin()->second;
  const auto &lane = group.Lanes.at(group.Turns.begin()->second);
  return std::get<Ticket>(*lane.Requests.begin());
}

bool HeldRequests::isNext(Ticket ticket, Instant now) {
  auto it = Requests.find(ticket);
  if (it == Requests.end())
    return true;
  auto first = next(*it->second.In, now);
  return first == 0 || first == ticket;
}

bool HeldRequests::isOldestTurn(Ticket ticket, Instant now) {
  auto it = Requests.find(ticket);
  if (it == Requests.end())
    return false;
  auto &queue = *it->second.In;
  return next(queue, now) == ticket && isOldestTurn(queue);
}

void HeldRequests::defer(Ticket ticket, Waiting &it, Instant now) {
  unplace(ticket, it);
  it.DeferredUntil = now + Options.Deferral;
  place(ticket, it, now);
}

void HeldRequests::onObstacle(Ticket ticket, const Obstacle &obstacle,
                              Instant now) {
  auto found = Requests.find(ticket);
  if (found == Requests.end())
    return;
  auto &it = found->second;
  auto &queue = *it.In;
  refresh(queue, now);
  std::erase_if(queue.Passed, [this, now](auto passed) {
    return now >= Requests.at(passed).DeferredUntil;
  });
  bool isPassed = obstacle.IsFull && queue.Passed.size() < Options.MaxPassed;
  if (!obstacle.IsOwn && !isPassed) {
    queue.TriedTicket = ticket;
    queue.TryAgainAt = obstacle.RetryAt;
    return;
  }
  measure(queue, {it.Details.Service, it.Details.Weights}, now);
  defer(ticket, it, now);
  if (!obstacle.IsOwn)
    queue.Passed.push_back(ticket);
  wakeNext(queue, now);
}

void HeldRequests::onRoom(const std::string &service, const WeightsRef &weights,
                          Instant now) {
  auto found = Queues.find({service, weights});
  if (found == Queues.end() || found->second.Waiting == 0)
    return;
  auto &queue = found->second;
  for (auto ticket : std::exchange(queue.Passed, {})) {
    auto &it = Requests.at(ticket);
    unplace(ticket, it);
    it.DeferredUntil = Instant{};
    place(ticket, it, now);
  }
  queue.TriedTicket = 0;
  wakeNext(queue, now);
}

void HeldRequests::wakeNext(const std::string &service,
                            const WeightsRef &weights, Instant now) {
  auto it = Queues.find({service, weights});
  if (it != Queues.end())
    wakeNext(it->second, now);
}

void HeldRequests::wakeNext(Queue &queue, Instant now) {
  auto ticket = next(queue, now);
  if (ticket == 0 || (ticket == queue.TriedTicket && now < queue.TryAgainAt))
    return;
  if (const auto &wake = Requests.at(ticket).Details.Wake)
    wake();
}

double HeldRequests::tokensAhead(Ticket ticket, const Waiting &it) const {
  const auto &queue = *it.In;
  double out = 0;
  for (const auto &[key, group] : queue.Classes) {
    if (key >= it.Class)
      break;
    out += static_cast<double>(group.Tokens);
  }
  const auto &group = queue.Classes.at(it.Class);
  const auto &own = group.Lanes.at(it.Details.Workspace);
  // What precedes an earlier one in its own lane is left out: it was counted
  // when the request joined, and only becomes less.
  bool isLast = std::get<Ticket>(*own.Requests.rbegin()) == ticket;
  double mine = countedTokens(it.Details);
  double ownAhead = isLast ? static_cast<double>(own.Tokens) - mine : 0;
  out += ownAhead;
  for (const auto &[space, lane] : group.Lanes) {
    if (&lane == &own)
      continue;
    // It has turns until it has used as much as the own lane will have by then.
    double turns = std::max(0.0, own.Used + ownAhead - lane.Used);
    out += std::min(static_cast<double>(lane.Tokens), turns);
  }
  return out;
}

double HeldRequests::tokensAheadAsOldest(const Waiting &it,
                                         double enough) const {
  double out = 0;
  for (const auto &[arrivedAt, other] : it.In->Old) {
    if (arrivedAt >= it.Details.ArrivedAt || out > enough)
      break;
    out += static_cast<double>(countedTokens(Requests.at(other).Details)) *
           Options.SendsPerOldest;
  }
  return out;
}

Instant HeldRequests::earliestSend(Ticket ticket, const Waiting &it,
                                   Instant now) const {
  double ahead = tokensAhead(ticket, it);
  auto out = sentBy(*it.In, ahead, now);
  // What precedes one that can be in time has arrived before it, and so turns
  // old before it. Newer ones precede a late one.
  if (!std::get<bool>(it.Class))
    return out;
  auto asOldest = sentBy(*it.In, tokensAheadAsOldest(it, ahead), now);
  return std::min(out, std::max(oldFrom(it.Details), asOldest));
}

Instant HeldRequests::sentBy(const Queue &queue, double tokens,
                             Instant now) const {
  auto copies = queue.Copies;
  std::sort(copies.begin(), copies.end());
  double perCopy = queue.SentTokens / queue.CopySeconds;
  auto at = std::max(now, copies.front());
  double ready = 0;
  for (auto readyAt : copies) {
    double until = ready * perCopy * inSeconds(readyAt - at);
    if (readyAt > at && ready > 0 && until >= tokens)
      break;
    if (readyAt > at) {
      tokens -= until;
      at = readyAt;
    }
    ++ready;
  }
  constexpr double MaxSeconds = 3600;
  return at + spanOf(std::min(MaxSeconds, tokens / (ready * perCopy)));
}

std::optional<HeldRequests::Hopeless> HeldRequests::hopeless(Ticket ticket,
                                                             Instant now) {
  auto found = Requests.find(ticket);
  if (found == Requests.end() || !Options.Copies)
    return std::nullopt;
  auto &it = found->second;
  auto &queue = *it.In;
  QueueKey key{it.Details.Service, it.Details.Weights};
  measure(queue, key, now);
  refresh(queue, now);
  bool isKnown = queue.Sends >= Options.MinSends && queue.CopySeconds > 0 &&
                 !queue.Copies.empty();
  if (!isKnown || !it.IsPlaced)
    return std::nullopt;
  auto limit = now + Options.HopelessMargin +
               scaled(std::max(Span(0), it.Details.HoldUntil - now),
                      Options.HopelessFactor);
  if (earliestSend(ticket, it, now) <= limit)
    return std::nullopt;
  // A copy may have become known since they were counted last.
  queue.Copies = Options.Copies(key.first, key.second, now);
  queue.CopiesAt = now;
  if (queue.Copies.empty())
    return std::nullopt;
  auto begins = earliestSend(ticket, it, now);
  if (begins <= limit)
    return std::nullopt;
  double ahead = tokensAhead(ticket, it);
  auto ready = std::count_if(queue.Copies.begin(), queue.Copies.end(),
                             [now](auto at) { return at <= now; });
  Hopeless out;
  out.AheadTokens = static_cast<std::uint64_t>(ahead);
  out.TokensPerSecond =
      queue.SentTokens / queue.CopySeconds * static_cast<double>(ready);
  out.Expected = begins - now;
  // Those that were rejected before return ahead of it.
  auto returnsAt = sentBy(queue, ahead + queue.Promised, now);
  queue.Promised += countedTokens(it.Details);
  std::uniform_real_distribution<double> spread(0, Options.RetrySpread);
  out.RetryAfter = scaled(std::min(Options.MaxRetryAfter, returnsAt - now),
                          1 + spread(Random));
  return out;
}

void HeldRequests::removeExpired(Instant now) {
  std::erase_if(Queues, [this, now](const auto &it) {
    const auto &queue = it.second;
    return queue.Waiting == 0 && now - queue.MeasuredAt >= Options.IdleTime;
  });
}

} // namespace hemlockglade
