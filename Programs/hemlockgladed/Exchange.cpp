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
constexpr int FirstError = 400;
constexpr int Unavailable = 503;
constexpr int BadGateway = 502;

bool sameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Whether an engine that answers so has refused before running.
bool refusedBeforeRunning(int status) {
  constexpr std::array Refusals{400, 404, 409, 413, 422, 429, 503};
  return std::find(Refusals.begin(), Refusals.end(), status) != Refusals.end();
}

std::string retryAfterSeconds(Span span) {
  auto n = std::chrono::ceil<std::chrono::seconds>(span).count();
  return std::to_string(std::max<std::int64_t>(n, 1));
}

} // namespace

Exchange::Exchange(ExchangeRequest request, std::shared_ptr<HttpReply> reply,
                   Admission &admission, HttpClient &client,
                   ExchangeCounts &counts)
    : Request(std::move(request)), Reply(std::move(reply)), Asker(admission),
      Client(client), Counts(counts) {
  ++Counts.Running;
}

Exchange::~Exchange() { --Counts.Running; }

void Exchange::start() {
  Reply->onGone([weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->onGone();
  });
  auto ticket = Asker.ask(Request.Admit,
                          [self = shared_from_this()](const AdmitReply &reply) {
                            self->onAdmitted(reply);
                          });
  std::lock_guard lock(Mutex);
  if (Ended)
    ticket->finish(Outcome::NotRun);
  else
    Ticket = std::move(ticket);
}

void Exchange::onAdmitted(const AdmitReply &reply) {
  std::lock_guard lock(Mutex);
  if (Ended)
    return;
  if (!reply.Granted)
    return refuse(Unavailable, reply.Reason, Span(reply.RetryAfterUs));
  Grant = reply;
  send(reply);
}

void Exchange::send(const AdmitReply &reply) {
  HttpRequest request;
  request.Method = Request.Method;
  request.Url = "http://" + reply.Address + Request.PathAndQuery;
  request.Fields = Request.Fields;
  request.Fields.emplace_back(header::RequestId, Request.Id);
  request.Fields.emplace_back(header::Attempt,
                              std::to_string(Request.Admit.Attempt));
  request.Fields.emplace_back(header::Fence, std::to_string(reply.Fence));
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
  if (Ended)
    return true;
  bool events = Request.Stream && Status < FirstError;
  if (!Streaming && (events || Held.size() + part.size() > WholeLimit)) {
    startStream();
    if (!Held.empty()) {
      Unsent += Held.size();
      Reply->sendPart(std::exchange(Held, {}), nullptr);
    }
  }
  if (!Streaming) {
    Held.append(part);
    return true;
  }
  if (Unsent > UnsentLimit) {
    Paused = true;
    return false;
  }
  Unsent += part.size();
  Reply->sendPart(std::string(part),
                  [self = shared_from_this(), n = part.size()](bool ok) {
                    self->onSent(n, ok);
                  });
  return true;
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
  bool ran = result.Whole && !refusedBeforeRunning(result.Status);
  Outcome outcome = result.Whole ? (ran ? Outcome::Complete : Outcome::NotRun)
                    : result.MayHaveSent ? Outcome::Unknown
                                         : Outcome::NotRun;
  if (Streaming) {
    if (Request.Stream) {
      nlohmann::json node{{"outcome", outcomeName(outcome)},
                          {"request", Request.Id},
                          {"replica", Grant.Replica},
                          {"adapter", Request.Admit.Adapter}};
      Reply->sendPart("event: outcome\ndata: " + node.dump() + "\n\n", nullptr);
    }
    if (outcome == Outcome::Complete || Request.Stream)
      Reply->finishStream();
    else
      Reply->abort();
  } else if (result.Whole) {
    Reply->sendWhole(result.Status, answerFields(outcome), std::move(Held));
  } else {
    auto fields = answerFields(outcome);
    fields.emplace_back("Retry-After", "1");
    fields.emplace_back("Content-Type", "application/json");
    Reply->sendWhole(BadGateway, fields,
                     errorBody("endpoint_failed", result.Error));
  }
  end(outcome);
}

void Exchange::onGone() {
  std::lock_guard lock(Mutex);
  if (Ended)
    return;
  Gone = true;
  if (Transfer)
    Client.cancel(Transfer);
  end(Transfer ? Outcome::Unknown : Outcome::NotRun);
}

void Exchange::refuse(int status, const std::string &reason, Span retryAfter) {
  HttpFields fields{
      {std::string(header::RequestId), Request.Id},
      {std::string(header::Outcome), std::string(outcomeName(Outcome::NotRun))},
      {"Retry-After", retryAfterSeconds(retryAfter)},
      {"Content-Type", "application/json"}};
  Reply->sendWhole(status, fields, errorBody("not_run", reason));
  end(Outcome::NotRun);
}

void Exchange::end(Outcome outcome) {
  Ended = true;
  auto &count = outcome == Outcome::Complete ? Counts.Complete
                : outcome == Outcome::NotRun ? Counts.NotRun
                                             : Counts.Unknown;
  ++count;
  LOG(INFO) << "end request=" << Request.Id
            << " attempt=" << Request.Admit.Attempt
            << " adapter=" << Request.Admit.Adapter
            << " replica=" << Grant.Replica
            << " outcome=" << outcomeName(outcome) << (Gone ? " gone=1" : "");
  if (Ticket)
    Ticket->finish(outcome);
  Ticket.reset();
}

} // namespace hemlockglade
