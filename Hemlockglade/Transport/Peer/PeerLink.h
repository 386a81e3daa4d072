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

/// A TCP connection between two nodes that carries HTTP/2, by nghttp2.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using OnStream = std::function<void(std::shared_ptr<PeerStream>)>;

  /// A server's link gives each stream that is opened to `onStream`; a
  /// client's link has none.
  PeerLink(asio::ip::tcp::socket socket, Strand strand, OnStream onStream);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Begins on a connected socket. Call on the strand.
  void start();
  /// Connects first, within a bound, then begins.
  void connect(const asio::ip::tcp::endpoint &endpoint);
  /// Opens a stream; its hooks must be set already.
  void open(const std::shared_ptr<PeerStream> &stream);
  /// Breaks the connection and ends all streams.
  void shut();

  void send(PeerStream &stream, std::string message);
  void close(PeerStream &stream);

  /// Called once when the connection takes no more streams, before its streams
  /// are told that it is over.
  std::function<void()> OnShut;

private:
  struct Callbacks;

  void submit(const std::shared_ptr<PeerStream> &stream);
  void read();
  void flush();
  void fail();
  void watchPeer();
  bool deliver(PeerStream &stream, std::string_view data);
  void wake(PeerStream &stream);
  void retire();
  void queue(PeerStream &stream, std::string_view message);
  static void endStream(PeerStream &stream, bool clean);

  asio::ip::tcp::socket Socket;
  Strand Executor;
  asio::steady_timer ConnectTimer;
  OnStream Accept;
  nghttp2_session *Session = nullptr;
  bool Connected = false;
  bool Failed = false;
  bool Writing = false;
  /// nghttp2 is at work; it must not be asked to send from inside.
  bool Busy = false;
  std::vector<std::shared_ptr<PeerStream>> Waiting;
  std::unordered_map<std::int32_t, std::shared_ptr<PeerStream>> Streams;
  std::array<std::uint8_t, 16384> ReadBuffer;
  std::string WriteBuffer;
};

} // namespace hemlockglade
