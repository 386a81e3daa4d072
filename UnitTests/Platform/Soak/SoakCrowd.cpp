#include "UnitTests/Platform/Soak/SoakCrowd.h"

#include <array>
#include <asio/write.hpp>

namespace hemlockglade::soak {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
constexpr int MaxConnects = 3;
const std::string Head = "POST /look/crowd HTTP/1.1\r\nHost: a.example\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::string announcedHead(std::size_t bytes) {
  return Head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string repeat(const std::string &piece, std::size_t times) {
  std::string out;
  for (std::size_t it = 0; it < times; ++it)
    out += piece;
  return out;
}

} // namespace

struct SoakCrowd::Client {
  explicit Client(asio::io_context &context) : Socket(context) {}

  asio::ip::tcp::socket Socket;
  std::size_t Sent = 0;
  int Connects = 0;
  /// Tells handlers of an earlier connection from those of this one.
  int Number = 0;
  std::array<char, 1024> Buffer{};
};

std::string_view SoakCrowd::name(Form form) {
  switch (form) {
  case Form::LargeChunks:
    return "bodies in large chunks";
  case Form::SmallChunks:
    return "bodies in very small chunks";
  case Form::ShortBodies:
    return "bodies short of their length";
  case Form::OverlongBodies:
    return "bodies of a length over the limit";
  case Form::EndlessBodies:
    return "bodies without end";
  case Form::ShortFields:
    return "heads of very short fields";
  case Form::ShortTrailers:
    return "trailers of very short fields";
  case Form::Idle:
    return "connections without a byte";
  }
  return "unknown";
}

SoakCrowd::SoakCrowd(asio::io_context &context, asio::ip::tcp::endpoint address,
                     Form form, int count)
    : Context(context), Address(std::move(address)) {
  constexpr std::size_t FieldsPerPiece = 500;
  constexpr std::size_t SmallChunksPerPiece = 8192;
  const auto large = "10000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
  const auto fields = repeat("a:\r\n", FieldsPerPiece);
  constexpr std::size_t Whole = MaxBodyBytes / ChunkBytes;
  switch (form) {
  case Form::LargeChunks:
    Prefix = ChunkedHead, Piece = large, Pieces = Whole - 1;
    break;
  case Form::SmallChunks:
    Prefix = ChunkedHead, Piece = repeat("1\r\nx\r\n", SmallChunksPerPiece);
    Pieces = Whole;
    break;
  case Form::ShortBodies:
    Prefix = announcedHead(MaxBodyBytes), Piece = std::string(ChunkBytes, 'x');
    Pieces = Whole - 1;
    break;
  case Form::OverlongBodies:
    Prefix = announcedHead(MaxBodyBytes * MaxBodyBytes);
    Piece = std::string(ChunkBytes, 'x'), Pieces = Whole;
    break;
  case Form::EndlessBodies:
    Prefix = ChunkedHead, Piece = large, Pieces = 2 * Whole;
    break;
  case Form::ShortFields:
    Prefix = Head, Piece = fields, Pieces = 7;
    break;
  case Form::ShortTrailers:
    Prefix = ChunkedHead + "0\r\n", Piece = fields, Pieces = 36;
    break;
  case Form::Idle:
    break;
  }
  for (int it = 0; it < count; ++it)
    Clients.push_back(std::make_shared<Client>(context));
}

void SoakCrowd::start() {
  for (const auto &it : Clients)
    connect(it);
}

void SoakCrowd::stop() {
  Stopped = true;
  for (const auto &it : Clients) {
    asio::error_code ec;
    it->Socket.close(ec);
  }
}

void SoakCrowd::connect(const std::shared_ptr<Client> &client) {
  client->Sent = 0;
  ++client->Connects;
  client->Socket.async_connect(
      Address, [self = shared_from_this(), client,
                number = ++client->Number](asio::error_code ec) {
        if (self->Stopped || number != client->Number)
          return;
        if (ec)
          return self->onClosed(client);
        self->send(client);
        self->read(client);
      });
}

void SoakCrowd::send(const std::shared_ptr<Client> &client) {
  if (client->Sent > Pieces)
    return;
  const auto &bytes = client->Sent == 0 ? Prefix : Piece;
  asio::async_write(
      client->Socket, asio::buffer(bytes),
      [self = shared_from_this(), client,
       number = client->Number](asio::error_code ec, std::size_t) {
        if (self->Stopped || ec || number != client->Number)
          return;
        ++client->Sent;
        self->send(client);
      });
}

void SoakCrowd::read(const std::shared_ptr<Client> &client) {
  client->Socket.async_read_some(
      asio::buffer(client->Buffer),
      [self = shared_from_this(), client,
       number = client->Number](asio::error_code ec, std::size_t) {
        if (self->Stopped || number != client->Number)
          return;
        if (ec)
          return self->onClosed(client);
        self->read(client);
      });
}

void SoakCrowd::onClosed(const std::shared_ptr<Client> &client) {
  asio::error_code ec;
  client->Socket.close(ec);
  if (client->Connects < MaxConnects)
    connect(client);
}

} // namespace hemlockglade::soak
