#include "Hemlockglade/Transport/Http/HttpServer.h"

#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"
#include "Hemlockglade/Transport/Http/BreakableSocket.h"

#include <asio/post.hpp>
#include <mutex>
#include <restinio/all.hpp>
#include <strings.h>
#include <unordered_map>

namespace hemlockglade {

namespace {

using ConnectionId = restinio::connection_id_t;
using RequestId = restinio::request_id_t;

/// Tells replies that their caller has gone. A connection may have two
/// requests at once, so each request has its own hook.
class ConnectionWatch {
public:
  explicit ConnectionWatch(std::size_t most) : Most(most) {}

  /// The port that is listened on; set before the first connection. Kept here,
  /// since connections may outlive the server.
  std::uint16_t Port = 0;

  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name for it.
  void state_changed(const restinio::connection_state::notice_t &notice) {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    if (restinio::holds_alternative<accepted_t>(notice.cause()))
      opened(notice.connection_id());
    if (restinio::holds_alternative<closed_t>(notice.cause()))
      closed(notice.connection_id());
  }

  void watch(ConnectionId id, RequestId request, std::function<void()> hook) {
    {
      std::lock_guard lock(Mutex);
      auto it = Hooks.find(id);
      if (it != Hooks.end()) {
        it->second.emplace_back(request, std::move(hook));
        return;
      }
    }
    if (hook)
      hook();
  }

  void unwatch(ConnectionId id, RequestId request) {
    std::lock_guard lock(Mutex);
    auto it = Hooks.find(id);
    if (it != Hooks.end())
      std::erase_if(it->second,
                    [request](const auto &it) { return it.first == request; });
  }

  std::size_t connections() const {
    std::lock_guard lock(Mutex);
    return Hooks.size();
  }

private:
  using RequestHooks = std::vector<std::pair<RequestId, std::function<void()>>>;

  void opened(ConnectionId id) {
    std::lock_guard lock(Mutex);
    // What is thrown here closes the connection. RESTinio's own limit would
    // have each connection refer to the server, which may be gone before the
    // last of them is.
    if (Hooks.size() >= Most)
      throw std::runtime_error("too many connections");
    Hooks[id];
  }

  void closed(ConnectionId id) {
    RequestHooks hooks;
    {
      std::lock_guard lock(Mutex);
      auto it = Hooks.find(id);
      if (it == Hooks.end())
        return;
      hooks = std::move(it->second);
      Hooks.erase(it);
    }
    for (auto &[request, hook] : hooks) {
      if (hook)
        hook();
    }
  }

  const std::size_t Most;
  mutable std::mutex Mutex;
  std::unordered_map<ConnectionId, RequestHooks> Hooks;
};

struct ServerTraits : restinio::default_traits_t {
  using connection_state_listener_t = ConnectionWatch;
  using stream_socket_t = BreakableSocket;
};

using Server = restinio::http_server_t<ServerTraits>;
using Streamed = restinio::response_builder_t<restinio::chunked_output_t>;

/// Counts the answers that have not gone out yet. A token counts as one for as
/// long as it lives; the server drops it with the last written byte.
class Unfinished : public std::enable_shared_from_this<Unfinished> {
public:
  std::shared_ptr<void> token() {
    ++Count;
    return {nullptr, [self = shared_from_this()](void *) { --self->Count; }};
  }
  std::size_t count() const { return Count; }

private:
  std::atomic<std::size_t> Count{0};
};

class Reply : public HttpReply, public std::enable_shared_from_this<Reply> {
public:
  Reply(asio::io_context &context, restinio::request_handle_t request,
        std::shared_ptr<ConnectionWatch> watch, std::shared_ptr<void> token,
        std::uint16_t port)
      : Context(context), Request(std::move(request)), Watch(std::move(watch)),
        Connection(Request->connection_id()),
        Id(Request->request_id()), Ends{port, Request->remote_endpoint()},
        Token(std::move(token)) {}

  Reply(const Reply &) = delete;
  Reply &operator=(const Reply &) = delete;

  ~Reply() override {
    // An unanswered request would hold its connection for ever.
    try {
      if (Request)
        answer(UnansweredStatus, {}, "", false);
      else if (Builder)
        breakOff();
    } catch (const std::exception &) {
      // The caller has gone, or memory has run out: nobody is left to tell.
    }
  }

  void sendWhole(int status, const HttpFields &fields,
                 std::string body) override {
    std::lock_guard lock(Mutex);
    if (Request)
      answer(status, fields, std::move(body), false);
  }

  /// Sends a whole answer and closes the connection after it.
  void refuse(int status, const HttpFields &fields, std::string body) {
    std::lock_guard lock(Mutex);
    answer(status, fields, std::move(body), true);
  }

  void startStream(int status, const HttpFields &fields) override {
    std::lock_guard lock(Mutex);
    if (!Request)
      return;
    startChunks(status, fields);
    Builder->flush();
  }

  void sendPart(std::string part, std::function<void(bool)> sent) override {
    std::lock_guard lock(Mutex);
    if (!Builder) {
      notSent(Context, std::move(sent));
      return;
    }
    Builder->append_chunk(std::move(part));
    if (!sent) {
      Builder->flush();
      return;
    }
    Builder->flush(
        [&context = Context, sent = std::move(sent)](const auto &ec) mutable {
          // A failure may be told from inside the call, under our lock.
          if (ec)
            notSent(context, std::move(sent));
          else
            sent(true);
        });
  }

  void finishStream() override {
    std::lock_guard lock(Mutex);
    if (!Builder)
      return;
    Watch->unwatch(Connection, Id);
    Builder->done([token = std::move(Token)](const auto &) {});
    Builder.reset();
  }

  void abort() override {
    std::lock_guard lock(Mutex);
    if (Request)
      startChunks(UnansweredStatus, {});
    if (Builder)
      breakOff();
  }

  void onGone(std::function<void()> gone) override {
    Watch->watch(Connection, Id, std::move(gone));
  }

private:
  static constexpr int UnansweredStatus = 500;

  static void notSent(asio::io_context &context,
                      std::function<void(bool)> sent) {
    if (sent)
      asio::post(context, [sent = std::move(sent)] { sent(false); });
  }

  void answer(int status, const HttpFields &fields, std::string body,
              bool close) {
    Watch->unwatch(Connection, Id);
    auto response = Request->create_response(statusLine(status));
    for (const auto &[name, value] : fields)
      response.append_header(name, value);
    if (close)
      response.connection_close();
    response.set_body(std::move(body));
    response.done([token = std::move(Token)](const auto &) {});
    Request.reset();
  }

  void startChunks(int status, const HttpFields &fields) {
    Builder.emplace(Request->create_response<restinio::chunked_output_t>(
        statusLine(status)));
    for (const auto &[name, value] : fields)
      Builder->append_header(name, value);
    Request.reset();
  }

  /// Breaks the connection inside the answer.
  void breakOff() {
    Watch->unwatch(Connection, Id);
    Builder->flush();
    // Behind what was just written. The write that fails then has RESTinio
    // close the connection also where it reads no further requests. A write
    // that fails inside the call that starts it, as that of a file shorter than
    // promised, has RESTinio use what it has destroyed.
    asio::post(Context,
               [&context = Context, ends = Ends,
                builder = std::make_shared<Streamed>(std::move(*Builder))] {
                 BreakableSockets::of(context).shut(ends);
                 builder->append_chunk(std::string(1, ' '));
                 builder->flush();
               });
    Builder.reset();
  }

  static restinio::http_status_line_t statusLine(int status) {
    const char *reason = status < 300   ? "OK"
                         : status < 500 ? "Request refused"
                                        : "Not served";
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            reason};
  }

  asio::io_context &Context;
  std::mutex Mutex;
  restinio::request_handle_t Request;
  std::optional<Streamed> Builder;
  std::shared_ptr<ConnectionWatch> Watch;
  ConnectionId Connection;
  RequestId Id;
  ConnectionEnds Ends;
  std::shared_ptr<void> Token;
};

/// At limits of the server's own a connection is closed without an answer, so
/// they are wider than those that refuse with a status, by this factor.
constexpr std::size_t Wider = 2;

/// The status that refuses a request which is over a limit; 0 if none is.
int overLimit(const HttpServerSettings &settings,
              const restinio::request_t &request, std::size_t connections) {
  constexpr int BodyTooLarge = 413;
  constexpr int TooMany = 429;
  constexpr int FieldsTooLarge = 431;
  if (connections > settings.MaxConnections)
    return TooMany;
  if (request.body().size() > settings.MaxBodyBytes)
    return BodyTooLarge;
  bool tooLarge = request.header().fields_count() > settings.MaxFields;
  request.header().for_each_field([&](const auto &field) {
    tooLarge = tooLarge || field.value().size() > settings.MaxFieldBytes;
  });
  return tooLarge ? FieldsTooLarge : 0;
}

/// Refuses a request that is over a limit before anything has run.
void refuseOverLimit(Reply &reply, int status) {
  constexpr std::string_view RetrySeconds = "1";
  reply.refuse(status,
               {{"Content-Type", "application/json"},
                {"Retry-After", std::string(RetrySeconds)},
                {std::string(header::Outcome),
                 std::string(outcomeName(Outcome::NotRun))}},
               errorBody("over_limit", "the request is over a limit"));
}

HttpIncoming toIncoming(const restinio::request_t &request) {
  HttpIncoming in;
  const auto &header = request.header();
  in.Method = header.method().c_str();
  in.Path = std::string(header.path());
  in.Query = std::string(header.query());
  in.Body = request.body();
  in.Remote = request.remote_endpoint().address().to_string();
  header.for_each_field([&in](const auto &field) {
    in.Fields.emplace_back(field.name(), field.value());
  });
  return in;
}

} // namespace

std::optional<std::string> HttpIncoming::field(std::string_view name) const {
  for (const auto &[key, value] : Fields) {
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      return value;
  }
  return std::nullopt;
}

struct HttpServer::Impl {
  explicit Impl(std::size_t mostConnections)
      : Watch(std::make_shared<ConnectionWatch>(mostConnections)) {}

  std::shared_ptr<ConnectionWatch> Watch;
  std::shared_ptr<Unfinished> Answers = std::make_shared<Unfinished>();
  std::unique_ptr<Server> Listener;
};

HttpServer::HttpServer(asio::io_context &context,
                       const HttpServerSettings &settings, HttpHandler handler)
    : Inner(std::make_unique<Impl>(settings.MaxConnections * Wider)) {
  constexpr auto NoLimit = std::chrono::hours(24);
  auto watch = Inner->Watch;
  auto answers = Inner->Answers;
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(settings.MaxBodyBytes * Wider);
  limits.max_field_value_size(settings.MaxFieldBytes * Wider);
  limits.max_field_count(settings.MaxFields * Wider);
  Inner->Listener = std::make_unique<Server>(
      restinio::external_io_context(context), [&](auto &server) {
        server.address(settings.Address)
            .port(settings.Port)
            // Reading on while requests run shows that their caller left; it
            // stops when as many as this run on one connection.
            .max_pipelined_requests(3)
            .handle_request_timeout(NoLimit)
            .read_next_http_message_timelimit(std::chrono::minutes(5))
            .write_http_response_timelimit(std::chrono::minutes(5))
            .incoming_http_msg_limits(limits)
            .connection_state_listener(watch)
            .acceptor_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([watch](auto &acceptor) {
              watch->Port = acceptor.local_endpoint().port();
            })
            .request_handler([handler = std::move(handler), watch, answers,
                              settings,
                              &context](restinio::request_handle_t request) {
              auto over = overLimit(settings, *request, watch->connections());
              auto incoming = over ? HttpIncoming() : toIncoming(*request);
              auto reply =
                  std::make_shared<Reply>(context, std::move(request), watch,
                                          answers->token(), watch->Port);
              if (over)
                refuseOverLimit(*reply, over);
              else
                handler(std::move(incoming), std::move(reply));
              return restinio::request_accepted();
            });
      });
  Inner->Listener->open_sync();
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return Inner->Watch->Port; }

std::size_t HttpServer::unfinished() const { return Inner->Answers->count(); }

void HttpServer::close() { Inner->Listener->close_sync(); }

} // namespace hemlockglade
