#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// What the configuration's link needs of its node.
struct ConfigLinkHooks {
  /// Peer address of a live node, another one now and then; nothing if alone.
  std::function<std::optional<std::string>()> AnyPeer;
  std::function<void(Span, std::function<void()>)> After;
  /// A higher revision is in force.
  std::function<void(const CatalogView &)> OnInForce;
};

/// Connects the configuration's keeper to the platform and to other nodes.
class ConfigLink {
public:
  ConfigLink(PlatformClient &platform, const ConfigSettings &settings,
             ConfigLinkHooks hooks);

  /// Gives the network, once there is one.
  void attach(PeerNet &net) { Net = &net; }

  /// To be called about once a second.
  void round();
  /// The node at that peer address has this revision in force.
  void learn(Revision number, const std::string &address);
  /// Takes changes to the table; see ConfigReplicator.
  void propose(ConfigProposal proposal, ConfigCallback done);
  /// Answers another node's stream.
  void serve(const std::shared_ptr<PeerStream> &stream);

  /// The configuration in force.
  std::shared_ptr<const CatalogView> inForce() const {
    return Keeper->current();
  }
  /// Whether all revisions that were heard of are in force here.
  bool caughtUp() const { return Keeper->caughtUp(); }

private:
  ConfigHooks keeperHooks(PlatformClient &platform);

  ConfigLinkHooks Hooks;
  PeerNet *Net = nullptr;
  std::shared_ptr<ConfigReplicator> Keeper;
};

} // namespace hemlockglade
