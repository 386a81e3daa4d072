#include "Hemlockglade/Transport/Peer/PeerLink.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <cstring>
#include <netinet/tcp.h>
#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

namespace hemlockglade {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::uint32_t MaxMessageBytes = 16 * 1024 * 1024;
constexpr std::uint32_t MaxStreams = 100000;
constexpr std::int32_t WindowBytes = 4 * 1024 * 1024;
/// Bytes that may be queued for a slow reader on one stream.
constexpr std::size_t MaxQueuedBytes = 4 * std::size_t{MaxMessageBytes};
/// An empty buffer with a larger capacity than this is freed.
constexpr std::size_t MaxIdleBufferBytes = std::size_t{16} * 1024;
constexpr auto ConnectTimeout = std::chrono::seconds(2);

// A host that has crashed sends no end of its connections; so the kernel probes
// idle ones.
constexpr int KeepAliveIdleSeconds = 3;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 3;
constexpr int UnacknowledgedMilliseconds = 6000;

std::uint32_t readLength(std::string_view data) {
  std::uint32_t n = 0;
  std::memcpy(&n, data.data(), LengthBytes);
  return n;
}

nghttp2_nv field(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// Callbacks of nghttp2; `user` is the link.
struct PeerLink::Callbacks {
  static PeerLink &link(void *user) { return *static_cast<PeerLink *>(user); }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame,
                            void *user) {
    auto &self = link(user);
    if (self.OnAccepted && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
      auto stream =
          std::make_shared<PeerStream>(self.weak_from_this(), std::string());
      stream->Id = frame->hd.stream_id;
      self.Streams.emplace(stream->Id, stream);
    }
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *frame,
                      const std::uint8_t *name, std::size_t nameSize,
                      const std::uint8_t *value, std::size_t valueSize,
                      std::uint8_t, void *user) {
    auto &self = link(user);
    std::string_view key(reinterpret_cast<const char *>(name), nameSize);
    auto it = self.Streams.find(frame->hd.stream_id);
    if (self.OnAccepted && key == ":path" && it != self.Streams.end())
      it->second->Path.assign(reinterpret_cast<const char *>(value), valueSize);
    return 0;
  }

  static int onFrame(nghttp2_session *session, const nghttp2_frame *frame,
                     void *user) {
    auto &self = link(user);
    auto it = self.Streams.find(frame->hd.stream_id);
    if (it == self.Streams.end())
      return 0;
    auto stream = it->second;
    bool isRequest = frame->hd.type == NGHTTP2_HEADERS &&
                     frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (self.OnAccepted && isRequest) {
      auto ok = field(":status", "200");
      auto provider = dataProvider();
      nghttp2_submit_response(session, stream->Id, &ok, 1, &provider);
      self.OnAccepted(stream);
    }
    bool mayEnd =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (mayEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) {
      self.endStream(*stream, true);
      // nghttp2 closes a stream only when both sides have ended it.
      stream->Ended = true;
      nghttp2_session_resume_data(session, stream->Id);
    }
    return 0;
  }

  static int onData(nghttp2_session *, std::uint8_t, std::int32_t id,
                    const std::uint8_t *data, std::size_t size, void *user) {
    auto &self = link(user);
    auto it = self.Streams.find(id);
    if (it == self.Streams.end())
      return 0;
    auto stream = it->second;
    std::string_view part(reinterpret_cast<const char *>(data), size);
    return self.deliver(*stream, part) ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t id,
                           std::uint32_t error, void *user) {
    auto &self = link(user);
    auto it = self.Streams.find(id);
    if (it == self.Streams.end())
      return 0;
    auto stream = it->second;
    self.Streams.erase(it);
    endStream(*stream, error == NGHTTP2_NO_ERROR);
    return 0;
  }

  static ssize_t onRead(nghttp2_session *, std::int32_t id, std::uint8_t *buf,
                        std::size_t size, std::uint32_t *flags,
                        nghttp2_data_source *, void *user) {
    auto &self = link(user);
    auto it = self.Streams.find(id);
    if (it == self.Streams.end())
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto &stream = *it->second;
    auto n = std::min(size, stream.Outgoing.size() - stream.PassedBytes);
    std::copy_n(stream.Outgoing.data() + stream.PassedBytes, n, buf);
    stream.PassedBytes += n;
    bool isDrained = stream.PassedBytes == stream.Outgoing.size();
    if (isDrained) {
      stream.Outgoing.clear();
      stream.PassedBytes = 0;
      if (stream.Outgoing.capacity() > MaxIdleBufferBytes)
        stream.Outgoing.shrink_to_fit();
    }
    if (isDrained && stream.Ended) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    }
    return n ? static_cast<ssize_t>(n) : ssize_t{NGHTTP2_ERR_DEFERRED};
  }

  static nghttp2_data_provider dataProvider() {
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::onRead;
    return provider;
  }
};

PeerLink::PeerLink(asio::ip::tcp::socket socket, Strand strand,
                   OnStream onStream)
    : Socket(std::move(socket)), Executor(std::move(strand)),
      ConnectTimer(Executor), OnAccepted(std::move(onStream)) {}

PeerLink::~PeerLink() { nghttp2_session_del(Session); }

void PeerLink::start() {
  nghttp2_session_callbacks *table = nullptr;
  nghttp2_session_callbacks_new(&table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      table, &Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(table, &Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(table,
                                                       &Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table,
                                                            &Callbacks::onData);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      table, &Callbacks::onStreamClose);
  if (OnAccepted)
    nghttp2_session_server_new(&Session, table, this);
  else
    nghttp2_session_client_new(&Session, table, this);
  nghttp2_session_callbacks_del(table);
  std::array<nghttp2_settings_entry, 2> settings{
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}}};
  nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
  Connected = true;
  setKeepAlive();
  for (auto &stream : std::exchange(PendingStreams, {}))
    submit(stream);
  flush();
  read();
}

void PeerLink::setKeepAlive() {
  asio::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  Socket.set_option(asio::socket_base::keep_alive(true), ec);
  auto set = [this](int name, int value) {
    ::setsockopt(Socket.native_handle(), IPPROTO_TCP, name, &value,
                 sizeof value);
  };
  set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
  set(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  set(TCP_KEEPCNT, KeepAliveProbes);
  set(TCP_USER_TIMEOUT, UnacknowledgedMilliseconds);
}

void PeerLink::connect(const asio::ip::tcp::endpoint &endpoint) {
  // The calling thread may be any; the socket is used on the strand only.
  asio::post(Executor, [self = shared_from_this(), endpoint] {
    if (self->Failed)
      return;
    self->ConnectTimer.expires_after(ConnectTimeout);
    self->ConnectTimer.async_wait(asio::bind_executor(
        self->Executor, [weak = self->weak_from_this()](asio::error_code ec) {
          auto link = weak.lock();
          if (!ec && link && !link->Connected)
            link->fail();
        }));
    self->Socket.async_connect(
        endpoint,
        asio::bind_executor(self->Executor, [self](asio::error_code ec) {
          self->ConnectTimer.cancel();
          if (ec || self->Failed)
            self->fail();
          else
            self->start();
        }));
  });
}

void PeerLink::open(const std::shared_ptr<PeerStream> &stream) {
  asio::dispatch(Executor, [self = shared_from_this(), stream] {
    if (self->Failed) {
      endStream(*stream, false);
    } else if (self->Connected) {
      self->submit(stream);
      self->flush();
    } else {
      self->PendingStreams.push_back(stream);
    }
  });
}

void PeerLink::abort() {
  asio::post(Executor, [self = shared_from_this()] { self->fail(); });
}

void PeerLink::submit(const std::shared_ptr<PeerStream> &stream) {
  std::array<nghttp2_nv, 4> fields{
      field(":method", "POST"), field(":scheme", "http"),
      field(":authority", "peer"), field(":path", stream->Path)};
  auto provider = Callbacks::dataProvider();
  auto id = nghttp2_submit_request(Session, nullptr, fields.data(),
                                   fields.size(), &provider, nullptr);
  if (id < 0) {
    // The connection's stream ids are used up; a new connection starts again.
    notifyUnusable();
    endStream(*stream, false);
    return;
  }
  stream->Id = id;
  Streams.emplace(id, stream);
}

void PeerLink::send(PeerStream &stream, std::string message) {
  assert(message.size() <= MaxMessageBytes);
  // A stream that waits for the connection only buffers its messages.
  asio::dispatch(Executor, [self = shared_from_this(), &stream,
                            message = std::move(message),
                            keepAlive = stream.shared_from_this()] {
    if (!stream.Closed)
      self->queue(stream, message);
  });
}

void PeerLink::queue(PeerStream &stream, std::string_view message) {
  auto waiting = stream.Outgoing.size() - stream.PassedBytes;
  if (waiting + message.size() > MaxQueuedBytes) {
    stream.Outgoing = {};
    stream.PassedBytes = 0;
    if (Connected && stream.Id)
      nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, stream.Id,
                                NGHTTP2_CANCEL);
    endStream(stream, false);
    return flush();
  }
  auto n = static_cast<std::uint32_t>(message.size());
  std::array<char, LengthBytes> head{};
  std::memcpy(head.data(), &n, LengthBytes);
  stream.Outgoing.append(head.data(), head.size()).append(message);
  resumeSending(stream);
}

void PeerLink::close(PeerStream &stream) {
  asio::dispatch(Executor, [self = shared_from_this(), &stream,
                            keepAlive = stream.shared_from_this()] {
    stream.Ended = true;
    self->resumeSending(stream);
  });
}

void PeerLink::resumeSending(PeerStream &stream) {
  if (!Connected || Failed || stream.Id == 0)
    return;
  nghttp2_session_resume_data(Session, stream.Id);
  flush();
}

bool PeerLink::deliver(PeerStream &stream, std::string_view data) {
  bool hasPartialMessage = !stream.Incoming.empty();
  if (hasPartialMessage)
    stream.Incoming.append(data);
  std::string_view rest = hasPartialMessage ? stream.Incoming : data;
  while (rest.size() >= LengthBytes) {
    auto n = readLength(rest);
    if (n > MaxMessageBytes)
      return false;
    if (rest.size() < LengthBytes + n)
      break;
    auto message = rest.substr(LengthBytes, n);
    rest.remove_prefix(LengthBytes + n);
    if (stream.OnMessage && !stream.Closed)
      stream.OnMessage(message);
  }
  if (hasPartialMessage)
    stream.Incoming.erase(0, stream.Incoming.size() - rest.size());
  else
    stream.Incoming.assign(rest);
  if (stream.Incoming.empty() &&
      stream.Incoming.capacity() > MaxIdleBufferBytes)
    stream.Incoming.shrink_to_fit();
  return true;
}

void PeerLink::endStream(PeerStream &stream, bool clean) {
  if (std::exchange(stream.Closed, true))
    return;
  if (auto hook = std::exchange(stream.OnClosed, nullptr))
    hook(clean);
}

void PeerLink::notifyUnusable() {
  if (auto hook = std::exchange(OnUnusable, nullptr))
    hook();
}

void PeerLink::read() {
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      asio::bind_executor(Executor, [self = shared_from_this()](
                                        asio::error_code ec, std::size_t n) {
        if (ec || self->Failed)
          return self->fail();
        self->InSession = true;
        auto consumed =
            nghttp2_session_mem_recv(self->Session, self->ReadBuffer.data(), n);
        self->InSession = false;
        if (consumed < 0)
          return self->fail();
        self->flush();
        if (!self->Failed)
          self->read();
      }));
}

void PeerLink::flush() {
  if (Writing || Failed || InSession || !Connected)
    return;
  WriteBuffer.clear();
  const std::uint8_t *data = nullptr;
  InSession = true;
  auto n = nghttp2_session_mem_send(Session, &data);
  for (; n > 0; n = nghttp2_session_mem_send(Session, &data))
    WriteBuffer.append(reinterpret_cast<const char *>(data),
                       static_cast<std::size_t>(n));
  InSession = false;
  if (n < 0)
    return fail();
  if (WriteBuffer.empty())
    return;
  Writing = true;
  asio::async_write(
      Socket, asio::buffer(WriteBuffer),
      asio::bind_executor(Executor, [self = shared_from_this()](
                                        asio::error_code ec, std::size_t) {
        self->Writing = false;
        if (ec)
          self->fail();
        else
          self->flush();
      }));
}

void PeerLink::fail() {
  if (std::exchange(Failed, true))
    return;
  asio::error_code ec;
  Socket.close(ec);
  ConnectTimer.cancel();
  notifyUnusable();
  auto waiting = std::exchange(PendingStreams, {});
  auto streams = std::exchange(Streams, {});
  for (auto &stream : waiting)
    endStream(*stream, false);
  for (auto &[id, stream] : streams)
    endStream(*stream, false);
}

} // namespace hemlockglade
