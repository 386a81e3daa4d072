#include "ConfigLink.h"

#include "PeerAsk.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

using OnAnswer = std::function<void(std::optional<ConfigAnswer>)>;

} // namespace

ConfigLink::ConfigLink(PlatformClient &platform, const ConfigSettings &settings,
                       ConfigLinkHooks hooks)
    : Hooks(std::move(hooks)), Keeper(std::make_shared<ConfigReplicator>(
                                   settings, keeperHooks(platform))) {}

ConfigHooks ConfigLink::keeperHooks(PlatformClient &platform) {
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
  hooks.DropObject = [&platform](const std::string &name) {
    platform.dropObject(name);
  };
  hooks.AnyPeer = Hooks.AnyPeer;
  hooks.AskPeer = [this](const std::string &address, const ConfigFetch &fetch,
                         OnAnswer done) {
    if (!Net)
      return done(std::nullopt);
    askPeer<ConfigAnswer>(*Net, address, peer_path::Config, fetch,
                          std::move(done));
  };
  hooks.OnInForce = [this](const std::shared_ptr<const CatalogView> &view) {
    LOG(INFO) << "config revision=" << view->number() << " in-force";
    Hooks.OnInForce(*view);
  };
  return hooks;
}

void ConfigLink::serve(const std::shared_ptr<PeerStream> &stream) {
  answerPeer<ConfigFetch, ConfigAnswer>(
      stream, [keeper = Keeper](const ConfigFetch &fetch, auto reply) {
        reply(keeper->answer(fetch));
      });
}

void ConfigLink::round() { Keeper->round(); }

void ConfigLink::learn(Revision number, const std::string &address) {
  Keeper->learn(number, address);
}

void ConfigLink::propose(ConfigProposal proposal, ConfigCallback done) {
  Keeper->propose(std::move(proposal), std::move(done));
}

} // namespace hemlockglade
