#include "Exchange.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace hemlockglade {

namespace {

/// Unsent bytes above which the transfer from the endpoint is paused until a
/// slow caller has received half of them.
constexpr std::size_t UnsentLimit = std::size_t{256} * 1024;
/// An answer up to this size, in bytes, is sent whole, with its outcome in the
/// header.
constexpr std::size_t WholeLimit = std::size_t{256} * 1024;
/// Delay between two admission requests while a cell has no owner that answers.
constexpr Span OwnerRetryInterval = std::chrono::milliseconds(100);
/// How long past the deadline a refusal by the owner is waited for.
constexpr Span OwnerGrace = std::chrono::milliseconds(100);
/// Retry-After while the table doesn't answer.
constexpr Span StoreRetryAfter = std::chrono::seconds(5);
constexpr int FirstError = 400;
constexpr int Conflict = 409;
constexpr int Unprocessable = 422;
constexpr int TooMany = 429;
constexpr int Unavailable = 503;
constexpr int BadGateway = 502;

bool sameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Whether an engine that answers with this status has refused the request
/// before running it.
bool isEngineRefusal(int status) {
  constexpr std::array Refusals{400, 404, 405, 409, 413, 422, 429, 503};
  return std::find(Refusals.begin(), Refusals.end(), status) != Refusals.end();
}

/// Whether the reason of a refusal is a change of the cell's owner.
bool isOwnerChange(std::string_view reason) {
  return reason == "no-owner" || reason == "not-owner" ||
         reason == "owner-lost";
}

std::string retryAfterSeconds(Span span) {
  auto n = std::chrono::ceil<std::chrono::seconds>(span).count();
  return std::to_string(std::max<std::int64_t>(n, 1));
}

} // namespace

Exchange::Exchange(ExchangeRequest request, std::shared_ptr<HttpReply> reply,
                   HttpClient &client,
                   std::shared_ptr<const ExchangeHooks> hooks)
    : Request(std::move(request)), Reply(std::move(reply)), Client(client),
      Hooks(std::move(hooks)), Arrived(TimerService::now()) {}

void Exchange::start() {
  Reply->onGone([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onCallerDisconnected();
  });
  requestAdmission();
}

void Exchange::requestAdmission() {
  std::uint32_t round = 0;
  AdmitRequest admit;
  {
    std::lock_guard lock(Mutex);
    if (Ended)
      return;
    auto left = Request.Deadline - TimerService::now();
    if (left <= Span{})
      return refuse("deadline-passed", OwnerRetryInterval);
    round = ++Round;
    AwaitingAdmission = true;
    Request.Admit.DeadlineUs = left.count();
    admit = Request.Admit;
  }
  // Called without the lock, because the answer may come from inside the call.
  auto ticket = Hooks->RequestAdmission(
      admit, [self = shared_from_this(), round](const AdmitReply &reply) {
        self->onAdmitted(round, reply);
      });
  std::lock_guard lock(Mutex);
  if (Ended || round != Round)
    return ticket->finish(Outcome::NotRun);
  Ticket = std::move(ticket);
  if (!AwaitingAdmission)
    return;
  Hooks->After(Span(admit.DeadlineUs) + OwnerGrace,
               [weak = weak_from_this(), round] {
                 if (auto self = weak.lock())
                   self->onDeadline(round);
               });
}

void Exchange::onDeadline(std::uint32_t round) {
  std::lock_guard lock(Mutex);
  if (Ended || round != Round || !AwaitingAdmission)
    return;
  refuse("deadline-passed", OwnerRetryInterval);
}

void Exchange::retryAdmission() {
  // The new round number makes a late answer to the last request ignored.
  ++Round;
  releaseSlot(Outcome::NotRun);
  // The timer holds the only reference to the exchange until it runs.
  Hooks->After(OwnerRetryInterval,
               [self = shared_from_this()] { self->requestAdmission(); });
}

void Exchange::onAdmitted(std::uint32_t round, const AdmitReply &reply) {
  std::lock_guard lock(Mutex);
  if (Ended || round != Round)
    return;
  AwaitingAdmission = false;
  if (!reply.Granted) {
    if (isOwnerChange(reply.Reason))
      return retryAdmission();
    return refuse(reply.Reason, Span(reply.RetryAfterUs));
  }
  Grant = reply;
  Registered = Hooks->Register(record());
  if (!Registered)
    return retryAdmission();
  if (Request.IdempotencyKey.empty() || Claimed)
    return send();
  claim();
}

void Exchange::claim() {
  Hooks->Claim(Request, [self = shared_from_this()](const ClaimAnswer &answer) {
    self->onClaimed(answer);
  });
}

void Exchange::onClaimed(const ClaimAnswer &answer) {
  std::lock_guard lock(Mutex);
  Claimed = answer.Result == ClaimResult::Claimed;
  Claim = answer.Ticket;
  if (Ended) {
    // The caller disconnected meanwhile; nothing was sent, and the outcome of
    // the key is stored as such.
    if (Claimed)
      Hooks->RecordOutcome(Claim, Outcome::NotRun);
    return;
  }
  switch (answer.Result) {
  case ClaimResult::Claimed:
    return send();
  case ClaimResult::StoreUnavailable:
    return refuse("store-unavailable", StoreRetryAfter);
  case ClaimResult::OtherBody:
  case ClaimResult::Taken:
  case ClaimResult::Ambiguous:
    return refuseClaim(answer);
  }
}

void Exchange::refuseClaim(const ClaimAnswer &answer) {
  bool mismatch = answer.Result == ClaimResult::OtherBody;
  bool taken = answer.Result == ClaimResult::Taken;
  auto outcome = mismatch ? Outcome::NotRun
                 : taken  ? answer.Recorded
                          : Outcome::Unknown;
  std::string reason = mismatch ? "key-mismatch"
                       : taken  ? "key-taken"
                                : "claim-ambiguous";
  HttpFields fields{
      {std::string(header::RequestId), taken ? answer.RequestId : Request.Id},
      {std::string(header::Outcome), std::string(outcomeName(outcome))},
      {"Content-Type", "application/json"}};
  Reply->sendWhole(mismatch ? Unprocessable
                   : taken  ? Conflict
                            : BadGateway,
                   fields, errorBody(reason, "see the outcome header"));
  end(Outcome::NotRun, reason);
}

void Exchange::send() {
  HttpRequest request;
  request.Method = Request.Method;
  request.Url = "http://" + Grant.Address + Request.PathAndQuery;
  request.Fields = Request.Fields;
  request.Fields.emplace_back(header::RequestId, Request.Id);
  request.Fields.emplace_back(header::Attempt,
                              std::to_string(Request.Admit.Attempt));
  request.Fields.emplace_back(header::Fence, std::to_string(Grant.Fence));
  request.Body = Request.Body;
  request.FreshConnection = !Request.Repeatable;
  HttpHooks hooks;
  auto self = shared_from_this();
  hooks.OnHead = [self](int status, const HttpFields &fields) {
    self->onHead(status, fields);
  };
  hooks.OnPart = [self](std::string_view part) { return self->onPart(part); };
  hooks.OnDone = [self](const HttpResult &result) { self->onDone(result); };
  Transfer = Client.start(std::move(request), std::move(hooks));
}

void Exchange::onHead(int status, const HttpFields &fields) {
  std::lock_guard lock(Mutex);
  Status = status;
  EndpointFields = fields;
  IdMismatch = false;
  for (const auto &[name, value] : fields) {
    if (sameName(name, header::RequestId) && value != Request.Id)
      IdMismatch = true;
  }
}

HttpFields Exchange::answerFields(Outcome outcome) const {
  HttpFields fields{{std::string(header::RequestId), Request.Id},
                    {std::string(header::Replica), Grant.Replica}};
  if (!Request.Admit.Adapter.empty())
    fields.emplace_back(header::Adapter, Request.Admit.Adapter);
  if (!Streaming)
    fields.emplace_back(header::Outcome, outcomeName(outcome));
  for (const auto &[name, value] : EndpointFields) {
    if (sameName(name, "Content-Type"))
      fields.emplace_back(name, value);
  }
  return fields;
}

void Exchange::startStream() {
  Streaming = true;
  Reply->startStream(Status, answerFields(Outcome::Complete));
}

bool Exchange::onPart(std::string_view part) {
  std::lock_guard lock(Mutex);
  // An answer with the id of another request is never forwarded.
  if (Ended || IdMismatch)
    return true;
  if (Unsent > UnsentLimit) {
    Paused = true;
    return false;
  }
  if (ToFirstByte == Span{})
    ToFirstByte = TimerService::now() - Arrived;
  if (Request.Stream && Status < FirstError)
    part = Events.take(part);
  else if (!Streaming && Buffered.size() + part.size() <= WholeLimit) {
    Buffered.append(part);
    return true;
  }
  if (!part.empty())
    forward(part);
  return true;
}

void Exchange::forward(std::string_view part) {
  if (!Streaming)
    startStream();
  Buffered.append(part);
  auto n = Buffered.size();
  Unsent += n;
  Reply->sendPart(
      std::exchange(Buffered, {}),
      [self = shared_from_this(), n](bool ok) { self->onSent(n, ok); });
}

void Exchange::onSent(std::size_t n, bool ok) {
  if (!ok)
    return onCallerDisconnected();
  std::lock_guard lock(Mutex);
  Unsent -= n;
  if (Paused && Unsent <= UnsentLimit / 2) {
    Paused = false;
    Client.resume(Transfer);
  }
}

void Exchange::onDone(const HttpResult &result) {
  std::lock_guard lock(Mutex);
  if (Ended)
    return;
  auto outcome = attemptOutcome(result);
  if (outcome != Outcome::Complete && retry(outcome))
    return;
  outcome = outcomeAfter(PriorOutcome, outcome);
  sendAnswer(outcome, result);
  end(outcome, result.Whole ? "" : "endpoint-failed");
}

Outcome Exchange::attemptOutcome(const HttpResult &result) const {
  // An engine that can't resume a stream may still have run the request.
  if (IdMismatch || (Request.Resume && Status >= FirstError))
    return Outcome::Unknown;
  AttemptObservation seen;
  seen.MayHaveSent = result.MayHaveSent;
  seen.RefusedBeforeRunning = result.Whole && refusedBeforeRunning();
  seen.AnswerComplete =
      result.Whole && (seen.RefusedBeforeRunning || isWhole());
  seen.AnswerDelivered = seen.AnswerComplete;
  return outcomeOf(seen);
}

bool Exchange::refusedBeforeRunning() const {
  if (!Request.Admit.Adapter.empty())
    return isEngineRefusal(Status);
  // A plain service may answer 409 or 503 after it has run the request, so
  // its status proves nothing; only its outcome header does.
  return std::any_of(EndpointFields.begin(), EndpointFields.end(),
                     [](const auto &field) {
                       return sameName(field.first, header::Outcome) &&
                              field.second == outcomeName(Outcome::NotRun);
                     });
}

bool Exchange::isWhole() const {
  if (Request.Admit.Adapter.empty())
    return Status != TooMany && Status != Unavailable;
  if (Status >= FirstError)
    return true;
  // HTTP may end without error although the engine did not finish.
  if (Request.Stream)
    return Events.finished();
  return Streaming || isWholeCompletion(Buffered);
}

bool Exchange::retry(Outcome outcome) {
  FailedAttempt attempt;
  attempt.Repeatable = Request.Repeatable;
  attempt.How = outcome;
  attempt.FirstBytePassed = Streaming;
  attempt.Attempts = Request.Admit.Attempt;
  attempt.Deadline = Request.Deadline;
  if (Hooks->MayRetry(attempt) != RetryVerdict::Retry)
    return false;
  LOG(INFO) << "retry request=" << Request.Id
            << " attempt=" << Request.Admit.Attempt
            << " adapter=" << Request.Admit.Adapter
            << " replica=" << Grant.Replica
            << " outcome=" << outcomeName(outcome);
  PriorOutcome = outcomeAfter(PriorOutcome, outcome);
  releaseSlot(outcome);
  ++Request.Admit.Attempt;
  Transfer = 0;
  Status = 0;
  EndpointFields.clear();
  IdMismatch = false;
  Buffered.clear();
  Events = {};
  requestAdmission();
  return true;
}

void Exchange::sendAnswer(Outcome outcome, const HttpResult &result) {
  if (Streaming && Request.Stream) {
    nlohmann::json node{{"outcome", outcomeName(outcome)},
                        {"request", Request.Id},
                        {"replica", Grant.Replica},
                        {"adapter", Request.Admit.Adapter}};
    Reply->sendPart("event: outcome\ndata: " + node.dump() + "\n\n", nullptr);
    return Reply->finishStream();
  }
  if (Streaming) {
    return outcome == Outcome::Complete ? Reply->finishStream()
                                        : Reply->abort();
  }
  bool fits = Request.Admit.Adapter.empty() || isWhole();
  if (result.Whole && !IdMismatch && fits)
    return Reply->sendWhole(result.Status, answerFields(outcome),
                            std::move(Buffered));
  EndpointFields.clear();
  auto fields = answerFields(outcome);
  fields.emplace_back("Retry-After", "1");
  fields.emplace_back("Content-Type", "application/json");
  Reply->sendWhole(BadGateway, fields,
                   errorBody("endpoint_failed", result.Error));
}

void Exchange::onCallerDisconnected() {
  std::lock_guard lock(Mutex);
  if (Ended)
    return;
  CallerDisconnected = true;
  if (Transfer)
    Client.cancel(Transfer);
  end(outcomeAfter(PriorOutcome,
                   Transfer ? Outcome::Unknown : Outcome::NotRun));
}

void Exchange::refuse(const std::string &reason, Span retryAfter) {
  auto outcome = outcomeAfter(PriorOutcome, Outcome::NotRun);
  HttpFields fields{
      {std::string(header::RequestId), Request.Id},
      {std::string(header::Outcome), std::string(outcomeName(outcome))},
      {"Retry-After", retryAfterSeconds(retryAfter)},
      {"Content-Type", "application/json"}};
  Reply->sendWhole(
      Unavailable, fields,
      errorBody(outcome == Outcome::NotRun ? "not_run" : "unknown", reason));
  end(outcome, reason);
}

RegisteredRequest Exchange::record() const {
  return {Request.Id, Request.Admit.Cell, Grant.Replica, Request.Admit.Adapter,
          Grant.Fence};
}

void Exchange::releaseSlot(Outcome outcome) {
  if (std::exchange(Registered, false))
    Hooks->Unregister(record());
  if (Ticket)
    Ticket->finish(outcome);
  Ticket.reset();
}

void Exchange::end(Outcome outcome, std::string reason) {
  Ended = true;
  releaseSlot(outcome);
  if (Claimed)
    Hooks->RecordOutcome(Claim, outcome);
  Hooks->OnEnd({Request, Grant.Replica, outcome, std::move(reason),
                CallerDisconnected, Span(Grant.LoadStallUs), ToFirstByte});
}

} // namespace hemlockglade
