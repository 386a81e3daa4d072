#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockglade {

class PeerLink;

/// One HTTP/2 stream between two nodes. It carries messages in order, each
/// way; its end, however it comes, is told to both sides.
class PeerStream : public std::enable_shared_from_this<PeerStream> {
public:
  PeerStream(std::weak_ptr<PeerLink> link, std::string path);

  /// Path that the stream was opened with; it names the kind of exchange.
  const std::string &path() const { return Path; }

  /// Sends one message; dropped if the stream is over. A stream whose other
  /// side reads too slowly for what is sent is broken.
  void send(std::string message);
  /// Ends this side after what was sent.
  void close();

  /// Called for each message of the other side, on the link's strand.
  std::function<void(std::string_view message)> OnMessage;
  /// Called once when the stream is over. `clean` if the other side ended it
  /// on purpose, not by a broken connection. This side ends with it.
  std::function<void(bool clean)> OnClosed;

private:
  friend class PeerLink;

  std::weak_ptr<PeerLink> Link;
  std::string Path;
  std::int32_t Id = 0;
  // What follows is touched on the link's strand only.
  std::string Outgoing;
  /// Bytes of Outgoing that have been given to the connection.
  std::size_t Taken = 0;
  std::string Incoming;
  bool Ended = false;
  bool Closed = false;
};

} // namespace hemlockglade
