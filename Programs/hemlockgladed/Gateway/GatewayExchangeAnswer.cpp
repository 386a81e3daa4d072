// How an exchange takes a replica's answer, or its lack.

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

namespace {

/// The id that an event's lines give, if any; of several events the last.
std::string lastId(std::string_view events) {
  constexpr std::string_view Key = "id:";
  std::string out;
  while (!events.empty()) {
    auto line = events.substr(0, events.find('\n'));
    events.remove_prefix(std::min(events.size(), line.size() + 1));
    if (!line.starts_with(Key))
      continue;
    line.remove_prefix(Key.size());
    while (!line.empty() && line.front() == ' ')
      line.remove_prefix(1);
    while (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    out = line;
  }
  return out;
}

} // namespace

bool GatewayExchange::onHead(const HttpAnswerHead &head) {
  auto labels = Shared.Labels.ReadAnswer(head.Status, viewsOf(head.Fields));
  if (!labels.Id.empty() && labels.Id != Labels.Id) {
    Shared.Log.write(LogClass::Request, "stray-answer",
                     {{"request", Labels.Id},
                      {"answers", labels.Id},
                      {"replica", Now->Replica->Life.text()}});
    return false;
  }
  auto now = TimerService::now();
  noteAlive();
  Now->Head = head;
  Now->Labels = labels;
  Shared.View.onAnswered(Now->Replica->Life.text(), Now->Number, now);
  if (!labels.NotRun)
    MayHaveRun = true;
  return true;
}

void GatewayExchange::onBody(std::string_view part) {
  noteAlive();
  Answered += part.size();
  bool events = Now->Labels.Events && isSuccess(Now->Head->Status) &&
                Now->Labels.Sealed && !Now->Labels.Encoded;
  if (!events) {
    Now->Body.append(part);
    if (Now->Body.size() > Setup.MaxAnswer)
      onUnknown("answer too large");
    return;
  }
  auto whole = Now->Events.take(part);
  if (!whole.empty())
    passEvents(whole);
}

void GatewayExchange::passEvents(std::string_view events) {
  if (!Now->FirstEventAt) {
    Now->FirstEventAt = TimerService::now();
    Shared.View.onFirstEvent(Now->Replica->Life.text(), Query,
                             *Now->FirstEventAt - Now->SentAt, Now->Clean);
  }
  if (!AnswerBegun) {
    AnswerBegun = true;
    FirstByte = TimerService::now() - Request.ArrivedAt;
    Reply->begin(*Now->Head);
  }
  if (auto id = lastId(events); !id.empty())
    LastEvent = id;
  ++EventsPassed;
  Reply->part(events);
  if (Way.idempotent() && Way.TargetGap > Span(0))
    expectWithin(
        std::max(Setup.LeastStall, scaled(Way.TargetGap, Setup.StallFactor)));
  if (Done || !Now || Reply->queued() < Setup.MaxQueued)
    return;
  Now->Connection->pauseReading(true);
  Reply->OnDrained = [weak = weak_from_this()] {
    auto self = weak.lock();
    if (self && self->Now)
      self->Now->Connection->pauseReading(false);
  };
}

void GatewayExchange::onDone() {
  if (Now->Labels.NotRun)
    return onNotRun();
  bool success = isSuccess(Now->Head->Status);
  if (success && (!Now->Labels.Sealed || Now->Labels.Encoded))
    return onUnknown("answer without signature");
  if (success && Now->Labels.Events) {
    constexpr std::string_view Torn = "its end was torn";
    if (Now->Events.torn())
      onBroken(Torn);
    return onStreamEnd(!Now->Events.torn(), Torn);
  }
  onPlainAnswer();
}

void GatewayExchange::onPlainAnswer() {
  auto status = Now->Head->Status;
  bool success = isSuccess(status);
  if (!success && !Now->Labels.Sealed)
    return onUnknown("failure without signature");
  if (!success && promisesNotRun(status))
    return onUnknown("the replica's status would promise too much");
  // A replica that fails more than its like does so by itself; another one
  // may answer the same request well.
  if (status >= ServerError && !AnswerBegun && mayRepeat() &&
      Shared.View.suspect(Now->Replica->Life.text(), TimerService::now()) &&
      spendRepeat("replica's own failure")) {
    auto failed = Now->Replica->Life.text();
    endAttempt(AttemptVerdict::OwnFailure);
    Query.Avoid.insert(failed);
    return next();
  }
  if (AnswerBegun)
    return onStreamEnd(false, "a resumed stream failed");
  HttpAnswerHead head = *Now->Head;
  auto body = std::move(Now->Body);
  // A failure may come before the replica begins to run the request, and says
  // nothing of what it does there.
  if (success)
    Shared.Crashes.OnServed(Key);
  endAttempt(status >= ServerError ? AttemptVerdict::OwnFailure
                                   : AttemptVerdict::Good);
  FirstByte = TimerService::now() - Request.ArrivedAt;
  Reply->respond(std::move(head), body);
  finish(status, success ? "complete" : "replica's failure");
}

void GatewayExchange::onStreamEnd(bool whole, std::string_view why) {
  if (whole) {
    if (!AnswerBegun)
      Reply->begin(*Now->Head);
    AnswerBegun = true;
    auto status = Now->Head->Status;
    if (Now->FirstEventAt)
      Shared.Crashes.OnServed(Key);
    endAttempt(AttemptVerdict::Good);
    Reply->finish();
    return finish(status, "complete");
  }
  onUnknown(why);
}

void GatewayExchange::onFailed(HttpFailure how) {
  if (how == HttpFailure::NotConnected) {
    auto failed = Now->Replica->Life.text();
    Tried.erase(failed);
    endAttempt(AttemptVerdict::Bad);
    Query.Avoid.insert(failed);
    Shared.Log.write(LogClass::Request, "not-connected",
                     {{"request", Labels.Id}, {"replica", failed}});
    return next();
  }
  MayHaveRun = true;
  Booked = false;
  auto why =
      how == HttpFailure::Ended ? "connection ended" : "connection broke";
  onBroken(why);
  onUnknown(why);
}

void GatewayExchange::onBroken(std::string_view how) {
  auto now = TimerService::now();
  Shared.Log.write(LogClass::Request, "broke",
                   {{"request", Labels.Id},
                    {"key", Key.text()},
                    {"replica", Now->Replica->Life.text()},
                    {"how", how},
                    {"sent_ms_ago", now - Now->SentAt},
                    {"began", Now->FirstEventAt.has_value()},
                    {"began_ms_ago",
                     Now->FirstEventAt ? now - *Now->FirstEventAt : Span(0)}});
  Shared.Crashes.OnBroken(*Now->Replica, Key, Now->SentAt, Now->FirstEventAt);
}

void GatewayExchange::onNotRun() {
  auto record = Now->Replica;
  const auto &replica = *record;
  auto status = Now->Head->Status;
  bool misdirected = status == OtherIncarnation;
  bool replaced = misdirected && !Now->Labels.Incarnation.empty() &&
                  Now->Labels.Incarnation != replica.Life.id();
  Shared.Log.write(LogClass::Request, "not-run",
                   {{"request", Labels.Id},
                    {"replica", replica.Life.text()},
                    {"answered_by", Now->Labels.Incarnation},
                    {"status", std::uint32_t{status}}});
  // An engine that lacks the weights answers like one that has been replaced;
  // the difference is which incarnation answers.
  if (replaced) {
    endAttempt(AttemptVerdict::Bad);
    Shared.View.onReplaced(replica.Life.text());
    Shared.Crashes.OnReplaced(replica.Life);
  } else if (engine()) {
    endAttempt(AttemptVerdict::Good);
    Shared.View.onWeightsRefused(replica.Life.text(), *Query.Weights,
                                 misdirected, TimerService::now());
    Shared.OnRefusal(replica, *Query.Weights, misdirected);
  } else {
    endAttempt(AttemptVerdict::Shed);
    auto &rest =
        NextRest.try_emplace(replica.Life.text(), Setup.ShedRest).first->second;
    Query.Resting[replica.Life.text()] = TimerService::now() + rest;
    rest *= 2;
  }
  Tried.erase(replica.Life.text());
  auto now = TimerService::now();
  if (Shared.Budget.spend(Query.Service, now))
    return next();
  if (AnswerBegun)
    return onUnknown("no budget to go on");
  if (MayHaveRun)
    return answerOwn(BadGateway, "no budget to try again");
  answerOwn(Unavailable, "no budget to try again", retryAfter());
}

void GatewayExchange::onUnknown(std::string_view why) {
  if (Now) {
    Query.Avoid.insert(Now->Replica->Life.text());
    endAttempt(AttemptVerdict::Bad);
  }
  goOn(why);
}

void GatewayExchange::goOn(std::string_view why) {
  if (mayRepeat() && spendRepeat(why))
    return next();
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, why);
  }
  answerOwn(BadGateway, why);
}

} // namespace hemlockglade
