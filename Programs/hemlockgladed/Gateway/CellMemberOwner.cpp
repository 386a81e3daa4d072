// What a node does for a cell that it owns.

#include "Programs/hemlockgladed/Gateway/CellMember.h"

namespace hemlockglade {

namespace {

bool operator!=(const MemberNotice &a, const MemberNotice &b) {
  return a.Node != b.Node || a.Incarnation != b.Incarnation ||
         a.CallerAddress != b.CallerAddress ||
         a.FailureDomain != b.FailureDomain || a.Ready != b.Ready ||
         a.Active != b.Active;
}

HostCapacity meansOf(const MemberNotice &node) {
  return {node.Cores, node.LinkMbps};
}

/// How much stronger a host has to be to be given a cell.
constexpr double MuchStronger = 2;

std::string_view orderName(OrderKind kind) {
  return kind == OrderKind::Load ? "load" : "unload";
}

} // namespace

void CellMember::own() {
  auto now = TimerService::now();
  if (!std::exchange(Owning, true)) {
    unfollow("owns the cell");
    OwnsSince = now;
    Rosters.clear();
    Desk.forget();
    Uses.clear();
    Held.clear();
    NotedRevision = 0;
    SentToTell.clear();
    onUses(Followers[SelfFollower], allUses());
    BeatAt = Instant{};
  }
  auto plan = Out.Plan();
  if (DeskRevision != View.revision() || DeskPlan != plan) {
    DeskRevision = View.revision();
    DeskPlan = plan;
    Desk.setReplicas(View.replicasIn(Setup.Cell), plan, now);
    forgetReplicas();
  }
  Desk.setLoadingElsewhere(View.loadingOutside(Setup.Cell, false, now));
  Desk.setModelsElsewhere(View.loadingOutside(Setup.Cell, true, now));
  for (const auto &it : Desk.plan(Lease->mayOrder(), now))
    carryOut(it);
}

void CellMember::forgetReplicas() {
  auto all = Desk.replicas();
  std::set<std::string> known(all.begin(), all.end());
  auto gone = [&known](const auto &it) { return !known.contains(it.first); };
  Held.keepOnly(known);
  for (auto &[id, follower] : Followers)
    std::erase_if(follower.ToldRunning, gone);
}

void CellMember::disown() {
  Owning = false;
  RostersTold = false;
  for (auto &[id, follower] : std::exchange(Followers, {})) {
    dropUses(follower);
    if (follower.Stream) {
      follower.Stream->OnClosed = nullptr;
      follower.Stream->close();
    }
  }
  View.onOwnerLost(Setup.Cell);
  Out.OnServingEntries();
}

void CellMember::carryOut(const PlacementAction &action) {
  auto records = View.replicasIn(Setup.Cell);
  auto it = std::find_if(records.begin(), records.end(), [&](const auto &r) {
    return r->Incarnation.text() == action.Replica;
  });
  if (it == records.end())
    return;
  if (action.Type == PlacementAction::Kind::Report) {
    Out.Engines.Report(**it, [this, alive = Alive,
                              replica = action.Replica](const auto &report) {
      if (*alive)
        Desk.onReport(replica, report, TimerService::now());
    });
    return;
  }
  auto order = action.Order;
  order.Holder = Lease->row()->Holder;
  order.Fence = Lease->fence();
  if (!Lease->mayOrder()) {
    Desk.onOrderAnswer(action.Replica, order, OrderAnswer::Rejected,
                       TimerService::now());
    return;
  }
  ++Orders;
  auto sentAt = TimerService::now();
  Out.Engines.Order(**it, order,
                    [this, alive = Alive, order, sentAt,
                     replica = action.Replica,
                     reason = action.Reason](OrderAnswer answer) {
                      if (!*alive)
                        return;
                      auto now = TimerService::now();
                      Log.write(LogClass::State, "order",
                                {{"cell", Setup.Cell},
                                 {"replica", replica},
                                 {"kind", orderName(order.Kind)},
                                 {"weights", order.Weights.text()},
                                 {"version", order.Version},
                                 {"count", order.ExpectedCount},
                                 {"fence", order.Fence},
                                 {"reason", reason},
                                 {"answer", orderAnswerName(answer)},
                                 {"took_ms", now - sentAt}});
                      Desk.onOrderAnswer(replica, order, answer, now);
                      planSoon();
                    });
}

void CellMember::onFollower(const std::shared_ptr<PeerStream> &stream) {
  if (!Owning) {
    // The other node will read the lease row again and find the owner.
    stream->close();
    return;
  }
  auto id = NextFollower++;
  auto &follower = Followers[id];
  follower.Stream = stream;
  follower.BeatAt = TimerService::now();
  stream->OnMessage = [this, alive = Alive, id](std::string_view message) {
    auto it = *alive ? Followers.find(id) : Followers.end();
    if (it == Followers.end())
      return;
    auto beat = unpack<NodeHeartbeat>(message);
    if (beat)
      onNodeBeat(id, *beat);
    else
      Log.write(LogClass::State, "message-refused",
                {{"what", "node beat"}, {"cell", Setup.Cell}});
  };
  stream->OnClosed = [this, alive = Alive, id](bool) {
    auto it = *alive ? Followers.find(id) : Followers.end();
    if (it == Followers.end())
      return;
    dropUses(it->second);
    Followers.erase(it);
    NodesChanged = true;
    planSoon();
  };
}

void CellMember::onNodeBeat(std::uint64_t id, const NodeHeartbeat &beat) {
  auto now = TimerService::now();
  auto &follower = Followers[id];
  follower.BeatAt = now;
  onSentNotices(id, beat.Sent);
  onUses(follower, beat.Uses);
  if (beat.Brief)
    return;
  follower.SentAtUs = beat.SentAtUs;
  takeCrashes(beat.Crashes, follower.ToldCrashes);
  follower.Load = {beat.RequestsPerSecond, beat.BytesPerSecond};
  if (beat.KnownPositions.Operator && beat.KnownPositions.Replica) {
    auto &knows = follower.Knows;
    knows.Operator = std::max(knows.Operator, beat.KnownPositions.Operator);
    knows.Replica = std::max(knows.Replica, beat.KnownPositions.Replica);
  } else {
    follower.Knows = {};
  }
  bool woke = beat.Self.Active && !follower.Self.Active;
  if (follower.Self != beat.Self) {
    follower.Self = beat.Self;
    NodesChanged = true;
  }
  follower.Running.clear();
  for (const auto &it : beat.Running)
    follower.Running[it.Replica] = it.Running;
  takeDemand(beat, now);
  // It may have callers already.
  if (woke && id != SelfFollower)
    tell(id, follower);
}

void CellMember::takeDemand(const NodeHeartbeat &beat, Instant now) {
  bool waits = false;
  for (const auto &it : beat.Demand) {
    auto weights = WeightsRef::parse(it.Weights);
    if (it.Requests)
      Desk.onDemand(it.Service, weights, it.Requests, now);
    if (it.Waiting)
      Desk.onWaiting(it.Service, weights, now);
    if (it.Congested)
      Desk.onCongested(it.Service, weights, now);
    waits = waits || it.Waiting;
  }
  for (const auto &it : beat.Refusals) {
    auto weights = WeightsRef::parse(it.Weights);
    // The node has struck it out of its view, whatever turns out to be true.
    Held.markChanged(it.Replica, weights);
    if (it.Missing)
      Desk.onMissing(it.Replica, weights, now);
    else
      Desk.onRefusedEarly(it.Replica, weights, now);
  }
  if (waits)
    planSoon();
}

void CellMember::planSoon() {
  if (std::exchange(PlanDue, true))
    return;
  Out.After(planEvery(), [this, alive = Alive] {
    if (!*alive)
      return;
    PlanDue = false;
    if (!Owning)
      return;
    own();
    broadcast();
  });
}

void CellMember::countRunning() {
  TotalRunning.clear();
  for (const auto &[id, follower] : Followers)
    for (const auto &[replica, n] : follower.Running)
      TotalRunning[replica] += n;
  for (const auto &it : Desk.replicas()) {
    auto n = TotalRunning.find(it);
    Desk.setRunning(it, n == TotalRunning.end() ? 0 : n->second);
  }
}

bool CellMember::heard(std::uint64_t id, const Follower &follower,
                       Instant now) const {
  return id == SelfFollower || now - follower.BeatAt <= Setup.MemberSilence;
}

void CellMember::chooseEntries(Instant now) {
  if (now - OwnsSince < Setup.EntrySelectionDelay)
    return;
  NodesChanged = false;
  struct Domain {
    std::vector<EntryCandidate> Ready;
    EntryLoad Load;
  };
  std::map<std::string, Domain> domains;
  for (const auto &[id, it] : Followers) {
    if (!it.Self.Ready || !heard(id, it, now))
      continue;
    auto &domain = domains[it.Self.FailureDomain];
    domain.Ready.push_back(
        {it.Self.Node, it.Self.CallerAddress, meansOf(it.Self)});
    domain.Load += it.Load;
  }
  std::vector<DomainEntries> chosen;
  for (const auto &[name, domain] : domains) {
    auto &chooser =
        Choosers.try_emplace(name, Setup.EntrySelection).first->second;
    chosen.push_back({name, chooser.choose(domain.Ready, domain.Load, now)});
  }
  if (chosen == Rosters)
    return;
  Rosters = std::move(chosen);
  ++RostersRevision;
  for (const auto &it : Rosters)
    Log.write(LogClass::State, "entries",
              {{"cell", Setup.Cell},
               {"failure_domain", it.FailureDomain},
               {"in_service", static_cast<std::uint64_t>(it.Entries.size())},
               {"first", it.Entries.front().Node},
               {"ready", static_cast<std::uint64_t>(
                             domains[it.FailureDomain].Ready.size())},
               {"requests_per_s", domains[it.FailureDomain].Load.Requests},
               {"bytes_per_s", domains[it.FailureDomain].Load.Bytes}});
  Out.OnServingEntries();
}

void CellMember::noteLeases() {
  auto leases = Out.Leases();
  if (leases == Leases)
    return;
  Leases = std::move(leases);
  ++LeasesRevision;
}

std::size_t CellMember::toldAtOnce() const {
  std::size_t out = 0;
  for (const auto &[id, follower] : Followers)
    out += id != SelfFollower && follower.Self.Active ? 1 : 0;
  return out;
}

Span CellMember::flushEvery() const {
  auto n = static_cast<int>(Owning ? toldAtOnce() : 0);
  return std::max(Setup.FlushEvery, Setup.FlushEach * n);
}

Span CellMember::planEvery() const {
  return std::max(Setup.PlanEvery,
                  Setup.PlanEach * static_cast<int>(toldAtOnce()));
}

void CellMember::onSentNotices(std::uint64_t from,
                               const std::vector<SentNotice> &sent) {
  if (sent.empty())
    return;
  Followers[from].HasSent = true;
  auto now = TimerService::now();
  for (const auto &it : sent) {
    SentToTell.emplace_back(from, it);
    if (from != SelfFollower)
      View.onSentElsewhere(it.Replica, it.Tokens, now);
  }
  flushSoon();
}

void CellMember::noteHoldings() {
  if (NotedRevision == Desk.revision())
    return;
  NotedRevision = Desk.revision();
  auto before = Held.revision();
  for (const auto &replica : Desk.replicas()) {
    const auto &held = Desk.residency(replica);
    if (Held.update(replica, held))
      View.onResidency(replica, held, TimerService::now());
  }
  Held.commit();
  if (Held.revision() == before)
    return;
  flushSoon();
  Out.OnChanged();
}

std::vector<ReplicaNotice>
CellMember::holdingsSince(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<ReplicaNotice> out;
  for (const auto &change : Held.since(number)) {
    ReplicaNotice notice{change.Replica, change.Complete, {}, {}};
    for (const auto &[weights, at] : change.Held)
      notice.Held.push_back({weights.text(), at.Version,
                             std::max(Span(0), at.ReadyAt - now).count(),
                             at.Leaving});
    for (const auto &weights : change.Dropped)
      notice.Dropped.push_back(weights.text());
    out.push_back(std::move(notice));
  }
  return out;
}

OwnerHeartbeat CellMember::emptyBeat() const {
  OwnerHeartbeat out;
  out.LeaseVersion = Lease->version();
  out.RemainingUs = Lease->remaining().count();
  out.Fence = Lease->fence();
  out.Ordering = Lease->mayOrder();
  return out;
}

void CellMember::tellFollowers() {
  noteHoldings();
  auto sent = std::exchange(SentToTell, {});
  // Most followers hear the same, which is packed once.
  std::map<std::uint64_t, std::string> packed;
  for (auto &[id, follower] : Followers) {
    bool own = std::exchange(follower.HasSent, false);
    bool behind = follower.ToldHoldings < Held.revision();
    bool waits = id == SelfFollower || !follower.Self.Active;
    if (waits || (sent.empty() && !behind))
      continue;
    auto told = std::exchange(follower.ToldHoldings, Held.revision());
    auto &same = packed[told];
    if (!own && !same.empty()) {
      sendTo(follower, PeerMessage::OwnerNotice, same);
      continue;
    }
    auto brief = emptyBeat();
    brief.Replicas = holdingsSince(told);
    for (const auto &[from, notice] : sent)
      if (from != id)
        brief.Sent.push_back(notice);
    auto text = pack(brief);
    sendTo(follower, PeerMessage::OwnerNotice, text);
    if (!own)
      same = std::move(text);
  }
}

OwnerHeartbeat CellMember::beatFor(Follower &follower) {
  auto out = emptyBeat();
  if (!follower.Self.Active)
    return out;
  out.Replicas =
      holdingsSince(std::exchange(follower.ToldHoldings, Held.revision()));
  for (const auto &replica : Desk.replicas()) {
    auto total = TotalRunning.find(replica);
    auto own = follower.Running.find(replica);
    std::uint32_t n = total == TotalRunning.end() ? 0 : total->second;
    n -= own == follower.Running.end() ? 0 : std::min(n, own->second);
    auto [it, isNew] = follower.ToldRunning.try_emplace(replica, 0);
    if (it->second == n)
      continue;
    it->second = n;
    out.Running.push_back({replica, n});
  }
  return out;
}

void CellMember::addNews(Follower &follower, OwnerHeartbeat &beat) {
  if (!follower.Knows.Operator || !follower.Knows.Replica)
    return;
  beat.Update = Out.UpdateSince(follower.Knows);
  auto &knows = follower.Knows;
  knows.Operator = std::max(knows.Operator, beat.Update.OperatorPosition);
  knows.Replica = std::max(knows.Replica, beat.Update.ReplicaPosition);
}

bool CellMember::isBetterOwner(const MemberNotice &member) const {
  bool near = Setup.Cell == Setup.FailureDomain;
  if (!member.Ready || member.FailureDomain != Setup.Cell)
    return false;
  auto own = relativeCapacity(meansOf(Out.Self()));
  return !near || relativeCapacity(meansOf(member)) >= MuchStronger * own;
}

void CellMember::handOverIfBetter(Instant now) {
  bool better = std::any_of(
      Followers.begin(), Followers.end(), [this, now](const auto &it) {
        return heard(it.first, it.second, now) && isBetterOwner(it.second.Self);
      });
  if (!better) {
    NearerSince.reset();
    return;
  }
  if (!NearerSince)
    NearerSince = now;
  if (now - *NearerSince < Setup.NearerReady)
    return;
  NearerSince.reset();
  Lease->handOver();
}

void CellMember::forgetSilent(Instant now) {
  for (auto it = Followers.begin(); it != Followers.end();) {
    bool gone =
        it->first != SelfFollower && now - it->second.BeatAt > Setup.MemberGone;
    if (gone)
      dropUses(it->second);
    it = gone ? Followers.erase(it) : std::next(it);
  }
}

void CellMember::broadcast() {
  auto now = TimerService::now();
  bool due = now - BroadcastAt >= Setup.HeartbeatInterval;
  auto rosters = RostersRevision;
  if (due || NodesChanged)
    chooseEntries(now);
  if (due) {
    BroadcastAt = now;
    countRunning();
    forgetSilent(now);
    noteLeases();
    handOverIfBetter(now);
  }
  noteHoldings();
  bool news = std::exchange(NewsDue, false);
  if (!due && !news && rosters == RostersRevision)
    return;
  for (auto &[id, follower] : Followers)
    tell(id, follower);
}

void CellMember::tell(std::uint64_t id, Follower &follower) {
  auto beat = beatFor(follower);
  // What the owner itself chose and saw it knows already.
  if (id == SelfFollower)
    return onOwnerBeat(beat);
  addNews(follower, beat);
  beat.AnswersUs = follower.SentAtUs;
  beat.Crashes = crashesFor(follower.ToldCrashes);
  if (std::exchange(follower.ToldRosters, RostersRevision) != RostersRevision)
    addRosters(beat);
  bool near = follower.Self.FailureDomain == Setup.FailureDomain;
  if (near &&
      std::exchange(follower.ToldLeases, LeasesRevision) != LeasesRevision)
    beat.Leases = Leases;
  sendTo(follower, PeerMessage::OwnerBeat, pack(beat));
}

void CellMember::sendTo(Follower &follower, PeerMessage kind,
                        const std::string &text) {
  // Between finding that the lease is lost and the next tick this node knows
  // the next holder's version, and would tell it as if its time were over.
  if (!Lease->held())
    return;
  bool near = follower.Self.FailureDomain == Setup.FailureDomain;
  Traffic.add(kind, near, text.size());
  follower.Stream->send(text);
}

void CellMember::addRosters(OwnerHeartbeat &beat) const {
  beat.EntriesChanged = true;
  for (const auto &domain : Rosters) {
    DomainNotice notice{domain.FailureDomain, {}};
    for (const auto &it : domain.Entries)
      notice.Entries.push_back({it.Node, it.CallerAddress});
    beat.Entries.push_back(std::move(notice));
  }
}

} // namespace hemlockglade
