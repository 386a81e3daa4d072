// GatewayExchange: handling of replicas' answers and of failed attempts, and
// the end of the exchange.

#include "Hemlockglade/Transport/Http1/RelayFields.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

namespace {

/// Returns the id of the last event in the text that has one; empty if none
/// has.
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
  if (Current->isRelayed()) {
    const auto *outcome = findField(head.Fields, relay_field::Outcome);
    const auto *sending = findField(head.Fields, relay_field::Sending);
    bool isForwarded = outcome && *outcome == relay_outcome::Forwarded;
    bool isOwn = sending && *sending == std::to_string(Current->Number);
    // That nothing was sent is believed of this very sending only.
    Current->RelayOutcome = outcome && (isForwarded || isOwn)
                                ? relay_outcome::known(*outcome)
                                : relay_outcome::Broken;
    if (Current->RelayOutcome == relay_outcome::Paused)
      Current->RelayPause = relay_field::pauseOf(head.Fields);
    if (Current->RelayOutcome != relay_outcome::Forwarded)
      return true;
  }
  auto labels = Shared.Labels.ReadAnswer(head.Status, viewsOf(head.Fields));
  bool isOwn = labels.Id == Labels.Id;
  bool isStray = !isOwn && !labels.Id.empty();
  if (Shared.OnAnswer)
    Shared.OnAnswer(*Current->Replica, head.Status,
                    isOwn ? labels : labels.withoutLimits(), Current->SentAt);
  if (!isOwn) {
    ++(isStray ? StrayAnswers : UnattributedAnswers);
    Shared.Log.write(
        LogClass::Request, isStray ? "stray-answer" : "unattributed-answer",
        {{"request", Labels.Id},
         {"sending", Sendings.count()},
         {"answers", labels.Id},
         {"status", std::uint32_t{head.Status}},
         {"says_not_run", labels.NotRun},
         {"replica", Current->Replica->Incarnation.text()},
         {"calls", Current->Connection->calls()},
         {"port", std::uint32_t{Current->Connection->localPort()}}});
  }
  if (isStray)
    return false;
  if (!isOwn)
    labels = labels.unattributed();
  auto now = TimerService::now();
  onActivity();
  Current->Head = head;
  Current->EndsWithConnection =
      relay_field::endsWithConnection(Current->Head->Fields);
  relay_field::eraseAll(Current->Head->Fields);
  Current->Labels = labels;
  reportHeard();
  Shared.View.onAnswered(Current->Replica->Incarnation.text(), Current->Number,
                         !labels.NotRun, now);
  if (!labels.NotRun)
    Sendings.onAnswering();
  return true;
}

void GatewayExchange::reportHeard() {
  if (!Current->isRelayed() && Shared.Paths.OnHeard)
    Shared.Paths.OnHeard(*Current->Replica);
}

void GatewayExchange::onBody(std::string_view part) {
  if (!Current->Head)
    return;
  onActivity();
  constexpr std::uint32_t PartsPerReport = 8;
  if (++Current->Parts % PartsPerReport == 0)
    reportHeard();
  AnswerBytes += part.size();
  bool events = Current->Labels.Events && isSuccess(Current->Head->Status) &&
                Current->Labels.Sealed && !Current->Labels.Encoded;
  if (!events) {
    Current->Body.append(part);
    Current->Connection->holdBody(Current->Body.heldBytes());
    if (Current->Body.size() > Settings.MaxAnswerBytes)
      return onEndless(EndlessKind::Body, "answer too large");
    // An answer of a stated length that goes on arriving is not slow; one
    // without may never end.
    if (MatchedRoute.idempotent() &&
        findField(Current->Head->Fields, "Content-Length"))
      setStallTimeout(Current->StallTime);
    return;
  }
  auto whole = Current->Events.take(part);
  Current->Connection->holdBody(Current->Events.heldBytes());
  if (Current->Events.overflowed())
    return onEndless(EndlessKind::Event, "event too large");
  if (!whole.empty())
    forwardEvents(whole);
}

void GatewayExchange::onEndless(EndlessKind kind, std::string_view why) {
  Current->Connection->countEndless(kind);
  onAttemptFailed(why);
}

void GatewayExchange::forwardEvents(std::string_view events) {
  if (!Current->FirstEventAt) {
    Current->FirstEventAt = TimerService::now();
    Shared.View.onFirstEvent(Current->Replica->Incarnation.text(), Query,
                             *Current->FirstEventAt - Current->SentAt,
                             Current->PrefillIdle);
  }
  Current->LastEventAt = TimerService::now();
  bool wentOn = Current->LastEventAt - *Current->FirstEventAt >= WentOnAfter;
  if (wentOn && !std::exchange(Current->WentOn, true) &&
      Shared.Crashes.OnWentOn)
    Shared.Crashes.OnWentOn(Subject);
  if (!AnswerBegun) {
    TimeToFirstByte = TimerService::now() - Request.ArrivedAt;
    // The attempt may have been slow, and what was told of it withdrawn.
    if (!Told.Origin && !takesUpStream())
      reportOrigin();
    AnswerBegun = true;
    Query.SoftwareVersion = Current->Replica->SoftwareVersion;
    Reply->begin(*Current->Head);
  }
  if (auto id = lastId(events); !id.empty())
    LastEventId = id;
  ++EventsPassed;
  Reply->part(events);
  if (MatchedRoute.idempotent())
    setStallTimeout(
        std::max(Settings.MinStallTime,
                 scaled(MatchedRoute.TargetGap, Settings.StallFactor)));
  if (Done || !Current || Reply->queued() < Settings.MaxQueuedBytes)
    return;
  Current->Connection->pauseReading(true);
  Current->IsReadingPaused = true;
  Reply->OnDrained = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onReplyDrained();
  };
}

void GatewayExchange::onReplyDrained() {
  if (!Current)
    return;
  Current->Connection->pauseReading(false);
  if (!std::exchange(Current->IsReadingPaused, false))
    return;
  if (Current->ReplicaRestarted)
    Current->StalledAt = TimerService::now() + Settings.RestartGrace;
  else if (MatchedRoute.idempotent())
    setStallTimeout(Current->StallTime);
  armAttemptTimer();
}

void GatewayExchange::onDone() {
  if (!Current->Head)
    return onRelayAnswer();
  if (Current->Labels.NotRun)
    return onNotRun();
  Sendings.onAnswered();
  bool success = isSuccess(Current->Head->Status);
  if (success && (!Current->Labels.Sealed || Current->Labels.Encoded))
    return onAttemptFailed("answer without signature");
  if (Current->Events.torn()) {
    constexpr std::string_view Torn = "its end was torn";
    reportBroken(Torn);
    return onAttemptFailed(Torn);
  }
  // The relay has looked whether the replica has ended.
  if (Current->isRelayed() || !Current->Connection->endedAnswer())
    return onWholeAnswer();
  onConnectionEndedAnswer();
}

void GatewayExchange::onConnectionEndedAnswer() {
  bool isEmptyStream = isSuccess(Current->Head->Status) &&
                       Current->Labels.Events && !Current->FirstEventAt;
  if (isEmptyStream)
    return onEndProbed(true);
  if (!Shared.Crashes.ProbeEnded)
    return onEndProbed(false);
  Shared.Crashes.ProbeEnded(
      *Current->Replica,
      [weak = weak_from_this(), number = Current->Number](bool hasEnded) {
        auto self = weak.lock();
        bool isCurrent = self && !self->Done && self->Current &&
                         self->Current->Number == number;
        if (isCurrent)
          self->onEndProbed(hasEnded);
      });
}

void GatewayExchange::onEndProbed(bool hasEnded) {
  if (!hasEnded)
    return onWholeAnswer();
  constexpr std::string_view Why = "its replica ended";
  reportBroken(Why);
  onAttemptFailed(Why);
}

void GatewayExchange::onWholeAnswer() {
  if (!isSuccess(Current->Head->Status) || !Current->Labels.Events)
    return onPlainAnswer();
  // Whether the replica has ended may show later.
  if (Current->EndsWithConnection && !Current->WentOn)
    Shared.Crashes.OnAbandoned(*Current->Replica, Subject, Current->progress());
  onWholeStream();
}

void GatewayExchange::onPlainAnswer() {
  auto status = Current->Head->Status;
  bool success = isSuccess(status);
  if (!success && !Current->Labels.Sealed)
    return onAttemptFailed("failure without signature");
  if (!success && impliesNotRun(status))
    return onAttemptFailed("the replica's status would promise too much");
  // A replica that fails more often than the others of its service is itself
  // at fault, so another one may answer the same request with success.
  if (status >= ServerError && !AnswerBegun && canRetry() &&
      Shared.View.isSuspect(Current->Replica->Incarnation.text(),
                            TimerService::now()) &&
      chooseInstead().Result == RouteChoice::Kind::Send &&
      reserveRetry("replica's own failure")) {
    auto failed = Current->Replica->Incarnation.text();
    LastFailure = ReplicaFailure{*Current->Head, Current->Body.take()};
    endAttempt(AttemptVerdict::ReplicaError);
    Query.Excluded.insert(failed);
    return sendOrHold();
  }
  if (AnswerBegun)
    return onAttemptFailed("a resumed stream failed");
  HttpAnswerHead head = *Current->Head;
  auto body = std::make_shared<const std::string>(Current->Body.take());
  // A failure may be answered before the replica begins to run the request,
  // and so doesn't show whether running it crashes the replica.
  if (success && !Current->EndsWithConnection)
    Shared.Crashes.OnServed(Subject);
  endAttempt(status >= ServerError ? AttemptVerdict::ReplicaError
                                   : AttemptVerdict::Success);
  TimeToFirstByte = TimerService::now() - Request.ArrivedAt;
  Reply->respond(std::move(head), body);
  finish(status, success ? "complete" : "replica's failure");
}

void GatewayExchange::onWholeStream() {
  if (!AnswerBegun)
    Reply->begin(*Current->Head);
  AnswerBegun = true;
  auto status = Current->Head->Status;
  // One that ends with its connection may have been cut off, and so clears
  // nothing by its end.
  if (Current->FirstEventAt && !Current->EndsWithConnection)
    Shared.Crashes.OnServed(Subject);
  endAttempt(AttemptVerdict::Success);
  Reply->finish();
  finish(status, "complete");
}

bool GatewayExchange::withdrawAttempt(AttemptVerdict verdict) {
  if (Sendings.lastMayHaveRun()) {
    reportContradiction("withdraw");
    onAttemptFailed("it may have run");
    return false;
  }
  releaseGrant(Current->Grant);
  RetryReserved = Current->Payment.has_value();
  if (RetryReserved)
    Shared.Budget.onNotSent(Query.Service, *Current->Payment);
  AttemptedReplicas.erase(Current->Replica->Incarnation.text());
  endAttempt(verdict);
  return true;
}

void GatewayExchange::onConnected() {
  auto replica = Current->Replica->Incarnation.text();
  if (!Current->isRelayed() && Shared.Paths.OnConnected)
    Shared.Paths.OnConnected(*Current->Replica);
  auto now = TimerService::now();
  bool isOld = isListOld();
  bool isPaused = Shared.View.isPaused(replica, now);
  if (!isOld && !isPaused && !Shared.View.isDraining(replica)) {
    Sendings.onWritten();
    return;
  }
  constexpr std::string_view Draining = "it drains";
  constexpr std::string_view Paused = "it asked for a pause";
  Shared.Log.write(LogClass::Request, "withdrawn",
                   {{"request", Labels.Id},
                    {"replica", replica},
                    {"why", isOld      ? "replicas' list is old"
                            : isPaused ? Paused
                                       : Draining},
                    {"chosen_ms_ago", now - Current->SentAt}});
  if (withdrawAttempt(AttemptVerdict::Success))
    sendOrHold();
}

void GatewayExchange::onFailed(HttpFailure how) {
  if (how == HttpFailure::NotConnected) {
    return onNotConnected();
  }
  Sendings.onBroken();
  if (how == HttpFailure::Endless) {
    // This side has ended the connection, so it does not show that the replica
    // has ended.
    Shared.Crashes.OnAbandoned(*Current->Replica, Subject, Current->progress());
    return onAttemptFailed("answer without end");
  }
  auto why =
      how == HttpFailure::Ended ? "connection ended" : "connection broke";
  reportBroken(why);
  onAttemptFailed(why);
}

void GatewayExchange::reportBroken(std::string_view how) {
  auto now = TimerService::now();
  if (!Current->isRelayed() && Shared.Paths.OnBroken)
    Shared.Paths.OnBroken(*Current->Replica);
  Shared.Log.write(
      LogClass::Request, "broke",
      {{"request", Labels.Id},
       {"key", Subject.Request.text()},
       {"parts", partsText()},
       {"replica", Current->Replica->Incarnation.text()},
       {"how", how},
       {"sent_ms_ago", now - Current->SentAt},
       {"began", Current->FirstEventAt.has_value()},
       {"began_ms_ago",
        Current->FirstEventAt ? now - *Current->FirstEventAt : Span(0)}});
  Shared.Crashes.OnBroken(*Current->Replica, Subject, Current->progress());
}

void GatewayExchange::onNotRun() {
  auto record = Current->Replica;
  const auto &replica = *record;
  auto status = Current->Head->Status;
  auto place = Current->Grant ? Current->Grant->Place : std::nullopt;
  bool asksPause = status == Unavailable &&
                   Current->Labels.PauseFor.value_or(Span(0)) > Span(0);
  bool otherOrMissing = status == OtherIncarnation;
  bool restarted = otherOrMissing && !Current->Labels.Incarnation.empty() &&
                   Current->Labels.Incarnation != replica.Incarnation.id();
  if (!Sendings.onNotRun()) {
    reportContradiction("not run");
    return onAttemptFailed("it may have run");
  }
  Shared.Log.write(LogClass::Request, "not-run",
                   {{"request", Labels.Id},
                    {"sending", Sendings.count()},
                    {"proof", "answer"},
                    {"replica", replica.Incarnation.text()},
                    {"calls", Current->Connection->calls()},
                    {"port", std::uint32_t{Current->Connection->localPort()}},
                    {"answered_by", Current->Labels.Incarnation},
                    {"status", std::uint32_t{status}},
                    {"pause_ms", Current->Labels.PauseFor.value_or(Span(0))}});
  // An engine that lacks the weights answers with the same status as a newer
  // incarnation of the replica; they differ in the incarnation that answers.
  if (restarted) {
    endAttempt(AttemptVerdict::NoValidAnswer);
    Shared.View.onRestarted(replica.Incarnation.text());
    Shared.Crashes.OnRestarted(replica.Incarnation);
  } else if (asksPause) {
    endAttempt(AttemptVerdict::Paused);
  } else if (usesEngine()) {
    endAttempt(AttemptVerdict::Success);
    Shared.View.onWeightsRefused(replica.Incarnation.text(), *Query.Weights,
                                 otherOrMissing, TimerService::now());
    Shared.OnRefusal(replica, *Query.Weights, otherOrMissing);
  } else {
    endAttempt(AttemptVerdict::Shed);
    auto &backoff =
        NextShedBackoff
            .try_emplace(replica.Incarnation.text(), Settings.ShedBackoff)
            .first->second;
    Query.BackoffUntil[replica.Incarnation.text()] =
        TimerService::now() + backoff;
    backoff *= 2;
  }
  bool isFull = status == Unavailable || status == TooMany;
  if (isFull)
    Shared.View.onRejected(replica.Incarnation.text(), TimerService::now());
  // An engine refuses requests in the same way while it changes its weights.
  if (isFull && place && !usesEngine())
    Shared.ReplicaLimits.OnRejected(replica, *place);
  AttemptedReplicas.erase(replica.Incarnation.text());
  RetryReserved = Shared.Budget.tryReserve(Query.Service, TimerService::now());
  if (RetryReserved)
    return sendOrHold();
  if (AnswerBegun)
    return onAttemptFailed("no budget to go on");
  auto next = Shared.View.choose(Query, TimerService::now());
  if (next.Result == RouteChoice::Kind::Paused)
    return refusePaused(next.ReadyAt);
  constexpr std::string_view Why = "no budget to try again";
  refuse({Why, retryAfter()});
}

void GatewayExchange::onAttemptFailed(std::string_view why) {
  if (Current) {
    Query.Excluded.insert(Current->Replica->Incarnation.text());
    endAttempt(AttemptVerdict::NoValidAnswer);
  }
  retryOrFail(why);
}

void GatewayExchange::retryOrFail(std::string_view why) {
  if (canRetry() && reserveRetry(why))
    return sendOrHold();
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, why);
  }
  answerWithError(BadGateway, why);
}

void GatewayExchange::refuse(const Refusal &refusal) {
  if (Sendings.mayHaveRun())
    return answerWithError(refusal.FailedStatus, refusal.WhyFailed.empty()
                                                     ? refusal.Why
                                                     : refusal.WhyFailed);
  answerWithError(refusal.Status, refusal.Why, refusal.RetryAfter);
}

void GatewayExchange::reportContradiction(std::string_view decision) {
  ++Contradictions;
  Shared.Log.write(LogClass::Request, "contradiction",
                   {{"request", Labels.Id},
                    {"decision", decision},
                    {"sending", Sendings.count()},
                    {"state", sendingStateName(Sendings.state())},
                    {"not_run", Sendings.notRun()}});
}

void GatewayExchange::answerWithError(std::uint16_t status,
                                      std::string_view why,
                                      std::optional<Span> retryAfter) {
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, why);
  }
  if (LastFailure) {
    TimeToFirstByte = TimerService::now() - Request.ArrivedAt;
    status = LastFailure->Head.Status;
    Reply->respond(std::move(LastFailure->Head), LastFailure->Body);
    return finish(status, "replica's failure");
  }
  if (impliesNotRun(status) && Sendings.mayHaveRun()) {
    reportContradiction("refuse");
    status = BadGateway;
    retryAfter.reset();
  }
  HttpAnswerHead head{status, fieldsOf(Shared.Labels.OwnAnswer(Labels.Id))};
  if (retryAfter)
    head.Fields.push_back(retryAfterField(*retryAfter));
  head.Fields.push_back({"Content-Type", "text/plain"});
  Reply->respond(std::move(head), why);
  finish(status, why);
}

void GatewayExchange::finish(std::uint16_t status, std::string_view result) {
  if (std::exchange(Done, true))
    return;
  Timer.cancel();
  AttemptTimer.cancel();
  Status = status;
  Result = result;
  leaveQueue(false);
  releaseQuota();
  releaseGrant(Grant);
  if (std::exchange(RetryReserved, false))
    Shared.Budget.release(Query.Service);
  Shared.Log.write(
      LogClass::Request, "end",
      {{"request", Labels.Id},
       {"status", std::uint32_t{status}},
       {"result", result},
       {"workspace", workspace()},
       {"weights", usesEngine() ? Query.Weights->text() : ""},
       {"wait", WaitReason},
       {"arrivals", static_cast<std::uint64_t>(AttemptedReplicas.size())},
       {"sendings", Sendings.count()},
       {"not_run", Sendings.notRun()},
       {"may_have_run", Sendings.mayHaveRun()},
       {"not_connected", std::uint64_t{ConnectFailures}},
       {"events", EventsPassed},
       {"resumes", Labels.Resumes},
       {"first_ms", TimeToFirstByte.value_or(Span(0))},
       {"took_ms", TimerService::now() - Request.ArrivedAt}});
  Reply->OnDrained = nullptr;
  Reply->OnGone = nullptr;
  Shared.OnEnd(*this);
}

} // namespace hemlockglade
