#include "Hemlockglade/Transport/Peer/PeerLink.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cassert>
#include <cstring>
#include <nghttp2/nghttp2.h>

namespace hemlockglade {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::uint32_t MaxMessage = 16 * 1024 * 1024;
constexpr std::uint32_t MaxStreams = 100000;
constexpr std::int32_t WindowBytes = 4 * 1024 * 1024;

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

/// nghttp2's callbacks; `user` is the link.
struct PeerLink::Callbacks {
  static PeerLink &link(void *user) { return *static_cast<PeerLink *>(user); }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame,
                            void *user) {
    auto &self = link(user);
    if (self.Accept && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
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
    if (self.Accept && key == ":path" && it != self.Streams.end())
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
    if (self.Accept && frame->hd.type == NGHTTP2_HEADERS) {
      auto ok = field(":status", "200");
      auto provider = source();
      nghttp2_submit_response(session, stream->Id, &ok, 1, &provider);
      self.Accept(stream);
    }
    bool mayEnd =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (mayEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM)) {
      self.endStream(stream->Id, true);
      // No exchange goes on one way only: when one side ends, both do.
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
    stream->Incoming.append(reinterpret_cast<const char *>(data), size);
    self.deliver(*stream);
    return 0;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t id,
                           std::uint32_t error, void *user) {
    auto &self = link(user);
    self.endStream(id, error == NGHTTP2_NO_ERROR);
    self.Streams.erase(id);
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
    auto n = std::min(size, stream.Outgoing.size());
    std::memcpy(buf, stream.Outgoing.data(), n);
    stream.Outgoing.erase(0, n);
    if (stream.Outgoing.empty() && stream.Ended) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    }
    return n ? static_cast<ssize_t>(n) : ssize_t{NGHTTP2_ERR_DEFERRED};
  }

  static nghttp2_data_provider source() {
    nghttp2_data_provider provider{};
    provider.read_callback = &Callbacks::onRead;
    return provider;
  }
};

PeerLink::PeerLink(asio::ip::tcp::socket socket, Strand strand,
                   OnStream onStream)
    : Socket(std::move(socket)), Executor(std::move(strand)),
      Accept(std::move(onStream)) {}

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
  if (Accept)
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
  asio::error_code ec;
  Socket.set_option(asio::ip::tcp::no_delay(true), ec);
  for (auto &stream : std::exchange(Waiting, {}))
    submit(stream);
  flush();
  read();
}

void PeerLink::connect(const asio::ip::tcp::endpoint &endpoint) {
  Socket.async_connect(
      endpoint, asio::bind_executor(
                    Executor, [self = shared_from_this()](asio::error_code ec) {
                      if (ec)
                        self->fail();
                      else
                        self->start();
                    }));
}

void PeerLink::open(std::shared_ptr<PeerStream> stream) {
  asio::dispatch(Executor, [self = shared_from_this(), stream] {
    if (self->Failed) {
      if (!std::exchange(stream->Closed, true) && stream->OnClosed)
        stream->OnClosed(false);
    } else if (self->Connected) {
      self->submit(stream);
      self->flush();
    } else {
      self->Waiting.push_back(stream);
    }
  });
}

void PeerLink::shut() {
  asio::post(Executor, [self = shared_from_this()] { self->fail(); });
}

void PeerLink::submit(const std::shared_ptr<PeerStream> &stream) {
  std::array<nghttp2_nv, 4> fields{
      field(":method", "POST"), field(":scheme", "http"),
      field(":authority", "peer"), field(":path", stream->Path)};
  auto provider = Callbacks::source();
  auto id = nghttp2_submit_request(Session, nullptr, fields.data(),
                                   fields.size(), &provider, nullptr);
  if (id < 0) {
    if (!std::exchange(stream->Closed, true) && stream->OnClosed)
      stream->OnClosed(false);
    return;
  }
  stream->Id = id;
  Streams.emplace(id, stream);
}

void PeerLink::send(PeerStream &stream, std::string message) {
  assert(message.size() <= MaxMessage);
  // A stream that waits for the connection only gathers what it will send.
  asio::dispatch(Executor, [self = shared_from_this(), &stream,
                            message = std::move(message),
                            keep = stream.shared_from_this()] {
    auto n = static_cast<std::uint32_t>(message.size());
    std::array<char, LengthBytes> head{};
    std::memcpy(head.data(), &n, LengthBytes);
    stream.Outgoing.append(head.data(), head.size()).append(message);
    self->wake(stream);
  });
}

void PeerLink::close(PeerStream &stream) {
  asio::dispatch(Executor, [self = shared_from_this(), &stream,
                            keep = stream.shared_from_this()] {
    stream.Ended = true;
    self->wake(stream);
  });
}

void PeerLink::wake(PeerStream &stream) {
  if (!Connected || Failed || stream.Id == 0)
    return;
  nghttp2_session_resume_data(Session, stream.Id);
  flush();
}

void PeerLink::deliver(PeerStream &stream) {
  std::string_view rest = stream.Incoming;
  while (rest.size() >= LengthBytes) {
    auto n = readLength(rest);
    if (n > MaxMessage) {
      shut();
      return;
    }
    if (rest.size() < LengthBytes + n)
      break;
    auto message = rest.substr(LengthBytes, n);
    rest.remove_prefix(LengthBytes + n);
    if (stream.OnMessage)
      stream.OnMessage(message);
  }
  stream.Incoming.erase(0, stream.Incoming.size() - rest.size());
}

void PeerLink::endStream(std::int32_t id, bool clean) {
  auto it = Streams.find(id);
  if (it == Streams.end())
    return;
  auto stream = it->second;
  if (std::exchange(stream->Closed, true))
    return;
  if (stream->OnClosed)
    stream->OnClosed(clean);
}

void PeerLink::read() {
  Socket.async_read_some(
      asio::buffer(ReadBuffer),
      asio::bind_executor(Executor, [self = shared_from_this()](
                                        asio::error_code ec, std::size_t n) {
        if (ec || self->Failed)
          return self->fail();
        auto taken =
            nghttp2_session_mem_recv(self->Session, self->ReadBuffer.data(), n);
        if (taken < 0)
          return self->fail();
        self->flush();
        if (!self->Failed)
          self->read();
      }));
}

void PeerLink::flush() {
  if (Writing || Failed)
    return;
  WriteBuffer.clear();
  const std::uint8_t *data = nullptr;
  while (auto n = nghttp2_session_mem_send(Session, &data)) {
    if (n < 0)
      return fail();
    WriteBuffer.append(reinterpret_cast<const char *>(data),
                       static_cast<std::size_t>(n));
  }
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
  auto waiting = std::exchange(Waiting, {});
  auto streams = std::exchange(Streams, {});
  for (auto &stream : waiting) {
    if (!std::exchange(stream->Closed, true) && stream->OnClosed)
      stream->OnClosed(false);
  }
  for (auto &[id, stream] : streams) {
    if (!std::exchange(stream->Closed, true) && stream->OnClosed)
      stream->OnClosed(false);
  }
  if (OnShut)
    OnShut();
}

} // namespace hemlockglade
