#include "ConfigLink.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

using OnAnswer = std::function<void(std::optional<ConfigAnswer>)>;

} // namespace

ConfigLink::ConfigLink(std::string self, PlatformClient &platform,
                       const ConfigSettings &settings, ConfigLinkHooks hooks)
    : Self(std::move(self)), Hooks(std::move(hooks)),
      Keeper(std::make_shared<ConfigKeeper>(settings, keeperHooks(platform))) {}

ConfigHooks ConfigLink::keeperHooks(PlatformClient &platform) {
  ConfigHooks hooks;
  hooks.Now = &TimerService::now;
  hooks.After = Hooks.After;
  hooks.Table = platform.table();
  hooks.PutObject = [&platform](std::string name, std::string data,
                                std::function<void(bool)> done) {
    platform.putObject(name, std::move(data), std::move(done));
  };
  hooks.GetObject =
      [&platform](std::string name,
                  std::function<void(std::optional<std::string>)> done) {
        platform.getObject(name, std::move(done));
      };
  hooks.DropObject = [&platform](std::string name) {
    platform.dropObject(name);
  };
  hooks.AnyPeer = [this] { return anyPeer(); };
  hooks.AskPeer = [this](std::string peer, ConfigFetch fetch, OnAnswer done) {
    askPeer(peer, fetch, std::move(done));
  };
  hooks.OnInForce = [this](std::shared_ptr<const CatalogView> view) {
    LOG(INFO) << "config revision=" << view->number() << " in-force";
    Hooks.OnInForce(*view);
  };
  return hooks;
}

std::optional<std::string> ConfigLink::anyPeer() {
  auto nodes = Hooks.Nodes();
  std::erase_if(nodes,
                [this](const NodeRecord &node) { return node.Name == Self; });
  if (nodes.empty())
    return std::nullopt;
  return nodes[NextPeer++ % nodes.size()].Name;
}

void ConfigLink::askPeer(const std::string &peer, const ConfigFetch &fetch,
                         OnAnswer done) {
  std::string address;
  for (const auto &node : Hooks.Nodes()) {
    if (node.Name == peer)
      address = node.PeerAddress;
  }
  if (address.empty() || !Net)
    return done(std::nullopt);
  auto shared = std::make_shared<OnAnswer>(std::move(done));
  PeerHooks hooks;
  hooks.OnMessage = [shared](std::string_view message) {
    auto answer = unpack<ConfigAnswer>(message);
    if (auto call = std::exchange(*shared, nullptr))
      call(answer ? std::optional(std::move(*answer)) : std::nullopt);
  };
  hooks.OnClosed = [shared](bool) {
    if (auto call = std::exchange(*shared, nullptr))
      call(std::nullopt);
  };
  Net->open(address, std::string(peer_path::Config), pack(fetch),
            std::move(hooks))
      ->close();
}

void ConfigLink::serve(const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto open = weak.lock();
    auto fetch = unpack<ConfigFetch>(message);
    if (!open || !fetch)
      return;
    open->send(pack(Keeper->answer(*fetch)));
    open->close();
  };
}

void ConfigLink::round() { Keeper->round(); }

void ConfigLink::learn(Revision number, const std::string &node) {
  Keeper->learn(number, node);
}

void ConfigLink::propose(ConfigProposal proposal, ConfigCallback done) {
  Keeper->propose(std::move(proposal), std::move(done));
}

} // namespace hemlockglade
