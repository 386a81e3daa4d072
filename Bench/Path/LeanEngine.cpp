#include "LeanEngine.h"

#include "Hemlockglade/Transport/Transport.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace hemlockglade::bench {

namespace {

constexpr std::chrono::milliseconds TickInterval{1};
constexpr std::size_t TickUs = 1000;

std::string wholeAnswer(const std::string &body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

} // namespace

/// One connection and the answer that is streamed on it.
class LeanEngine::Session : public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket socket, LeanEngine &engine)
      : Socket(std::move(socket)), Engine(engine) {
    Socket.set_option(asio::ip::tcp::no_delay(true));
    Socket.non_blocking(true);
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [self = shared_from_this()](asio::error_code ec, std::size_t n) {
          if (ec)
            return self->close();
          self->Incoming.append(self->Buffer.data(), n);
          self->serve();
          self->read();
        });
  }

  /// Sends the next event; returns false if the answer has ended.
  bool step() {
    if (Closed)
      return false;
    if (Next == Tokens) {
      end();
      send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
      return false;
    }
    auto now = std::chrono::steady_clock::now().time_since_epoch().count();
    send(chunk("data: {\"id\":\"cmpl\",\"object\":\"text_completion\","
               "\"created\":1764700000,\"model\":\"" +
               Model + "\",\"choices\":[{\"index\":0,\"text\":\"word" +
               std::to_string(Next++) + " \",\"finish_reason\":null}],\"t\":" +
               std::to_string(now) + "}\n\n"));
    return true;
  }

  std::size_t interval() const { return Interval; }

private:
  void end() {
    auto it = Engine.Resident.find(Model);
    if (std::exchange(Streaming, false) && it != Engine.Resident.end())
      --it->second;
  }

  void close() {
    end();
    Closed = true;
    asio::error_code ec;
    Socket.close(ec);
  }

  void serve() {
    auto end = Incoming.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    std::size_t length = 0;
    auto field = Incoming.find("Content-Length: ");
    if (field < end)
      length = std::strtoul(Incoming.c_str() + field + 16, nullptr, 10);
    if (Incoming.size() < end + 4 + length)
      return;
    auto body = Incoming.substr(end + 4, length);
    auto line = Incoming.substr(0, Incoming.find('\r'));
    Incoming.clear();
    if (line.starts_with("GET /load")) {
      EngineReport report;
      report.Incarnation = "lean";
      for (const auto &[adapter, running] : Engine.Resident) {
        report.Resident.emplace_back(adapter, running);
        report.Running += running;
      }
      return send(wholeAnswer(engine_format::reportBody(report)));
    }
    if (line.find("lora_adapter") != std::string::npos) {
      auto adapter = engine_format::readOrder(body).value_or("");
      if (line.find("unload") != std::string::npos)
        Engine.Resident.erase(adapter);
      else
        Engine.Resident.try_emplace(adapter);
      return send(wholeAnswer("{}"));
    }
    begin(body);
  }

  void begin(const std::string &body) {
    auto node = nlohmann::json::parse(body);
    Model = node.value("model", "");
    Tokens = node.value("max_tokens", std::size_t{16});
    Interval = node.value("interval_us", std::size_t{TickUs}) / TickUs;
    Interval = std::clamp<std::size_t>(Interval, 1, WheelSlots - 1);
    Next = 0;
    ++Engine.Resident[Model];
    Streaming = true;
    send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n");
    if (step())
      Engine.schedule(shared_from_this(), Interval);
  }

  void send(const std::string &data) {
    if (!Outgoing.empty()) {
      Outgoing += data;
      return;
    }
    asio::error_code ec;
    auto n = Socket.send(asio::buffer(data), 0, ec);
    if (ec && ec != asio::error::would_block)
      return close();
    Outgoing = data.substr(ec ? 0 : n);
    flush();
  }

  void flush() {
    if (Outgoing.empty() || Closed)
      return;
    Socket.async_wait(asio::ip::tcp::socket::wait_write,
                      [self = shared_from_this()](asio::error_code ec) {
                        if (ec)
                          return self->close();
                        self->send(std::exchange(self->Outgoing, {}));
                      });
  }

  asio::ip::tcp::socket Socket;
  LeanEngine &Engine;
  std::array<char, 4096> Buffer;
  std::string Incoming;
  std::string Outgoing;
  std::string Model;
  std::size_t Next = 0;
  std::size_t Tokens = 0;
  std::size_t Interval = 1;
  bool Closed = false;
  bool Streaming = false;
};

LeanEngine::LeanEngine(asio::io_context &context)
    : Context(context),
      Acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
      Timer(context, TickInterval), Wheel(WheelSlots) {
  accept();
  tick();
}

void LeanEngine::accept() {
  Acceptor.async_accept(
      [this](asio::error_code ec, asio::ip::tcp::socket socket) {
        if (ec)
          return;
        std::make_shared<Session>(std::move(socket), *this)->read();
        accept();
      });
}

void LeanEngine::tick() {
  Timer.expires_at(Timer.expiry() + TickInterval);
  Timer.async_wait([this](asio::error_code ec) {
    if (ec)
      return;
    ++Tick;
    auto dueSessions = std::exchange(Wheel[Tick % WheelSlots], {});
    for (auto &session : dueSessions) {
      if (session->step())
        schedule(session, session->interval());
    }
    tick();
  });
}

void LeanEngine::schedule(std::shared_ptr<Session> session, std::size_t ticks) {
  Wheel[(Tick + ticks) % WheelSlots].push_back(std::move(session));
}

} // namespace hemlockglade::bench
