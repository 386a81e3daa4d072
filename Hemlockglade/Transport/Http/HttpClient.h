#pragma once

#include "Hemlockglade/State/Ids.h"
#include "Hemlockglade/Transport/Http/HttpServer.h"

#include <asio/io_context.hpp>

namespace hemlockglade {

/// A request to send.
struct HttpRequest {
  std::string Method = "GET";
  std::string Url;
  HttpFields Fields;
  std::string Body;
  /// Timeout of the whole exchange; zero for none.
  Span Timeout = std::chrono::seconds(0);
  Span ConnectTimeout = std::chrono::seconds(1);
  /// Whether to use a new connection. libcurl itself retries a request if a
  /// reused connection breaks, so a request that must not run twice needs a new
  /// one.
  bool FreshConnection = false;
};

/// Result of an exchange.
struct HttpResult {
  /// Whether the complete answer arrived.
  bool Whole = false;
  /// Whether any byte of the request may have reached the server.
  bool MayHaveSent = true;
  bool Cancelled = false;
  int Status = 0;
  /// Text for the log if the answer isn't complete.
  std::string Error;
};

/// Hooks of one exchange. All of them run on the client's strand.
struct HttpHooks {
  /// Called when the status line and the header have arrived.
  std::function<void(int status, const HttpFields &fields)> OnHead;
  /// Called for each part of the body. Returning false pauses the transfer; the
  /// part is passed again after `resume`.
  std::function<bool(std::string_view part)> OnPart;
  /// Called once, last of all.
  std::function<void(const HttpResult &result)> OnDone;
};

/// An HTTP client for many concurrent transfers: libcurl driven by Asio.
class HttpClient {
public:
  using Ticket = std::uint64_t;

  explicit HttpClient(asio::io_context &context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a transfer; returns the ticket to cancel or resume it with.
  Ticket start(HttpRequest request, HttpHooks hooks);
  /// Ends a transfer; OnDone is called with `Cancelled` set.
  void cancel(Ticket ticket);
  /// Resumes a transfer that OnPart paused.
  void resume(Ticket ticket);

  /// Sends a request and passes the whole body to `done`; for small answers.
  void fetch(HttpRequest request,
             std::function<void(const HttpResult &, std::string)> done);

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace hemlockglade
