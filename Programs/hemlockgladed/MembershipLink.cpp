#include "MembershipLink.h"

#include "PeerRequest.h"

#include <easylogging++.h>

namespace hemlockglade {

namespace {

std::string_view stateName(const MemberRecord &member) {
  constexpr std::string_view Names[] = {"alive", "suspect", "dead", "left"};
  if (member.State == MemberState::Alive && member.Leaving)
    return "leaving";
  return Names[static_cast<std::size_t>(member.State)];
}

} // namespace

MembershipLink::MembershipLink(const MembershipSettings &settings,
                               MembershipLinkHooks hooks)
    : Settings(settings), Hooks(std::move(hooks)) {}

void MembershipLink::start(PeerNet &net, const MemberRecord &self,
                           std::uint64_t seed) {
  Net = &net;
  MembershipHooks hooks;
  hooks.Now = &TimerService::now;
  hooks.After = Hooks.After;
  hooks.Ask = [this](const std::string &address, const MemberMessage &message,
                     OnAnswer done) {
    requestPeer<MemberMessage>(*Net, address, peer_path::Member, message,
                               std::move(done));
  };
  hooks.Seeds = Hooks.Seeds;
  hooks.InForce = Hooks.InForce;
  hooks.OnRevision = [this](Revision number, const std::string &peer) {
    if (auto member = Members->find(peer))
      Hooks.OnRevision(number, member->PeerAddress);
  };
  hooks.OnMember = [](const MemberRecord &member) {
    LOG(INFO) << "member node=" << member.Name
              << " incarnation=" << member.Incarnation
              << " state=" << stateName(member);
  };
  hooks.OnCell = Hooks.OnCell;
  Members = std::make_shared<Membership>(Settings, self, hooks, seed);
}

void MembershipLink::round() {
  if (Members)
    Members->round();
}

void MembershipLink::serve(const std::shared_ptr<PeerStream> &stream) {
  if (!Members)
    return stream->close();
  servePeer<MemberMessage, MemberMessage>(
      stream, [members = Members](const MemberMessage &message, auto reply) {
        members->serve(message, [reply](std::optional<MemberMessage> answer) {
          if (answer)
            reply(*answer);
        });
      });
}

std::optional<std::string> MembershipLink::anyPeer() const {
  return Members ? Members->anyPeer() : std::nullopt;
}

} // namespace hemlockglade
