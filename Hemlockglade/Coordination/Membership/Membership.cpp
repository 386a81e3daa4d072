#include "Hemlockglade/Coordination/Membership/Membership.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

namespace {

bool lives(const MemberRecord &record) {
  return record.State == MemberState::Alive ||
         record.State == MemberState::Suspect;
}

/// What an exchange of everything brings is known to most already; only what
/// comes as a rumour is told on as one.
bool tellsOn(const MemberMessage &message) {
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
  std::size_t left = std::min(Settings.RumourBytes, BytesLeft);
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
  return member && lives(member->Record);
}

void Membership::onPause(Instant now) {
  auto gap = now - LastRound;
  // A node that was stopped for a while knows nothing of the others: they
  // aren't to be judged by the time it missed.
  if (LastRound != Instant{} && gap > 3 * Settings.Round)
    Table.postpone(gap);
  LastRound = now;
}

void Membership::round() {
  auto inForce = Hooks.InForce();
  auto now = Hooks.Now();
  Effects effects;
  std::vector<Send> probes;
  std::vector<Send> gossips;
  {
    std::lock_guard lock(Mutex);
    onPause(now);
    ++Rounds;
    BytesLeft = Settings.RoundBytes;
    effects.Members = Table.expire(now);
    if (inForce != LastInForce)
      HeadRounds = Settings.HeadRounds;
    LastInForce = inForce;
    probes = probesOfRound(inForce);
    gossips = gossipOfRound(inForce);
  }
  tell(effects);
  for (auto &it : probes)
    probe(std::move(it));
  for (auto &it : gossips)
    gossip(std::move(it));
  syncOfRound();
}

std::vector<Membership::Send> Membership::probesOfRound(Revision inForce) {
  std::vector<Send> out;
  if (const auto *next = nextInOrder())
    out.push_back(ping(*next, inForce, true));
  auto add = [&](std::size_t n, const auto &fits) {
    for (const auto *it : Table.choose(n, fits))
      out.push_back(ping(*it, inForce, true));
  };
  if (Rounds % Settings.CrossRegionEvery == 0)
    add(1, [this](const MemberTable::Member &it) {
      return lives(it.Record) && it.Record.Region != Self.Region;
    });
  // A suspect has to hear of it to refute it; a few of all members tell it.
  auto tellsSuspect = [this](const MemberTable::Member &it) {
    return it.Record.State == MemberState::Suspect &&
           Random() % Table.liveCount() < Settings.SuspectPings;
  };
  add(Settings.SuspectPings, tellsSuspect);
  if (Rounds % Settings.DeadEvery == 0)
    add(1, [](const MemberTable::Member &it) {
      return it.Record.State == MemberState::Dead;
    });
  for (std::size_t it = 0; it < Settings.VerifyPerRound; ++it) {
    if (Doubtful.empty())
      break;
    if (const auto *member = Table.find(Doubtful.front()))
      out.push_back(ping(*member, inForce, true));
    Doubtful.pop_front();
  }
  return out;
}

const MemberTable::Member *Membership::nextInOrder() {
  if (Order.empty()) {
    for (const auto &[name, it] : Table.members()) {
      if (lives(it.Record) && it.Record.Region == Self.Region)
        Order.push_back(name);
    }
    std::shuffle(Order.begin(), Order.end(), Random);
  }
  while (!Order.empty()) {
    auto name = std::move(Order.back());
    Order.pop_back();
    if (isLive(name))
      return Table.find(name);
  }
  return nullptr;
}

std::vector<Membership::Send> Membership::gossipOfRound(Revision inForce) {
  std::vector<Send> out;
  if (LastRound < WatchUntil) {
    auto behind = [this](const MemberTable::Member &it) {
      return lives(it.Record) && it.InForce < Watched;
    };
    for (const auto *it : Table.choose(Settings.RevisionAsks, behind))
      out.push_back(ping(*it, inForce, false));
  }
  if (Rumours.empty() && HeadRounds == 0)
    return out;
  if (HeadRounds > 0)
    --HeadRounds;
  bool anyRegion = false;
  for (std::size_t it = 0; it < Settings.GossipPerRound; ++it) {
    auto fits = [&](const MemberTable::Member &member) {
      return lives(member.Record) &&
             (anyRegion || member.Record.Region == Self.Region);
    };
    for (const auto *member : Table.choose(1, fits))
      out.push_back(ping(*member, inForce, true));
    anyRegion = true;
  }
  return out;
}

void Membership::tell(const Effects &effects) {
  for (const auto &it : effects.Members) {
    if (Hooks.OnMember)
      Hooks.OnMember(it);
  }
  for (const auto &it : effects.Cells) {
    if (Hooks.OnCell)
      Hooks.OnCell(it);
  }
}

void Membership::doubt(const std::string &name) {
  bool waits =
      std::find(Doubtful.begin(), Doubtful.end(), name) != Doubtful.end();
  if (!waits && Doubtful.size() < Settings.MaxDoubtful)
    Doubtful.push_back(name);
}

void Membership::takeSelf(std::uint64_t incarnation, MemberState state) {
  bool wrong = incarnation == Self.Incarnation && state != Self.State;
  if (incarnation < Self.Incarnation ||
      (incarnation == Self.Incarnation && !wrong))
    return;
  // Said of this node and not true, or of an earlier life of it: refute it.
  Self.Incarnation = incarnation + 1;
  Rumours.add(MemberRumour + Self.Name);
}

void Membership::takeMembers(const MemberMessage &message, Effects &effects) {
  auto now = Hooks.Now();
  for (const auto &it : message.Members) {
    if (it.Name == Self.Name) {
      takeSelf(it.Incarnation, it.State);
      continue;
    }
    const auto *old = Table.find(it.Name);
    bool wasDead = old && old->Record.State == MemberState::Dead;
    auto news = Table.merge(it, now);
    if (news == MemberTable::News::Doubtful)
      doubt(it.Name);
    if (news != MemberTable::News::Changed)
      continue;
    effects.Members.push_back(it);
    if (tellsOn(message))
      Rumours.add(MemberRumour + it.Name);
    if (wasDead && lives(it))
      Returned = it.Name;
  }
}

void Membership::takeCells(const MemberMessage &message, Effects &effects) {
  for (const auto &it : message.Cells) {
    if (Table.merge(it) != MemberTable::News::Changed)
      continue;
    effects.Cells.push_back(it);
    if (tellsOn(message))
      Rumours.add(CellRumour + it.Cell);
  }
}

void Membership::take(const MemberMessage &message) {
  Effects effects;
  {
    std::lock_guard lock(Mutex);
    takeMembers(message, effects);
    takeCells(message, effects);
    if (message.SeenIncarnation > 0)
      takeSelf(message.SeenIncarnation, message.SeenState);
    bool known = message.SeenIncarnation >= Self.Incarnation;
    if (!known && !Rumours.contains(MemberRumour + Self.Name))
      Rumours.add(MemberRumour + Self.Name);
    Table.setInForce(message.From, message.InForce);
  }
  tell(effects);
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
    auto fits = [](const MemberTable::Member &it) { return lives(it.Record); };
    for (const auto *it : Table.choose(Settings.LeaveGossip, fits)) {
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
    if (Table.merge(cell) != MemberTable::News::Changed)
      return;
    Rumours.add(CellRumour + cell.Cell);
    if (std::exchange(GossipDue, true))
      return;
  }
  // Requests wait for the cell, so the next round is too late. All cells that
  // change hands together are told together.
  Hooks.After(Settings.CellGossipDelay, [weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self)
      return;
    {
      std::lock_guard lock(self->Mutex);
      self->GossipDue = false;
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
  Watched = std::max(Watched, revision);
  WatchUntil = std::max(WatchUntil, until);
}

std::vector<std::string> Membership::lagging(Revision revision) const {
  std::lock_guard lock(Mutex);
  std::vector<std::string> out;
  for (const auto &[name, it] : Table.members()) {
    if (lives(it.Record) && it.InForce < revision)
      out.push_back(name);
  }
  return out;
}

} // namespace hemlockglade
