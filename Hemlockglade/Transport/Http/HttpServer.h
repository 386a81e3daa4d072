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

/// Header fields in order; names as sent.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// A request as it arrived from a caller.
struct HttpIncoming {
  std::string Method;
  /// Path without the query.
  std::string Path;
  /// Query without the question mark.
  std::string Query;
  std::string Body;
  /// Address of the caller, for limits.
  std::string Remote;
  HttpFields Fields;

  /// The first field of that name, in any case of letters.
  std::optional<std::string> field(std::string_view name) const;
};

/// The answer to one request. Safe to use from any thread; what is sent after
/// the caller has gone is dropped.
class HttpReply {
public:
  virtual ~HttpReply() = default;

  /// Sends a whole answer.
  virtual void sendWhole(int status, const HttpFields &fields,
                         std::string body) = 0;
  /// Starts an answer that is sent in parts.
  virtual void startStream(int status, const HttpFields &fields) = 0;
  /// Sends one part; `sent` tells when it went out, or that it could not.
  virtual void sendPart(std::string part, std::function<void(bool)> sent) = 0;
  /// Ends an answer that was sent in parts.
  virtual void finishStream() = 0;
  /// Breaks the connection, so that the caller sees the answer is not whole.
  virtual void abort() = 0;
  /// Sets the hook that is called once if the caller goes away.
  virtual void onGone(std::function<void()> gone) = 0;
};

using HttpHandler =
    std::function<void(HttpIncoming, std::shared_ptr<HttpReply>)>;

/// Where and within which bounds a server listens.
struct HttpServerSettings {
  /// Numeric address.
  std::string Address = "127.0.0.1";
  /// 0 lets the kernel choose.
  std::uint16_t Port = 0;
  /// Connections at once; a request on one more is refused with 429. Beyond
  /// twice as many a new one is closed.
  std::size_t MaxConnections = 20000;
  /// Bytes of one header field's value; more is refused with 431. Beyond twice
  /// as much the connection is closed without an answer.
  std::size_t MaxFieldBytes = std::size_t{16} * 1024;
  /// Header fields; more are refused with 431, and beyond twice as many the
  /// connection is closed without an answer.
  std::size_t MaxFields = 100;
  /// Bytes of a body; more is refused with 413. Beyond twice as much the
  /// connection is closed without an answer, before the body is read.
  std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
};

/// An HTTP/1.1 server on the given context, by RESTinio.
class HttpServer {
public:
  /// Throws std::exception if the address can't be bound.
  HttpServer(asio::io_context &context, const HttpServerSettings &settings,
             HttpHandler handler);
  ~HttpServer();

  /// The port that is listened on.
  std::uint16_t port() const;

  /// Requests whose answers have not gone out whole yet.
  std::size_t unfinished() const;

  /// Stops accepting connections and closes the open ones.
  void close();

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace hemlockglade
