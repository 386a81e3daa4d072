#include "Hemlockglade/Coordination/Membership/Membership.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

namespace {

bool isLiveRecord(const MemberRecord &record) {
  return record.State == MemberState::Alive ||
         record.State == MemberState::Suspect;
}

/// Whether the records of a message are passed on as rumours. Most nodes have
/// those of a full exchange already, so only those that came as rumours are.
bool mustPassOn(const MemberMessage &message) {
  bool syncAnswer =
      message.Kind == MemberMessageKind::Answer && !message.Hashes.empty();
  return !syncAnswer && message.Kind != MemberMessageKind::SyncPush;
}

} // namespace

Membership::Membership(const MembershipSettings &settings, MemberRecord self,
                       MembershipHooks hooks, std::uint64_t seed)
    : Settings(settings), Hooks(std::move(hooks)), Self(std::move(self)),
      Table(Settings, seed), Random(seed), BytesLeft(Settings.RoundBytes) {
  Rumours.add(MemberRumour + Self.Name);
}

MemberMessage Membership::compose(MemberMessageKind kind, const std::string &to,
                                  Revision inForce) const {
  MemberMessage message;
  message.Kind = kind;
  message.From = Self.Name;
  message.FromIncarnation = Self.Incarnation;
  message.InForce = inForce;
  if (const auto *member = Table.find(to)) {
    message.SeenIncarnation = member->Record.Incarnation;
    message.SeenState = member->Record.State;
  }
  return message;
}

void Membership::addRumours(MemberMessage &message) {
  std::size_t left = std::min(Settings.MaxRumourBytes, BytesLeft);
  BytesLeft -= left;
  auto fits = [&left](const auto &record) {
    auto size = wireSize(record);
    if (size > left)
      return false;
    left -= size;
    return true;
  };
  Rumours.take(Settings.RumourFactor * Table.logCount(),
               [&](const std::string &rumour) {
                 auto name = rumour.substr(1);
                 if (rumour.front() == CellRumour) {
                   const auto *cell = Table.cell(name);
                   if (cell && !fits(*cell))
                     return false;
                   if (cell)
                     message.Cells.push_back(*cell);
                   return true;
                 }
                 const auto *member = Table.find(name);
                 const auto *record = name == Self.Name ? &Self
                                      : member          ? &member->Record
                                                        : nullptr;
                 if (record && !fits(*record))
                   return false;
                 if (record)
                   message.Members.push_back(*record);
                 return true;
               });
  BytesLeft += left;
}

Membership::Send Membership::ping(const MemberTable::Member &to,
                                  Revision inForce, bool rumours) {
  const auto &record = to.Record;
  auto message = compose(MemberMessageKind::Ping, record.Name, inForce);
  if (rumours)
    addRumours(message);
  return {record.Name, record.PeerAddress, std::move(message)};
}

bool Membership::isLive(const std::string &name) const {
  const auto *member = Table.find(name);
  return member && isLiveRecord(member->Record);
}

void Membership::checkForPause(Instant now) {
  auto gap = now - LastRoundTime;
  // A node that was paused has received nothing meanwhile, so that time must
  // not count against the suspects.
  if (LastRoundTime != Instant{} && gap > 3 * Settings.Round)
    Table.postpone(gap);
  LastRoundTime = now;
}

void Membership::round() {
  auto inForce = Hooks.InForce();
  auto now = Hooks.Now();
  Effects effects;
  std::vector<Send> probes;
  std::vector<Send> gossips;
  {
    std::lock_guard lock(Mutex);
    checkForPause(now);
    ++Rounds;
    BytesLeft = Settings.RoundBytes;
    effects.Members = Table.expire(now);
    if (inForce != LastInForce)
      RevisionRoundsLeft = Settings.RevisionGossipRounds;
    LastInForce = inForce;
    probes = makeProbes(inForce);
    gossips = makeGossip(inForce);
  }
  callHooks(effects);
  for (auto &it : probes)
    probe(std::move(it));
  for (auto &it : gossips)
    gossip(std::move(it));
  syncIfDue();
}

std::vector<Membership::Send> Membership::makeProbes(Revision inForce) {
  std::vector<Send> out;
  if (const auto *next = nextToProbe())
    out.push_back(ping(*next, inForce, true));
  auto add = [&](std::size_t n, const auto &fits) {
    for (const auto *it : Table.choose(n, fits))
      out.push_back(ping(*it, inForce, true));
  };
  if (Rounds % Settings.CrossRegionInterval == 0)
    add(1, [this](const MemberTable::Member &it) {
      return isLiveRecord(it.Record) && it.Record.Region != Self.Region;
    });
  // A suspect can only refute a suspicion that it knows of. Each member pings
  // it with a probability of `SuspectPings` divided by the number of members.
  auto isPingedSuspect = [this](const MemberTable::Member &it) {
    return it.Record.State == MemberState::Suspect &&
           Random() % Table.liveCount() < Settings.SuspectPings;
  };
  add(Settings.SuspectPings, isPingedSuspect);
  if (Rounds % Settings.DeadProbeInterval == 0)
    add(1, [](const MemberTable::Member &it) {
      return it.Record.State == MemberState::Dead;
    });
  for (std::size_t it = 0; it < Settings.VerificationsPerRound; ++it) {
    if (Unverified.empty())
      break;
    if (const auto *member = Table.find(Unverified.front()))
      out.push_back(ping(*member, inForce, true));
    Unverified.pop_front();
  }
  return out;
}

const MemberTable::Member *Membership::nextToProbe() {
  if (ProbeOrder.empty()) {
    for (const auto &[name, it] : Table.members()) {
      if (isLiveRecord(it.Record) && it.Record.Region == Self.Region)
        ProbeOrder.push_back(name);
    }
    std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
  }
  while (!ProbeOrder.empty()) {
    auto name = std::move(ProbeOrder.back());
    ProbeOrder.pop_back();
    if (isLive(name))
      return Table.find(name);
  }
  return nullptr;
}

std::vector<Membership::Send> Membership::makeGossip(Revision inForce) {
  std::vector<Send> out;
  if (LastRoundTime < WatchUntil) {
    auto behind = [this](const MemberTable::Member &it) {
      return isLiveRecord(it.Record) && it.InForce < WatchedRevision;
    };
    for (const auto *it : Table.choose(Settings.RevisionPings, behind))
      out.push_back(ping(*it, inForce, false));
  }
  if (Rumours.empty() && RevisionRoundsLeft == 0)
    return out;
  if (RevisionRoundsLeft > 0)
    --RevisionRoundsLeft;
  bool anyRegion = false;
  for (std::size_t it = 0; it < Settings.GossipPerRound; ++it) {
    auto fits = [&](const MemberTable::Member &member) {
      return isLiveRecord(member.Record) &&
             (anyRegion || member.Record.Region == Self.Region);
    };
    for (const auto *member : Table.choose(1, fits))
      out.push_back(ping(*member, inForce, true));
    anyRegion = true;
  }
  return out;
}

void Membership::callHooks(const Effects &effects) {
  for (const auto &it : effects.Members) {
    if (Hooks.OnMember)
      Hooks.OnMember(it);
  }
  for (const auto &it : effects.Cells) {
    if (Hooks.OnCell)
      Hooks.OnCell(it);
  }
}

void Membership::addUnverified(const std::string &name) {
  bool queued =
      std::find(Unverified.begin(), Unverified.end(), name) != Unverified.end();
  if (!queued && Unverified.size() < Settings.MaxUnverified)
    Unverified.push_back(name);
}

void Membership::refuteIfWrong(std::uint64_t incarnation, MemberState state) {
  bool wrong = incarnation == Self.Incarnation && state != Self.State;
  if (incarnation < Self.Incarnation ||
      (incarnation == Self.Incarnation && !wrong))
    return;
  // A wrong state, or an incarnation that this node hasn't reached yet, which
  // an earlier process of it had: refute it with a higher incarnation.
  Self.Incarnation = incarnation + 1;
  Rumours.add(MemberRumour + Self.Name);
}

void Membership::mergeMembers(const MemberMessage &message, Effects &effects) {
  auto now = Hooks.Now();
  for (const auto &it : message.Members) {
    if (it.Name == Self.Name) {
      refuteIfWrong(it.Incarnation, it.State);
      continue;
    }
    const auto *old = Table.find(it.Name);
    bool wasDead = old && old->Record.State == MemberState::Dead;
    auto result = Table.merge(it, now);
    if (result == MemberTable::MergeResult::MustProbe)
      addUnverified(it.Name);
    if (result != MemberTable::MergeResult::Changed)
      continue;
    effects.Members.push_back(it);
    if (mustPassOn(message))
      Rumours.add(MemberRumour + it.Name);
    if (wasDead && isLiveRecord(it))
      RevivedMember = it.Name;
  }
}

void Membership::mergeCells(const MemberMessage &message, Effects &effects) {
  for (const auto &it : message.Cells) {
    if (Table.merge(it) != MemberTable::MergeResult::Changed)
      continue;
    effects.Cells.push_back(it);
    if (mustPassOn(message))
      Rumours.add(CellRumour + it.Cell);
  }
}

void Membership::mergeMessage(const MemberMessage &message) {
  Effects effects;
  {
    std::lock_guard lock(Mutex);
    mergeMembers(message, effects);
    mergeCells(message, effects);
    if (message.SeenIncarnation > 0)
      refuteIfWrong(message.SeenIncarnation, message.SeenState);
    bool known = message.SeenIncarnation >= Self.Incarnation;
    if (!known && !Rumours.contains(MemberRumour + Self.Name))
      Rumours.add(MemberRumour + Self.Name);
    Table.setInForce(message.From, message.InForce);
  }
  callHooks(effects);
  if (message.InForce > 0 && Hooks.OnRevision)
    Hooks.OnRevision(message.InForce, message.From);
}

void Membership::enter() { setLeaving(false); }

void Membership::leave() { setLeaving(true); }

void Membership::setLeaving(bool leaving) {
  {
    std::lock_guard lock(Mutex);
    if (Self.Leaving == leaving || Self.State == MemberState::Left)
      return;
    Self.Leaving = leaving;
    ++Self.Incarnation;
    Rumours.add(MemberRumour + Self.Name);
  }
  gossipNow(false);
}

void Membership::depart() {
  {
    std::lock_guard lock(Mutex);
    Self.Leaving = true;
    Self.State = MemberState::Left;
    ++Self.Incarnation;
    Rumours.add(MemberRumour + Self.Name);
  }
  gossipNow(false);
}

void Membership::gossipNow(bool rumours) {
  auto inForce = Hooks.InForce();
  std::vector<Send> sends;
  {
    std::lock_guard lock(Mutex);
    auto fits = [](const MemberTable::Member &it) {
      return isLiveRecord(it.Record);
    };
    for (const auto *it : Table.choose(Settings.ImmediateGossip, fits)) {
      auto send = ping(*it, inForce, rumours);
      if (!rumours)
        send.Message.Members.push_back(Self);
      sends.push_back(std::move(send));
    }
  }
  for (auto &it : sends)
    gossip(std::move(it));
}

void Membership::announceCell(const CellOwner &cell) {
  {
    std::lock_guard lock(Mutex);
    if (Table.merge(cell) != MemberTable::MergeResult::Changed)
      return;
    Rumours.add(CellRumour + cell.Cell);
    if (std::exchange(CellGossipScheduled, true))
      return;
  }
  // Requests wait for the cell's owner, so the next round is too late. Changes
  // within the delay go out in one message.
  Hooks.After(Settings.CellGossipDelay, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self)
      return;
    {
      std::lock_guard lock(self->Mutex);
      self->CellGossipScheduled = false;
    }
    self->gossipNow(true);
  });
}

void Membership::keepCells(
    const std::function<bool(const std::string &)> &keep) {
  std::lock_guard lock(Mutex);
  Table.keepCells(keep);
}

std::vector<MemberRecord> Membership::members() const {
  std::lock_guard lock(Mutex);
  std::vector<MemberRecord> out{Self};
  for (const auto &[name, it] : Table.members())
    out.push_back(it.Record);
  return out;
}

MemberRecord Membership::self() const {
  std::lock_guard lock(Mutex);
  return Self;
}

std::optional<MemberRecord> Membership::find(const std::string &name) const {
  std::lock_guard lock(Mutex);
  const auto *member = Table.find(name);
  return member ? std::optional(member->Record) : std::nullopt;
}

std::size_t Membership::liveCount() const {
  std::lock_guard lock(Mutex);
  return Table.liveCount();
}

std::optional<CellOwner> Membership::ownerOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  const auto *owner = Table.cell(cell);
  return owner ? std::optional(*owner) : std::nullopt;
}

std::optional<std::string> Membership::anyPeer() const {
  std::lock_guard lock(Mutex);
  std::vector<const MemberRecord *> live;
  for (const auto &[name, it] : Table.members()) {
    if (it.Record.State == MemberState::Alive)
      live.push_back(&it.Record);
  }
  if (live.empty())
    return std::nullopt;
  return live[Random() % live.size()]->PeerAddress;
}

void Membership::watchRevision(Revision revision, Instant until) {
  std::lock_guard lock(Mutex);
  WatchedRevision = std::max(WatchedRevision, revision);
  WatchUntil = std::max(WatchUntil, until);
}

std::vector<std::string> Membership::lagging(Revision revision) const {
  std::lock_guard lock(Mutex);
  std::vector<std::string> out;
  for (const auto &[name, it] : Table.members()) {
    if (isLiveRecord(it.Record) && it.InForce < revision)
      out.push_back(name);
  }
  return out;
}

} // namespace hemlockglade
