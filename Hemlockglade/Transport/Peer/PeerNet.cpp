#include "Hemlockglade/Transport/Peer/PeerNet.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <set>

namespace hemlockglade {

namespace {

/// Delay before accepting again after a failure, such as when the process has
/// no descriptors left.
constexpr auto AcceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

/// State that the handlers of a net share. It outlives the net while they run;
/// all members are guarded by the mutex.
struct PeerNet::Shared : std::enable_shared_from_this<Shared> {
  Shared(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
         PeerLink::OnStream onStream)
      : Context(context), Acceptor(context, endpoint), RetryTimer(context),
        OnAccepted(std::move(onStream)) {}

  /// Waits for the next connection; call under the mutex.
  void accept();
  void addAccepted(asio::ip::tcp::socket socket);
  std::shared_ptr<PeerLink> findOrConnect(const std::string &address);

  asio::io_context &Context;
  std::mutex Mutex;
  asio::ip::tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  PeerLink::OnStream OnAccepted;
  std::map<std::string, std::shared_ptr<PeerLink>> Links;
  std::set<std::shared_ptr<PeerLink>> AcceptedLinks;
  bool Closed = false;
};

asio::ip::tcp::endpoint parseEndpoint(const std::string &address) {
  auto colon = address.rfind(':');
  std::uint16_t port = 0;
  auto digits = colon == std::string::npos
                    ? std::string_view()
                    : std::string_view(address).substr(colon + 1);
  auto last = digits.data() + digits.size();
  auto [end, ec] = std::from_chars(digits.data(), last, port);
  if (digits.empty() || ec != std::errc() || end != last)
    throw asio::system_error(asio::error::invalid_argument, address);
  return {asio::ip::make_address(address.substr(0, colon)), port};
}

PeerNet::PeerNet(asio::io_context &context, const std::string &address,
                 std::uint16_t port, PeerLink::OnStream onStream)
    : State(std::make_shared<Shared>(
          context,
          asio::ip::tcp::endpoint(asio::ip::make_address(address), port),
          std::move(onStream))) {
  Port = State->Acceptor.local_endpoint().port();
  std::lock_guard lock(State->Mutex);
  State->accept();
}

PeerNet::~PeerNet() {
  try {
    close();
  } catch (const std::exception &) {
    // Memory has run out. The links end when their connections do.
  }
}

void PeerNet::Shared::accept() {
  Acceptor.async_accept([self = shared_from_this()](
                            asio::error_code ec, asio::ip::tcp::socket socket) {
    std::lock_guard lock(self->Mutex);
    if (self->Closed)
      return;
    if (!ec) {
      self->addAccepted(std::move(socket));
      return self->accept();
    }
    self->RetryTimer.expires_after(AcceptRetryDelay);
    self->RetryTimer.async_wait([self](asio::error_code) {
      std::lock_guard again(self->Mutex);
      if (!self->Closed)
        self->accept();
    });
  });
}

void PeerNet::Shared::addAccepted(asio::ip::tcp::socket socket) {
  auto strand = asio::make_strand(Context);
  auto link = std::make_shared<PeerLink>(std::move(socket), strand, OnAccepted);
  link->OnUnusable = [state = weak_from_this(), weak = std::weak_ptr(link)] {
    auto self = state.lock();
    if (!self)
      return;
    std::lock_guard guard(self->Mutex);
    self->AcceptedLinks.erase(weak.lock());
  };
  AcceptedLinks.insert(link);
  asio::post(strand, [link] { link->start(); });
}

std::shared_ptr<PeerLink>
PeerNet::Shared::findOrConnect(const std::string &address) {
  std::lock_guard lock(Mutex);
  if (Closed)
    return nullptr;
  auto it = Links.find(address);
  if (it != Links.end())
    return it->second;
  asio::ip::tcp::endpoint endpoint;
  try {
    endpoint = parseEndpoint(address);
  } catch (const asio::system_error &) {
    return nullptr;
  }
  auto strand = asio::make_strand(Context);
  auto link = std::make_shared<PeerLink>(asio::ip::tcp::socket(strand), strand,
                                         nullptr);
  link->OnUnusable = [state = weak_from_this(), address,
                      weak = std::weak_ptr(link)] {
    auto self = state.lock();
    if (!self)
      return;
    std::lock_guard guard(self->Mutex);
    auto it = self->Links.find(address);
    if (it != self->Links.end() && it->second == weak.lock())
      self->Links.erase(it);
  };
  Links.emplace(address, link);
  link->connect(endpoint);
  return link;
}

std::shared_ptr<PeerStream> PeerNet::open(const std::string &address,
                                          std::string path, std::string message,
                                          PeerHooks hooks) {
  auto link = State->findOrConnect(address);
  auto stream = std::make_shared<PeerStream>(link, std::move(path));
  if (!link) {
    // As for any other stream, OnClosed is not called from within the call.
    asio::post(State->Context, [stream, closed = std::move(hooks.OnClosed)] {
      if (closed)
        closed(false);
    });
    return stream;
  }
  stream->OnMessage = std::move(hooks.OnMessage);
  stream->OnClosed = std::move(hooks.OnClosed);
  stream->send(std::move(message));
  link->open(stream);
  return stream;
}

void PeerNet::drop(const std::string &address) {
  std::shared_ptr<PeerLink> link;
  {
    std::lock_guard lock(State->Mutex);
    auto it = State->Links.find(address);
    if (it == State->Links.end())
      return;
    link = it->second;
    State->Links.erase(it);
  }
  link->abort();
}

void PeerNet::close() {
  std::vector<std::shared_ptr<PeerLink>> links;
  {
    std::lock_guard lock(State->Mutex);
    State->Closed = true;
    for (auto &[address, link] : State->Links)
      links.push_back(link);
    links.insert(links.end(), State->AcceptedLinks.begin(),
                 State->AcceptedLinks.end());
    asio::error_code ec;
    State->Acceptor.close(ec);
    State->RetryTimer.cancel();
  }
  for (auto &link : links)
    link->abort();
}

} // namespace hemlockglade
