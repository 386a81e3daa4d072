#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <deque>

namespace hemlockglade::test {

/// An endpoint's reaction to one request: the bytes of its answer, and whether
/// it then closes the connection.
struct ScriptedAnswer {
  std::string Bytes;
  bool Close = false;
};

/// The body of an engine's whole completion.
inline const std::string WholeBody =
    R"({"choices":[{"text":"answer","finish_reason":"stop"}]})";

/// Returns a whole HTTP answer. `fields` are header lines that end in CRLF.
inline ScriptedAnswer answerOf(int status, const std::string &body,
                               const std::string &fields = "") {
  return {"HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body};
}

/// An HTTP endpoint that answers with scripted bytes. `OnRequest` is called for
/// each request that has arrived whole and returns the answer.
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
  /// Number of connections that the peer has closed.
  std::size_t Closed = 0;
  std::function<ScriptedAnswer(const std::string &request)> OnRequest =
      [this](auto &) {
        if (Answers.empty())
          return answerOf(200, WholeBody);
        auto answer = std::move(Answers.front());
        Answers.pop_front();
        return answer;
      };
  /// Answers to the next requests, unless `OnRequest` is replaced; a whole
  /// completion once they are used up.
  std::deque<ScriptedAnswer> Answers;

  /// Returns the number of requests whose first line contains the text.
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

  /// Returns the connection of the last whole request.
  SessionPtr last() const { return Last; }
  /// Sends further bytes on a connection, by default on that of last().
  void send(ScriptedAnswer answer, const SessionPtr &session) {
    write(session, std::move(answer));
  }
  void send(ScriptedAnswer answer) { write(Last, std::move(answer)); }

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
          handleRequest(session);
          if (session->Socket.is_open())
            read(session);
        });
  }
  void handleRequest(const SessionPtr &session) {
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
  void write(const SessionPtr &session, ScriptedAnswer answer) {
    auto sent = std::make_shared<ScriptedAnswer>(std::move(answer));
    asio::async_write(session->Socket, asio::buffer(sent->Bytes),
                      [sent, session](asio::error_code, std::size_t) {
                        asio::error_code ec;
                        if (sent->Close)
                          session->Socket.close(ec);
                      });
  }

  asio::ip::tcp::acceptor Server;
  std::vector<SessionPtr> Sessions;
  SessionPtr Last;
};

} // namespace hemlockglade::test
