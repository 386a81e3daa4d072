#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>
#include <charconv>

namespace hemlockglade {

namespace {

constexpr std::uint16_t FirstSuccess = 200;
constexpr std::uint16_t FirstRedirect = 300;
constexpr std::uint16_t RequestTimeout = 408;
constexpr std::uint16_t OtherIncarnation = 421;
constexpr std::uint16_t TooMany = 429;
constexpr std::uint16_t ServerError = 500;
constexpr std::uint16_t BadGateway = 502;
constexpr std::uint16_t Unavailable = 503;
constexpr std::uint16_t GatewayTimeout = 504;
/// Ranks that requests have at engines.
constexpr std::uint32_t LowestRank = 9;
constexpr double UsPerS = 1e6;

bool isSuccess(std::uint16_t status) {
  return status >= FirstSuccess && status < FirstRedirect;
}

/// Whether a status tells a caller that its request has not run.
bool promisesNotRun(std::uint16_t status) {
  return status == RequestTimeout || status == OtherIncarnation ||
         status == TooMany || status == Unavailable;
}

LabelFields viewsOf(const HeaderFields &fields) {
  LabelFields out;
  out.reserve(fields.size());
  for (const auto &it : fields)
    out.emplace_back(it.Name, it.Value);
  return out;
}

HeaderFields fieldsOf(const OwnedFields &fields) {
  HeaderFields out;
  for (const auto &[name, value] : fields)
    out.push_back({name, value});
  return out;
}

Span scaled(Span span, double factor) {
  return Span(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

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

GatewayExchange::GatewayExchange(ExchangeContext &shared,
                                 const ExchangeSettings &settings,
                                 std::shared_ptr<const RoutePlan> plan,
                                 const Route &route, CallerRequest request,
                                 RequestLabels labels,
                                 std::shared_ptr<CallerReply> reply)
    : Shared(shared), Setup(settings), Plan(std::move(plan)), Way(route),
      Request(std::move(request)), Labels(std::move(labels)),
      Fields(viewsOf(Request.Head.Fields)), Reply(std::move(reply)),
      Timer(shared.Context), AttemptTimer(shared.Context) {
  Query.Service = Way.targetFor(std::hash<std::string>{}(Labels.Id));
  const auto *service = Plan->service(Query.Service);
  if (service && service->Engine)
    Query.Weights = Labels.Weights;
  Query.PromptTokens = Labels.PromptTokens;
  Query.TimelyUntil =
      Request.ArrivedAt + scaled(Way.TargetLatency, Setup.TimelyShare);
  Query.Rank = Way.Priority;
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
  Shared.Budget.onRequest(Query.Service, TimerService::now());
  arm();
  next();
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
  auto choice = Shared.View.choose(Query, now);
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
  if (choice.What == RouteChoice::Kind::Missing && !Query.Avoid.empty() &&
      !engine()) {
    // All have been tried; the least bad one may have recovered.
    Query.Avoid.clear();
  }
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
    WakeAt = now + Setup.WaitStep;
    WaitReason = "replicas full";
    tellPressed(now);
    break;
  default:
    WaitReason = "no replica known";
  }
  arm();
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
    Query.Avoid.insert(choice.Replica->Incarnation);
    return hold(choice);
  }
  ForwardLabels labels;
  labels.TimeLeft = timeLeft();
  labels.Incarnation = choice.Replica->Incarnation;
  if (engine())
    labels.Priority = std::min(LowestRank, Way.Priority);
  if (engine() && choice.Version)
    labels.Version = choice.Version;
  labels.ResumeBehind = LastEvent;
  HttpRequestHead head{Request.Head.Method, Request.Head.Target, {}};
  head.Fields = fieldsOf(Shared.Labels.Forward(Fields, labels));
  if (!Request.Body.empty() || findField(Request.Head.Fields, "Content-Length"))
    head.Fields.push_back(
        {"Content-Length", std::to_string(Request.Body.size())});
  else if (findField(Request.Head.Fields, "Transfer-Encoding"))
    head.Fields.push_back({"Content-Length", "0"});
  Now = std::make_unique<Attempt>();
  Now->Replica = choice.Replica;
  Now->SentAt = now;
  Now->Resumed = EventsPassed > 0;
  Now->Clean = choice.Clean;
  if (engine())
    Shared.OnSent(*choice.Replica,
                  Shared.View.tokensToRead(choice.Replica->Incarnation, Query),
                  *Query.Weights);
  Now->Number = Shared.View.onSent(choice.Replica->Incarnation, Query, now);
  bool once = !Way.idempotent();
  Now->Connection =
      Shared.Pool.take(address, once ? Setup.UnsafeIdle : Span::max());
  bool kept = Now->Connection->open();
  Tried.insert(choice.Replica->Incarnation);
  EverSent = true;
  if (!FirstSent)
    FirstSent = now - Request.ArrivedAt;
  Shared.Log.write(LogClass::Request, "send",
                   {{"request", Labels.Id},
                    {"route", Way.Name},
                    {"service", Query.Service},
                    {"weights", engine() ? Query.Weights->text() : ""},
                    {"version", choice.Version},
                    {"replica", choice.Replica->Incarnation},
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
    auto usual = Shared.View.usualAnswer(choice.Replica->Incarnation);
    Span least = Way.Kind == RouteKind::Stream
                     ? std::max(Setup.LeastStall, Way.TargetLatency)
                     : Setup.LeastSlow;
    expectWithin(std::max(least, scaled(usual, Setup.SlowFactor)));
    armAttempt();
  }
  arm();
  Now->Connection->call(writeHead(head), Request.Body,
                        Request.Head.Method == "HEAD", std::move(hooks));
}

void GatewayExchange::expectWithin(Span span) {
  Now->StuckAt = TimerService::now() + span;
}

void GatewayExchange::armAttempt() {
  // The timer is not moved with each event: it looks when it fires.
  AttemptTimer.expires_after(Now->StuckAt - TimerService::now());
  AttemptTimer.async_wait([weak = weak_from_this(),
                           number = Now->Number](asio::error_code ec) {
    auto self = weak.lock();
    if (!ec && self && !self->Done && self->Now && self->Now->Number == number)
      self->onAttemptTimer();
  });
}

void GatewayExchange::onAttemptTimer() {
  if (TimerService::now() < Now->StuckAt)
    return armAttempt();
  MayHaveRun = MayHaveRun || Now->Connection->open();
  if (!mayRepeat() || !spendRepeat("slow"))
    return;
  auto slow = Now->Replica->Incarnation;
  endAttempt(AttemptVerdict::Bad);
  Query.Avoid.insert(slow);
  next();
}

bool GatewayExchange::onHead(const HttpAnswerHead &head) {
  auto labels = Shared.Labels.ReadAnswer(head.Status, viewsOf(head.Fields));
  if (!labels.Id.empty() && labels.Id != Labels.Id) {
    Shared.Log.write(LogClass::Request, "stray-answer",
                     {{"request", Labels.Id},
                      {"answers", labels.Id},
                      {"replica", Now->Replica->Incarnation}});
    return false;
  }
  auto now = TimerService::now();
  Now->Head = head;
  Now->Labels = labels;
  Shared.View.onAnswered(Now->Replica->Incarnation, Now->Number, now);
  if (!labels.NotRun)
    MayHaveRun = true;
  return true;
}

void GatewayExchange::onBody(std::string_view part) {
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
  if (!std::exchange(Now->FirstEvent, true))
    Shared.View.onFirstEvent(Now->Replica->Incarnation, Query,
                             TimerService::now() - Now->SentAt, Now->Clean);
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
  if (success && Now->Labels.Events)
    return onStreamEnd(!Now->Events.torn(), "its end was torn");
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
      Shared.View.suspect(Now->Replica->Incarnation, TimerService::now()) &&
      spendRepeat("replica's own failure")) {
    auto failed = Now->Replica->Incarnation;
    endAttempt(AttemptVerdict::OwnFailure);
    Query.Avoid.insert(failed);
    return next();
  }
  if (AnswerBegun)
    return onStreamEnd(false, "a resumed stream failed");
  HttpAnswerHead head = *Now->Head;
  auto body = std::move(Now->Body);
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
    endAttempt(AttemptVerdict::Good);
    Reply->finish();
    return finish(status, "complete");
  }
  onUnknown(why);
}

void GatewayExchange::onFailed(HttpFailure how) {
  if (how == HttpFailure::NotConnected) {
    auto failed = Now->Replica->Incarnation;
    Tried.erase(failed);
    endAttempt(AttemptVerdict::Bad);
    Query.Avoid.insert(failed);
    Shared.Log.write(LogClass::Request, "not-connected",
                     {{"request", Labels.Id}, {"replica", failed}});
    return next();
  }
  ++Arrivals;
  MayHaveRun = true;
  onUnknown(how == HttpFailure::Ended ? "connection ended"
                                      : "connection broke");
}

void GatewayExchange::onNotRun() {
  ++Arrivals;
  auto record = Now->Replica;
  const auto &replica = *record;
  auto status = Now->Head->Status;
  bool misdirected = status == OtherIncarnation;
  bool replaced = misdirected && !Now->Labels.Incarnation.empty() &&
                  Now->Labels.Incarnation != replica.Incarnation;
  Shared.Log.write(LogClass::Request, "not-run",
                   {{"request", Labels.Id},
                    {"replica", replica.Incarnation},
                    {"answered_by", Now->Labels.Incarnation},
                    {"status", std::uint32_t{status}}});
  // An engine that lacks the weights answers like one that has been replaced;
  // the difference is which incarnation answers.
  if (replaced) {
    endAttempt(AttemptVerdict::Bad);
    Shared.View.onReplaced(replica.Incarnation);
  } else if (engine()) {
    endAttempt(AttemptVerdict::Good);
    Shared.View.onWeightsRefused(replica.Incarnation, *Query.Weights,
                                 misdirected, TimerService::now());
    Shared.OnRefusal(replica, *Query.Weights, misdirected);
  } else {
    endAttempt(AttemptVerdict::Shed);
    Query.Avoid.insert(replica.Incarnation);
  }
  Tried.erase(replica.Incarnation);
  auto now = TimerService::now();
  if (Shared.Budget.spend(Query.Service, now))
    return next();
  if (AnswerBegun)
    return onUnknown("no budget to go on");
  if (MayHaveRun)
    return answerOwn(BadGateway, "no budget to try again");
  answerOwn(Unavailable, "no budget to try again", retryAfter());
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
    HoldUntil = std::max(HoldUntil, now + HoldFor);
  Shared.Log.write(LogClass::Request, "repeat",
                   {{"request", Labels.Id},
                    {"why", why},
                    {"events", EventsPassed},
                    {"tried", static_cast<std::uint64_t>(Tried.size())},
                    {"allowed", allowed}});
  return allowed;
}

void GatewayExchange::onUnknown(std::string_view why) {
  std::string failed;
  if (Now) {
    failed = Now->Replica->Incarnation;
    endAttempt(AttemptVerdict::Bad);
  }
  if (mayRepeat() && spendRepeat(why)) {
    Query.Avoid.insert(failed);
    return next();
  }
  if (AnswerBegun) {
    Reply->abort();
    return finish(0, why);
  }
  answerOwn(BadGateway, why);
}

void GatewayExchange::endAttempt(AttemptVerdict verdict) {
  if (!Now)
    return;
  AttemptTimer.cancel();
  auto attempt = std::exchange(Now, nullptr);
  Shared.View.onEnd(attempt->Replica->Incarnation, attempt->Number, Query,
                    verdict, TimerService::now());
  if (engine())
    Shared.OnDone(*attempt->Replica, *Query.Weights);
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
  if (retryAfter) {
    auto text =
        std::to_string(static_cast<double>(retryAfter->count()) / UsPerS);
    head.Fields.push_back({"Retry-After", text.substr(0, text.find('.') + 3)});
  }
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
  Shared.Log.write(LogClass::Request, "end",
                   {{"request", Labels.Id},
                    {"status", std::uint32_t{status}},
                    {"result", result},
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
  HoldUntil = std::min(HoldUntil, TimerService::now() + span);
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
