#pragma once

#include "Hemlockglade/Transport/Http1/HttpReader.h"
#include "UnitTests/Transport/Loopback.h"

#include <memory>

namespace hemlockglade::test {

/// A replica that answers each request with the bytes that the test gives.
class ScriptedReplica {
public:
  enum class Then : std::uint8_t {
    Keep,
    Close,
    Reset,
    /// As when the process ends: stops listening and resets all connections.
    Crash,
    /// Resets all connections, while its address still accepts new ones.
    CrashBehindListener,
  };
  struct Step {
    std::string Bytes;
    Then After = Then::Keep;
  };
  struct Request {
    HttpRequestHead Head;
    std::string Body;
    /// Number of the connection that it came on.
    std::size_t Connection = 0;
  };

  explicit ScriptedReplica(asio::io_context &context)
      : Context(context), Acceptor(context, Loopback::localhost(0)) {
    accept();
  }

  std::string address() const {
    return Loopback::address(Acceptor.local_endpoint().port());
  }

  /// Stops listening; open connections stay.
  void stop() { Acceptor.close(); }

  void crash() {
    asio::error_code ec;
    Acceptor.close(ec);
    cutAll();
  }

  /// As when the process ends after it has read all that came: stops listening
  /// and closes all connections regularly.
  void end() {
    stop();
    closeAll(false);
  }

  /// Resets all connections.
  void cutAll() { closeAll(true); }

  /// Sends more bytes over all open connections; returns whether all of them
  /// took the bytes at once.
  bool sendMore(std::string_view bytes) {
    bool isSent = true;
    for (const auto &weak : Open)
      if (auto it = weak.lock(); it && it->Socket.is_open()) {
        asio::error_code ec;
        it->Socket.non_blocking(true, ec);
        asio::write(it->Socket, asio::buffer(bytes), ec);
        isSent = isSent && !ec;
      }
    return isSent;
  }

  /// Returns what to do with a request; used in place of the script if set.
  std::function<Step(const Request &)> Answer;
  bool Crashed = false;
  /// Whether answers that name no request get the id of theirs, in the field
  /// `Id`.
  bool EchoesId = true;

  /// One step for each request, in order; a request beyond the last step is
  /// not answered.
  std::vector<Step> Script;
  std::vector<Request> Requests;
  /// Connections that have ended.
  int Ended = 0;

private:
  struct Connection {
    explicit Connection(asio::io_context &context) : Socket(context) {}
    std::size_t Number = 0;
    asio::ip::tcp::socket Socket;
    HttpReader Reader{HttpReader::Side::Requests};
    std::string Body;
    std::array<char, 4096> Buffer{};
  };

  void closeAll(bool resets) {
    Crashed = true;
    asio::error_code ec;
    for (const auto &weak : Open)
      if (auto it = weak.lock()) {
        if (resets)
          it->Socket.set_option(asio::socket_base::linger(true, 0), ec);
        it->Socket.close(ec);
      }
  }

  void accept() {
    auto it = std::make_shared<Connection>(Context);
    Acceptor.async_accept(it->Socket, [this, it](asio::error_code ec) {
      if (ec)
        return;
      it->Reader.OnBody = [raw = it.get()](std::string_view part) {
        raw->Body.append(part);
      };
      Open.push_back(it);
      it->Number = Open.size();
      read(it);
      accept();
    });
  }

  void read(const std::shared_ptr<Connection> &it) {
    it->Socket.async_read_some(
        asio::buffer(it->Buffer), [this, it](asio::error_code ec, auto n) {
          if (ec) {
            ++Ended;
            return;
          }
          it->Reader.feed({it->Buffer.data(), n});
          if (it->Reader.state() == HttpReader::State::Complete)
            answer(*it);
          read(it);
        });
  }

  void answer(Connection &it) {
    Requests.push_back(
        {it.Reader.takeRequest(), std::exchange(it.Body, {}), it.Number});
    it.Reader.next();
    if (!Answer && Script.size() < Requests.size())
      return;
    auto step = Answer ? Answer(Requests.back()) : Script[Requests.size() - 1];
    if (step.After == Then::Crash)
      return crash();
    if (step.After == Then::CrashBehindListener)
      return cutAll();
    asio::error_code ec;
    if (EchoesId)
      step.Bytes = withId(std::move(step.Bytes), Requests.back());
    asio::write(it.Socket, asio::buffer(step.Bytes), ec);
    if (step.After == Then::Reset)
      it.Socket.set_option(asio::socket_base::linger(true, 0), ec);
    if (step.After != Then::Keep)
      it.Socket.close(ec);
  }

  /// Adds the id of the request to an answer's head that has none.
  static std::string withId(std::string bytes, const Request &request) {
    const auto *id = findField(request.Head.Fields, "Id");
    auto lineEnd = bytes.find("\r\n");
    auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
    bool isAnswer = bytes.starts_with("HTTP/1.1 ") && id;
    if (!isAnswer || head.find("\r\nId: ") != std::string::npos)
      return bytes;
    return bytes.insert(lineEnd, "\r\nId: " + *id);
  }

  asio::io_context &Context;
  asio::ip::tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<Connection>> Open;
};

} // namespace hemlockglade::test
