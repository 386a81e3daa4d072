#include "ConfigLink.h"

#include "PeerRequest.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

using OnAnswer = std::function<void(std::optional<ConfigAnswer>)>;

} // namespace

ConfigLink::ConfigLink(PlatformClient &platform, const ConfigSettings &settings,
                       ConfigLinkHooks hooks)
    : Hooks(std::move(hooks)), Replicator(std::make_shared<ConfigReplicator>(
                                   settings, replicatorHooks(platform))) {}

ConfigHooks ConfigLink::replicatorHooks(PlatformClient &platform) {
  ConfigHooks hooks;
  hooks.Now = &TimerService::now;
  hooks.After = Hooks.After;
  hooks.Table = platform.table();
  hooks.PutObject = [&platform](const std::string &name, std::string data,
                                std::function<void(bool)> done) {
    platform.putObject(name, std::move(data), std::move(done));
  };
  hooks.GetObject =
      [&platform](const std::string &name,
                  std::function<void(std::optional<std::string>)> done) {
        platform.getObject(name, std::move(done));
      };
  hooks.RemoveObject = [&platform](const std::string &name) {
    platform.dropObject(name);
  };
  hooks.AnyPeer = Hooks.AnyPeer;
  hooks.FetchFromPeer = [this](const std::string &address,
                               const ConfigFetch &fetch, OnAnswer done) {
    if (!Net)
      return done(std::nullopt);
    requestPeer<ConfigAnswer>(*Net, address, peer_path::Config, fetch,
                              std::move(done));
  };
  hooks.OnInForce = [this](const std::shared_ptr<const CatalogView> &view) {
    LOG(INFO) << "config revision=" << view->number() << " in-force";
    Hooks.OnInForce(*view);
  };
  return hooks;
}

void ConfigLink::serve(const std::shared_ptr<PeerStream> &stream) {
  servePeer<ConfigFetch, ConfigAnswer>(
      stream, [replicator = Replicator](const ConfigFetch &fetch, auto reply) {
        reply(replicator->answer(fetch));
      });
}

void ConfigLink::round() { Replicator->round(); }

void ConfigLink::onPeerRevision(Revision number, const std::string &address) {
  Replicator->onPeerRevision(number, address);
}

void ConfigLink::propose(ConfigProposal proposal, ConfigCallback done) {
  Replicator->propose(std::move(proposal), std::move(done));
}

} // namespace hemlockglade
