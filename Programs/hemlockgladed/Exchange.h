#pragma once

#include "Admission.h"

namespace hemlockglade {

/// One caller's request, as its entry starts it.
struct ExchangeRequest {
  std::string Id;
  AdmitRequest Admit;
  /// Time by which the first byte is due.
  Instant Deadline{};
  /// Request line sent to the endpoint.
  std::string Method;
  std::string PathAndQuery;
  HttpFields Fields;
  std::string Body;
  /// Whether the caller requested a stream of server-sent events.
  bool Stream = false;
  /// Whether running it twice does no harm, so that it may be retried.
  bool Repeatable = true;
  /// Whether this resumes a stream that another entry started.
  bool Resume = false;
  /// The caller's idempotency key; at most one request runs under it. Empty if
  /// none.
  std::string IdempotencyKey;
  /// The slot under the caller's limit; released with the last copy.
  std::shared_ptr<void> CallerSlot;
};

/// How an exchange ended, for logs and metrics.
struct ExchangeEnd {
  const ExchangeRequest &Request;
  std::string Replica;
  Outcome Result = Outcome::Unknown;
  /// Reason of a refusal; empty if there was none.
  std::string Reason;
  /// The caller disconnected before the end.
  bool CallerDisconnected = false;
  Span LoadStall{};
  /// Time from the request's arrival to its first byte; zero if none arrived.
  Span ToFirstByte{};
};

/// Callbacks through which exchanges reach their node.
struct ExchangeHooks {
  /// Requests admission; see Admission::admit().
  std::function<std::shared_ptr<AdmissionTicket>(const AdmitRequest &,
                                                 Admission::OnReply)>
      RequestAdmission;
  /// Registers the request as running here. Returns false if a newer owner of
  /// the cell has already received the running requests.
  std::function<bool(const RegisteredRequest &)> Register;
  std::function<void(const RegisteredRequest &)> Unregister;
  /// Claims the request's idempotency key.
  std::function<void(const ExchangeRequest &, ClaimStore::OnAnswer)> Claim;
  /// Stores how the request of a claimed key ended.
  std::function<void(const ClaimTicket &, Outcome)> RecordOutcome;
  std::function<RetryVerdict(const FailedAttempt &)> MayRetry;
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
  std::function<void(const ExchangeEnd &)> OnEnd;
};

/// Runs one caller's request at its entry: requests admission, sends it to the
/// endpoint, forwards the answer as it arrives, retries where that is allowed,
/// and reports how it ended. Thread-safe.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(ExchangeRequest request, std::shared_ptr<HttpReply> reply,
           HttpClient &client, std::shared_ptr<const ExchangeHooks> hooks);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void start();

private:
  void requestAdmission();
  void retryAdmission();
  /// Called after the deadline of an admission round; refuses the request if
  /// the owner hasn't answered.
  void onDeadline(std::uint32_t round);
  void onAdmitted(std::uint32_t round, const AdmitReply &reply);
  void claim();
  void onClaimed(const ClaimAnswer &answer);
  void send();
  void onHead(int status, const HttpFields &fields);
  bool onPart(std::string_view part);
  void onSent(std::size_t n, bool ok);
  void onDone(const HttpResult &result);
  void onCallerDisconnected();
  bool retry(Outcome outcome);
  void startStream();
  void sendAnswer(Outcome outcome, const HttpResult &result);
  Outcome attemptOutcome(const HttpResult &result) const;
  bool refusedBeforeRunning() const;
  bool isWhole() const;
  void forward(std::string_view part);
  void refuse(const std::string &reason, Span retryAfter);
  void refuseClaim(const ClaimAnswer &answer);
  void releaseSlot(Outcome outcome);
  void end(Outcome outcome, std::string reason = {});
  RegisteredRequest record() const;
  HttpFields answerFields(Outcome outcome) const;

  ExchangeRequest Request;
  std::shared_ptr<HttpReply> Reply;
  HttpClient &Client;
  std::shared_ptr<const ExchangeHooks> Hooks;
  Instant Arrived;

  // Recursive, because a send to a caller that has disconnected may report
  // that from inside the call.
  std::recursive_mutex Mutex;
  /// Number of the admission request. Answers to earlier ones are ignored.
  std::uint32_t Round = 0;
  /// The admission request of this round has no answer yet.
  bool AwaitingAdmission = false;
  std::shared_ptr<AdmissionTicket> Ticket;
  AdmitReply Grant;
  bool Registered = false;
  bool Claimed = false;
  ClaimTicket Claim;
  /// Combined outcome of the earlier attempts.
  Outcome PriorOutcome = Outcome::NotRun;
  HttpClient::Ticket Transfer = 0;
  int Status = 0;
  HttpFields EndpointFields;
  /// The endpoint's answer carries the id of another request.
  bool IdMismatch = false;
  /// Bytes of the answer that have not been sent to the caller.
  std::string Buffered;
  EventSplitter Events;
  /// Bytes passed to the caller's connection that it has not sent yet.
  std::size_t Unsent = 0;
  Span ToFirstByte{};
  /// Whether the transfer from the endpoint is paused for a slow caller.
  bool Paused = false;
  bool Streaming = false;
  bool CallerDisconnected = false;
  bool Ended = false;
};

} // namespace hemlockglade
