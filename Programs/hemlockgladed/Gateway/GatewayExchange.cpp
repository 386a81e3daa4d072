#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

#include "Hemlockglade/Coordination/RowText.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

namespace {

RequestKey keyOf(const CallerRequest &request, const RequestLabels &labels) {
  const auto *host = findField(request.Head.Fields, "Host");
  return RequestIdentity{labels.Caller, request.Head.Method,
                         host ? std::string_view(*host) : std::string_view(),
                         request.Head.Target, request.Body}
      .key();
}

} // namespace

GatewayExchange::GatewayExchange(ExchangeContext &shared,
                                 const ExchangeSettings &settings,
                                 std::shared_ptr<const RoutePlan> plan,
                                 const CallerAccess &access,
                                 CallerRequest request, RequestLabels labels,
                                 std::shared_ptr<CallerReply> reply)
    : Shared(shared), Settings(settings), Plan(std::move(plan)),
      MatchedRoute(*access.MatchedRoute),
      CallerWorkspace(access.CallerWorkspace), Request(std::move(request)),
      Labels(std::move(labels)), Subject{keyOf(Request, Labels), {}, {}},
      Body(std::make_shared<const std::string>(std::move(Request.Body))),
      Fields(viewsOf(Request.Head.Fields)), Reply(std::move(reply)),
      Timer(shared.Context), AttemptTimer(shared.Context) {
  setService(MatchedRoute.targetFor(std::hash<std::string>{}(Labels.Id)));
  Query.PromptTokens = Labels.PromptTokens;
  Query.TargetLatency = MatchedRoute.TargetLatency;
  Query.OnTimeUntil = Request.ArrivedAt +
                      scaled(MatchedRoute.TargetLatency, Settings.OnTimeShare);
  Query.Rank = CallerWorkspace && CallerWorkspace->Priority
                   ? *CallerWorkspace->Priority
                   : MatchedRoute.Priority;
  Query.Tokens = Labels.PromptTokens + Labels.MaxOutputTokens;
  for (std::size_t it = 0; it + 1 < Labels.Prompt.size(); ++it) {
    Query.PromptParts.push_back(Labels.Prompt[it].Id);
    Query.SharedTokens += Labels.Prompt[it].Tokens;
  }
  Span allowed = MatchedRoute.Timeout;
  if (Labels.TimeLeft)
    allowed = std::min(allowed, *Labels.TimeLeft);
  EndsAt = Request.ArrivedAt + allowed;
  HoldUntil = Request.ArrivedAt + scaled(allowed, Settings.MaxHoldShare);
  if (MatchedRoute.Kind == RouteKind::Stream) {
    auto callerPatience = std::max(
        {Settings.MinCallerTimeout,
         scaled(MatchedRoute.TargetLatency, Settings.CallerTimeoutInTargets),
         scaled(MatchedRoute.TargetGap, Settings.CallerTimeoutInGaps)});
    StreamHoldTime = scaled(callerPatience, Settings.StreamHoldShare);
    HoldUntil = std::min(HoldUntil, Request.ArrivedAt + StreamHoldTime);
  }
  LastEventId = Labels.ResumeBehind;
}

GatewayExchange::~GatewayExchange() = default;

void GatewayExchange::start() {
  Reply->OnGone = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onCallerDisconnected();
  };
  if (endIfBarred())
    return;
  armTimer();
  if (takesUpStream())
    return findOrigin();
  begin();
}

void GatewayExchange::begin() {
  Shared.Budget.onRequest(Query.Service, TimerService::now());
  reserveQuota();
}

void GatewayExchange::setService(const std::string &service) {
  Query.Service = Subject.Service = service;
  Subject.Parts.clear();
  for (std::size_t it = 0; it + 1 < Labels.Prompt.size(); ++it)
    Subject.Parts.push_back(partKeyOf(service, Labels.Prompt[it].Id));
  const auto *spec = Plan->service(service);
  Query.Weights = spec && spec->Engine ? Labels.Weights : std::nullopt;
}

bool GatewayExchange::endIfBarred() {
  auto barredFor = Shared.Crashes.BarredFor(Subject);
  if (!barredFor)
    return false;
  constexpr std::string_view Why = "replicas ended under requests like this";
  refuse({Why, barredFor});
  return true;
}

bool GatewayExchange::hasCrashKey(const RequestKey &key) const {
  return Subject.Request == key ||
         std::find(Subject.Parts.begin(), Subject.Parts.end(), key) !=
             Subject.Parts.end();
}

void GatewayExchange::onBarred() {
  // A request whose events arrive runs at a replica that has not crashed, and
  // one whose plain answer arrives has run.
  bool isAnswered = Current && (Current->FirstEventAt ||
                                (Current->Head && !Current->Labels.Events));
  if (Done || isAnswered || !Shared.Crashes.BarredFor(Subject))
    return;
  // The replica may have queued the request, and would crash when it begins to
  // run it.
  if (Current)
    endAttempt(AttemptVerdict::Success);
  endIfBarred();
}

std::string GatewayExchange::partsText() const {
  std::string out;
  for (auto it : Query.PromptParts) {
    out += out.empty() ? "" : " ";
    appendNumber(out, it, Hex);
  }
  return out;
}

Span GatewayExchange::timeLeft() const { return EndsAt - TimerService::now(); }

void GatewayExchange::armTimer() {
  auto now = TimerService::now();
  Span due = EndsAt - now;
  // A wait whose end is known is not polled before, and no wait is polled after
  // less than this.
  constexpr Span MinWait = std::chrono::milliseconds(2);
  auto maxWait =
      YieldsToHeld ? Settings.HeldPollInterval : Settings.WaitPollInterval;
  if (Waiting)
    due = std::min(due, std::clamp(WakeAt - now, MinWait, maxWait));
  Timer.expires_after(std::max(Span(0), due));
  Timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
    auto self = weak.lock();
    if (!ec && self && !self->Done)
      self->onTimer();
  });
}

void GatewayExchange::onTimer() {
  if (timeLeft() > Span(0)) {
    if (Waiting)
      sendOrHold();
    else
      armTimer();
    return;
  }
  if (Current)
    endAttempt(AttemptVerdict::NoValidAnswer);
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, "out of time in its answer");
  }
  refuse({"out of time, never run", retryAfter(), "out of time", Unavailable,
          GatewayTimeout});
}

void GatewayExchange::wake() {
  if (Done)
    return;
  if (Waiting)
    sendOrHold();
  else if (Current && QueueTicket)
    onSlow();
}

Span GatewayExchange::retryAfter() const {
  // A caller that retries then finds the weights loaded: a load usually takes
  // a quarter of a second, and a few loads queue for each other. While no cell
  // has an owner that may load, a load takes seconds.
  constexpr auto RetryAfterLoad = std::chrono::milliseconds(500);
  constexpr auto RetryAfterNewOwner = std::chrono::milliseconds(2000);
  constexpr auto RetryAfterPlain = std::chrono::milliseconds(100);
  if (!usesEngine())
    return RetryAfterPlain;
  bool canLoad = !Shared.CanLoad || Shared.CanLoad();
  return canLoad ? Span(RetryAfterLoad) : Span(RetryAfterNewOwner);
}

void GatewayExchange::sendOrHold() {
  auto now = TimerService::now();
  if (timeLeft() < Settings.MinAttemptTime)
    return armTimer();
  if (endIfBarred())
    return;
  if (GrantPending || WithdrawalPending)
    return armTimer();
  if (awaitsNewerList())
    return;
  readmitUnconnected();
  if (yieldsToHeld(now))
    return;
  auto choice = chooseReplica(now);
  if (choice.Result == RouteChoice::Kind::Send && mustQueue(now))
    choice.Result = RouteChoice::Kind::Full;
  bool sends = choice.Result == RouteChoice::Kind::Send;
  // A grant is for now: one that is kept would arrive among later ones.
  if (!sends || !holdsGrantOf(choice))
    releaseGrant(Grant);
  if (sends && changesSoftware(choice))
    return withdrawOrigin();
  if (sends && (needsPlace(choice) || needsRequestGrant(choice)))
    return reserveGrant(choice);
  if (sends) {
    if (usesEngine() && !std::exchange(DemandReported, true))
      Shared.OnDemand(Query.Service, *Query.Weights, false, {});
    return send(choice);
  }
  waitForReplica(choice);
}

bool GatewayExchange::isListOld() const {
  return Shared.ReplicaList.RefreshIfOld && Shared.ReplicaList.RefreshIfOld();
}

bool GatewayExchange::awaitsNewerList() {
  if (!isListOld())
    return false;
  pollLater("replicas' list is old");
  return true;
}

void GatewayExchange::waitForReplica(const RouteChoice &choice) {
  auto now = TimerService::now();
  if (usesEngine() && !std::exchange(DemandReported, true))
    Shared.OnDemand(Query.Service, *Query.Weights, false, {});
  if (choice.Result == RouteChoice::Kind::NoSuchSoftware)
    return refuseOtherSoftware();
  bool limited = choice.Result == RouteChoice::Kind::Limited && !AnswerBegun;
  if (limited && (PlaceDenials > 0 || WaitsForPlace))
    return waitForPlace(choice.ReadyAt);
  if (limited)
    return refuse({"all replicas are at their limits",
                   std::max(LimitRetryAt, choice.ReadyAt) - now,
                   "no replica to try again"});
  if (choice.Result == RouteChoice::Kind::Paused && choice.ReadyAt >= HoldUntil)
    return refusePaused(choice.ReadyAt);
  if (endIfHeldTooLong())
    return;
  Waiting = true;
  PlaceDenials = 0;
  WaitsForCapacity = choice.Result == RouteChoice::Kind::AwaitPrefill ||
                     choice.Result == RouteChoice::Kind::Full;
  WakeAt = choice.ReadyAt == Instant::max() ? now + Settings.WaitPollInterval
                                            : choice.ReadyAt;
  switch (choice.Result) {
  case RouteChoice::Kind::NotLoaded:
    WaitReason = choice.HoldersReturnAt ? "replicas with the weights pause"
                                        : "weights missing";
    if (choice.HoldersReturnAt)
      WakeAt = std::min(WakeAt, *choice.HoldersReturnAt);
    reportMissing(now, Query.Excluded);
    break;
  case RouteChoice::Kind::AwaitLoad:
    WaitReason = "weights loading";
    break;
  case RouteChoice::Kind::AwaitPrefill:
    WaitReason = "engine reads";
    reportCongestion(now);
    break;
  case RouteChoice::Kind::Full:
    if (!usesEngine() && Shared.PlainQueue) {
      joinQueue();
      // Others may be sent to replicas that this request must not use.
      if (!Query.Excluded.empty() || !Query.BackoffUntil.empty() ||
          !Query.LimitedUntil.empty())
        Shared.PlainQueue->deferUntil(Query.Service, QueueTicket,
                                      now + Settings.WaitPollInterval / 2);
    }
    WakeAt = std::min(choice.ReadyAt, now + Settings.WaitPollInterval);
    WaitReason = WaitsForPlace ? "replicas' places are taken" : "replicas full";
    reportCongestion(now);
    break;
  case RouteChoice::Kind::Limited:
    WaitReason = "replicas at their limits";
    break;
  case RouteChoice::Kind::Paused:
    WaitReason = "replicas pause";
    // Others may be sent to replicas that this request must not use.
    if (QueueTicket)
      Shared.PlainQueue->deferUntil(Query.Service, QueueTicket, WakeAt);
    break;
  default:
    WaitReason = "no replica known";
  }
  if (!holdInOrder(choice, now))
    return;
  logWait(choice, now);
  armTimer();
}

void GatewayExchange::send(const RouteChoice &choice) {
  auto now = TimerService::now();
  if (!MatchedRoute.idempotent() && Sendings.mayHaveRun()) {
    reportContradiction("send again");
    return answerWithError(BadGateway, "it may have run");
  }
  Waiting = false;
  PlaceDenials = 0;
  WaitsForPlace = false;
  ReportedUnusable.reset();
  LastFailure.reset();
  asio::ip::tcp::endpoint address;
  try {
    address = parseEndpoint(choice.Replica->Address);
  } catch (const asio::system_error &) {
    Query.Excluded.insert(choice.Replica->Incarnation.text());
    return waitForReplica(choice);
  }
  auto path = Shared.Paths.Choose
                  ? Shared.Paths.Choose(*choice.Replica, ExcludedRelays)
                  : ReplicaPath{};
  if (path.Via == ReplicaPath::Kind::None)
    return refuseUnreachable();
  bool isRelayed = path.Via == ReplicaPath::Kind::Relayed;
  if (isRelayed)
    address = parseEndpoint(path.Relay);
  std::optional<SharedRetryBudget::Payment> payment;
  if (RetryReserved) {
    payment = Shared.Budget.trySend(Query.Service, now);
    if (!payment)
      return waitForBudget();
    RetryReserved = false;
  }
  leaveQueue(true);
  Query.SentAt = now;
  Current = std::make_unique<Attempt>();
  Current->Replica = choice.Replica;
  Current->SentAt = now;
  Current->PrefillIdle = choice.PrefillIdle;
  Current->Version = choice.Version;
  Current->MustBeginBy = choice.MustBeginBy;
  Current->Relay = path.Relay;
  Current->Grant = std::exchange(Grant, std::nullopt);
  Current->Payment = payment;
  ReplacedFor.reset();
  if (choice.ReplacedAt)
    ReplacedFor = now - *choice.ReplacedAt;
  if (usesEngine())
    Shared.OnSent(*choice.Replica,
                  Shared.View.uncachedPromptTokens(
                      choice.Replica->Incarnation.text(), Query),
                  *Query.Weights);
  if (!Sendings.begin())
    reportContradiction("begin a sending");
  reportOrigin();
  if (CallerWorkspace && CallerWorkspace->Limit &&
      !std::exchange(QuotaReserved, true))
    Shared.Limits.Charge(*CallerWorkspace, quotaUnits());
  Current->Number =
      Shared.View.onSent(choice.Replica->Incarnation.text(), Query, now);
  auto head = headFor(choice, path, Current->Number);
  bool runOnce = !MatchedRoute.idempotent();
  Current->Connection = Shared.Pool.take(
      address, runOnce ? Settings.MaxIdleForRunOnce : Span::max(),
      connectionKey());
  bool reused = Current->Connection->open();
  if (isRelayed)
    Shared.Paths.OnRelaySent(path.Relay);
  else if (Shared.Paths.OnSent)
    Shared.Paths.OnSent(*choice.Replica);
  AttemptedReplicas.insert(choice.Replica->Incarnation.text());
  Shared.Crashes.OnSent(Subject);
  if (!TimeToFirstSend)
    TimeToFirstSend = now - Request.ArrivedAt;
  Shared.Log.write(
      LogClass::Request, "send",
      {{"request", Labels.Id},
       {"key", Subject.Request.text()},
       {"parts", partsText()},
       {"route", MatchedRoute.Name},
       {"workspace", workspace()},
       {"service", Query.Service},
       {"weights", usesEngine() ? Query.Weights->text() : ""},
       {"version", choice.Version},
       {"newest", choice.NewestVersion},
       {"replaced_ms_ago", ReplacedFor.value_or(Span(0))},
       {"replica", choice.Replica->Incarnation.text()},
       {"software", choice.Replica->SoftwareVersion},
       {"resumes", Labels.Resumes},
       {"behind", LastEventId},
       {"running", choice.Running},
       {"speed", choice.Speed},
       {"limit_per_s", choice.RequestLimit.value_or(0)},
       {"place", Current->Grant && Current->Grant->Place},
       {"pause_asked_ms_ago",
        Shared.View.pauseAskedAgo(choice.Replica->Incarnation.text(), now)
            .value_or(Span(0))},
       {"load_age_ms", choice.LoadAge},
       {"list_age_ms",
        Shared.ReplicaList.Age ? Shared.ReplicaList.Age() : Span(0)},
       {"list_position",
        Shared.ReplicaList.Position ? Shared.ReplicaList.Position() : 0},
       {"far", choice.Remote},
       {"attempt", static_cast<std::uint64_t>(AttemptedReplicas.size())},
       {"sending", Sendings.count()},
       {"kept", reused},
       {"calls_before", Current->Connection->calls()},
       {"port", std::uint32_t{Current->Connection->localPort()}},
       {"relay", path.Relay},
       {"waited_ms", now - Request.ArrivedAt},
       {"wait", WaitReason},
       {"plan", Plan->version()},
       {"left_ms", timeLeft()}});
  HttpCallHooks hooks;
  auto weak = weak_from_this();
  auto number = Current->Number;
  auto ifCurrent = [weak, number]() -> std::shared_ptr<GatewayExchange> {
    auto self = weak.lock();
    bool isCurrent =
        self && !self->Done && self->Current && self->Current->Number == number;
    return isCurrent ? self : nullptr;
  };
  hooks.OnConnected = [ifCurrent] {
    if (auto self = ifCurrent())
      self->onConnected();
  };
  hooks.OnHead = [ifCurrent](const HttpAnswerHead &it) {
    auto self = ifCurrent();
    return self ? self->onHead(it) : true;
  };
  hooks.OnBody = [ifCurrent](std::string_view part) {
    if (auto self = ifCurrent())
      self->onBody(part);
  };
  hooks.OnDone = [ifCurrent] {
    if (auto self = ifCurrent())
      self->onDone();
  };
  hooks.OnFailed = [ifCurrent](HttpFailure how) {
    if (auto self = ifCurrent())
      self->onFailed(how);
  };
  if (MatchedRoute.idempotent()) {
    auto typicalTime =
        Shared.View.typicalFirstByte(choice.Replica->Incarnation.text());
    Span minTime =
        MatchedRoute.Kind == RouteKind::Stream
            ? std::max(Settings.MinStallTime, MatchedRoute.TargetLatency)
            : Settings.MinSlowTime;
    setStallTimeout(
        std::max(minTime, scaled(typicalTime, Settings.SlowFactor)));
  }
  armAttemptTimer();
  armTimer();
  // A kept connection writes at once, a new one behind `onConnected`.
  if (reused)
    Sendings.onWritten();
  Current->Connection->call(writeHead(head), Body,
                            Request.Head.Method == "HEAD", std::move(hooks));
}

void GatewayExchange::setStallTimeout(Span span) {
  Current->StalledAt = TimerService::now() + span;
  Current->StallTime = span;
  endSlowness();
}

void GatewayExchange::armAttemptTimer() {
  auto due = Current->StalledAt;
  if (Current->MustBeginBy && !Current->FirstEventAt)
    due = std::min(due, *Current->MustBeginBy);
  if (due == Instant::max())
    return;
  // The timer isn't moved with each event: the deadline is checked when it
  // fires.
  AttemptTimer.expires_after(due - TimerService::now());
  AttemptTimer.async_wait(
      [weak = weak_from_this(), number = Current->Number](asio::error_code ec) {
        auto self = weak.lock();
        if (!ec && self && !self->Done && self->Current &&
            self->Current->Number == number)
          self->onAttemptTimer();
      });
}

void GatewayExchange::onRestarted(const ReplicaIncarnation &before) {
  if (Done || !Current || Current->Replica->Incarnation != before)
    return;
  Current->ReplicaRestarted = true;
  Current->StalledAt =
      std::min(Current->StalledAt, TimerService::now() + Settings.RestartGrace);
  armAttemptTimer();
}

void GatewayExchange::onVersionDeclared(const WeightsRef &weights) {
  // Only a stream shows when it begins; any other request may already run.
  bool waits = Current && !Current->FirstEventAt &&
               MatchedRoute.Kind == RouteKind::Stream;
  if (Done || !waits || Query.Weights != weights)
    return;
  Current->MustBeginBy = Shared.View.mustBeginBy(weights, Current->Version);
  armAttemptTimer();
}

void GatewayExchange::onActivity() {
  // Data arrive, so the newer incarnation of the replica runs the request.
  if (std::exchange(Current->ReplicaRestarted, false))
    Current->StalledAt = MatchedRoute.idempotent()
                             ? TimerService::now() + Settings.MinStallTime
                             : Instant::max();
}

bool GatewayExchange::isBeginOverdue() const {
  return Current->MustBeginBy && !Current->FirstEventAt &&
         TimerService::now() >= *Current->MustBeginBy;
}

void GatewayExchange::onAttemptTimer() {
  bool late = isBeginOverdue();
  if (!late && TimerService::now() < Current->StalledAt)
    return armAttemptTimer();
  if (!late && Current->IsReadingPaused) {
    // A replica whose answer this node does not read, because the caller is
    // slow, can't be told from a silent one.
    Current->StalledAt = Instant::max();
    return armAttemptTimer();
  }
  if (!late && !Current->ReplicaRestarted)
    return onSlow();
  if (late)
    return endOverdueAttempt();
  if (Sendings.state() == SendingState::Chosen)
    return onFailed(HttpFailure::NotConnected);
  onAttemptFailed("replica started anew");
}

void GatewayExchange::endOverdueAttempt() {
  // An engine that has queued the request would begin it on weights that were
  // replaced too long ago; only ending the attempt here prevents that.
  auto now = TimerService::now();
  EndedBeforeStart = true;
  Shared.Log.write(LogClass::Request, "not-begun",
                   {{"request", Labels.Id},
                    {"weights", Query.Weights->text()},
                    {"version", Current->Version},
                    {"replica", Current->Replica->Incarnation.text()},
                    {"sent_ms_ago", now - Current->SentAt},
                    {"due_ms_ago", now - *Current->MustBeginBy}});
  // The engine has not failed, and may be the one that loads the newest
  // version.
  endAttempt(AttemptVerdict::Success);
  retryOrFail("would begin on replaced weights");
}

bool GatewayExchange::canRetry() const {
  bool attemptsLeft = AttemptedReplicas.size() < MatchedRoute.MaxAttempts;
  bool isSuspect =
      Shared.Crashes.IsSuspect && Shared.Crashes.IsSuspect(Subject);
  return MatchedRoute.idempotent() && attemptsLeft && !isSuspect &&
         timeLeft() > Settings.MinAttemptTime;
}

bool GatewayExchange::reserveRetry(std::string_view why) {
  auto now = TimerService::now();
  bool allowed = Shared.Budget.tryReserve(Query.Service, now);
  RetryReserved = allowed;
  // A caller that has received events waits for the next one as long as it
  // did for the first, so the request may be held as long again.
  if (allowed)
    HoldUntil =
        std::min(std::max(HoldUntil, now + StreamHoldTime), MaxHoldUntil);
  Shared.Log.write(
      LogClass::Request, "repeat",
      {{"request", Labels.Id},
       {"why", why},
       {"events", EventsPassed},
       {"tried", static_cast<std::uint64_t>(AttemptedReplicas.size())},
       {"allowed", allowed}});
  return allowed;
}

void GatewayExchange::endAttempt(AttemptVerdict verdict) {
  if (!Current)
    return;
  AttemptTimer.cancel();
  auto attempt = std::exchange(Current, nullptr);
  bool isUnderWay = Sendings.isUnderWay();
  Sendings.end();
  if (Sendings.lastMayHaveRun())
    QuotaReserved = false;
  Shared.View.onEnd(attempt->Replica->Incarnation.text(), attempt->Number,
                    Query, verdict, TimerService::now());
  releasePlace(attempt->Grant,
               isUnderWay || verdict == AttemptVerdict::NoValidAnswer);
  if (attempt->isRelayed())
    Shared.Paths.OnRelayEnd(attempt->Relay);
  if (usesEngine())
    Shared.OnDone(*attempt->Replica, *Query.Weights);
  else if (Shared.PlainQueue)
    Shared.PlainQueue->wakeNext(Query.Service, TimerService::now());
  if (usesEngine() && Shared.Held)
    Shared.Held->onRoom(Query.Service, *Query.Weights, TimerService::now());
  if (isUnderWay)
    Shared.Crashes.OnAbandoned(*attempt->Replica, Subject, attempt->progress());
  // After any answer but a success the request may be sent to the replica
  // again, where a late repeat of that answer could be taken for the next one.
  if (attempt->Head && !isSuccess(attempt->Head->Status))
    attempt->Connection->excludeKey(connectionKey());
  // A connection in the middle of an answer is reset, which also makes the
  // replica stop the run.
  if (attempt->Connection->reusable())
    Shared.Pool.give(attempt->Connection);
  else
    attempt->Connection->abort();
}

Span GatewayExchange::heldFor() const {
  return TimeToFirstSend.value_or(TimerService::now() - Request.ArrivedAt);
}

void GatewayExchange::onCallerDisconnected() {
  if (Current)
    endAttempt(AttemptVerdict::Success);
  finish(0, "caller left");
}

void GatewayExchange::holdAtMost(Span span) {
  MaxHoldUntil = std::min(MaxHoldUntil, TimerService::now() + span);
  HoldUntil = std::min(HoldUntil, MaxHoldUntil);
}

void GatewayExchange::abort() {
  if (Done)
    return;
  if (Current)
    endAttempt(AttemptVerdict::Success);
  constexpr std::string_view Why = "this node stops";
  refuse({Why, retryAfter()});
}

} // namespace hemlockglade
