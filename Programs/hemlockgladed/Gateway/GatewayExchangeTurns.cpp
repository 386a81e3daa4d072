// How an exchange waits for its workspace's limit, and for its turn at plain
// replicas.

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <asio/post.hpp>

namespace hemlockglade {

using namespace gateway;

double GatewayExchange::units() const {
  if (CallerWorkspace->Limit->Unit == LimitUnit::Requests)
    return 1;
  return Labels.TellsTokens ? static_cast<double>(Labels.PromptTokens) +
                                  static_cast<double>(Labels.MaxOutputTokens)
                            : CallerWorkspace->Limit->PlainTokens;
}

void GatewayExchange::book() {
  if (!CallerWorkspace || !CallerWorkspace->Limit)
    return next();
  Shared.Limits.Reserve(
      *CallerWorkspace, units(),
      [self = shared_from_this()](auto what, Span retryAfter) {
        self->onBooked(what, retryAfter);
      });
}

void GatewayExchange::onBooked(QuotaService::Verdict what, Span retryAfter) {
  Booked = what == QuotaService::Verdict::Allowed;
  if (Done)
    return giveBack();
  if (!Booked)
    noteLimited(retryAfter);
  if (what == QuotaService::Verdict::Limited)
    return answerOwn(TooMany, "beyond its workspace's limit", retryAfter);
  if (what == QuotaService::Verdict::NoServer)
    return answerOwn(Unavailable, "its workspace's limit can't be looked up",
                     retryAfter);
  next();
}

void GatewayExchange::noteLimited(Span retryAfter) {
  const auto &limit = *CallerWorkspace->Limit;
  bool tokens = limit.Unit == LimitUnit::Tokens;
  Shared.Log.write(
      LogClass::Request, "not-booked",
      {{"request", Labels.Id},
       {"workspace", CallerWorkspace->Name},
       {"asked_for", units()},
       {"unit", tokens ? "tokens" : "requests"},
       {"limit_per_s", limit.PerSecond},
       {"burst", limit.Burst},
       {"plan", Plan->version()},
       {"decided_after_ms", TimerService::now() - Request.ArrivedAt},
       {"retry_after_ms", retryAfter}});
}

void GatewayExchange::giveBack() {
  if (std::exchange(Booked, false))
    Shared.Limits.Release(*CallerWorkspace, units());
}

bool GatewayExchange::letsOthersGo(Instant now) {
  if (engine() || !Shared.PlainQueue ||
      !Shared.PlainQueue->hasWaiting(Query.Service))
    return false;
  joinTurns();
  if (Shared.PlainQueue->isNext(Query.Service, Turn, now))
    return false;
  Shared.PlainQueue->wakeNext(Query.Service, now);
  return true;
}

void GatewayExchange::joinTurns() {
  if (Turn)
    return;
  FairQueue::Request request;
  request.Workspace = workspace();
  request.Rank = Query.Rank;
  request.OnTimeUntil = Shared.View.onTimeUntil(Query, Request.ArrivedAt);
  request.Wake = [weak = weak_from_this(), &context = Shared.Context] {
    // Later, since another request may be in the middle of its own choice.
    asio::post(context, [weak] {
      if (auto self = weak.lock())
        self->wake();
    });
  };
  Turn = Shared.PlainQueue->join(Query.Service, std::move(request));
}

void GatewayExchange::leaveTurns(bool served) {
  auto turn = std::exchange(Turn, 0);
  if (!turn)
    return;
  if (served)
    Shared.PlainQueue->onServed(Query.Service, turn);
  else
    Shared.PlainQueue->leave(Query.Service, turn);
  Shared.PlainQueue->wakeNext(Query.Service, TimerService::now());
}

} // namespace hemlockglade
