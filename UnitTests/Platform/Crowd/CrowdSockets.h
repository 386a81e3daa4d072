#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade::crowd {

/// Connections of clients that send a prefix, then the same piece again and
/// again, and stay open.
class CrowdSockets {
public:
  struct Script {
    std::string Prefix;
    std::string Piece;
    std::size_t Pieces = 0;
    std::string Suffix;
    /// Whether the clients read what they receive. If not, the kernel takes
    /// little for them.
    bool Reads = true;
  };

  /// Connects `count` clients to a numeric ip:port. One that can't be connected
  /// counts as closed.
  CrowdSockets(std::string_view address, int count, Script script);
  ~CrowdSockets() { close(); }
  CrowdSockets(const CrowdSockets &) = delete;
  CrowdSockets &operator=(const CrowdSockets &) = delete;

  /// Sends until each client has sent everything, is closed, or can't send any
  /// more as the other side doesn't read.
  void send();
  void close();
  /// Returns the bytes that the kernel has taken from all clients.
  std::size_t sentBytes() const { return SentBytes; }
  /// Returns the number of clients whose connection is open.
  int openCount();

private:
  struct Client {
    int Descriptor = -1;
    /// Bytes sent of the whole script.
    std::size_t Sent = 0;
  };

  std::size_t scriptBytes() const;
  /// Returns the script's bytes from this position to the end of a piece.
  std::string_view partAt(std::size_t position) const;
  void closeClient(Client &client);
  /// Returns whether bytes were sent or received, or the connection ended.
  bool advance(Client &client);

  Script Told;
  std::vector<Client> Clients;
  std::size_t SentBytes = 0;
};

/// Sends one request on a connection of its own and returns the whole answer;
/// empty if there is none.
std::string callOnce(std::string_view address, std::string_view request);

} // namespace hemlockglade::crowd
