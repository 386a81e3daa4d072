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
    : Shared(shared), Setup(settings), Plan(std::move(plan)), Way(*access.Way),
      Space(access.Space), Request(std::move(request)),
      Labels(std::move(labels)), Key(keyOf(Request, Labels)),
      Fields(viewsOf(Request.Head.Fields)), Reply(std::move(reply)),
      Timer(shared.Context), AttemptTimer(shared.Context) {
  Query.Service = Way.targetFor(std::hash<std::string>{}(Labels.Id));
  const auto *service = Plan->service(Query.Service);
  if (service && service->Engine)
    Query.Weights = Labels.Weights;
  Query.PromptTokens = Labels.PromptTokens;
  Query.Target = Way.TargetLatency;
  Query.TimelyUntil =
      Request.ArrivedAt + scaled(Way.TargetLatency, Setup.TimelyShare);
  Query.Rank = Space && Space->Priority ? *Space->Priority : Way.Priority;
  Query.Tokens = Labels.PromptTokens + Labels.MaxOutputTokens;
  for (std::size_t it = 0; it + 1 < Labels.Prompt.size(); ++it) {
    Query.Parts.push_back(Labels.Prompt[it].Id);
    Query.SharedTokens += Labels.Prompt[it].Tokens;
  }
  Span allowed = Way.Timeout;
  if (Labels.TimeLeft)
    allowed = std::min(allowed, *Labels.TimeLeft);
  EndsAt = Request.ArrivedAt + allowed;
  HoldUntil = Request.ArrivedAt + scaled(allowed, Setup.HoldShare);
  if (Way.Kind == RouteKind::Stream) {
    auto patience =
        std::max({Setup.LeastPatience,
                  scaled(Way.TargetLatency, Setup.PatienceInTargets),
                  scaled(Way.TargetGap, Setup.PatienceInGaps)});
    HoldFor = scaled(patience, Setup.PatienceShare);
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
  if (Done || (Now && Now->FirstEventAt))
    return;
  if (Now) {
    // It may wait behind others there, and would crash the replica as it
    // begins.
    MayHaveRun = MayHaveRun || Now->Connection->open();
    endAttempt(AttemptVerdict::Good);
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
    due = std::min(due, std::clamp(WakeAt - now, LeastWait, Setup.WaitStep));
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
  if (Now) {
    // A request is written as soon as its connection is open.
    MayHaveRun = MayHaveRun || Now->Connection->open();
    endAttempt(AttemptVerdict::Bad);
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
  if (timeLeft() < Setup.LeastAttempt)
    return arm();
  if (endIfBarred())
    return;
  auto choice = Shared.View.choose(Query, now);
  if (choice.What == RouteChoice::Kind::Send && letsOthersGo(now))
    choice.What = RouteChoice::Kind::Full;
  if (choice.What == RouteChoice::Kind::Send) {
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
  Paced = choice.What == RouteChoice::Kind::Pace ||
          choice.What == RouteChoice::Kind::Full;
  WakeAt =
      choice.ReadyAt == Instant::max() ? now + Setup.WaitStep : choice.ReadyAt;
  switch (choice.What) {
  case RouteChoice::Kind::Missing:
    WaitReason = "weights missing";
    if (now - WantToldAt >= Setup.WantEvery) {
      WantToldAt = now;
      Shared.OnDemand(Query.Service, *Query.Weights, true);
    }
    break;
  case RouteChoice::Kind::Wait:
    WaitReason = "weights loading";
    break;
  case RouteChoice::Kind::Pace:
    WaitReason = "engine reads";
    tellPressed(now);
    break;
  case RouteChoice::Kind::Full:
    if (!engine() && Shared.Turns) {
      joinTurns();
      // Others may go where it may not.
      if (!Query.Avoid.empty() || !Query.Resting.empty())
        Shared.Turns->passOver(Query.Service, Turn, now + Setup.WaitStep / 2);
    }
    WakeAt = now + Setup.WaitStep;
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
  bool pressed = now - Request.ArrivedAt >= Setup.PressedAfter;
  if (!engine() || !pressed || now - WantToldAt < Setup.WantEvery)
    return;
  WantToldAt = now;
  Shared.OnPressed(Query.Service, *Query.Weights);
}

void GatewayExchange::send(const RouteChoice &choice) {
  auto now = TimerService::now();
  Waiting = false;
  asio::ip::tcp::endpoint address;
  try {
    address = parseEndpoint(choice.Replica->Address);
  } catch (const asio::system_error &) {
    Query.Avoid.insert(choice.Replica->Life.text());
    return hold(choice);
  }
  ForwardLabels labels;
  labels.TimeLeft = timeLeft();
  labels.Incarnation = choice.Replica->Life.id();
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
  Now = std::make_unique<Attempt>();
  Now->Replica = choice.Replica;
  Now->SentAt = now;
  Now->Clean = choice.Clean;
  Now->Version = choice.Version;
  Now->BeginsBy = choice.BeginsBy;
  ReplacedFor.reset();
  if (choice.ReplacedAt)
    ReplacedFor = now - *choice.ReplacedAt;
  if (engine())
    Shared.OnSent(*choice.Replica,
                  Shared.View.tokensToRead(choice.Replica->Life.text(), Query),
                  *Query.Weights);
  if (Space && Space->Limit && !std::exchange(Booked, true))
    Shared.Limits.Charge(*Space, units());
  Now->Number = Shared.View.onSent(choice.Replica->Life.text(), Query, now);
  bool once = !Way.idempotent();
  Now->Connection =
      Shared.Pool.take(address, once ? Setup.UnsafeIdle : Span::max());
  bool kept = Now->Connection->open();
  Tried.insert(choice.Replica->Life.text());
  Shared.Crashes.OnSent(Key);
  EverSent = true;
  if (!FirstSent)
    FirstSent = now - Request.ArrivedAt;
  Shared.Log.write(LogClass::Request, "send",
                   {{"request", Labels.Id},
                    {"key", Key.text()},
                    {"route", Way.Name},
                    {"workspace", workspace()},
                    {"service", Query.Service},
                    {"weights", engine() ? Query.Weights->text() : ""},
                    {"version", choice.Version},
                    {"newest", choice.Newest},
                    {"replaced_ms_ago", ReplacedFor.value_or(Span(0))},
                    {"replica", choice.Replica->Life.text()},
                    {"running", choice.Running},
                    {"load_age_ms", choice.LoadAge},
                    {"far", choice.Far},
                    {"attempt", static_cast<std::uint64_t>(Tried.size())},
                    {"kept", kept},
                    {"waited_ms", now - Request.ArrivedAt},
                    {"wait", WaitReason},
                    {"plan", Plan->version()},
                    {"left_ms", labels.TimeLeft}});
  HttpCallHooks hooks;
  auto weak = weak_from_this();
  auto number = Now->Number;
  auto live = [weak, number]() -> std::shared_ptr<GatewayExchange> {
    auto self = weak.lock();
    bool its = self && !self->Done && self->Now && self->Now->Number == number;
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
  if (Way.idempotent()) {
    auto usual = Shared.View.usualAnswer(choice.Replica->Life.text());
    Span least = Way.Kind == RouteKind::Stream
                     ? std::max(Setup.LeastStall, Way.TargetLatency)
                     : Setup.LeastSlow;
    expectWithin(std::max(least, scaled(usual, Setup.SlowFactor)));
  }
  armAttempt();
  arm();
  Now->Connection->call(writeHead(head), Request.Body,
                        Request.Head.Method == "HEAD", std::move(hooks));
}

void GatewayExchange::expectWithin(Span span) {
  Now->StuckAt = TimerService::now() + span;
}

void GatewayExchange::armAttempt() {
  auto due = Now->StuckAt;
  if (Now->BeginsBy && !Now->FirstEventAt)
    due = std::min(due, *Now->BeginsBy);
  if (due == Instant::max())
    return;
  // The timer is not moved with each event: it looks when it fires.
  AttemptTimer.expires_after(due - TimerService::now());
  AttemptTimer.async_wait([weak = weak_from_this(),
                           number = Now->Number](asio::error_code ec) {
    auto self = weak.lock();
    if (!ec && self && !self->Done && self->Now && self->Now->Number == number)
      self->onAttemptTimer();
  });
}

void GatewayExchange::onRestarted(const ReplicaLife &before) {
  if (Done || !Now || Now->Replica->Life != before)
    return;
  Now->Orphaned = true;
  Now->StuckAt =
      std::min(Now->StuckAt, TimerService::now() + Setup.OrphanPatience);
  armAttempt();
}

void GatewayExchange::onNamed(const WeightsRef &weights) {
  // Only a stream shows when it begins; any other run may be under way.
  bool waits = Now && !Now->FirstEventAt && Way.Kind == RouteKind::Stream;
  if (Done || !waits || Query.Weights != weights)
    return;
  Now->BeginsBy = Shared.View.beginsBy(weights, Now->Version);
  armAttempt();
}

void GatewayExchange::noteAlive() {
  // Something came: the request runs at the new start of its replica.
  if (std::exchange(Now->Orphaned, false))
    Now->StuckAt = Way.idempotent() ? TimerService::now() + Setup.LeastStall
                                    : Instant::max();
}

bool GatewayExchange::beginsTooLate() const {
  return Now->BeginsBy && !Now->FirstEventAt &&
         TimerService::now() >= *Now->BeginsBy;
}

void GatewayExchange::onAttemptTimer() {
  bool late = beginsTooLate();
  if (!late && TimerService::now() < Now->StuckAt)
    return armAttempt();
  MayHaveRun = MayHaveRun || Now->Connection->open();
  if (late)
    return endUnbegun();
  if (Now->Orphaned && !Now->Connection->open())
    return onFailed(HttpFailure::NotConnected);
  if (Now->Orphaned)
    return onUnknown("replica started anew");
  if (!mayRepeat() || !spendRepeat("slow")) {
    // It is waited for on; that it begins too late is still looked at.
    Now->StuckAt = Instant::max();
    return armAttempt();
  }
  auto slow = Now->Replica->Life.text();
  endAttempt(AttemptVerdict::Bad);
  Query.Avoid.insert(slow);
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
                    {"version", Now->Version},
                    {"replica", Now->Replica->Life.text()},
                    {"sent_ms_ago", now - Now->SentAt},
                    {"due_ms_ago", now - *Now->BeginsBy}});
  // The engine did nothing wrong, and may be the one that takes the newest.
  endAttempt(AttemptVerdict::Good);
  goOn("would begin on replaced weights");
}

bool GatewayExchange::mayRepeat() const {
  bool more = Tried.size() < Way.MaxAttempts;
  return Way.idempotent() && more && timeLeft() > Setup.LeastAttempt;
}

bool GatewayExchange::spendRepeat(std::string_view why) {
  auto now = TimerService::now();
  bool allowed = Shared.Budget.spend(Query.Service, now);
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
  if (!Now)
    return;
  AttemptTimer.cancel();
  auto attempt = std::exchange(Now, nullptr);
  // What reached a replica may have run, unless it says that it has not.
  if (attempt->Connection->open() && !attempt->Labels.NotRun)
    Booked = false;
  Shared.View.onEnd(attempt->Replica->Life.text(), attempt->Number, Query,
                    verdict, TimerService::now());
  if (engine())
    Shared.OnDone(*attempt->Replica, *Query.Weights);
  else if (Shared.Turns)
    Shared.Turns->wakeNext(Query.Service, TimerService::now());
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
  if (Now)
    endAttempt(AttemptVerdict::Good);
  finish(0, "caller left");
}

void GatewayExchange::holdAtMost(Span span) {
  HoldLimit = std::min(HoldLimit, TimerService::now() + span);
  HoldUntil = std::min(HoldUntil, HoldLimit);
}

void GatewayExchange::cut() {
  if (Done)
    return;
  if (Now)
    endAttempt(AttemptVerdict::Good);
  if (!AnswerBegun && !MayHaveRun && !EverSent)
    return answerOwn(Unavailable, "this node stops", retryAfter());
  answerOwn(BadGateway, "this node stops");
}

} // namespace hemlockglade
