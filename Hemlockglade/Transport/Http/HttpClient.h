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
  /// Whole time allowed; zero for no limit.
  Span Timeout = std::chrono::seconds(0);
  Span ConnectTimeout = std::chrono::seconds(1);
  /// Uses a connection of its own. libcurl sends a request once more by itself
  /// if a kept connection breaks under it, so a request that must not run
  /// twice needs a new one.
  bool FreshConnection = false;
};

/// How an exchange ended.
struct HttpResult {
  /// Whether the whole answer arrived.
  bool Whole = false;
  /// Whether any byte of the request may have reached the other side.
  bool MayHaveSent = true;
  bool Cancelled = false;
  int Status = 0;
  /// Text for the log if the answer isn't whole.
  std::string Error;
};

/// What a caller of the client is told. All hooks run on the client's strand.
struct HttpHooks {
  /// The status line and the header are in.
  std::function<void(int status, const HttpFields &fields)> OnHead;
  /// A part of the body. False pauses the transfer, and the part is given
  /// again after `resume`.
  std::function<bool(std::string_view part)> OnPart;
  /// Nothing more will come.
  std::function<void(const HttpResult &result)> OnDone;
};

/// An HTTP client for many transfers at once: libcurl driven by Asio.
class HttpClient {
public:
  using Ticket = std::uint64_t;

  explicit HttpClient(asio::io_context &context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a transfer.
  Ticket start(HttpRequest request, HttpHooks hooks);
  /// Ends a transfer; OnDone says that it was cancelled.
  void cancel(Ticket ticket);
  /// Goes on with a transfer that OnPart paused.
  void resume(Ticket ticket);

  /// Sends a request and gives the whole body; for small answers.
  void fetch(HttpRequest request,
             std::function<void(const HttpResult &, std::string)> done);

private:
  class Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace hemlockglade
