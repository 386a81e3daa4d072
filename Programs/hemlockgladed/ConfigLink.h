#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// Callbacks through which ConfigLink reaches its node.
struct ConfigLinkHooks {
  /// Returns the peer address of a live node, not always the same one; nothing
  /// if there is no other.
  std::function<std::optional<std::string>()> AnyPeer;
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Called when a higher revision is in force.
  std::function<void(const CatalogView &)> OnInForce;
};

/// Connects the ConfigReplicator to the platform's table and objects and to the
/// other nodes.
class ConfigLink {
public:
  ConfigLink(PlatformClient &platform, const ConfigSettings &settings,
             ConfigLinkHooks hooks);

  /// Sets the network; without one nothing is fetched from other nodes.
  void attach(PeerNet &net) { Net = &net; }

  /// To be called about once a second.
  void round();
  /// Called when the node at that peer address has this revision in force.
  void onPeerRevision(Revision number, const std::string &address);
  /// Commits changes through the table; see ConfigReplicator.
  void propose(ConfigProposal proposal, ConfigCallback done);
  /// Serves another node's stream.
  void serve(const std::shared_ptr<PeerStream> &stream);

  /// The configuration in force.
  std::shared_ptr<const CatalogView> inForce() const {
    return Replicator->current();
  }
  /// Whether the newest revision known to this node is in force here.
  bool caughtUp() const { return Replicator->caughtUp(); }

private:
  ConfigHooks replicatorHooks(PlatformClient &platform);

  ConfigLinkHooks Hooks;
  PeerNet *Net = nullptr;
  std::shared_ptr<ConfigReplicator> Replicator;
};

} // namespace hemlockglade
