#pragma once

#include "Admission.h"

namespace hemlockglade {

/// Everything an entry knows of one caller's request when it starts.
struct ExchangeRequest {
  std::string Id;
  AdmitRequest Admit;
  /// When the first byte is due.
  Instant Deadline{};
  /// Request line towards the endpoint.
  std::string Method;
  std::string PathAndQuery;
  HttpFields Fields;
  std::string Body;
  /// Whether a server-sent event stream was asked for.
  bool Stream = false;
  /// Whether running it twice does no harm.
  bool Repeatable = true;
  /// Whether this goes on with a stream that another entry began.
  bool Resume = false;
  /// The caller's key; a request with one runs at most once under it.
  std::string IdempotencyKey;
  /// The caller's place under its limit; free again with the last copy.
  std::shared_ptr<void> CallerPlace;
};

/// How an exchange ended, for logs and metrics.
struct ExchangeEnd {
  const ExchangeRequest &Request;
  std::string Replica;
  Outcome Ended = Outcome::Unknown;
  /// Reason of a refusal; empty if there was none.
  std::string Reason;
  /// The caller went away before the end.
  bool Gone = false;
  Span LoadStall{};
  /// Time from the request's arrival to its first byte; zero without one.
  Span ToFirstByte{};
};

/// What an exchange uses of its node.
struct ExchangeHooks {
  std::function<std::shared_ptr<AdmissionTicket>(const AdmitRequest &,
                                                 Admission::OnReply)>
      Ask;
  /// Puts the request on the register of what runs here. False if a newer
  /// owner of the cell has been told already what runs.
  std::function<bool(const RegisteredRequest &)> Register;
  std::function<void(const RegisteredRequest &)> Unregister;
  std::function<void(const ExchangeRequest &, ClaimStore::OnAnswer)> Claim;
  /// Writes down how the request of a claimed key ended.
  std::function<void(const ClaimTicket &, Outcome)> RecordOutcome;
  std::function<RetryVerdict(const FailedAttempt &)> MayRetry;
  std::function<void(Span, std::function<void()>)> After;
  std::function<void(const ExchangeEnd &)> OnEnd;
};

/// One caller's request at its entry: asks for admission, passes the
/// endpoint's answer on as it comes, tries again where that is allowed, and
/// says how it ended.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(ExchangeRequest request, std::shared_ptr<HttpReply> reply,
           HttpClient &client, std::shared_ptr<const ExchangeHooks> hooks);
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void start();

private:
  void ask();
  void askAgain();
  /// The deadline is over; the owner has said nothing if it is still asked.
  void onLate(std::uint32_t round);
  void onAdmitted(std::uint32_t round, const AdmitReply &reply);
  void claim();
  void onClaimed(const ClaimAnswer &answer);
  void send();
  void onHead(int status, const HttpFields &fields);
  bool onPart(std::string_view part);
  void onSent(std::size_t n, bool ok);
  void onDone(const HttpResult &result);
  void onGone();
  bool tryAgain(Outcome outcome);
  void startStream();
  void answer(Outcome outcome, const HttpResult &result);
  Outcome ended(const HttpResult &result) const;
  bool refusedBeforeRunning() const;
  bool isWhole() const;
  void pass(std::string_view part);
  void refuse(const std::string &reason, Span retryAfter);
  void refuseTaken(const ClaimAnswer &answer);
  void giveBack(Outcome outcome);
  void end(Outcome outcome, std::string reason = {});
  RegisteredRequest record() const;
  HttpFields answerFields(Outcome outcome) const;

  ExchangeRequest Request;
  std::shared_ptr<HttpReply> Reply;
  HttpClient &Client;
  std::shared_ptr<const ExchangeHooks> Hooks;
  Instant Arrived;

  // Recursive, because a send to a caller who has gone may report that at
  // once, from inside the call.
  std::recursive_mutex Mutex;
  /// Rises with each asking for admission, so that late answers are known.
  std::uint32_t Round = 0;
  /// The asking of this round has no answer.
  bool Waiting = false;
  std::shared_ptr<AdmissionTicket> Ticket;
  AdmitReply Grant;
  bool Registered = false;
  bool Claimed = false;
  ClaimTicket Claim;
  /// How the attempts before this one ended, together.
  Outcome Prior = Outcome::NotRun;
  HttpClient::Ticket Transfer = 0;
  int Status = 0;
  HttpFields EndpointFields;
  /// The endpoint's answer is marked as another request's.
  bool Foreign = false;
  std::string Held;
  EventSplitter Events;
  std::size_t Unsent = 0;
  Span ToFirstByte{};
  bool Paused = false;
  bool Streaming = false;
  bool Gone = false;
  bool Ended = false;
};

} // namespace hemlockglade
