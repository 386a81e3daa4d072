#pragma once

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockglade {

/// Header fields in order, with their names as sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// A request as it was received from a caller.
struct HttpIncoming {
  std::string Method;
  /// Path without the query.
  std::string Path;
  /// Query without the question mark.
  std::string Query;
  std::string Body;
  /// IP address of the caller, for limits per caller.
  std::string Remote;
  HttpFields Fields;

  /// Returns the value of the first field of that name, ignoring case.
  std::optional<std::string> field(std::string_view name) const;
};

/// The answer to one request. Safe to use from any thread. Anything sent after
/// the caller has disconnected is dropped.
class HttpReply {
public:
  virtual ~HttpReply() = default;

  /// Sends a whole answer.
  virtual void sendWhole(int status, const HttpFields &fields,
                         std::string body) = 0;
  /// Starts an answer that is sent in parts.
  virtual void startStream(int status, const HttpFields &fields) = 0;
  /// Sends one part. `sent` is called with true when it has been written, or
  /// with false if it can't be.
  virtual void sendPart(std::string part, std::function<void(bool)> sent) = 0;
  /// Ends an answer that was sent in parts.
  virtual void finishStream() = 0;
  /// Breaks the connection, so that the answer is incomplete for the
  /// caller.
  virtual void abort() = 0;
  /// Sets the hook that is called once if the caller disconnects.
  virtual void onGone(std::function<void()> gone) = 0;
};

using HttpHandler =
    std::function<void(HttpIncoming, std::shared_ptr<HttpReply>)>;

/// Address and limits of a server.
struct HttpServerSettings {
  /// Numeric address.
  std::string Address = "127.0.0.1";
  /// 0 for any free port.
  std::uint16_t Port = 0;
  /// Concurrent connections. A request on a connection over the limit is
  /// refused with 429; beyond twice the limit a new connection takes the place
  /// of one without a running request.
  std::size_t MaxConnections = 20000;
  /// Bytes of one header field's value. More is refused with 431; beyond twice
  /// the limit the connection is closed without an answer.
  std::size_t MaxFieldBytes = std::size_t{16} * 1024;
  /// Header fields of a request. More are refused with 431; beyond twice the
  /// limit the connection is closed without an answer.
  std::size_t MaxFields = 100;
  /// Bytes of a body. More is refused with 413; beyond twice the limit the
  /// connection is closed without an answer, before the body is read.
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  /// Bytes that all requests together hold. Beyond it the connection whose
  /// incomplete request holds the most is closed, and a large request that is
  /// complete is refused with 503. A request of the maximum size always fits.
  std::size_t MaxHeldBytes = std::size_t{64} * 1024 * 1024;
  /// Bytes of answers that callers have not read, over all connections. Beyond
  /// it those connections are closed of which nothing was taken for the longest
  /// time. A single answer always fits.
  std::size_t MaxUnreadBytes = std::size_t{64} * 1024 * 1024;
};

/// What callers hold of a server now, and what was ended for it since the
/// start.
struct HttpServerLoad {
  std::size_t RequestBytes = 0;
  std::size_t UnreadBytes = 0;
  /// Requests that were refused or cut, and answers that were cut, because all
  /// of them together held too much.
  std::uint64_t EndedRequests = 0;
  std::uint64_t EndedAnswers = 0;
  /// Connections that were closed to make room: idle ones, and those with an
  /// incomplete request.
  std::uint64_t ClosedIdle = 0;
  std::uint64_t ClosedIncomplete = 0;
};

/// An HTTP/1.1 server on the given context, implemented with RESTinio.
class HttpServer {
public:
  /// Throws std::exception if the address can't be bound.
  HttpServer(asio::io_context &context, const HttpServerSettings &settings,
             HttpHandler handler);
  ~HttpServer();

  /// Returns the port that the server listens on.
  std::uint16_t port() const;

  /// Returns the number of requests whose answers are not fully written yet.
  std::size_t unfinished() const;

  HttpServerLoad load() const;

  /// Stops accepting connections and closes the open ones.
  void close();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace hemlockglade
