#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// What the membership's link needs of its node.
struct MembershipLinkHooks {
  std::function<void(Span, std::function<void()>)> After;
  /// Peer addresses that the lease rows name, for the start.
  std::function<std::vector<std::string>()> Seeds;
  /// Configuration in force here.
  std::function<Revision()> InForce;
  /// A node has that revision in force; its peer address.
  std::function<void(Revision, const std::string &address)> OnRevision;
  /// A cell's owner has changed.
  std::function<void(const CellOwner &)> OnCell;
};

/// Carries the membership's messages over the peer network.
class MembershipLink {
public:
  MembershipLink(const MembershipSettings &settings, MembershipLinkHooks hooks);

  /// Takes part from now on, as `self`.
  void start(PeerNet &net, const MemberRecord &self, std::uint64_t seed);
  /// To be called once a round.
  void round();
  /// Serves another node's stream.
  void serve(const std::shared_ptr<PeerStream> &stream);

  /// Null before the start.
  Membership *operator->() const { return Members.get(); }
  /// A peer's address, another one now and then; nothing if alone.
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
