#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockglade {

class PeerLink;

/// One HTTP/2 stream between two nodes. It carries messages in order in both
/// directions. OnClosed is called on both sides when it ends for any reason.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  PeerStream(std::weak_ptr<PeerLink> link, std::string path);

  /// Path that the stream was opened with; it identifies the kind of exchange.
  const std::string &path() const { return Path; }

  /// Sends one message; it is dropped if the stream has ended. The stream is
  /// broken if the other side reads so slowly that too much is queued.
  void send(std::string message);
  /// Ends this side after all messages sent so far.
  void close();

  /// Called for each message from the other side, on the link's strand.
  std::function<void(std::string_view message)> OnMessage;
  /// Called once when the stream has ended. `clean` if the other side closed
  /// it, rather than the connection breaking. This side ends with it.
  std::function<void(bool clean)> OnClosed;

private:
  friend class PeerLink;

  std::weak_ptr<PeerLink> Link;
  std::string Path;
  std::int32_t Id = 0;
  // The members below are used on the link's strand only.
  std::string Outgoing;
  /// Bytes of Outgoing that have been passed to the connection.
  std::size_t PassedBytes = 0;
  std::string Incoming;
  bool Ended = false;
  bool Closed = false;
};

} // namespace hemlockglade
