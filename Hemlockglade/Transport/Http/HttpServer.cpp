#include "Hemlockglade/Transport/Http/HttpServer.h"

#include <atomic>
#include <cstring>
#include <mutex>
#include <restinio/all.hpp>
#include <strings.h>
#include <unordered_map>

namespace hemlockglade {

namespace {

using ConnectionId = restinio::connection_id_t;

/// Tells replies that their caller has gone.
class ConnectionWatch {
public:
  void opened(ConnectionId id) {
    std::lock_guard lock(Mutex);
    Hooks[id];
  }

  void state_changed(const restinio::connection_state::notice_t &notice) {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    if (restinio::holds_alternative<accepted_t>(notice.cause()))
      opened(notice.connection_id());
    if (restinio::holds_alternative<closed_t>(notice.cause()))
      closed(notice.connection_id());
  }

  void watch(ConnectionId id, std::function<void()> hook) {
    {
      std::lock_guard lock(Mutex);
      auto it = Hooks.find(id);
      if (it != Hooks.end()) {
        it->second = std::move(hook);
        return;
      }
    }
    if (hook)
      hook();
  }

  void unwatch(ConnectionId id) {
    std::lock_guard lock(Mutex);
    auto it = Hooks.find(id);
    if (it != Hooks.end())
      it->second = nullptr;
  }

private:
  void closed(ConnectionId id) {
    std::function<void()> hook;
    {
      std::lock_guard lock(Mutex);
      auto it = Hooks.find(id);
      if (it == Hooks.end())
        return;
      hook = std::move(it->second);
      Hooks.erase(it);
    }
    if (hook)
      hook();
  }

  std::mutex Mutex;
  std::unordered_map<ConnectionId, std::function<void()>> Hooks;
};

struct ServerTraits : restinio::default_traits_t {
  using connection_state_listener_t = ConnectionWatch;
  static constexpr bool use_connection_count_limiter = true;
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
  Reply(restinio::request_handle_t request,
        std::shared_ptr<ConnectionWatch> watch, std::shared_ptr<void> token)
      : Request(std::move(request)), Watch(std::move(watch)),
        Id(Request->connection_id()), Number(Request->request_id()),
        Connection(restinio::impl::access_req_connection(*Request)),
        Token(std::move(token)) {}

  Reply(const Reply &) = delete;
  Reply &operator=(const Reply &) = delete;

  ~Reply() override {
    // An unanswered request would hold its connection for ever.
    if (Request)
      sendWhole(500, {}, "");
    else
      abort();
  }

  void sendWhole(int status, const HttpFields &fields,
                 std::string body) override {
    std::lock_guard lock(Mutex);
    if (!Request)
      return;
    Watch->unwatch(Id);
    auto response = Request->create_response(statusLine(status));
    for (const auto &[name, value] : fields)
      response.append_header(name, value);
    response.set_body(std::move(body));
    response.done([token = std::move(Token)](const auto &) {});
    Request.reset();
  }

  void startStream(int status, const HttpFields &fields) override {
    std::lock_guard lock(Mutex);
    if (!Request)
      return;
    Builder.emplace(Request->create_response<restinio::chunked_output_t>(
        statusLine(status)));
    for (const auto &[name, value] : fields)
      Builder->append_header(name, value);
    Request.reset();
    Builder->flush();
  }

  void sendPart(std::string part, std::function<void(bool)> sent) override {
    std::lock_guard lock(Mutex);
    if (!Builder)
      return;
    Builder->append_chunk(std::move(part));
    Builder->flush([sent = std::move(sent)](const auto &ec) {
      if (sent)
        sent(!ec);
    });
  }

  void finishStream() override {
    std::lock_guard lock(Mutex);
    if (!Builder)
      return;
    Watch->unwatch(Id);
    Builder->done([token = std::move(Token)](const auto &) {});
    Builder.reset();
  }

  void abort() override {
    std::lock_guard lock(Mutex);
    Watch->unwatch(Id);
    if (Builder || Request)
      breakConnection();
    Builder.reset();
    Request.reset();
  }

  void onGone(std::function<void()> gone) override {
    Watch->watch(Id, std::move(gone));
  }

private:
  /// RESTinio has no call that breaks a connection. A file that is shorter
  /// than promised makes the write fail, so the caller sees at once that the
  /// answer is not whole. A chunk can't be a file, so the builder is passed by.
  void breakConnection() {
    restinio::writable_items_container_t items;
    items.emplace_back(restinio::sendfile(restinio::open_file("/dev/null"),
                                          restinio::file_meta_t{1, {}}));
    Connection->write_response_parts(
        Number,
        {restinio::response_parts_attr_t::not_final_parts,
         restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t(std::move(items)));
  }

  static restinio::http_status_line_t statusLine(int status) {
    const char *reason = status < 300   ? "OK"
                         : status < 500 ? "Request refused"
                                        : "Not served";
    return {restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
            reason};
  }

  std::mutex Mutex;
  restinio::request_handle_t Request;
  std::optional<Streamed> Builder;
  std::shared_ptr<ConnectionWatch> Watch;
  ConnectionId Id;
  restinio::request_id_t Number;
  restinio::impl::connection_handle_t Connection;
  std::shared_ptr<void> Token;
};

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
  std::shared_ptr<ConnectionWatch> Watch = std::make_shared<ConnectionWatch>();
  std::shared_ptr<Unfinished> Answers = std::make_shared<Unfinished>();
  std::uint16_t Port = 0;
  std::unique_ptr<Server> Listener;
};

HttpServer::HttpServer(asio::io_context &context,
                       const HttpServerSettings &settings, HttpHandler handler)
    : Inner(std::make_unique<Impl>()) {
  constexpr auto NoLimit = std::chrono::hours(24);
  auto watch = Inner->Watch;
  auto answers = Inner->Answers;
  restinio::incoming_http_msg_limits_t limits;
  limits.max_body_size(settings.MaxBodyBytes);
  limits.max_field_value_size(settings.MaxFieldBytes);
  limits.max_field_count(settings.MaxFields);
  Inner->Listener = std::make_unique<Server>(
      restinio::external_io_context(context), [&](auto &server) {
        server.address(settings.Address)
            .port(settings.Port)
            // Reading on while a request runs shows that its caller left.
            .max_pipelined_requests(2)
            .handle_request_timeout(NoLimit)
            .read_next_http_message_timelimit(std::chrono::minutes(5))
            .write_http_response_timelimit(std::chrono::minutes(5))
            .incoming_http_msg_limits(limits)
            .max_parallel_connections(settings.MaxConnections)
            .connection_state_listener(watch)
            .acceptor_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .socket_options_setter([](auto &options) {
              options.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([this](auto &acceptor) {
              Inner->Port = acceptor.local_endpoint().port();
            })
            .request_handler([handler = std::move(handler), watch,
                              answers](restinio::request_handle_t request) {
              auto incoming = toIncoming(*request);
              handler(std::move(incoming),
                      std::make_shared<Reply>(std::move(request), watch,
                                              answers->token()));
              return restinio::request_accepted();
            });
      });
  Inner->Listener->open_sync();
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return Inner->Port; }

std::size_t HttpServer::unfinished() const { return Inner->Answers->count(); }

void HttpServer::close() { Inner->Listener->close_sync(); }

} // namespace hemlockglade
