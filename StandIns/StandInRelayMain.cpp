// TCP relay between two processes that cuts, delays and refuses connections on
// demand. Its HTTP port takes /control:
//
//   cut=1          break all connections now
//   cut_after=N    break each connection after N bytes in one direction; 0 off
//   delay_ms=N     delay the data that arrives from now on; 0 off
//   refuse=1       stop listening, so that connecting fails, and break all
//                  connections
//   heal=1         turn all faults off

#include "StandIns/StandIn.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <set>

DEFINE_string(name, "relay-1", "name in the history");
DEFINE_string(to, "", "numeric ip:port to forward connections to");
DEFINE_string(endpoint, "", "name of the endpoint behind the relay");

namespace {

using namespace hemlockglade;
using asio::ip::tcp;

/// Faults that apply to all connections.
struct RelayFaults {
  std::uint64_t CutAfter = 0;
  std::chrono::milliseconds Delay{0};
};

/// One relayed connection.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket near, const RelayFaults &faults,
             std::function<void()> cut)
      : Near(std::move(near)), Far(Near.get_executor()), Faults(faults),
        Cut(std::move(cut)) {}

  void start(const tcp::endpoint &to) {
    Far.async_connect(to, [self = shared_from_this()](asio::error_code ec) {
      if (ec)
        return self->close();
      asio::error_code ignored;
      self->Near.set_option(tcp::no_delay(true), ignored);
      self->Far.set_option(tcp::no_delay(true), ignored);
      self->read(self->Near, self->Far, self->Up);
      self->read(self->Far, self->Near, self->Down);
    });
  }

  /// Closes both sides with a TCP reset, as after a broken link.
  void close() {
    for (auto *socket : {&Near, &Far}) {
      asio::error_code ec;
      socket->set_option(asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
    }
  }

  bool open() const { return Near.is_open(); }

private:
  static constexpr std::size_t BufferBytes = 16UL * 1024;

  /// State of one direction.
  struct Flow {
    std::array<char, BufferBytes> Buf{};
    std::uint64_t Passed = 0;
  };

  void read(tcp::socket &from, tcp::socket &to, Flow &flow) {
    from.async_read_some(asio::buffer(flow.Buf),
                         [self = shared_from_this(), &from, &to,
                          &flow](asio::error_code ec, std::size_t n) {
                           if (ec)
                             return self->onEnd(ec, to);
                           self->delay(from, to, flow, n);
                         });
  }

  /// Forwards the end of one direction; an error closes both.
  void onEnd(asio::error_code ec, tcp::socket &to) {
    if (ec != asio::error::eof || ++Ends == 2)
      return close();
    asio::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void delay(tcp::socket &from, tcp::socket &to, Flow &flow, std::size_t n) {
    if (Faults.Delay.count() == 0)
      return forward(from, to, flow, n);
    auto timer =
        std::make_shared<asio::steady_timer>(Near.get_executor(), Faults.Delay);
    timer->async_wait(
        [self = shared_from_this(), timer, &from, &to, &flow,
         n](asio::error_code) { self->forward(from, to, flow, n); });
  }

  void forward(tcp::socket &from, tcp::socket &to, Flow &flow, std::size_t n) {
    bool last = Faults.CutAfter && flow.Passed + n >= Faults.CutAfter;
    if (last)
      n = std::min<std::size_t>(n, Faults.CutAfter -
                                       std::min(flow.Passed, Faults.CutAfter));
    flow.Passed += n;
    asio::async_write(to, asio::buffer(flow.Buf.data(), n),
                      [self = shared_from_this(), &from, &to, &flow,
                       last](asio::error_code ec, std::size_t) {
                        if (ec)
                          return self->close();
                        if (!last)
                          return self->read(from, to, flow);
                        self->Cut();
                        self->close();
                      });
  }

  tcp::socket Near;
  tcp::socket Far;
  const RelayFaults &Faults;
  std::function<void()> Cut;
  Flow Up;
  Flow Down;
  int Ends = 0;
};

class Relay {
public:
  explicit Relay(StandIn &host) : Host(host), Acceptor(host.context()) {
    auto colon = FLAGS_to.rfind(':');
    auto port = std::atoi(FLAGS_to.substr(colon + 1).c_str());
    To = {asio::ip::make_address(FLAGS_to.substr(0, colon)),
          static_cast<std::uint16_t>(port)};
    listen();
    Host.DataPort = Port;
  }

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    Faults.CutAfter = static_cast<std::uint64_t>(queryNumber(
        in, "cut_after", static_cast<std::int64_t>(Faults.CutAfter)));
    Faults.Delay = std::chrono::milliseconds(
        queryNumber(in, "delay_ms", Faults.Delay.count()));
    if (queryNumber(in, "cut", 0))
      cutAll();
    if (queryNumber(in, "refuse", 0))
      refuse();
    if (queryNumber(in, "heal", 0))
      heal();
    reply->sendWhole(200, {}, "ok\n");
  }

private:
  void listen() {
    if (Acceptor.is_open())
      return;
    tcp::endpoint at(asio::ip::make_address("127.0.0.1"), Port);
    Acceptor.open(at.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(at);
    Acceptor.listen();
    Port = Acceptor.local_endpoint().port();
    accept();
  }

  void accept() {
    Acceptor.async_accept([this](asio::error_code ec, tcp::socket near) {
      if (ec)
        return;
      std::erase_if(Connections, [](const auto &it) {
        auto connection = it.lock();
        return !connection || !connection->open();
      });
      auto connection = std::make_shared<Connection>(
          std::move(near), Faults, [this] { note("severed"); });
      Connections.push_back(connection);
      connection->start(To);
      accept();
    });
  }

  void cutAll() {
    note("severed");
    for (auto &it : std::exchange(Connections, {})) {
      if (auto connection = it.lock())
        connection->close();
    }
  }

  void refuse() {
    note("silent");
    asio::error_code ec;
    Acceptor.close(ec);
    cutAll();
  }

  void heal() {
    Faults = {};
    listen();
    note("answering");
  }

  void note(std::string_view event) {
    Host.record({{"event", event}, {"endpoint", FLAGS_endpoint}});
  }

  StandIn &Host;
  tcp::acceptor Acceptor;
  tcp::endpoint To;
  std::uint16_t Port = 0;
  RelayFaults Faults;
  std::vector<std::weak_ptr<Connection>> Connections;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Relay>(argc, argv); }
