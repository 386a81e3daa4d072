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

/// Calls the hooks of replies whose caller has disconnected. A connection may
/// have several requests at once, so each request has its own hook.
class ConnectionTracker {
public:
  explicit ConnectionTracker(std::size_t maxConnections)
      : MaxConnections(maxConnections) {}

  /// The port that the server listens on; set before the first connection. It
  /// is kept here, since connections may outlive the server.
  std::uint16_t Port = 0;
  /// Called when all places are taken, to close a connection for a new one.
  std::function<void()> MakeRoom;

  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name for it.
  void state_changed(const restinio::connection_state::notice_t &notice) {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    if (restinio::holds_alternative<accepted_t>(notice.cause()))
      onOpened(notice.connection_id());
    if (restinio::holds_alternative<closed_t>(notice.cause()))
      onClosed(notice.connection_id());
  }

  void addHook(ConnectionId id, RequestId request, std::function<void()> hook) {
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

  void removeHook(ConnectionId id, RequestId request) {
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

  void onOpened(ConnectionId id) {
    // Connections that are closed for others still count until they have ended.
    constexpr std::size_t EndingConnections = 64;
    std::lock_guard lock(Mutex);
    // An exception here closes the connection. RESTinio's own limit is not
    // used: with it each connection refers to the server, which may be
    // destroyed before the last of them.
    if (Hooks.size() >= MaxConnections + EndingConnections)
      throw std::runtime_error("too many connections");
    if (Hooks.size() >= MaxConnections && MakeRoom)
      MakeRoom();
    Hooks[id];
  }

  void onClosed(ConnectionId id) {
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

  const std::size_t MaxConnections;
  mutable std::mutex Mutex;
  std::unordered_map<ConnectionId, RequestHooks> Hooks;
};

struct ServerTraits : restinio::default_traits_t {
  using connection_state_listener_t = ConnectionTracker;
  using stream_socket_t = BreakableSocket;
};

using Server = restinio::http_server_t<ServerTraits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

/// Counts the answers that are not fully written yet. Each is counted while its
/// token exists; the server releases the token after the last written byte.
class PendingAnswers : public std::enable_shared_from_this<PendingAnswers> {
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
        std::shared_ptr<ConnectionTracker> tracker, std::shared_ptr<void> token,
        ConnectionEnds ends, std::shared_ptr<void> held)
      : Context(context), Request(std::move(request)),
        Tracker(std::move(tracker)), Connection(Request->connection_id()),
        Id(Request->request_id()), Ends(std::move(ends)),
        Token(std::move(token)), Held(std::move(held)) {}

  Reply(const Reply &) = delete;
  Reply &operator=(const Reply &) = delete;

  ~Reply() override {
    // An unanswered request would keep its connection open for ever.
    try {
      if (Request)
        answer(UnansweredStatus, {}, "", false);
      else if (Builder)
        breakConnection();
    } catch (const std::exception &) {
      // The caller has disconnected or memory has run out: there is nobody to
      // report to.
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
      postNotSent(Context, std::move(sent));
      return;
    }
    auto unread = accountUnread(part.size());
    Builder->append_chunk(std::move(part));
    if (!sent) {
      Builder->flush([unread = std::move(unread)](const auto &) {});
      return;
    }
    Builder->flush([&context = Context, unread = std::move(unread),
                    sent = std::move(sent)](const auto &ec) mutable {
      // RESTinio may report a failure within the call, under the lock; so
      // the hook is called later.
      if (ec)
        postNotSent(context, std::move(sent));
      else
        sent(true);
    });
  }

  void finishStream() override {
    std::lock_guard lock(Mutex);
    if (!Builder)
      return;
    Tracker->removeHook(Connection, Id);
    Builder->done([token = std::move(Token)](const auto &) {});
    Builder.reset();
  }

  void abort() override {
    std::lock_guard lock(Mutex);
    if (Request)
      startChunks(UnansweredStatus, {});
    if (Builder)
      breakConnection();
  }

  void onGone(std::function<void()> gone) override {
    Tracker->addHook(Connection, Id, std::move(gone));
  }

private:
  static constexpr int UnansweredStatus = 500;

  static void postNotSent(asio::io_context &context,
                          std::function<void(bool)> sent) {
    if (sent)
      asio::post(context, [sent = std::move(sent)] { sent(false); });
  }

  void answer(int status, const HttpFields &fields, std::string body,
              bool close) {
    Tracker->removeHook(Connection, Id);
    auto response = Request->create_response(statusLine(status));
    for (const auto &[name, value] : fields)
      response.append_header(name, value);
    if (close)
      response.connection_close();
    auto unread = accountUnread(body.size());
    response.set_body(std::move(body));
    response.done([token = std::move(Token),
                   unread = std::move(unread)](const auto &) {});
    Request.reset();
  }

  /// Returns what accounts for bytes of the answer until they are written.
  std::shared_ptr<void> accountUnread(std::size_t bytes) {
    return BreakableSockets::of(Context).onAnswer(Ends, bytes);
  }

  void startChunks(int status, const HttpFields &fields) {
    Builder.emplace(Request->create_response<restinio::chunked_output_t>(
        statusLine(status)));
    for (const auto &[name, value] : fields)
      Builder->append_header(name, value);
    Request.reset();
  }

  /// Breaks the connection within the answer.
  void breakConnection() {
    Tracker->removeHook(Connection, Id);
    Builder->flush();
    // Posted, so that it runs after what was just written. The write after it
    // fails, which makes RESTinio close the connection also where it reads no
    // further requests. A write that fails within the call that starts it, such
    // as that of a file shorter than announced, makes RESTinio use what it has
    // destroyed.
    asio::post(Context, [&context = Context, ends = Ends,
                         builder = std::make_shared<StreamBuilder>(
                             std::move(*Builder))] {
      BreakableSockets::of(context).breakConnection(ends);
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
  std::optional<StreamBuilder> Builder;
  std::shared_ptr<ConnectionTracker> Tracker;
  ConnectionId Connection;
  RequestId Id;
  ConnectionEnds Ends;
  std::shared_ptr<void> Token;
  /// Accounts for the bytes of the request.
  std::shared_ptr<void> Held;
};

/// Factor by which RESTinio's limits are larger than those at which a request
/// is refused with a status: at RESTinio's the connection is closed without an
/// answer.
constexpr std::size_t HardLimitFactor = 2;

/// Status of a request for which there is no memory.
constexpr int HoldsTooMuch = 503;

/// Returns the status with which to refuse a request that is over a limit; 0 if
/// it is within all.
int refusalStatus(const HttpServerSettings &settings,
                  const restinio::request_t &request, std::size_t connections) {
  constexpr int BodyTooLarge = 413;
  constexpr int TooManyConnections = 429;
  constexpr int FieldsTooLarge = 431;
  if (connections > settings.MaxConnections)
    return TooManyConnections;
  if (request.body().size() > settings.MaxBodyBytes)
    return BodyTooLarge;
  bool tooLarge = request.header().fields_count() > settings.MaxFields;
  request.header().for_each_field([&](const auto &field) {
    tooLarge = tooLarge || field.value().size() > settings.MaxFieldBytes;
  });
  return tooLarge ? FieldsTooLarge : 0;
}

/// Refuses a request that is over a limit before its handler is called.
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
  Impl(asio::io_context &context, std::size_t maxConnections)
      : Sockets(BreakableSockets::of(context)),
        Tracker(std::make_shared<ConnectionTracker>(maxConnections)) {}

  BreakableSockets &Sockets;
  std::shared_ptr<ConnectionTracker> Tracker;
  std::shared_ptr<PendingAnswers> Answers = std::make_shared<PendingAnswers>();
  std::unique_ptr<Server> Listener;
};

HttpServer::HttpServer(asio::io_context &context,
                       const HttpServerSettings &settings, HttpHandler handler)
    : Inner(std::make_unique<Impl>(context,
                                   settings.MaxConnections * HardLimitFactor)) {
  constexpr auto NoLimit = std::chrono::hours(24);
  auto tracker = Inner->Tracker;
  auto &sockets = Inner->Sockets;
  // A request of the maximum size always fits.
  constexpr std::size_t CopiesOfRequest = 2;
  constexpr std::size_t ForOthers = std::size_t{1} << 20U;
  sockets.setMaxHeldBytes(
      std::max(settings.MaxHeldBytes,
               CopiesOfRequest * settings.MaxBodyBytes + ForOthers));
  sockets.setMaxUnreadBytes(settings.MaxUnreadBytes);
  tracker->MakeRoom = [&sockets] { sockets.makeRoom(); };
  auto answers = Inner->Answers;
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(settings.MaxBodyBytes * HardLimitFactor);
  limits.max_field_value_size(settings.MaxFieldBytes * HardLimitFactor);
  limits.max_field_count(settings.MaxFields * HardLimitFactor);
  Inner->Listener = std::make_unique<Server>(
      restinio::external_io_context(context), [&](auto &server) {
        server.address(settings.Address)
            .port(settings.Port)
            // Reading while requests run shows when their caller disconnects;
            // it stops when this many run on one connection.
            .max_pipelined_requests(3)
            .handle_request_timeout(NoLimit)
            .read_next_http_message_timelimit(std::chrono::minutes(5))
            .write_http_response_timelimit(std::chrono::minutes(5))
            .incoming_http_msg_limits(limits)
            .connection_state_listener(tracker)
            .acceptor_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([tracker](auto &acceptor) {
              tracker->Port = acceptor.local_endpoint().port();
            })
            .request_handler([handler = std::move(handler), tracker, answers,
                              settings,
                              &context](restinio::request_handle_t request) {
              ConnectionEnds ends{tracker->Port, request->remote_endpoint()};
              auto held = BreakableSockets::of(context).onRequest(
                  ends, request->body().size());
              auto refusal = held ? refusalStatus(settings, *request,
                                                  tracker->connections())
                                  : HoldsTooMuch;
              auto incoming = refusal ? HttpIncoming() : toIncoming(*request);
              auto reply = std::make_shared<Reply>(
                  context, std::move(request), tracker, answers->token(),
                  std::move(ends), std::move(held));
              if (refusal)
                refuseOverLimit(*reply, refusal);
              else
                handler(std::move(incoming), std::move(reply));
              return restinio::request_accepted();
            });
      });
  Inner->Listener->open_sync();
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return Inner->Tracker->Port; }

std::size_t HttpServer::unfinished() const { return Inner->Answers->count(); }

HttpServerLoad HttpServer::load() const { return Inner->Sockets.load(); }

void HttpServer::close() { Inner->Listener->close_sync(); }

} // namespace hemlockglade
