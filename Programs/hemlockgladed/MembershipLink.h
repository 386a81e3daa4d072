#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// Callbacks through which MembershipLink reaches its node.
struct MembershipLinkHooks {
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
  /// Returns the peer addresses, of the lease rows and the settings, through
  /// which a starting node joins.
  std::function<std::vector<std::string>()> Seeds;
  /// Returns the revision in force here.
  std::function<Revision()> InForce;
  /// Called when the node at that peer address has the revision in force.
  std::function<void(Revision, const std::string &address)> OnRevision;
  /// Called when a cell's owner has changed.
  std::function<void(const CellOwner &)> OnCell;
};

/// Carries the membership's messages over the peer network.
class MembershipLink {
public:
  MembershipLink(const MembershipSettings &settings, MembershipLinkHooks hooks);

  /// Joins the membership as `self`. `seed` seeds its random choices.
  void start(PeerNet &net, const MemberRecord &self, std::uint64_t seed);
  /// To be called at the membership's round interval.
  void round();
  /// Serves another node's stream.
  void serve(const std::shared_ptr<PeerStream> &stream);

  /// Null before start().
  Membership *operator->() const { return Members.get(); }
  /// Returns the address of a peer, not always the same one; nothing if there
  /// is no other.
  std::optional<std::string> anyPeer() const;

private:
  using OnAnswer = std::function<void(std::optional<MemberMessage>)>;

  void ask(const std::string &address, const MemberMessage &message,
           OnAnswer done);

  const MembershipSettings Settings;
  const MembershipLinkHooks Hooks;
  PeerNet *Net = nullptr;
  std::shared_ptr<Membership> Members;
};

} // namespace hemlockglade
