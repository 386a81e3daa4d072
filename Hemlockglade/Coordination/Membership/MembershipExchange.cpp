// The messages of Membership: probes, answers and full exchanges.

#include "Hemlockglade/Coordination/Membership/Membership.h"

#include <atomic>

namespace hemlockglade {

/// A probe that waits for its answer.
struct Membership::Probe {
  std::string Name;
  Instant StartTime{};
  std::atomic<bool> Answered{false};
};

void Membership::probe(Send send) {
  auto probe = std::make_shared<Probe>();
  probe->Name = send.Name;
  probe->StartTime = Hooks.Now();
  auto self = shared_from_this();
  Hooks.Ask(
      send.Address, std::move(send.Message),
      [self, probe](const auto &answer) { self->onAnswer(probe, answer); });
  Hooks.After(Settings.ProbeTimeout, [self, probe] {
    if (!probe->Answered)
      self->probeIndirectly(probe);
  });
}

void Membership::onAnswer(const std::shared_ptr<Probe> &probe,
                          const std::optional<MemberMessage> &answer) {
  // Another node may have the address by now.
  if (!answer || answer->From != probe->Name)
    return;
  probe->Answered = true;
  mergeMessage(*answer);
}

void Membership::probeIndirectly(const std::shared_ptr<Probe> &probe) {
  auto inForce = Hooks.InForce();
  std::vector<Send> sends;
  {
    std::lock_guard lock(Mutex);
    auto fits = [&](const MemberTable::Member &it) {
      return it.Record.State == MemberState::Alive &&
             it.Record.Name != probe->Name;
    };
    for (const auto *it : Table.choose(Settings.IndirectProbes, fits)) {
      auto send = ping(*it, inForce, false);
      send.Message.Kind = MemberMessageKind::PingRequest;
      send.Message.Target = probe->Name;
      sends.push_back(std::move(send));
    }
  }
  auto self = shared_from_this();
  for (auto &it : sends)
    Hooks.Ask(it.Address, std::move(it.Message),
              [self, probe](const auto &answer) {
                if (!answer)
                  return;
                probe->Answered = true;
                self->mergeMessage(*answer);
              });
  Hooks.After(2 * Settings.ProbeTimeout, [self, probe] {
    if (!probe->Answered)
      self->onProbeTimeout(probe);
  });
}

void Membership::onProbeTimeout(const std::shared_ptr<Probe> &probe) {
  Effects effects;
  {
    std::lock_guard lock(Mutex);
    auto now = Hooks.Now();
    // So long after the start, this node itself was paused, and the answer may
    // be waiting unread.
    bool paused = now - probe->StartTime > 6 * Settings.ProbeTimeout;
    if (!paused && Table.suspect(probe->Name, now)) {
      Rumours.add(MemberRumour + probe->Name);
      effects.Members.push_back(Table.find(probe->Name)->Record);
    }
  }
  callHooks(effects);
}

void Membership::gossip(Send send) {
  Hooks.Ask(send.Address, std::move(send.Message),
            [self = shared_from_this(), name = send.Name](const auto &answer) {
              if (answer && answer->From == name)
                self->mergeMessage(*answer);
            });
}

void Membership::serve(const MemberMessage &message, const Reply &reply) {
  mergeMessage(message);
  if (message.Kind == MemberMessageKind::PingRequest)
    return servePingRequest(message, reply);
  reply(answerTo(message));
}

MemberMessage Membership::answerTo(const MemberMessage &message) {
  auto inForce = Hooks.InForce();
  std::lock_guard lock(Mutex);
  auto answer = compose(MemberMessageKind::Answer, message.From, inForce);
  // A sender with an outdated record of this node gets the current one at once.
  if (message.SeenIncarnation != Self.Incarnation ||
      message.SeenState != Self.State)
    answer.Members.push_back(Self);
  if (message.Kind == MemberMessageKind::Sync) {
    addDifferent(message.Hashes, answer);
  } else {
    addRumours(answer);
  }
  return answer;
}

void Membership::addDifferent(const std::vector<std::uint64_t> &hashes,
                              MemberMessage &message) {
  // Too few bytes left in this round: the other node repeats its sync later.
  auto bytes = std::min(Settings.MaxSyncBytes, BytesLeft);
  if (bytes < Settings.MaxSyncBytes)
    return;
  if (message.Kind == MemberMessageKind::Answer)
    message.Hashes = Table.hashes(Self);
  message.More = Table.addDifferent(Self, hashes, bytes, message);
  BytesLeft -= std::min(BytesLeft, wireSize(message));
}

void Membership::servePingRequest(const MemberMessage &message,
                                  const Reply &reply) {
  auto inForce = Hooks.InForce();
  std::optional<Send> send;
  {
    std::lock_guard lock(Mutex);
    if (const auto *target = Table.find(message.Target))
      send = ping(*target, inForce, false);
  }
  if (!send)
    return reply(std::nullopt);
  Hooks.Ask(send->Address, std::move(send->Message),
            [self = shared_from_this(), message, reply](const auto &answer) {
              if (!answer || answer->From != message.Target)
                return reply(std::nullopt);
              self->mergeMessage(*answer);
              reply(self->answerTo(message));
            });
}

std::string Membership::chooseUnknownSeed() {
  auto seeds = Hooks.Seeds();
  std::lock_guard lock(Mutex);
  std::set<std::string> known{Self.PeerAddress};
  for (const auto &[name, it] : Table.members()) {
    if (isLive(name))
      known.insert(it.Record.PeerAddress);
  }
  std::erase_if(seeds, [&](const auto &it) { return known.contains(it); });
  return seeds.empty() ? std::string() : seeds[Random() % seeds.size()];
}

std::optional<Membership::Send> Membership::chooseSyncTarget() {
  std::lock_guard lock(Mutex);
  auto fits = [this](const MemberTable::Member &it) {
    bool chosen = RevivedMember.empty() || it.Record.Name == RevivedMember;
    return it.Record.State == MemberState::Alive && chosen;
  };
  auto chosen = Table.choose(1, fits);
  RevivedMember.clear();
  if (chosen.empty())
    return std::nullopt;
  const auto &record = chosen.front()->Record;
  return Send{record.Name, record.PeerAddress, {}};
}

void Membership::syncIfDue() {
  bool due = false;
  bool starting = false;
  bool alone = false;
  {
    std::lock_guard lock(Mutex);
    due = Rounds % Settings.SyncInterval == 0;
    starting = Rounds <= Settings.SeedRounds;
    alone = Table.liveCount() == 0;
    due = due || SyncRetryDue || !RevivedMember.empty();
    SyncRetryDue = false;
  }
  if (due) {
    if (auto target = chooseSyncTarget())
      sync(target->Name, target->Address, Settings.MaxSyncMessages);
  }
  if (!due && !starting && !alone)
    return;
  auto seed = chooseUnknownSeed();
  if (!seed.empty())
    sync({}, seed, Settings.MaxSyncMessages);
}

void Membership::sync(const std::string &name, const std::string &address,
                      std::uint32_t left) {
  auto inForce = Hooks.InForce();
  MemberMessage message;
  {
    std::lock_guard lock(Mutex);
    message = compose(MemberMessageKind::Sync, name, inForce);
    message.Hashes = Table.hashes(Self);
    message.Members.push_back(Self);
  }
  Hooks.Ask(address, std::move(message),
            [self = shared_from_this(), address, left](const auto &answer) {
              if (!answer)
                return;
              self->mergeMessage(*answer);
              self->onSynced(answer->From, address, left, *answer);
            });
}

void Membership::onSynced(const std::string &name, const std::string &address,
                          std::uint32_t left, const MemberMessage &answer) {
  auto inForce = Hooks.InForce();
  Send push{name, address, {}};
  {
    std::lock_guard lock(Mutex);
    // The other node had no bytes left in its round: sync again in the next
    // round, with a random member.
    SyncRetryDue = answer.Hashes.empty();
    push.Message = compose(MemberMessageKind::SyncPush, name, inForce);
    if (!answer.Hashes.empty())
      addDifferent(answer.Hashes, push.Message);
  }
  // While the other node has more to send, this node's records aren't pushed.
  bool hasRecords =
      !push.Message.Members.empty() || !push.Message.Cells.empty();
  if (!answer.More && hasRecords)
    gossip(std::move(push));
  if (!answer.More || left == 0)
    return;
  Hooks.After(Settings.SyncMessageDelay,
              [self = shared_from_this(), name, address, left] {
                self->sync(name, address, left - 1);
              });
}

} // namespace hemlockglade
