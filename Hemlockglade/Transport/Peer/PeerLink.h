#pragma once

#include "Hemlockglade/Transport/Peer/PeerStream.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <unordered_map>
#include <vector>

struct nghttp2_session;

namespace hemlockglade {

/// A TCP connection between two nodes that carries HTTP/2 streams, implemented
/// with nghttp2.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using OnStream = std::function<void(std::shared_ptr<PeerStream>)>;

  /// A server's link passes each stream that the peer opens to `onStream`; a
  /// client's link has no `onStream`.
  PeerLink(asio::ip::tcp::socket socket, Strand strand, OnStream onStream);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Starts HTTP/2 on a connected socket. Call on the strand.
  void start();
  /// Connects within a timeout, then starts HTTP/2.
  void connect(const asio::ip::tcp::endpoint &endpoint);
  /// Opens a stream, whose hooks must be set already.
  void open(const std::shared_ptr<PeerStream> &stream);
  /// Breaks the connection and ends all streams.
  void abort();

  void send(PeerStream &stream, std::string message);
  void close(PeerStream &stream);

  /// Called once when the connection accepts no more streams, before the hooks
  /// of its streams are called.
  std::function<void()> OnUnusable;

private:
  struct Callbacks;

  void submit(const std::shared_ptr<PeerStream> &stream);
  void read();
  void flush();
  void fail();
  void setKeepAlive();
  bool deliver(PeerStream &stream, std::string_view data);
  void resumeSending(PeerStream &stream);
  void notifyUnusable();
  void queue(PeerStream &stream, std::string_view message);
  static void endStream(PeerStream &stream, bool clean);

  asio::ip::tcp::socket Socket;
  Strand Executor;
  asio::steady_timer ConnectTimer;
  OnStream OnAccepted;
  nghttp2_session *Session = nullptr;
  bool Connected = false;
  bool Failed = false;
  bool Writing = false;
  /// nghttp2 is running; it must not be called to send from its callbacks.
  bool InSession = false;
  std::vector<std::shared_ptr<PeerStream>> PendingStreams;
  std::unordered_map<std::int32_t, std::shared_ptr<PeerStream>> Streams;
  std::array<std::uint8_t, 16384> ReadBuffer;
  std::string WriteBuffer;
};

} // namespace hemlockglade
