#pragma once

#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// A whole answer.
struct HttpAnswer {
  HttpAnswerHead Head;
  std::string Body;
};

/// A short call with a whole request and a whole answer.
struct HttpCall {
  asio::ip::tcp::endpoint Address;
  std::string Method = "GET";
  std::string Target;
  HeaderFields Fields;
  std::string Body;
  /// Time until the call is given up; its connection is reset then, so that
  /// it can't arrive later.
  Span Timeout = std::chrono::seconds(1);
  /// Bytes that an answer may have.
  std::size_t MaxAnswer = std::size_t{8} * 1024 * 1024;
};

/// Makes short calls over kept connections.
class HttpCaller {
public:
  using Done = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

  HttpCaller(asio::io_context &context, HttpPool::Settings settings)
      : Context(context), Pool(context, settings) {}

  /// Calls back later, never from inside.
  void call(const HttpCall &call, Done done);
  void tidy() { Pool.tidy(); }

private:
  asio::io_context &Context;
  HttpPool Pool;
};

} // namespace hemlockglade
