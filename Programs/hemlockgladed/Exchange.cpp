#include "Exchange.h"

#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <strings.h>

namespace hemlockglade {

namespace {

/// Bytes that may be on their way to a slow caller before the endpoint is
/// made to wait.
constexpr std::size_t UnsentLimit = std::size_t{256} * 1024;
/// An answer up to this size is sent whole, with its outcome in the header.
constexpr std::size_t WholeLimit = std::size_t{256} * 1024;
/// Time between two askings while a cell has no owner that answers.
constexpr Span OwnerRetryInterval = std::chrono::milliseconds(100);
/// How long past the deadline an owner's own refusal is waited for.
constexpr Span OwnerGrace = std::chrono::milliseconds(100);
/// When to come back if the table can't be asked.
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

/// Whether an engine that answers so has refused before running.
bool isEngineRefusal(int status) {
  constexpr std::array Refusals{400, 404, 405, 409, 413, 422, 429, 503};
  return std::find(Refusals.begin(), Refusals.end(), status) != Refusals.end();
}

/// Whether the refusal says only that the cell is changing hands.
bool isOwnerless(std::string_view reason) {
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
      self->onGone();
  });
  ask();
}

void Exchange::ask() {
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
    Waiting = true;
    Request.Admit.DeadlineUs = left.count();
    admit = Request.Admit;
  }
  // Asked without the lock: the answer may come from inside the call.
  auto ticket = Hooks->Ask(
      admit, [self = shared_from_this(), round](const AdmitReply &reply) {
        self->onAdmitted(round, reply);
      });
  std::lock_guard lock(Mutex);
  if (Ended || round != Round)
    return ticket->finish(Outcome::NotRun);
  Ticket = std::move(ticket);
  if (!Waiting)
    return;
  Hooks->After(Span(admit.DeadlineUs) + OwnerGrace,
               [weak = weak_from_this(), round] {
                 if (auto self = weak.lock())
                   self->onLate(round);
               });
}

void Exchange::onLate(std::uint32_t round) {
  std::lock_guard lock(Mutex);
  if (Ended || round != Round || !Waiting)
    return;
  refuse("deadline-passed", OwnerRetryInterval);
}

void Exchange::askAgain() {
  // A new round makes the answer to the last one late, whatever it says.
  ++Round;
  giveBack(Outcome::NotRun);
  // Nothing else keeps the exchange until it asks again.
  Hooks->After(OwnerRetryInterval,
               [self = shared_from_this()] { self->ask(); });
}

void Exchange::onAdmitted(std::uint32_t round, const AdmitReply &reply) {
  std::lock_guard lock(Mutex);
  if (Ended || round != Round)
    return;
  Waiting = false;
  if (!reply.Granted) {
    if (isOwnerless(reply.Reason))
      return askAgain();
    return refuse(reply.Reason, Span(reply.RetryAfterUs));
  }
  Grant = reply;
  Registered = Hooks->Register(record());
  if (!Registered)
    return askAgain();
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
    // The caller left meanwhile: nothing was sent, and the key says so.
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
    return refuseTaken(answer);
  }
}

void Exchange::refuseTaken(const ClaimAnswer &answer) {
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
  Foreign = false;
  for (const auto &[name, value] : fields) {
    if (sameName(name, header::RequestId) && value != Request.Id)
      Foreign = true;
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
  // An answer that is marked as another request's is never passed on.
  if (Ended || Foreign)
    return true;
  if (Unsent > UnsentLimit) {
    Paused = true;
    return false;
  }
  if (ToFirstByte == Span{})
    ToFirstByte = TimerService::now() - Arrived;
  if (Request.Stream && Status < FirstError)
    part = Events.take(part);
  else if (!Streaming && Held.size() + part.size() <= WholeLimit) {
    Held.append(part);
    return true;
  }
  if (!part.empty())
    pass(part);
  return true;
}

void Exchange::pass(std::string_view part) {
  if (!Streaming)
    startStream();
  Held.append(part);
  auto n = Held.size();
  Unsent += n;
  Reply->sendPart(
      std::exchange(Held, {}),
      [self = shared_from_this(), n](bool ok) { self->onSent(n, ok); });
}

void Exchange::onSent(std::size_t n, bool ok) {
  if (!ok)
    return onGone();
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
  auto outcome = ended(result);
  if (outcome != Outcome::Complete && tryAgain(outcome))
    return;
  outcome = outcomeAfter(Prior, outcome);
  answer(outcome, result);
  end(outcome, result.Whole ? "" : "endpoint-failed");
}

Outcome Exchange::ended(const HttpResult &result) const {
  // An engine that can't go on with a stream may still have run it.
  if (Foreign || (Request.Resume && Status >= FirstError))
    return Outcome::Unknown;
  AttemptObservation seen;
  seen.MayHaveSent = result.MayHaveSent;
  seen.RefusedBeforeRunning = result.Whole && refusedBeforeRunning();
  seen.AnswerWhole = result.Whole && (seen.RefusedBeforeRunning || isWhole());
  seen.PassedWhole = seen.AnswerWhole;
  return outcomeOf(seen);
}

bool Exchange::refusedBeforeRunning() const {
  if (!Request.Admit.Adapter.empty())
    return isEngineRefusal(Status);
  // What a plain service's status means is its own affair: it may answer 409
  // or 503 after it has run. Only its word counts.
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
  // HTTP can end well although the engine did not come to its end.
  if (Request.Stream)
    return Events.finished();
  return Streaming || isWholeCompletion(Held);
}

bool Exchange::tryAgain(Outcome outcome) {
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
  Prior = outcomeAfter(Prior, outcome);
  giveBack(outcome);
  ++Request.Admit.Attempt;
  Transfer = 0;
  Status = 0;
  EndpointFields.clear();
  Foreign = false;
  Held.clear();
  Events = {};
  ask();
  return true;
}

void Exchange::answer(Outcome outcome, const HttpResult &result) {
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
  if (result.Whole && !Foreign && fits)
    return Reply->sendWhole(result.Status, answerFields(outcome),
                            std::move(Held));
  EndpointFields.clear();
  auto fields = answerFields(outcome);
  fields.emplace_back("Retry-After", "1");
  fields.emplace_back("Content-Type", "application/json");
  Reply->sendWhole(BadGateway, fields,
                   errorBody("endpoint_failed", result.Error));
}

void Exchange::onGone() {
  std::lock_guard lock(Mutex);
  if (Ended)
    return;
  Gone = true;
  if (Transfer)
    Client.cancel(Transfer);
  end(outcomeAfter(Prior, Transfer ? Outcome::Unknown : Outcome::NotRun));
}

void Exchange::refuse(const std::string &reason, Span retryAfter) {
  auto outcome = outcomeAfter(Prior, Outcome::NotRun);
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

void Exchange::giveBack(Outcome outcome) {
  if (std::exchange(Registered, false))
    Hooks->Unregister(record());
  if (Ticket)
    Ticket->finish(outcome);
  Ticket.reset();
}

void Exchange::end(Outcome outcome, std::string reason) {
  Ended = true;
  giveBack(outcome);
  if (Claimed)
    Hooks->RecordOutcome(Claim, outcome);
  Hooks->OnEnd({Request, Grant.Replica, outcome, std::move(reason), Gone,
                Span(Grant.LoadStallUs), ToFirstByte});
}

} // namespace hemlockglade
