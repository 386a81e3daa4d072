#include "Hemlockglade/Transport/Peer/PeerNet.h"

#include <asio/dispatch.hpp>
#include <set>

namespace hemlockglade {

/// Links, by address of the peer; outlives the net while a link is closing.
struct PeerNet::Shared {
  std::mutex Mutex;
  std::map<std::string, std::shared_ptr<PeerLink>> Links;
  std::set<std::shared_ptr<PeerLink>> Accepted;
  bool Closed = false;
};

asio::ip::tcp::endpoint parseEndpoint(const std::string &address) {
  auto colon = address.rfind(':');
  if (colon == std::string::npos)
    throw asio::system_error(asio::error::invalid_argument, address);
  auto port = std::stoi(address.substr(colon + 1));
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(port)};
}

PeerNet::PeerNet(asio::io_context &context, const std::string &address,
                 std::uint16_t port, PeerLink::OnStream onStream)
    : Context(context),
      Acceptor(context, {asio::ip::make_address(address), port}),
      Accept(std::move(onStream)), Port(Acceptor.local_endpoint().port()),
      State(std::make_shared<Shared>()) {
  accept();
}

PeerNet::~PeerNet() { close(); }

void PeerNet::accept() {
  Acceptor.async_accept([this, state = State](asio::error_code ec,
                                              asio::ip::tcp::socket socket) {
    std::unique_lock lock(state->Mutex);
    if (ec || state->Closed)
      return;
    auto strand = asio::make_strand(Context);
    auto link = std::make_shared<PeerLink>(std::move(socket), strand, Accept);
    link->OnShut = [state, weak = std::weak_ptr(link)] {
      std::lock_guard guard(state->Mutex);
      state->Accepted.erase(weak.lock());
    };
    state->Accepted.insert(link);
    asio::dispatch(strand, [link] { link->start(); });
    lock.unlock();
    accept();
  });
}

std::shared_ptr<PeerLink> PeerNet::linkTo(const std::string &address) {
  std::lock_guard lock(State->Mutex);
  auto &link = State->Links[address];
  if (link)
    return link;
  auto strand = asio::make_strand(Context);
  link = std::make_shared<PeerLink>(asio::ip::tcp::socket(strand), strand,
                                    nullptr);
  link->OnShut = [state = State, address, weak = std::weak_ptr(link)] {
    std::lock_guard guard(state->Mutex);
    auto it = state->Links.find(address);
    if (it != state->Links.end() && it->second == weak.lock())
      state->Links.erase(it);
  };
  link->connect(parseEndpoint(address));
  return link;
}

std::shared_ptr<PeerStream> PeerNet::open(const std::string &address,
                                          std::string path, std::string message,
                                          PeerHooks hooks) {
  auto link = linkTo(address);
  auto stream = std::make_shared<PeerStream>(link, std::move(path));
  stream->OnMessage = std::move(hooks.OnMessage);
  stream->OnClosed = std::move(hooks.OnClosed);
  stream->send(std::move(message));
  link->open(stream);
  return stream;
}

void PeerNet::close() {
  std::vector<std::shared_ptr<PeerLink>> links;
  {
    std::lock_guard lock(State->Mutex);
    State->Closed = true;
    for (auto &[address, link] : State->Links)
      links.push_back(link);
    links.insert(links.end(), State->Accepted.begin(), State->Accepted.end());
  }
  asio::error_code ec;
  Acceptor.close(ec);
  for (auto &link : links)
    link->shut();
}

} // namespace hemlockglade
