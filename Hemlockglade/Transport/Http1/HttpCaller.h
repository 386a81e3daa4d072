#pragma once

#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// A complete answer.
struct HttpAnswer {
  HttpAnswerHead Head;
  std::string Body;
};

/// A short call, whose request and answer are kept whole in memory.
struct HttpCall {
  asio::ip::tcp::endpoint Address;
  std::string Method = "GET";
  std::string Target;
  HeaderFields Fields;
  std::string Body;
  /// Timeout of the call. Its connection is reset then, so that the request
  /// can't arrive later. Nothing is written on a connection that is open only
  /// after it, as for a process that stood still meanwhile.
  Span Timeout = std::chrono::seconds(1);
  /// Whether it gets a connection that carries no other call, so that a late
  /// answer to another one can't be taken for its own.
  bool OwnConnection = false;
  /// Asked right before a new connection carries the request; if it returns
  /// false, nothing is written and the call fails with `NotConnected`. Unset
  /// means that it may always be written.
  std::function<bool()> MayWrite;
  /// Maximum bytes of the answer's body.
  std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
};

/// Makes short calls over pooled connections.
class HttpCaller {
public:
  using Done = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

  HttpCaller(asio::io_context &context, HttpPool::Settings settings)
      : Context(context), Pool(context, std::move(settings)) {}

  /// Starts a call. `done` is called later, never from within this call.
  void call(const HttpCall &call, Done done);
  /// Closes connections that have been idle for too long.
  void tidy() { Pool.tidy(); }

private:
  asio::io_context &Context;
  HttpPool Pool;
};

} // namespace hemlockglade
