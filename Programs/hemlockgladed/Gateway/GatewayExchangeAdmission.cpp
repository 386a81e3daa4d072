// GatewayExchange: reservation of quota, and queueing for plain replicas that
// are full and for engines.

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>
#include <asio/post.hpp>

namespace hemlockglade {

using namespace gateway;

double GatewayExchange::quotaUnits() const {
  if (CallerWorkspace->Limit->Unit == LimitUnit::Requests)
    return 1;
  return Labels.TellsTokens ? static_cast<double>(Labels.PromptTokens) +
                                  static_cast<double>(Labels.MaxOutputTokens)
                            : CallerWorkspace->Limit->PlainTokens;
}

void GatewayExchange::reserveQuota() {
  if (!CallerWorkspace || !CallerWorkspace->Limit)
    return sendOrHold();
  Shared.Limits.Reserve(*CallerWorkspace, quotaUnits(),
                        [self = shared_from_this()](const auto &decision) {
                          self->onQuotaDecided(decision);
                        });
}

void GatewayExchange::onQuotaDecided(const QuotaService::Decision &decision) {
  auto verdict = decision.Result;
  QuotaReserved = verdict == QuotaService::Verdict::Allowed;
  if (Done)
    return releaseQuota();
  if (!QuotaReserved)
    logQuotaRefusal(decision.RetryAfter);
  if (verdict == QuotaService::Verdict::Limited)
    return refuse(
        {"beyond its workspace's limit", decision.RetryAfter, {}, TooMany});
  if (verdict == QuotaService::Verdict::NoServer)
    return refuse(
        {"its workspace's limit can't be looked up", decision.RetryAfter});
  sendOrHold();
}

void GatewayExchange::logQuotaRefusal(Span retryAfter) {
  const auto &limit = *CallerWorkspace->Limit;
  bool tokens = limit.Unit == LimitUnit::Tokens;
  Shared.Log.write(
      LogClass::Request, "not-booked",
      {{"request", Labels.Id},
       {"workspace", CallerWorkspace->Name},
       {"asked_for", quotaUnits()},
       {"unit", tokens ? "tokens" : "requests"},
       {"limit_per_s", limit.PerSecond},
       {"burst", limit.Burst},
       {"plan", Plan->version()},
       {"decided_after_ms", TimerService::now() - Request.ArrivedAt},
       {"retry_after_ms", retryAfter}});
}

void GatewayExchange::releaseQuota() {
  if (std::exchange(QuotaReserved, false))
    Shared.Limits.Release(*CallerWorkspace, quotaUnits());
}

bool GatewayExchange::holdsGrantOf(const RouteChoice &choice) const {
  return Grant && Grant->Replica->Incarnation == choice.Replica->Incarnation;
}

bool GatewayExchange::needsPlace(const RouteChoice &choice) const {
  return choice.Place && Shared.ReplicaLimits.ReservePlace &&
         !(Grant && Grant->Place);
}

bool GatewayExchange::needsRequestGrant(const RouteChoice &choice) const {
  return choice.RequestLimit && Shared.ReplicaLimits.Reserve &&
         !(Grant && Grant->RequestLimit);
}

void GatewayExchange::reserveGrant(const RouteChoice &choice) {
  Waiting = true;
  WaitsForCapacity = true;
  WaitReason = "replica's limit";
  WakeAt = Instant::max();
  armTimer();
  // Others need not wait for the decision.
  leaveHeld();
  requestGrant(choice);
}

void GatewayExchange::requestGrant(const RouteChoice &choice) {
  GrantPending = true;
  ReplicaGrant part{choice.Replica, {}, {}};
  bool wantsPlace = needsPlace(choice);
  if (wantsPlace)
    part.Place = choice.Place;
  else
    part.RequestLimit = choice.RequestLimit;
  auto decided = [self = shared_from_this(), part](const auto &decision) {
    self->onGrantDecided(part, decision);
  };
  if (wantsPlace)
    Shared.ReplicaLimits.ReservePlace(*part.Replica, *part.Place, WaitsForPlace,
                                      decided);
  else
    Shared.ReplicaLimits.Reserve(*part.Replica, *part.RequestLimit, decided);
}

void GatewayExchange::onGrantDecided(ReplicaGrant part,
                                     const QuotaService::Decision &decision) {
  GrantPending = false;
  if (decision.Result == QuotaService::Verdict::Allowed) {
    if (Grant && part.Place)
      Grant->Place = part.Place;
    else if (Grant)
      Grant->RequestLimit = part.RequestLimit;
    else
      Grant = std::move(part);
    return onGranted();
  }
  if (Done)
    return;
  auto now = TimerService::now();
  auto replica = part.Replica->Incarnation.text();
  Query.LimitedUntil[replica] = now + decision.EmptyFor;
  if (part.RequestLimit)
    LimitRetryAt = std::min(LimitRetryAt, now + decision.RetryAfter);
  bool answered = decision.Result == QuotaService::Verdict::Limited;
  Shared.Log.write(LogClass::Request, "not-granted",
                   {{"request", Labels.Id},
                    {"replica", replica},
                    {"what", part.Place ? "place" : "request"},
                    {"limit_per_s", part.RequestLimit.value_or(0)},
                    {"owner_answered", answered},
                    {"empty_for_ms", decision.EmptyFor},
                    {"retry_after_ms", decision.RetryAfter}});
  // The slow attempt goes on, and looks for a replica again later.
  if (Current)
    return releaseGrant(Grant);
  // Others are not asked without end where all places are taken.
  constexpr std::uint32_t MaxPlaceDenials = 4;
  PlaceDenials += part.Place ? 1 : 0;
  if (PlaceDenials >= MaxPlaceDenials || (part.Place && WaitsForPlace)) {
    releaseGrant(Grant);
    return waitForPlace(now + decision.EmptyFor);
  }
  sendOrHold();
}

void GatewayExchange::onGranted() {
  if (Done)
    return releaseGrant(Grant);
  if (!Current)
    return sendOrHold();
  // An event may have arrived while the grant was decided.
  if (Current->IsSlow)
    return onSlow();
  releaseGrant(Grant);
}

void GatewayExchange::waitForPlace(Instant readyAt) {
  auto now = TimerService::now();
  PlaceDenials = 0;
  if (readyAt >= HoldUntil && !AnswerBegun)
    return refuse({"no place at a replica in time",
                   std::max(retryAfter(), readyAt - now),
                   "no replica to try again"});
  // From the second time on the request waits at one replica's owner.
  bool wasWaiting = std::exchange(WaitsForPlace, true);
  auto limits = Query.LimitedUntil.size();
  std::erase_if(Query.LimitedUntil, [this, now](const auto &it) {
    return it.second < now + Settings.WaitPollInterval;
  });
  if (!wasWaiting && Query.LimitedUntil.size() < limits)
    return sendOrHold();
  RouteChoice choice;
  choice.Result = RouteChoice::Kind::Full;
  choice.ReadyAt = readyAt;
  waitForReplica(choice);
}

void GatewayExchange::releaseGrant(std::optional<ReplicaGrant> &grant) {
  if (grant && grant->RequestLimit)
    Shared.ReplicaLimits.Release(*grant->Replica, *grant->RequestLimit);
  releasePlace(grant, false);
  grant.reset();
}

void GatewayExchange::releasePlace(std::optional<ReplicaGrant> &grant,
                                   bool mayRunOn) {
  // A replica notices within that time that the connection was reset.
  constexpr Span ResetTime = std::chrono::milliseconds(300);
  if (!grant || !grant->Place)
    return;
  auto delay =
      mayRunOn ? std::min(ResetTime, std::max(Span(0), timeLeft())) : Span(0);
  Shared.ReplicaLimits.ReleasePlace(*grant->Replica, *grant->Place, delay);
  grant->Place.reset();
}

void GatewayExchange::onPlacesNeeded(const std::string &service) {
  bool hasPlace = Current && Current->Grant && Current->Grant->Place;
  if (Done || !Current || hasPlace || Query.Service != service)
    return;
  auto need =
      Shared.View.placeNeed(Current->Replica->Incarnation.text(), Query);
  if (!need)
    return;
  Shared.ReplicaLimits.OccupyPlace(*Current->Replica, *need);
  if (!Current->Grant)
    Current->Grant = ReplicaGrant{Current->Replica, {}, {}};
  Current->Grant->Place = need;
}

bool GatewayExchange::mustQueue(Instant now) {
  if (usesEngine() || !Shared.PlainQueue ||
      !Shared.PlainQueue->hasWaiting(Query.Service))
    return false;
  joinQueue();
  if (Shared.PlainQueue->isNext(Query.Service, QueueTicket, now))
    return false;
  Shared.PlainQueue->wakeNext(Query.Service, now);
  return true;
}

void GatewayExchange::joinQueue() {
  if (QueueTicket)
    return;
  FairQueue::Request request;
  request.Workspace = workspace();
  request.Rank = Query.Rank;
  request.OnTimeUntil = Shared.View.onTimeUntil(Query, Request.ArrivedAt);
  request.Wake = [weak = weak_from_this(), &context = Shared.Context] {
    // Posted, since another request may be in the middle of its own choice.
    asio::post(context, [weak] {
      if (auto self = weak.lock())
        self->wake();
    });
  };
  QueueTicket = Shared.PlainQueue->join(Query.Service, std::move(request));
}

void GatewayExchange::leaveQueue(bool served) {
  auto now = TimerService::now();
  if (HeldTicket && served)
    Shared.Held->onSent(std::exchange(HeldTicket, 0), now);
  leaveHeld();
  auto ticket = std::exchange(QueueTicket, 0);
  if (!ticket)
    return;
  if (served)
    Shared.PlainQueue->onServed(Query.Service, ticket);
  else
    Shared.PlainQueue->leave(Query.Service, ticket);
  Shared.PlainQueue->wakeNext(Query.Service, now);
}

bool GatewayExchange::joinsHeld() const {
  // A stream that has begun has to go on at once, or is lost.
  return Shared.Held && usesEngine() && !AnswerBegun;
}

void GatewayExchange::joinHeld(Instant now) {
  if (HeldTicket)
    return;
  HeldRequests::Request request;
  request.Service = Query.Service;
  request.Weights = *Query.Weights;
  request.Workspace = workspace();
  request.Rank = Query.Rank;
  request.Tokens = Query.PromptTokens;
  request.TargetLatency = Query.TargetLatency;
  request.ArrivedAt = Request.ArrivedAt;
  request.OnTimeUntil = Query.OnTimeUntil;
  request.HoldUntil = HoldUntil;
  request.Wake = [weak = weak_from_this(), &context = Shared.Context] {
    // Posted, since another request may be in the middle of its own choice.
    asio::post(context, [weak] {
      if (auto self = weak.lock())
        self->wake();
    });
  };
  HeldTicket = Shared.Held->join(std::move(request), now);
}

void GatewayExchange::leaveHeld() {
  if (auto ticket = std::exchange(HeldTicket, 0))
    Shared.Held->leave(ticket, TimerService::now());
}

bool GatewayExchange::yieldsToHeld(Instant now) {
  YieldsToHeld = false;
  // One that holds a grant had its turn when it asked for it.
  if (!joinsHeld() || Grant ||
      !Shared.Held->hasWaiting(Query.Service, *Query.Weights))
    return false;
  joinHeld(now);
  if (Shared.Held->isNext(HeldTicket, now))
    return false;
  Shared.Held->wakeNext(Query.Service, *Query.Weights, now);
  if (!std::exchange(DemandReported, true))
    Shared.OnDemand(Query.Service, *Query.Weights, false, {});
  if (endIfHeldTooLong() || rejectIfHopeless(now))
    return true;
  Waiting = true;
  WaitsForCapacity = true;
  YieldsToHeld = true;
  WakeAt = std::min(HoldUntil, now + Settings.HeldPollInterval);
  WaitReason = "others go first";
  reportCongestion(now);
  logWait({}, now);
  armTimer();
  return true;
}

RouteChoice GatewayExchange::chooseReplica(Instant now) {
  if (!HeldTicket || !Shared.Held->isOldestTurn(HeldTicket, now))
    return Shared.View.choose(Query, now);
  // A late request waits for an idle engine, and one of a lower rank for less
  // of a backlog; while others keep the engines busy it would never be sent.
  auto onTimeUntil = std::exchange(Query.OnTimeUntil, Instant::max());
  auto rank = std::exchange(Query.Rank, 0);
  auto out = Shared.View.choose(Query, now);
  Query.OnTimeUntil = onTimeUntil;
  Query.Rank = rank;
  return out;
}

bool GatewayExchange::holdInOrder(const RouteChoice &choice, Instant now) {
  bool waitsForEngine = choice.Result == RouteChoice::Kind::AwaitLoad ||
                        choice.Result == RouteChoice::Kind::AwaitPrefill ||
                        choice.Result == RouteChoice::Kind::Full;
  if (!joinsHeld() || !waitsForEngine) {
    leaveHeld();
    return true;
  }
  joinHeld(now);
  if (rejectIfHopeless(now))
    return false;
  bool isLimited =
      std::any_of(Query.LimitedUntil.begin(), Query.LimitedUntil.end(),
                  [now](const auto &it) { return now < it.second; });
  bool isFull = choice.Result == RouteChoice::Kind::Full;
  Shared.Held->onObstacle(
      HeldTicket, {!Query.Excluded.empty() || isLimited, isFull, WakeAt}, now);
  return true;
}

bool GatewayExchange::rejectIfHopeless(Instant now) {
  if (!Settings.RejectHopeless || Sendings.mayHaveRun())
    return false;
  bool isDue =
      !EstimatedAt || (now - *EstimatedAt >= Settings.DemandReminderInterval &&
                       now >= Query.OnTimeUntil);
  if (!isDue)
    return false;
  EstimatedAt = now;
  auto why = Shared.Held->hopeless(HeldTicket, now);
  if (!why)
    return false;
  Hopeless = true;
  Shared.Log.write(LogClass::Request, "hopeless",
                   {{"request", Labels.Id},
                    {"weights", Query.Weights->text()},
                    {"ahead_tokens", why->AheadTokens},
                    {"tokens_per_s", why->TokensPerSecond},
                    {"expected_ms", why->Expected},
                    {"held_until_ms", HoldUntil - now}});
  constexpr std::string_view Why = "no engine before its hold time ends";
  refuse({Why, why->RetryAfter});
  return true;
}

void GatewayExchange::pollLater(std::string_view reason) {
  auto now = TimerService::now();
  releaseGrant(Grant);
  Waiting = true;
  WaitsForCapacity = false;
  WaitReason = reason;
  WakeAt = now + Settings.WaitPollInterval;
  logWait({}, now);
  armTimer();
}

void GatewayExchange::waitForBudget() {
  leaveQueue(false);
  if (!endIfHeldTooLong())
    pollLater("no retry budget");
}

bool GatewayExchange::endIfHeldTooLong() {
  if (TimerService::now() < HoldUntil)
    return false;
  refuse({"held too long", retryAfter(), "no replica to try again"});
  return true;
}

void GatewayExchange::logWait(const RouteChoice &choice, Instant now) {
  if (WaitReason == LoggedReason)
    return;
  LoggedReason = WaitReason;
  bool hasReadyTime = choice.ReadyAt != Instant::max() && choice.ReadyAt > now;
  Shared.Log.write(
      LogClass::Request, "hold",
      {{"request", Labels.Id},
       {"reason", WaitReason},
       {"service", Query.Service},
       {"weights", usesEngine() ? Query.Weights->text() : ""},
       {"ready_in_ms", hasReadyTime ? choice.ReadyAt - now : Span(0)},
       {"held_until_ms", HoldUntil - now},
       {"can_load", !Shared.CanLoad || Shared.CanLoad()}});
}

void GatewayExchange::reportCongestion(Instant now) {
  bool congested = now - Request.ArrivedAt >= Settings.CongestedAfter;
  if (!usesEngine() || !congested ||
      now - DemandReportedAt < Settings.DemandReminderInterval)
    return;
  DemandReportedAt = now;
  ReportedUnusable.reset();
  Shared.OnCongested(Query.Service, *Query.Weights);
}

void GatewayExchange::reportMissing(Instant now,
                                    const std::set<std::string> &unusable) {
  // What an attempt has shown is news to the owner, whenever the last report
  // was: it may still count a copy that the request must not use.
  bool isNews = ReportedUnusable != unusable.size();
  if (!isNews && now - DemandReportedAt < Settings.DemandReminderInterval)
    return;
  DemandReportedAt = now;
  ReportedUnusable = unusable.size();
  Shared.OnDemand(Query.Service, *Query.Weights, true, unusable);
}

} // namespace hemlockglade
