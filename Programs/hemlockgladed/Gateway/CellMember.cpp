#include "Programs/hemlockgladed/Gateway/CellMember.h"

namespace hemlockglade {

namespace {

/// A stream to an owner that is silent for this long is opened anew.
constexpr auto OwnerSilence = std::chrono::milliseconds(1500);
/// Time between tries to reach an owner.
constexpr auto ReopenEvery = std::chrono::milliseconds(300);

} // namespace

CellMember::CellMember(Settings settings, Hooks hooks, ReplicaView &view,
                       PeerNet &net, PeerTraffic &traffic, EventLog &log)
    : Setup(std::move(settings)), Out(std::move(hooks)), View(view), Net(net),
      Traffic(traffic), Log(log), Desk(Setup.Placement) {
  Lease = std::make_shared<CellLease>(
      Setup.Cell, Setup.Lease, Out.Table, [] { return TimerService::now(); },
      [this](LeaseChange change, const CellLease &lease) {
        Log.write(LogClass::State, "lease",
                  {{"cell", lease.cell()},
                   {"change", leaseChangeName(change)},
                   {"holder", lease.row() ? lease.row()->Holder : ""},
                   {"fence", lease.fence()},
                   {"row_version", lease.version()},
                   {"remaining_ms", lease.remaining()}});
      });
  Lease->setNotes(
      [this] { return Out.Crashes->notes(); },
      [this](const std::string &notes) { Out.Crashes->onNotes(notes); });
}

void CellMember::tick() {
  bool follows = Out.Follows();
  bool waits = !Out.Self().Active;
  // Those in service look after the cells of other failure domains.
  if (!waits || Setup.Cell == Setup.FailureDomain || Lease->held()) {
    Lease->tick(
        Setup.TakeoverDelay + (waits ? Setup.StandbyTakeoverDelay : Span(0)),
        waits ? Setup.StandbyReadInterval + Setup.StandbySpread : Span(0));
  }
  if (Lease->held())
    own();
  else if (Owning)
    disown();
  if (!Owning && follows)
    follow();
  else if (!Owning && Owner)
    unfollow("stands by");
  auto now = TimerService::now();
  if (Urgent || now - BeatAt >= Setup.HeartbeatInterval)
    sendHeartbeat();
  if (Owning)
    broadcast();
}

void CellMember::leave() { Lease->release(); }

bool CellMember::isUpToDate() const {
  return Owning || TimerService::now() - OwnerHeardAt < Setup.MemberSilence;
}

const std::vector<DomainEntries> *CellMember::servingEntries() const {
  return isUpToDate() && (Owning || RostersTold) ? &Rosters : nullptr;
}

Span CellMember::silentFor() const {
  return Owning ? Span(0)
                : TimerService::now() - std::max(OwnerHeardAt, StartedAt);
}

bool CellMember::canOrder() const {
  return Owning ? Lease->mayOrder() : OwnerOrders && isUpToDate();
}

void CellMember::onVersion(const WeightsRef &weights, std::uint64_t version) {
  Desk.setVersion(weights, version);
}

void CellMember::onRegistryUpdate() {
  if (!Owning)
    return;
  NewsDue = true;
  planSoon();
}

void CellMember::onCrashUpdate() {
  if (!Owning) {
    Urgent = true;
    return;
  }
  NewsDue = true;
  planSoon();
}

void CellMember::takeCrashes(const std::vector<CrashNotice> &crashes,
                             std::uint64_t &told) {
  bool upToDate = told == Out.Crashes->revision();
  Out.Crashes->onPeerRecords(crashes);
  if (upToDate)
    told = Out.Crashes->revision();
}

std::vector<CrashNotice> CellMember::crashesFor(std::uint64_t &told) const {
  return Out.Crashes->since(std::exchange(told, Out.Crashes->revision()));
}

void CellMember::onDemand(const std::string &service, const WeightsRef &weights,
                          bool waiting) {
  auto &notice = Demand[{service, weights}];
  notice.Service = service;
  notice.Weights = weights.text();
  notice.Requests += waiting ? 0 : 1;
  if (waiting && !notice.Waiting)
    Urgent = true;
  notice.Waiting = notice.Waiting || waiting;
  if (Urgent)
    sendHeartbeat();
}

void CellMember::onCongested(const std::string &service,
                             const WeightsRef &weights) {
  auto &notice = Demand[{service, weights}];
  notice.Service = service;
  notice.Weights = weights.text();
  notice.Congested = true;
}

void CellMember::onSent(const std::string &replica, std::uint32_t tokens,
                        const WeightsRef &weights) {
  Sent.push_back({replica, tokens});
  Uses.push_back({replica, weights.text(), 1});
  flushSoon();
}

void CellMember::onDone(const std::string &replica, const WeightsRef &weights) {
  // An end is not urgent: it goes with the next beat or notice.
  Uses.push_back({replica, weights.text(), -1});
}

std::vector<UseNotice> CellMember::allUses() const {
  std::vector<UseNotice> out;
  for (const auto &[key, n] : View.ownUses(Setup.Cell))
    out.push_back({key.first, key.second.text(), static_cast<std::int32_t>(n)});
  return out;
}

void CellMember::onUses(Follower &from, const std::vector<UseNotice> &uses) {
  for (const auto &it : uses) {
    from.Uses[{it.Replica, it.Weights}] += it.Change;
    Desk.onUse(it.Replica, WeightsRef::parse(it.Weights), it.Change);
  }
}

void CellMember::dropUses(Follower &follower) {
  for (const auto &[key, n] : std::exchange(follower.Uses, {}))
    Desk.onUse(key.first, WeightsRef::parse(key.second), -n);
}

void CellMember::flushSoon() {
  if (std::exchange(FlushDue, true))
    return;
  Out.After(flushEvery(), [this, alive = Alive] {
    if (*alive)
      flush();
  });
}

void CellMember::flush() {
  FlushDue = false;
  if (Owning) {
    onUses(Followers[SelfFollower], std::exchange(Uses, {}));
    onSentNotices(SelfFollower, std::exchange(Sent, {}));
    return tellFollowers();
  }
  NodeHeartbeat brief;
  brief.Brief = true;
  brief.Sent = std::exchange(Sent, {});
  brief.Uses = std::exchange(Uses, {});
  sendToOwner(PeerMessage::NodeNotice, brief);
}

void CellMember::sendToOwner(PeerMessage kind, const NodeHeartbeat &beat) {
  if (!Owner)
    return;
  auto text = pack(beat);
  Traffic.add(kind, Setup.Cell == Setup.FailureDomain, text.size());
  Owner->send(text);
}

void CellMember::onRefusal(const std::string &replica,
                           const WeightsRef &weights, bool missing) {
  Refusals.push_back({replica, weights.text(), missing});
}

NodeHeartbeat CellMember::takeBeat() {
  NodeHeartbeat out;
  out.Self = Out.Self();
  out.SentAtUs = TimerService::now().count();
  for (const auto &[replica, n] : View.ownRunning(Setup.Cell))
    out.Running.push_back({replica, n});
  for (auto &[key, notice] : std::exchange(Demand, {}))
    out.Demand.push_back(std::move(notice));
  out.Refusals = std::exchange(Refusals, {});
  out.Uses = std::exchange(Uses, {});
  out.KnownPositions = Out.KnownPositions();
  auto load = Out.Load();
  out.RequestsPerSecond = load.Requests;
  out.BytesPerSecond = load.Bytes;
  if (!Owning)
    out.Crashes = crashesFor(OwnerToldCrashes);
  return out;
}

void CellMember::sendHeartbeat() {
  Urgent = false;
  BeatAt = TimerService::now();
  if (Owning) {
    onNodeBeat(SelfFollower, takeBeat());
    return;
  }
  if (Owner)
    sendToOwner(PeerMessage::NodeBeat, takeBeat());
}

void CellMember::follow() {
  auto now = TimerService::now();
  const auto &row = Lease->row();
  if (Owner && now - std::max(OwnerHeardAt, OpenedAt) > OwnerSilence) {
    Net.drop(OwnerAddress);
    unfollow("silent");
  }
  if (!row || row->Released || row->Address.empty())
    return;
  if (Owner && OwnerAddress == row->Address)
    return;
  if (now - OpenedAt < ReopenEvery)
    return;
  unfollow("another owner");
  OpenedAt = now;
  OwnerAddress = row->Address;
  PeerHooks hooks;
  auto self = std::make_shared<std::weak_ptr<PeerStream>>();
  hooks.OnMessage = [this, alive = Alive, self](std::string_view message) {
    if (!*alive || self->lock() != Owner)
      return;
    auto beat = unpack<OwnerHeartbeat>(message);
    if (beat)
      onOwnerBeat(*beat);
    else
      Log.write(LogClass::State, "message-refused",
                {{"what", "owner beat"}, {"cell", Setup.Cell}});
  };
  hooks.OnClosed = [this, alive = Alive, self](bool) {
    if (*alive && self->lock() == Owner)
      unfollow("closed");
  };
  OwnerToldCrashes = 0;
  auto first = takeBeat();
  first.Uses = allUses();
  Owner = Net.open(OwnerAddress, std::string(peer_path::Cell) + Setup.Cell,
                   pack(first), std::move(hooks));
  *self = Owner;
}

void CellMember::unfollow(std::string_view why) {
  auto owner = std::exchange(Owner, nullptr);
  if (!owner)
    return;
  owner->OnClosed = nullptr;
  owner->close();
  OwnerOrders = false;
  // A new owner's first messages need not say which nodes serve; those that the
  // one before told of may be gone, itself among them.
  RostersTold = false;
  Out.OnServingEntries();
  View.onOwnerLost(Setup.Cell);
  Log.write(LogClass::State, "owner-lost",
            {{"cell", Setup.Cell},
             {"address", OwnerAddress},
             {"why", why},
             {"heard_ms_ago", TimerService::now() - OwnerHeardAt}});
}

void CellMember::onHoldings(const ReplicaNotice &notice, Instant now) {
  Residency held;
  for (const auto &it : notice.Held)
    held[WeightsRef::parse(it.Weights)] = {
        it.Version, it.ReadyInUs ? now + Span(it.ReadyInUs) : Instant{},
        it.Leaving};
  if (notice.Complete)
    return View.onResidency(notice.Replica, std::move(held), now);
  std::vector<WeightsRef> dropped;
  for (const auto &it : notice.Dropped)
    dropped.push_back(WeightsRef::parse(it));
  View.onResidencyChange(notice.Replica, held, dropped);
}

void CellMember::onRosters(const std::vector<DomainNotice> &told) {
  Rosters.clear();
  for (const auto &domain : told) {
    DomainEntries entries{domain.FailureDomain, {}};
    for (const auto &it : domain.Entries)
      entries.Entries.push_back({it.Node, it.CallerAddress, {}});
    Rosters.push_back(std::move(entries));
  }
  RostersTold = true;
  Out.OnServingEntries();
}

void CellMember::onOwnerBeat(const OwnerHeartbeat &beat) {
  auto now = TimerService::now();
  if (now - OwnerHeardAt > OwnerSilence)
    Log.write(LogClass::State, "owner-heard",
              {{"cell", Setup.Cell},
               {"address", OwnerAddress},
               {"fence", beat.Fence}});
  OwnerHeardAt = now;
  OwnerOrders = beat.Ordering;
  Lease->onHolderHeartbeat(beat.LeaseVersion, Span(beat.RemainingUs));
  for (const auto &it : beat.Replicas)
    onHoldings(it, now);
  for (const auto &it : beat.Sent)
    View.onSentElsewhere(it.Replica, it.Tokens, now);
  for (const auto &it : beat.Running)
    View.onRunningElsewhere(it.Replica, it.Running, now);
  for (const auto &[cell, row] : beat.Leases)
    Out.OnLease(cell, row);
  if (beat.EntriesChanged)
    onRosters(beat.Entries);
  Out.OnUpdate(beat.Update,
               beat.AnswersUs ? std::min(now, Span(beat.AnswersUs)) : LongAgo);
  takeCrashes(beat.Crashes, OwnerToldCrashes);
  if (!beat.Replicas.empty())
    Out.OnChanged();
}

} // namespace hemlockglade
