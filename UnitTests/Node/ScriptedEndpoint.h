#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <deque>

namespace hemlockglade::test {

/// What an endpoint does with one request: the bytes that it answers, and
/// whether it then closes the connection.
struct Act {
  std::string Bytes;
  bool Close = false;
};

/// A whole HTTP answer.
/// The body of an engine's whole answer.
inline const std::string WholeBody =
    R"({"choices":[{"text":"answer","finish_reason":"stop"}]})";

inline Act answerOf(int status, const std::string &body,
                    const std::string &fields = "") {
  return {"HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body};
}

/// An endpoint that does what a script says, byte for byte. Each request that
/// has arrived whole is asked of `OnRequest`.
class ScriptedEndpoint {
public:
  explicit ScriptedEndpoint(asio::io_context &context)
      : Server(context, Loopback::localhost(0)) {
    accept();
  }
  ~ScriptedEndpoint() {
    for (auto &session : Sessions)
      session->Socket.close();
  }
  std::string address() const {
    return Loopback::address(Server.local_endpoint().port());
  }

  /// Requests that arrived whole, head and body.
  std::vector<std::string> Requests;
  /// Connections that the other side has closed.
  std::size_t Closed = 0;
  std::function<Act(const std::string &request)> OnRequest = [this](auto &) {
    if (Acts.empty())
      return answerOf(200, WholeBody);
    auto act = std::move(Acts.front());
    Acts.pop_front();
    return act;
  };
  /// What is done with the next requests, if `OnRequest` is left as it is.
  std::deque<Act> Acts;

  /// Requests whose first line holds the text.
  std::size_t count(std::string_view text) const {
    return static_cast<std::size_t>(
        std::count_if(Requests.begin(), Requests.end(), [&](const auto &it) {
          return it.substr(0, it.find('\r')).find(text) != std::string::npos;
        }));
  }
  struct Session {
    explicit Session(asio::ip::tcp::socket socket)
        : Socket(std::move(socket)) {}
    asio::ip::tcp::socket Socket;
    std::array<char, 65536> Buffer;
    std::string Text;
  };
  using SessionPtr = std::shared_ptr<Session>;

  /// The connection that asked last.
  SessionPtr last() const { return Last; }
  /// Sends more on a connection.
  void send(Act act, const SessionPtr &session) {
    write(session, std::move(act));
  }
  void send(Act act) { write(Last, std::move(act)); }

private:
  void accept() {
    Server.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket socket) {
          if (ec)
            return;
          Sessions.push_back(std::make_shared<Session>(std::move(socket)));
          read(Sessions.back());
          accept();
        });
  }
  void read(const SessionPtr &session) {
    session->Socket.async_read_some(
        asio::buffer(session->Buffer),
        [this, session](asio::error_code ec, std::size_t n) {
          if (ec == asio::error::operation_aborted)
            return;
          if (ec) {
            ++Closed;
            return;
          }
          session->Text.append(session->Buffer.data(), n);
          take(session);
          if (session->Socket.is_open())
            read(session);
        });
  }
  void take(const SessionPtr &session) {
    auto &text = session->Text;
    auto head = text.find("\r\n\r\n");
    if (head == std::string::npos)
      return;
    auto size = head + 4;
    constexpr std::string_view Length = "Content-Length: ";
    auto at = text.find(Length);
    if (at < head)
      size += std::stoul(text.substr(at + Length.size()));
    if (text.size() < size)
      return;
    Requests.push_back(text.substr(0, size));
    text.erase(0, size);
    Last = session;
    write(session, OnRequest(Requests.back()));
  }
  void write(const SessionPtr &session, Act act) {
    auto held = std::make_shared<Act>(std::move(act));
    asio::async_write(session->Socket, asio::buffer(held->Bytes),
                      [held, session](asio::error_code, std::size_t) {
                        asio::error_code ec;
                        if (held->Close)
                          session->Socket.close(ec);
                      });
  }

  asio::ip::tcp::acceptor Server;
  std::vector<SessionPtr> Sessions;
  SessionPtr Last;
};

} // namespace hemlockglade::test
