#include "Hemlockglade/Transport/Http/HttpClient.h"

#include "Hemlockglade/Transport/Http1/HttpMessage.h"

#include <algorithm>
#include <array>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <cassert>
#include <charconv>
#include <curl/curl.h>
#include <sys/epoll.h>
#include <unordered_map>

namespace hemlockglade {

namespace {

long toMilliseconds(Span span) {
  return static_cast<long>(
      std::chrono::ceil<std::chrono::milliseconds>(span).count());
}

/// State of one exchange, from its start to OnDone.
struct Transfer {
  HttpClient::Ticket Number = 0;
  HttpRequest Request;
  HttpHooks Hooks;
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  HttpFields Fields;
  int Status = 0;
  /// Whether the empty line after the header has arrived. Without this check
  /// libcurl takes an answer that is cut off in its header for one without a
  /// body.
  bool HasWholeHead = false;
  bool HasReportedHead = false;
  /// Whether libcurl has been about to send the request before.
  bool HasStartedSending = false;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() {
    curl_slist_free_all(HeaderList);
    if (Easy)
      curl_easy_cleanup(Easy);
  }

  /// Whether the answer's end is that of the connection, and came before the
  /// other side had the whole request.
  bool mayBeCut() const {
    bool isFramed =
        std::any_of(Fields.begin(), Fields.end(), [](const auto &it) {
          return sameFieldName(it.first, "Content-Length") ||
                 sameFieldName(it.first, "Transfer-Encoding");
        });
    constexpr long NoContent = 204;
    constexpr long NotModified = 304;
    long status = 0;
    curl_off_t sent = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(Easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    bool hasBody = status != NoContent && status != NotModified;
    return hasBody && !isFramed &&
           static_cast<std::size_t>(sent) < Request.Body.size();
  }

  void reportHead() {
    if (HasReportedHead)
      return;
    HasReportedHead = true;
    long status = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &status);
    Status = static_cast<int>(status);
    if (Hooks.OnHead)
      Hooks.OnHead(Status, Fields);
  }
};

/// libcurl takes any number for a status.
bool isStatusLineValid(std::string_view line) {
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::size_t StatusAt = Version.size() + 2;
  constexpr std::size_t StatusLength = 3;
  if (!line.starts_with(Version) || line.size() < StatusAt + StatusLength)
    return false;
  unsigned status = 0;
  const auto *end = line.data() + StatusAt + StatusLength;
  auto [parsed, ec] = std::from_chars(line.data() + StatusAt, end, status);
  return ec == std::errc() && parsed == end && isStatusValid(status);
}

std::size_t onHeaderLine(char *data, std::size_t size, std::size_t n,
                         void *user) {
  constexpr std::size_t Refuse = 0;
  auto *transfer = static_cast<Transfer *>(user);
  std::string_view line(data, size * n);
  if (line.starts_with("HTTP/")) {
    transfer->Fields.clear();
    transfer->HasWholeHead = false;
    return isStatusLineValid(line) ? size * n : Refuse;
  }
  if (line == "\r\n" || line == "\n")
    transfer->HasWholeHead = true;
  auto colon = line.find(':');
  if (colon == std::string_view::npos)
    return size * n;
  auto value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ')
    value.remove_prefix(1);
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n'))
    value.remove_suffix(1);
  if (!isFieldValid(line.substr(0, colon), value))
    return Refuse;
  transfer->Fields.emplace_back(line.substr(0, colon), value);
  return size * n;
}

std::size_t onBody(char *data, std::size_t size, std::size_t n, void *user) {
  auto *transfer = static_cast<Transfer *>(user);
  transfer->reportHead();
  std::string_view part(data, size * n);
  if (transfer->Hooks.OnPart && !transfer->Hooks.OnPart(part))
    return CURL_WRITEFUNC_PAUSE;
  return size * n;
}

/// Idle connections older than this are not reused: common servers close theirs
/// after 5 s, and a request that is sent at that moment is lost.
constexpr long MaxIdleSeconds = 4;

/// Prevents retries by libcurl, which sends a request again if a reused
/// connection breaks before an answer. The first attempt may have been run, so
/// the caller decides about retries.
int onBeforeSending(void *user, char *, char *, int, int) {
  auto *transfer = static_cast<Transfer *>(user);
  return std::exchange(transfer->HasStartedSending, true)
             ? CURL_PREREQFUNC_ABORT
             : CURL_PREREQFUNC_OK;
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(asio::io_context &context)
      : Strand(asio::make_strand(context)), Timer(Strand),
        SocketSet(Strand, epoll_create1(EPOLL_CLOEXEC)),
        Multi(curl_multi_init()) {
    constexpr long MaxIdleConnections = 4096;
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
    curl_multi_setopt(Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
    curl_multi_setopt(Multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  ~Impl() {
    for (auto &[number, transfer] : Transfers)
      curl_multi_remove_handle(Multi, transfer->Easy);
    Transfers.clear();
    curl_multi_setopt(Multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(Multi, CURLMOPT_TIMERFUNCTION, nullptr);
    curl_multi_cleanup(Multi);
  }

  /// Starts waiting for ready sockets.
  void startWaiting() {
    asio::post(Strand, [self = shared_from_this()] { self->waitForSockets(); });
  }

  Ticket start(HttpRequest request, HttpHooks hooks) {
    auto transfer = std::make_unique<Transfer>();
    transfer->Number = ++LastTicket;
    transfer->Request = std::move(request);
    transfer->Hooks = std::move(hooks);
    auto number = transfer->Number;
    asio::post(Strand, [self = shared_from_this(),
                        shared = std::shared_ptr<Transfer>(std::move(
                            transfer))]() mutable { self->add(shared); });
    return number;
  }

  void cancel(Ticket ticket) {
    asio::post(Strand, [self = shared_from_this(), ticket] {
      HttpResult result;
      result.Cancelled = true;
      result.Error = "cancelled";
      self->finish(ticket, result);
    });
  }

  void resume(Ticket ticket) {
    asio::post(Strand, [self = shared_from_this(), ticket] {
      auto it = self->Transfers.find(ticket);
      if (it == self->Transfers.end())
        return;
      curl_easy_pause(it->second->Easy, CURLPAUSE_CONT);
      self->runTimers();
    });
  }

private:
  void add(const std::shared_ptr<Transfer> &transfer) {
    auto &request = transfer->Request;
    CURL *easy = curl_easy_init();
    transfer->Easy = easy;
    for (const auto &[name, value] : request.Fields) {
      // libcurl omits a field that ends in a colon; a semicolon makes it send
      // the field with an empty value.
      auto line = name;
      line += value.empty() ? ";" : ": ";
      line += value;
      transfer->HeaderList =
          curl_slist_append(transfer->HeaderList, line.c_str());
    }
    transfer->HeaderList = curl_slist_append(transfer->HeaderList, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, request.Url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.Method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->HeaderList);
    // An answer to HEAD has a length, but no body.
    if (request.Method == "HEAD")
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     toMilliseconds(request.ConnectTimeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toMilliseconds(request.Timeout));
    if (!request.Body.empty() || request.Method == "POST" ||
        request.Method == "PUT") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(request.Body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.Body.data());
    }
    if (request.FreshConnection)
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    Transfers.emplace(transfer->Number, transfer);
    curl_multi_add_handle(Multi, easy);
  }

  void finish(Ticket ticket, HttpResult result) {
    auto it = Transfers.find(ticket);
    if (it == Transfers.end())
      return;
    auto transfer = it->second;
    Transfers.erase(it);
    long sentBytes = 0;
    curl_easy_getinfo(transfer->Easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    result.MayHaveSent = sentBytes > 0;
    if (result.Whole && !transfer->HasWholeHead) {
      result.Whole = false;
      result.Error = "the answer is cut in its header";
    }
    if (result.Whole && transfer->mayBeCut()) {
      result.Whole = false;
      result.Error = "the connection ended before the request was sent";
    }
    if (result.Whole)
      transfer->reportHead();
    result.Status = transfer->Status;
    curl_multi_remove_handle(Multi, transfer->Easy);
    if (transfer->Hooks.OnDone)
      transfer->Hooks.OnDone(result);
  }

  void runTimers() {
    int running = 0;
    curl_multi_socket_action(Multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finishCompleted();
  }

  void finishCompleted() {
    int remaining = 0;
    while (CURLMsg *message = curl_multi_info_read(Multi, &remaining)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      char *data = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &data);
      HttpResult result;
      result.Whole = message->data.result == CURLE_OK;
      if (!result.Whole)
        result.Error = curl_easy_strerror(message->data.result);
      finish(reinterpret_cast<Transfer *>(data)->Number, result);
    }
  }

  static int onTimer(CURLM *, long ms, void *user) {
    auto *self = static_cast<Impl *>(user);
    self->Timer.cancel();
    if (ms < 0)
      return 0;
    self->Timer.expires_after(std::chrono::milliseconds(ms));
    self->Timer.async_wait(
        [weak = self->weak_from_this()](asio::error_code ec) {
          auto impl = weak.lock();
          if (!ec && impl)
            impl->runTimers();
        });
    return 0;
  }

  static int onSocket(CURL *, curl_socket_t fd, int what, void *user,
                      void *known) {
    auto *self = static_cast<Impl *>(user);
    int set = self->SocketSet.native_handle();
    epoll_event event{};
    event.data.fd = fd;
    if (what & CURL_POLL_IN)
      event.events |= EPOLLIN;
    if (what & CURL_POLL_OUT)
      event.events |= EPOLLOUT;
    // libcurl waits for no event of a paused transfer. If its socket stayed in
    // the set, it would report a hangup over and over.
    bool isWatched = what != CURL_POLL_REMOVE && event.events;
    if (isWatched)
      epoll_ctl(set, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
    else if (known)
      epoll_ctl(set, EPOLL_CTL_DEL, fd, nullptr);
    curl_multi_assign(self->Multi, fd, isWatched ? self : nullptr);
    return 0;
  }

  /// Waits until any socket is ready. The sockets are in an epoll set of their
  /// own that persists between events, so that a busy client needs one wait for
  /// many events.
  void waitForSockets() {
    SocketSet.async_wait(asio::posix::stream_descriptor::wait_read,
                         [weak = weak_from_this()](asio::error_code ec) {
                           auto self = weak.lock();
                           if (ec || !self)
                             return;
                           self->handleReadySockets();
                           self->waitForSockets();
                         });
  }

  void handleReadySockets() {
    constexpr int Batch = 64;
    std::array<epoll_event, Batch> events{};
    int n = epoll_wait(SocketSet.native_handle(), events.data(), Batch, 0);
    for (int it = 0; it < n; ++it) {
      auto seen = events[static_cast<std::size_t>(it)];
      int action = 0;
      // libcurl finds out about an error by trying.
      if (seen.events & (EPOLLIN | EPOLLERR | EPOLLHUP))
        action |= CURL_CSELECT_IN;
      if (seen.events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
        action |= CURL_CSELECT_OUT;
      int running = 0;
      curl_multi_socket_action(Multi, seen.data.fd, action, &running);
    }
    finishCompleted();
  }

  asio::strand<asio::io_context::executor_type> Strand;
  asio::steady_timer Timer;
  /// The epoll set of the sockets that libcurl waits for.
  asio::posix::stream_descriptor SocketSet;
  CURLM *Multi;
  std::atomic<Ticket> LastTicket{0};
  std::unordered_map<Ticket, std::shared_ptr<Transfer>> Transfers;
};

HttpClient::HttpClient(asio::io_context &context)
    : Inner(std::make_shared<Impl>(context)) {
  Inner->startWaiting();
}

HttpClient::~HttpClient() = default;

HttpClient::Ticket HttpClient::start(HttpRequest request, HttpHooks hooks) {
  return Inner->start(std::move(request), std::move(hooks));
}

void HttpClient::cancel(Ticket ticket) { Inner->cancel(ticket); }

void HttpClient::resume(Ticket ticket) { Inner->resume(ticket); }

void HttpClient::fetch(
    HttpRequest request,
    std::function<void(const HttpResult &, std::string)> done) {
  auto body = std::make_shared<std::string>();
  HttpHooks hooks;
  hooks.OnPart = [body](std::string_view part) {
    body->append(part);
    return true;
  };
  hooks.OnDone = [body, done = std::move(done)](const HttpResult &result) {
    done(result, std::move(*body));
  };
  start(std::move(request), std::move(hooks));
}

} // namespace hemlockglade
