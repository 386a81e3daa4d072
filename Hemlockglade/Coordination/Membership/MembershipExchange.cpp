// The messages of Membership: probes, answers, and exchanges of everything.

#include "Hemlockglade/Coordination/Membership/Membership.h"

#include <atomic>

namespace hemlockglade {

/// A probe on its way.
struct Membership::Probe {
  std::string Name;
  Instant Began{};
  std::atomic<bool> Answered{false};
};

void Membership::probe(Send send) {
  auto probe = std::make_shared<Probe>();
  probe->Name = send.Name;
  probe->Began = Hooks.Now();
  auto self = shared_from_this();
  Hooks.Ask(
      send.Address, std::move(send.Message),
      [self, probe](const auto &answer) { self->onAnswer(probe, answer); });
  Hooks.After(Settings.ProbeTimeout, [self, probe] {
    if (!probe->Answered)
      self->askHelpers(probe);
  });
}

void Membership::onAnswer(const std::shared_ptr<Probe> &probe,
                          const std::optional<MemberMessage> &answer) {
  // Another node may have taken the address over.
  if (!answer || answer->From != probe->Name)
    return;
  probe->Answered = true;
  take(*answer);
}

void Membership::askHelpers(const std::shared_ptr<Probe> &probe) {
  auto inForce = Hooks.InForce();
  std::vector<Send> sends;
  {
    std::lock_guard lock(Mutex);
    auto fits = [&](const MemberTable::Member &it) {
      return it.Record.State == MemberState::Alive &&
             it.Record.Name != probe->Name;
    };
    for (const auto *it : Table.choose(Settings.Helpers, fits)) {
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
                self->take(*answer);
              });
  Hooks.After(2 * Settings.ProbeTimeout, [self, probe] {
    if (!probe->Answered)
      self->giveUp(probe);
  });
}

void Membership::giveUp(const std::shared_ptr<Probe> &probe) {
  Effects effects;
  {
    std::lock_guard lock(Mutex);
    auto now = Hooks.Now();
    // Late by far: this node itself was paused, and the answer may wait.
    bool paused = now - probe->Began > 6 * Settings.ProbeTimeout;
    if (!paused && Table.suspect(probe->Name, now)) {
      Rumours.add(MemberRumour + probe->Name);
      effects.Members.push_back(Table.find(probe->Name)->Record);
    }
  }
  tell(effects);
}

void Membership::gossip(Send send) {
  Hooks.Ask(send.Address, std::move(send.Message),
            [self = shared_from_this(), name = send.Name](const auto &answer) {
              if (answer && answer->From == name)
                self->take(*answer);
            });
}

void Membership::serve(const MemberMessage &message, const Reply &reply) {
  take(message);
  if (message.Kind == MemberMessageKind::PingRequest)
    return serveRequest(message, reply);
  reply(answerTo(message));
}

MemberMessage Membership::answerTo(const MemberMessage &message) {
  auto inForce = Hooks.InForce();
  std::lock_guard lock(Mutex);
  auto answer = compose(MemberMessageKind::Answer, message.From, inForce);
  // Who thinks wrongly of this node is told at once.
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
  // Too little left in this round: the other will come again.
  auto bytes = std::min(Settings.SyncBytes, BytesLeft);
  if (bytes < Settings.SyncBytes)
    return;
  if (message.Kind == MemberMessageKind::Answer)
    message.Hashes = Table.hashes(Self);
  message.More = Table.addDifferent(Self, hashes, bytes, message);
  BytesLeft -= std::min(BytesLeft, wireSize(message));
}

void Membership::serveRequest(const MemberMessage &message,
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
              self->take(*answer);
              reply(self->answerTo(message));
            });
}

std::string Membership::unknownSeed() {
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

std::optional<Membership::Send> Membership::syncTarget() {
  std::lock_guard lock(Mutex);
  auto fits = [this](const MemberTable::Member &it) {
    bool chosen = Returned.empty() || it.Record.Name == Returned;
    return it.Record.State == MemberState::Alive && chosen;
  };
  auto chosen = Table.choose(1, fits);
  Returned.clear();
  if (chosen.empty())
    return std::nullopt;
  const auto &record = chosen.front()->Record;
  return Send{record.Name, record.PeerAddress, {}};
}

void Membership::syncOfRound() {
  bool due = false;
  bool starting = false;
  bool alone = false;
  {
    std::lock_guard lock(Mutex);
    due = Rounds % Settings.SyncEvery == 0;
    starting = Rounds <= Settings.SeedRounds;
    alone = Table.liveCount() == 0;
    due = due || SyncAgain || !Returned.empty();
    SyncAgain = false;
  }
  if (due) {
    if (auto target = syncTarget())
      sync(target->Name, target->Address, Settings.SyncMessages);
  }
  if (!due && !starting && !alone)
    return;
  auto seed = unknownSeed();
  if (!seed.empty())
    sync({}, seed, Settings.SyncMessages);
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
              self->take(*answer);
              self->onSynced(answer->From, address, left, *answer);
            });
}

void Membership::onSynced(const std::string &name, const std::string &address,
                          std::uint32_t left, const MemberMessage &answer) {
  auto inForce = Hooks.InForce();
  Send push{name, address, {}};
  {
    std::lock_guard lock(Mutex);
    // The other had nothing left for this round: somebody else is asked.
    SyncAgain = answer.Hashes.empty();
    push.Message = compose(MemberMessageKind::SyncPush, name, inForce);
    if (!answer.Hashes.empty())
      addDifferent(answer.Hashes, push.Message);
  }
  // While there is more to come, what is known here is not yet worth telling.
  bool tells = !push.Message.Members.empty() || !push.Message.Cells.empty();
  if (!answer.More && tells)
    gossip(std::move(push));
  if (!answer.More || left == 0)
    return;
  Hooks.After(Settings.SyncPause,
              [self = shared_from_this(), name, address, left] {
                self->sync(name, address, left - 1);
              });
}

} // namespace hemlockglade
