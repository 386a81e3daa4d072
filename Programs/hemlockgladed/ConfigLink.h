#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// What the configuration's link needs of its node.
struct ConfigLinkHooks {
  /// Nodes that live, this one included.
  std::function<std::vector<NodeRecord>()> Nodes;
  std::function<void(Span, std::function<void()>)> After;
  /// A higher revision is in force.
  std::function<void(const CatalogView &)> OnInForce;
};

/// Connects the configuration's keeper to the platform and to other nodes.
class ConfigLink {
public:
  /// `self` is this node's name.
  ConfigLink(std::string self, PlatformClient &platform,
             const ConfigSettings &settings, ConfigLinkHooks hooks);

  /// Gives the network, once there is one.
  void attach(PeerNet &net) { Net = &net; }

  /// To be called about once a second.
  void round();
  /// Another node said that this revision exists.
  void learn(Revision number, const std::string &node);
  /// Takes changes to the table; see ConfigKeeper.
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
  std::optional<std::string> anyPeer();
  void askPeer(const std::string &peer, const ConfigFetch &fetch,
               std::function<void(std::optional<ConfigAnswer>)> done);

  std::string Self;
  ConfigLinkHooks Hooks;
  PeerNet *Net = nullptr;
  std::shared_ptr<ConfigKeeper> Keeper;
  std::atomic<std::size_t> NextPeer{0};
};

} // namespace hemlockglade
