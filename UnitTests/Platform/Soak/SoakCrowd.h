#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hemlockglade::soak {

/// Clients of one gateway that hold or send too much. One whose connection is
/// closed comes again, a few times.
class SoakCrowd : public std::enable_shared_from_this<SoakCrowd> {
public:
  enum class Form : std::uint8_t {
    /// Bodies in large, or in very small chunks, short of their end.
    LargeChunks,
    SmallChunks,
    /// Bodies of a stated length, short of their end.
    ShortBodies,
    /// Bodies far over the limit, stated or just sent.
    OverlongBodies,
    EndlessBodies,
    /// Heads, and trailers, of very short fields.
    ShortFields,
    ShortTrailers,
    /// Connections without a byte.
    Idle,
  };
  static constexpr std::uint64_t Forms = 8;
  static std::string_view name(Form form);

  SoakCrowd(asio::io_context &context, asio::ip::tcp::endpoint address,
            Form form, int count);

  void start();
  /// Closes all connections.
  void stop();

private:
  struct Client;

  void connect(const std::shared_ptr<Client> &client);
  void send(const std::shared_ptr<Client> &client);
  void read(const std::shared_ptr<Client> &client);
  void onClosed(const std::shared_ptr<Client> &client);

  asio::io_context &Context;
  asio::ip::tcp::endpoint Address;
  std::string Prefix;
  std::string Piece;
  std::size_t Pieces = 0;
  std::vector<std::shared_ptr<Client>> Clients;
  bool Stopped = false;
};

} // namespace hemlockglade::soak
