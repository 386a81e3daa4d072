#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

namespace {

/// Ranks that requests have at engines.
constexpr std::uint32_t LowestRank = 9;

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
      Labels(std::move(labels)), Key(keyOf(Request, Labels)),
      Fields(viewsOf(Request.Head.Fields)), Reply(std::move(reply)),
      Timer(shared.Context), AttemptTimer(shared.Context) {
  Query.Service = MatchedRoute.targetFor(std::hash<std::string>{}(Labels.Id));
  const auto *service = Plan->service(Query.Service);
  if (service && service->Engine)
    Query.Weights = Labels.Weights;
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
    auto patience = std::max(
        {Settings.MinCallerPatience,
         scaled(MatchedRoute.TargetLatency, Settings.CallerPatienceInTargets),
         scaled(MatchedRoute.TargetGap, Settings.CallerPatienceInGaps)});
    HoldFor = scaled(patience, Settings.StreamHoldShare);
    HoldUntil = std::min(HoldUntil, Request.ArrivedAt + HoldFor);
  }
  LastEvent = Labels.ResumeBehind;
}

GatewayExchange::~GatewayExchange() = default;

void GatewayExchange::start() {
  Reply->OnGone = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onCallerGone();
  };
  if (endIfBarred())
    return;
  Shared.Budget.onRequest(Query.Service, TimerService::now());
  arm();
  book();
}

bool GatewayExchange::endIfBarred() {
  auto barredFor = Shared.Crashes.BarredFor(Key);
  if (!barredFor)
    return false;
  constexpr std::string_view Why = "replicas ended under this request";
  if (MayHaveRun)
    answerOwn(BadGateway, Why);
  else
    answerOwn(Unavailable, Why, barredFor);
  return true;
}

void GatewayExchange::onBarred() {
  // One that gives events runs at a replica that lives.
  if (Done || (Current && Current->FirstEventAt))
    return;
  if (Current) {
    // It may wait behind others there, and would crash the replica as it
    // begins.
    MayHaveRun = MayHaveRun || Current->Connection->open();
    endAttempt(AttemptVerdict::Success);
  }
  endIfBarred();
}

Span GatewayExchange::timeLeft() const { return EndsAt - TimerService::now(); }

void GatewayExchange::arm() {
  auto now = TimerService::now();
  Span due = EndsAt - now;
  // A wait whose end is known need not be looked at before.
  constexpr Span LeastWait = std::chrono::milliseconds(2);
  if (Waiting)
    due = std::min(
        due, std::clamp(WakeAt - now, LeastWait, Settings.WaitPollInterval));
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
      next();
    else
      arm();
    return;
  }
  if (Current) {
    // A request is written as soon as its connection is open.
    MayHaveRun = MayHaveRun || Current->Connection->open();
    endAttempt(AttemptVerdict::NoValidAnswer);
  }
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, "out of time in its answer");
  }
  if (MayHaveRun)
    return answerOwn(GatewayTimeout, "out of time");
  answerOwn(Unavailable, "out of time, never run", retryAfter());
}

void GatewayExchange::wake() {
  if (Waiting && !Done)
    next();
}

Span GatewayExchange::retryAfter() const {
  // A caller that comes back finds the weights loaded: the usual load takes a
  // quarter of a second, and a few wait for each other. While nobody may load,
  // that takes seconds.
  constexpr auto LoadTurn = std::chrono::milliseconds(500);
  constexpr auto NextHolder = std::chrono::milliseconds(2000);
  constexpr auto PlainTurn = std::chrono::milliseconds(100);
  if (!engine())
    return PlainTurn;
  bool loads = !Shared.CanLoad || Shared.CanLoad();
  return loads ? Span(LoadTurn) : Span(NextHolder);
}

void GatewayExchange::next() {
  auto now = TimerService::now();
  if (timeLeft() < Settings.MinAttemptTime)
    return arm();
  if (endIfBarred())
    return;
  auto choice = Shared.View.choose(Query, now);
  if (choice.Result == RouteChoice::Kind::Send && letsOthersGo(now))
    choice.Result = RouteChoice::Kind::Full;
  if (choice.Result == RouteChoice::Kind::Send) {
    if (engine() && !std::exchange(DemandTold, true))
      Shared.OnDemand(Query.Service, *Query.Weights, false);
    return send(choice);
  }
  hold(choice);
}

void GatewayExchange::hold(const RouteChoice &choice) {
  auto now = TimerService::now();
  if (engine() && !std::exchange(DemandTold, true))
    Shared.OnDemand(Query.Service, *Query.Weights, false);
  if (now >= HoldUntil) {
    if (MayHaveRun)
      return answerOwn(BadGateway, "no replica to try again");
    return answerOwn(Unavailable, "held too long", retryAfter());
  }
  Waiting = true;
  Paced = choice.Result == RouteChoice::Kind::AwaitPrefill ||
          choice.Result == RouteChoice::Kind::Full;
  WakeAt = choice.ReadyAt == Instant::max() ? now + Settings.WaitPollInterval
                                            : choice.ReadyAt;
  switch (choice.Result) {
  case RouteChoice::Kind::NotLoaded:
    WaitReason = "weights missing";
    if (now - WantToldAt >= Settings.DemandReminderInterval) {
      WantToldAt = now;
      Shared.OnDemand(Query.Service, *Query.Weights, true);
    }
    break;
  case RouteChoice::Kind::AwaitLoad:
    WaitReason = "weights loading";
    break;
  case RouteChoice::Kind::AwaitPrefill:
    WaitReason = "engine reads";
    tellPressed(now);
    break;
  case RouteChoice::Kind::Full:
    if (!engine() && Shared.PlainQueue) {
      joinTurns();
      // Others may go where it may not.
      if (!Query.Excluded.empty() || !Query.BackoffUntil.empty())
        Shared.PlainQueue->deferUntil(Query.Service, Turn,
                                      now + Settings.WaitPollInterval / 2);
    }
    WakeAt = now + Settings.WaitPollInterval;
    WaitReason = "replicas full";
    tellPressed(now);
    break;
  default:
    WaitReason = "no replica known";
  }
  noteHold(choice, now);
  arm();
}

void GatewayExchange::noteHold(const RouteChoice &choice, Instant now) {
  if (WaitReason == NotedReason)
    return;
  NotedReason = WaitReason;
  bool known = choice.ReadyAt != Instant::max() && choice.ReadyAt > now;
  Shared.Log.write(LogClass::Request, "hold",
                   {{"request", Labels.Id},
                    {"reason", WaitReason},
                    {"service", Query.Service},
                    {"weights", engine() ? Query.Weights->text() : ""},
                    {"ready_in_ms", known ? choice.ReadyAt - now : Span(0)},
                    {"held_until_ms", HoldUntil - now},
                    {"can_load", !Shared.CanLoad || Shared.CanLoad()}});
}

void GatewayExchange::tellPressed(Instant now) {
  bool pressed = now - Request.ArrivedAt >= Settings.CongestedAfter;
  if (!engine() || !pressed ||
      now - WantToldAt < Settings.DemandReminderInterval)
    return;
  WantToldAt = now;
  Shared.OnCongested(Query.Service, *Query.Weights);
}

void GatewayExchange::send(const RouteChoice &choice) {
  auto now = TimerService::now();
  Waiting = false;
  asio::ip::tcp::endpoint address;
  try {
    address = parseEndpoint(choice.Replica->Address);
  } catch (const asio::system_error &) {
    Query.Excluded.insert(choice.Replica->Incarnation.text());
    return hold(choice);
  }
  ForwardLabels labels;
  labels.TimeLeft = timeLeft();
  labels.Incarnation = choice.Replica->Incarnation.id();
  if (engine())
    labels.Priority = std::min(LowestRank, Query.Rank);
  if (engine() && choice.Version)
    labels.Version = choice.Version;
  labels.ResumeBehind = LastEvent;
  labels.Workspace = workspace();
  HttpRequestHead head{Request.Head.Method, Request.Head.Target, {}};
  head.Fields = fieldsOf(Shared.Labels.Forward(Fields, labels));
  if (!Request.Body.empty() || findField(Request.Head.Fields, "Content-Length"))
    head.Fields.push_back(
        {"Content-Length", std::to_string(Request.Body.size())});
  else if (findField(Request.Head.Fields, "Transfer-Encoding"))
    head.Fields.push_back({"Content-Length", "0"});
  leaveTurns(true);
  Query.SentAt = now;
  Current = std::make_unique<Attempt>();
  Current->Replica = choice.Replica;
  Current->SentAt = now;
  Current->Clean = choice.PrefillIdle;
  Current->Version = choice.Version;
  Current->BeginsBy = choice.MustBeginBy;
  ReplacedFor.reset();
  if (choice.ReplacedAt)
    ReplacedFor = now - *choice.ReplacedAt;
  if (engine())
    Shared.OnSent(
        *choice.Replica,
        Shared.View.tokensToRead(choice.Replica->Incarnation.text(), Query),
        *Query.Weights);
  if (CallerWorkspace && CallerWorkspace->Limit && !std::exchange(Booked, true))
    Shared.Limits.Charge(*CallerWorkspace, units());
  Current->Number =
      Shared.View.onSent(choice.Replica->Incarnation.text(), Query, now);
  bool once = !MatchedRoute.idempotent();
  Current->Connection = Shared.Pool.take(
      address, once ? Settings.MaxIdleForRunOnce : Span::max());
  bool kept = Current->Connection->open();
  Tried.insert(choice.Replica->Incarnation.text());
  Shared.Crashes.OnSent(Key);
  EverSent = true;
  if (!FirstSent)
    FirstSent = now - Request.ArrivedAt;
  Shared.Log.write(LogClass::Request, "send",
                   {{"request", Labels.Id},
                    {"key", Key.text()},
                    {"route", MatchedRoute.Name},
                    {"workspace", workspace()},
                    {"service", Query.Service},
                    {"weights", engine() ? Query.Weights->text() : ""},
                    {"version", choice.Version},
                    {"newest", choice.NewestVersion},
                    {"replaced_ms_ago", ReplacedFor.value_or(Span(0))},
                    {"replica", choice.Replica->Incarnation.text()},
                    {"running", choice.Running},
                    {"load_age_ms", choice.LoadAge},
                    {"far", choice.Remote},
                    {"attempt", static_cast<std::uint64_t>(Tried.size())},
                    {"kept", kept},
                    {"waited_ms", now - Request.ArrivedAt},
                    {"wait", WaitReason},
                    {"plan", Plan->version()},
                    {"left_ms", labels.TimeLeft}});
  HttpCallHooks hooks;
  auto weak = weak_from_this();
  auto number = Current->Number;
  auto live = [weak, number]() -> std::shared_ptr<GatewayExchange> {
    auto self = weak.lock();
    bool its =
        self && !self->Done && self->Current && self->Current->Number == number;
    return its ? self : nullptr;
  };
  hooks.OnHead = [live](const HttpAnswerHead &it) {
    auto self = live();
    return self ? self->onHead(it) : true;
  };
  hooks.OnBody = [live](std::string_view part) {
    if (auto self = live())
      self->onBody(part);
  };
  hooks.OnDone = [live] {
    if (auto self = live())
      self->onDone();
  };
  hooks.OnFailed = [live](HttpFailure how) {
    if (auto self = live())
      self->onFailed(how);
  };
  if (MatchedRoute.idempotent()) {
    auto usual =
        Shared.View.typicalFirstByte(choice.Replica->Incarnation.text());
    Span least =
        MatchedRoute.Kind == RouteKind::Stream
            ? std::max(Settings.MinStallTime, MatchedRoute.TargetLatency)
            : Settings.MinSlowTime;
    expectWithin(std::max(least, scaled(usual, Settings.SlowFactor)));
  }
  armAttempt();
  arm();
  Current->Connection->call(writeHead(head), Request.Body,
                            Request.Head.Method == "HEAD", std::move(hooks));
}

void GatewayExchange::expectWithin(Span span) {
  Current->StuckAt = TimerService::now() + span;
}

void GatewayExchange::armAttempt() {
  auto due = Current->StuckAt;
  if (Current->BeginsBy && !Current->FirstEventAt)
    due = std::min(due, *Current->BeginsBy);
  if (due == Instant::max())
    return;
  // The timer is not moved with each event: it looks when it fires.
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
  Current->Orphaned = true;
  Current->StuckAt =
      std::min(Current->StuckAt, TimerService::now() + Settings.RestartGrace);
  armAttempt();
}

void GatewayExchange::onVersionDeclared(const WeightsRef &weights) {
  // Only a stream shows when it begins; any other run may be under way.
  bool waits = Current && !Current->FirstEventAt &&
               MatchedRoute.Kind == RouteKind::Stream;
  if (Done || !waits || Query.Weights != weights)
    return;
  Current->BeginsBy = Shared.View.mustBeginBy(weights, Current->Version);
  armAttempt();
}

void GatewayExchange::noteAlive() {
  // Something came: the request runs at the new start of its replica.
  if (std::exchange(Current->Orphaned, false))
    Current->StuckAt = MatchedRoute.idempotent()
                           ? TimerService::now() + Settings.MinStallTime
                           : Instant::max();
}

bool GatewayExchange::beginsTooLate() const {
  return Current->BeginsBy && !Current->FirstEventAt &&
         TimerService::now() >= *Current->BeginsBy;
}

void GatewayExchange::onAttemptTimer() {
  bool late = beginsTooLate();
  if (!late && TimerService::now() < Current->StuckAt)
    return armAttempt();
  MayHaveRun = MayHaveRun || Current->Connection->open();
  if (late)
    return endUnbegun();
  if (Current->Orphaned && !Current->Connection->open())
    return onFailed(HttpFailure::NotConnected);
  if (Current->Orphaned)
    return onUnknown("replica started anew");
  if (!mayRepeat() || !spendRepeat("slow")) {
    // It is waited for on; that it begins too late is still looked at.
    Current->StuckAt = Instant::max();
    return armAttempt();
  }
  auto slow = Current->Replica->Incarnation.text();
  endAttempt(AttemptVerdict::NoValidAnswer);
  Query.Excluded.insert(slow);
  next();
}

void GatewayExchange::endUnbegun() {
  // An engine that has queued the request behind others would begin it on
  // weights that were replaced long ago; only ending it here prevents that.
  auto now = TimerService::now();
  EndedUnbegun = true;
  Shared.Log.write(LogClass::Request, "not-begun",
                   {{"request", Labels.Id},
                    {"weights", Query.Weights->text()},
                    {"version", Current->Version},
                    {"replica", Current->Replica->Incarnation.text()},
                    {"sent_ms_ago", now - Current->SentAt},
                    {"due_ms_ago", now - *Current->BeginsBy}});
  // The engine did nothing wrong, and may be the one that takes the newest.
  endAttempt(AttemptVerdict::Success);
  goOn("would begin on replaced weights");
}

bool GatewayExchange::mayRepeat() const {
  bool more = Tried.size() < MatchedRoute.MaxAttempts;
  return MatchedRoute.idempotent() && more &&
         timeLeft() > Settings.MinAttemptTime;
}

bool GatewayExchange::spendRepeat(std::string_view why) {
  auto now = TimerService::now();
  bool allowed = Shared.Budget.tryConsume(Query.Service, now);
  // A caller who has heard something waits as long again.
  if (allowed)
    HoldUntil = std::min(std::max(HoldUntil, now + HoldFor), HoldLimit);
  Shared.Log.write(LogClass::Request, "repeat",
                   {{"request", Labels.Id},
                    {"why", why},
                    {"events", EventsPassed},
                    {"tried", static_cast<std::uint64_t>(Tried.size())},
                    {"allowed", allowed}});
  return allowed;
}

void GatewayExchange::endAttempt(AttemptVerdict verdict) {
  if (!Current)
    return;
  AttemptTimer.cancel();
  auto attempt = std::exchange(Current, nullptr);
  // What reached a replica may have run, unless it says that it has not.
  if (attempt->Connection->open() && !attempt->Labels.NotRun)
    Booked = false;
  Shared.View.onEnd(attempt->Replica->Incarnation.text(), attempt->Number,
                    Query, verdict, TimerService::now());
  if (engine())
    Shared.OnDone(*attempt->Replica, *Query.Weights);
  else if (Shared.PlainQueue)
    Shared.PlainQueue->wakeNext(Query.Service, TimerService::now());
  if (attempt->Connection->calling())
    Shared.Crashes.OnGivenUp(*attempt->Replica, Key, attempt->SentAt,
                             attempt->FirstEventAt);
  // A connection in the middle of an answer is reset, which also ends the run.
  if (attempt->Connection->reusable())
    Shared.Pool.give(attempt->Connection);
  else
    attempt->Connection->abort();
}

void GatewayExchange::answerOwn(std::uint16_t status, std::string_view why,
                                std::optional<Span> retryAfter) {
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, why);
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
  leaveTurns(false);
  giveBack();
  Shared.Log.write(LogClass::Request, "end",
                   {{"request", Labels.Id},
                    {"status", std::uint32_t{status}},
                    {"result", result},
                    {"workspace", workspace()},
                    {"weights", engine() ? Query.Weights->text() : ""},
                    {"wait", WaitReason},
                    {"arrivals", static_cast<std::uint64_t>(Tried.size())},
                    {"events", EventsPassed},
                    {"first_ms", FirstByte.value_or(Span(0))},
                    {"took_ms", TimerService::now() - Request.ArrivedAt}});
  Reply->OnDrained = nullptr;
  Reply->OnGone = nullptr;
  Shared.OnEnd(*this);
}

Span GatewayExchange::heldFor() const {
  return FirstSent.value_or(TimerService::now() - Request.ArrivedAt);
}

void GatewayExchange::onCallerGone() {
  if (Current)
    endAttempt(AttemptVerdict::Success);
  finish(0, "caller left");
}

void GatewayExchange::holdAtMost(Span span) {
  HoldLimit = std::min(HoldLimit, TimerService::now() + span);
  HoldUntil = std::min(HoldUntil, HoldLimit);
}

void GatewayExchange::abort() {
  if (Done)
    return;
  if (Current)
    endAttempt(AttemptVerdict::Success);
  if (!AnswerBegun && !MayHaveRun && !EverSent)
    return answerOwn(Unavailable, "this node stops", retryAfter());
  answerOwn(BadGateway, "this node stops");
}

} // namespace hemlockglade
