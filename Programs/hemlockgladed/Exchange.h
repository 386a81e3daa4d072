#pragma once

#include "Admission.h"

namespace hemlockglade {

/// Everything an entry knows of one caller's request when it starts.
struct ExchangeRequest {
  std::string Id;
  AdmitRequest Admit;
  /// Request line towards the endpoint.
  std::string Method;
  std::string PathAndQuery;
  HttpFields Fields;
  std::string Body;
  /// Whether a server-sent event stream was asked for.
  bool Stream = false;
  /// Whether running it twice does no harm.
  bool Repeatable = true;
};

/// Totals of a node's exchanges.
struct ExchangeCounts {
  std::atomic<std::uint64_t> Running{0};
  std::atomic<std::uint64_t> Complete{0};
  std::atomic<std::uint64_t> NotRun{0};
  std::atomic<std::uint64_t> Unknown{0};
};

/// One caller's request at its entry: asks for admission, passes the
/// endpoint's answer on as it comes, and says how it ended.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(ExchangeRequest request, std::shared_ptr<HttpReply> reply,
           Admission &admission, HttpClient &client, ExchangeCounts &counts);
  ~Exchange();
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  void start();

private:
  void onAdmitted(const AdmitReply &reply);
  void send(const AdmitReply &reply);
  void onHead(int status, const HttpFields &fields);
  bool onPart(std::string_view part);
  void onSent(std::size_t n, bool ok);
  void onDone(const HttpResult &result);
  void onGone();
  void startStream();
  void refuse(int status, const std::string &reason, Span retryAfter);
  void end(Outcome outcome);
  HttpFields answerFields(Outcome outcome) const;

  ExchangeRequest Request;
  std::shared_ptr<HttpReply> Reply;
  Admission &Asker;
  HttpClient &Client;
  ExchangeCounts &Counts;

  // Recursive, because a send to a caller who has gone may report that at
  // once, from inside the call.
  std::recursive_mutex Mutex;
  std::shared_ptr<AdmissionTicket> Ticket;
  AdmitReply Grant;
  HttpClient::Ticket Transfer = 0;
  int Status = 0;
  HttpFields EndpointFields;
  std::string Held;
  std::size_t Unsent = 0;
  bool Paused = false;
  bool Streaming = false;
  bool Gone = false;
  bool Ended = false;
};

} // namespace hemlockglade
