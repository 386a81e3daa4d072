// The part of CellMember that runs while the node owns the cell.

#include "Hemlockglade/Coordination/Entries/CutOffNodes.h"
#include "Programs/hemlockgladed/Gateway/CellMember.h"

namespace hemlockglade {

namespace {

bool operator!=(const MemberNotice &a, const MemberNotice &b) {
  return a.Node != b.Node || a.Incarnation != b.Incarnation ||
         a.CallerAddress != b.CallerAddress ||
         a.FailureDomain != b.FailureDomain || a.Ready != b.Ready ||
         a.Active != b.Active;
}

/// Limits what another node reports.
constexpr Span MaxPause = std::chrono::hours(1);
constexpr std::uint32_t MaxWaitingRequests = 10'000;

std::string_view orderName(OrderKind kind) {
  return kind == OrderKind::Load ? "load" : "unload";
}

} // namespace

void CellMember::runAsOwner() {
  auto now = TimerService::now();
  if (!std::exchange(Owning, true)) {
    unfollow("owns the cell");
    OwnsSince = now;
    Entries.clear();
    Planner.forget();
    Uses.clear();
    Holdings.clear();
    RecordedRevision = 0;
    PendingSent.clear();
    onUses(Followers[SelfFollower], allUses());
    HeartbeatAt = Instant{};
  }
  auto plan = Callbacks.Plan();
  bool replicasChanged =
      PlannerViewRevision != View.revision() || PlannerRoutePlan != plan;
  if (replicasChanged) {
    PlannerViewRevision = View.revision();
    PlannerRoutePlan = plan;
    Planner.setReplicas(View.replicasIn(Options.Cell), plan, now);
    removeUnknownReplicas();
  }
  Planner.setLoadingElsewhere(View.loadingOutside(Options.Cell, false, now));
  Planner.setModelsElsewhere(View.loadingOutside(Options.Cell, true, now));
  updateLimited(replicasChanged, now);
  for (const auto &it : Planner.plan(canOrder(), now))
    execute(it);
}

void CellMember::updateLimited(bool replicasChanged, Instant now) {
  std::erase_if(PausedUntil,
                [now](const auto &it) { return now >= it.second; });
  std::set<std::string> ownPaused;
  for (const auto &[replica, until] : View.pausedIn(Options.Cell, now))
    ownPaused.insert(replica);
  auto paused = ownPaused;
  for (const auto &[replica, until] : PausedUntil)
    paused.insert(replica);
  bool pausesChanged = paused != PlannerPaused;
  if (replicasChanged || !paused.empty() || pausesChanged)
    Planner.setPaused(ownPaused);
  if (!replicasChanged && !pausesChanged &&
      PlannerLimitRevision == View.limitRevision())
    return;
  PlannerLimitRevision = View.limitRevision();
  PlannerPaused = paused;
  paused.merge(View.limitedIn(Options.Cell));
  Planner.setLimited(paused);
}

void CellMember::removeUnknownReplicas() {
  auto all = Planner.replicas();
  std::set<std::string> known(all.begin(), all.end());
  auto gone = [&known](const auto &it) { return !known.contains(it.first); };
  Holdings.keepOnly(known);
  for (auto &[id, follower] : Followers)
    std::erase_if(follower.SentRunning, gone);
}

void CellMember::stopOwning() {
  Owning = false;
  EntriesReceived = false;
  for (auto &[id, follower] : std::exchange(Followers, {})) {
    dropUses(follower);
    if (follower.Stream) {
      follower.Stream->OnClosed = nullptr;
      follower.Stream->close();
    }
  }
  View.onOwnerLost(Options.Cell);
  Callbacks.OnServingEntries();
}

void CellMember::execute(const PlacementAction &action) {
  auto records = View.replicasIn(Options.Cell);
  auto it = std::find_if(records.begin(), records.end(), [&](const auto &r) {
    return r->Incarnation.text() == action.Replica;
  });
  if (it == records.end())
    return;
  if (action.Type == PlacementAction::Kind::Report) {
    Callbacks.Engines.Report(
        **it,
        [this, alive = Alive, replica = action.Replica](const auto &report) {
          if (*alive)
            Planner.onReport(replica, report, TimerService::now());
        });
    return;
  }
  auto order = action.Order;
  order.Holder = Lease->row()->Holder;
  order.Fence = Lease->fence();
  if (!Lease->mayOrder()) {
    Planner.onOrderAnswer(action.Replica, order, OrderAnswer::Withheld,
                          TimerService::now());
    return;
  }
  order.MayWrite = [lease = Lease, fence = order.Fence] {
    return lease->mayOrder() && lease->fence() == fence;
  };
  ++Orders;
  auto sentAt = TimerService::now();
  Callbacks.Engines.Order(**it, order,
                          [this, alive = Alive, order, sentAt,
                           replica = action.Replica,
                           reason = action.Reason](OrderAnswer answer) {
                            if (!*alive)
                              return;
                            auto now = TimerService::now();
                            Log.write(LogClass::State, "order",
                                      {{"cell", Options.Cell},
                                       {"replica", replica},
                                       {"kind", orderName(order.Kind)},
                                       {"weights", order.Weights.text()},
                                       {"version", order.Version},
                                       {"count", order.ExpectedCount},
                                       {"fence", order.Fence},
                                       {"reason", reason},
                                       {"answer", orderAnswerName(answer)},
                                       {"took_ms", now - sentAt}});
                            Planner.onOrderAnswer(replica, order, answer, now);
                            planSoon();
                          });
}

void CellMember::onFollower(const std::shared_ptr<PeerStream> &stream) {
  if (!Owning) {
    // The other node reads the lease row again and finds the owner there.
    stream->close();
    return;
  }
  auto id = NextFollower++;
  auto &follower = Followers[id];
  follower.Stream = stream;
  follower.ReceivedAt = TimerService::now();
  stream->OnMessage = [this, alive = Alive, id](std::string_view message) {
    auto it = *alive ? Followers.find(id) : Followers.end();
    if (it == Followers.end())
      return;
    auto heartbeat = unpack<NodeHeartbeat>(message);
    if (heartbeat)
      onNodeHeartbeat(id, *heartbeat);
    else
      Log.write(LogClass::State, "message-refused",
                {{"what", "node beat"}, {"cell", Options.Cell}});
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

void CellMember::onNodeHeartbeat(std::uint64_t id,
                                 const NodeHeartbeat &heartbeat) {
  auto now = TimerService::now();
  auto &follower = Followers[id];
  follower.ReceivedAt = now;
  onSentNotices(id, heartbeat.Sent);
  onUses(follower, heartbeat.Uses);
  if (heartbeat.Brief)
    return;
  follower.SentAtUs = heartbeat.SentAtUs;
  follower.HeartbeatReceivedAt = now;
  mergeCrashes(heartbeat.Crashes, follower.SentCrashes);
  mergeLimits(heartbeat.Limits);
  mergeRejections(heartbeat.Rejections);
  mergeLeaving(heartbeat.Leaving);
  for (const auto &it : heartbeat.Speeds)
    View.onSpeedSamples({it.Replica, {it.Samples, it.Factor}}, now);
  for (const auto &it : heartbeat.Pauses) {
    auto &until = PausedUntil[it.Replica];
    until = std::max(until, now + std::min(Span(it.RemainingUs), MaxPause));
  }
  follower.Load = {heartbeat.RequestsPerSecond, heartbeat.BytesPerSecond};
  if (heartbeat.KnownPositions.Operator && heartbeat.KnownPositions.Replica) {
    auto &positions = follower.Positions;
    positions.Operator =
        std::max(positions.Operator, heartbeat.KnownPositions.Operator);
    positions.Replica =
        std::max(positions.Replica, heartbeat.KnownPositions.Replica);
  } else {
    follower.Positions = {};
  }
  bool becameActive = heartbeat.Self.Active && !follower.Self.Active;
  if (follower.Self != heartbeat.Self) {
    follower.Self = heartbeat.Self;
    NodesChanged = true;
  }
  if (!heartbeat.Reach.empty() && follower.Reach != heartbeat.Reach.front()) {
    follower.Reach = heartbeat.Reach.front();
    NodesChanged = true;
  }
  follower.Running.clear();
  for (const auto &it : heartbeat.Running)
    follower.Running[it.Replica] = it.Running;
  takeDemand(heartbeat, now);
  // The node may have callers already.
  if (becameActive && id != SelfFollower)
    sendHeartbeatTo(id, follower);
}

void CellMember::takeDemand(const NodeHeartbeat &heartbeat, Instant now) {
  bool hasWaiting = false;
  auto maxUnusable = static_cast<std::uint32_t>(Planner.replicas().size());
  for (const auto &it : heartbeat.Demand) {
    auto weights = WeightsRef::parse(it.Weights);
    if (it.Requests)
      Planner.onDemand(it.Service, weights, it.Requests, now);
    // A node of an earlier release does not count its waiting requests.
    auto requests = std::clamp(it.WaitingRequests, 1U, MaxWaitingRequests);
    auto unusable = std::min(it.Unusable, maxUnusable);
    if (it.Waiting)
      Planner.onWaiting(it.Service, weights, now, requests, unusable);
    if (it.Congested)
      Planner.onCongested(it.Service, weights, now, it.Waiting ? 0 : requests);
    hasWaiting = hasWaiting || it.Waiting;
  }
  for (const auto &it : heartbeat.Refusals) {
    auto weights = WeightsRef::parse(it.Weights);
    // The node has removed it from its view, whether or not the replica has it.
    Holdings.markChanged(it.Replica, weights);
    if (it.Missing)
      Planner.onMissing(it.Replica, weights, now);
    else
      Planner.onRefusedEarly(it.Replica, weights, now);
  }
  if (hasWaiting)
    planSoon();
}

void CellMember::planSoon() {
  if (std::exchange(PlanDue, true))
    return;
  Callbacks.After(planInterval(), [this, alive = Alive] {
    if (!*alive)
      return;
    PlanDue = false;
    if (!Owning)
      return;
    runAsOwner();
    broadcast();
  });
}

void CellMember::countRunning() {
  TotalRunning.clear();
  for (const auto &[id, follower] : Followers)
    for (const auto &[replica, n] : follower.Running)
      TotalRunning[replica] += n;
  for (const auto &it : Planner.replicas()) {
    auto n = TotalRunning.find(it);
    Planner.setRunning(it, n == TotalRunning.end() ? 0 : n->second);
  }
}

bool CellMember::isResponsive(std::uint64_t id, const Follower &follower,
                              Instant now) const {
  return id == SelfFollower ||
         now - follower.ReceivedAt <= Options.MemberTimeout;
}

std::vector<NodeReach> CellMember::readyNodes(Instant now) const {
  std::vector<NodeReach> out;
  for (const auto &[id, it] : Followers)
    if (it.Self.Ready && isResponsive(id, it, now))
      out.push_back({it.Self.Node,
                     capacityOf(it.Self),
                     it.Load,
                     {it.Reach.Reached.begin(), it.Reach.Reached.end()},
                     {it.Reach.CutOff.begin(), it.Reach.CutOff.end()}});
  return out;
}

void CellMember::chooseEntries(Instant now) {
  if (now - OwnsSince < Options.EntrySelectionDelay)
    return;
  NodesChanged = false;
  struct Domain {
    std::vector<EntryCandidate> Ready;
    EntryLoad Load;
  };
  std::map<std::string, Domain> domains;
  auto leftOut = nodesToLeaveOut(readyNodes(now));
  for (const auto &[id, it] : Followers) {
    if (!it.Self.Ready || !isResponsive(id, it, now) ||
        leftOut.contains(it.Self.Node))
      continue;
    auto &domain = domains[it.Self.FailureDomain];
    domain.Ready.push_back({it.Self.Node,
                            it.Self.CallerAddress,
                            capacityOf(it.Self),
                            it.Reach.RelayAddress,
                            {it.Reach.CutOff.begin(), it.Reach.CutOff.end()}});
    domain.Load += it.Load;
  }
  std::vector<DomainEntries> chosen;
  for (const auto &[name, domain] : domains) {
    auto &selector =
        Selectors.try_emplace(name, Options.EntrySelection).first->second;
    chosen.push_back({name, selector.choose(domain.Ready, domain.Load, now)});
  }
  if (chosen == Entries)
    return;
  Entries = std::move(chosen);
  ++EntriesRevision;
  for (const auto &it : Entries)
    Log.write(LogClass::State, "entries",
              {{"cell", Options.Cell},
               {"failure_domain", it.FailureDomain},
               {"in_service", static_cast<std::uint64_t>(it.Entries.size())},
               {"left_out", static_cast<std::uint64_t>(leftOut.size())},
               {"first", it.Entries.front().Node},
               {"ready", static_cast<std::uint64_t>(
                             domains[it.FailureDomain].Ready.size())},
               {"requests_per_s", domains[it.FailureDomain].Load.Requests},
               {"bytes_per_s", domains[it.FailureDomain].Load.Bytes}});
  Callbacks.OnServingEntries();
}

void CellMember::updateLeases() {
  auto leases = Callbacks.Leases();
  if (leases == Leases)
    return;
  Leases = std::move(leases);
  ++LeasesRevision;
}

std::size_t CellMember::activeFollowers() const {
  std::size_t out = 0;
  for (const auto &[id, follower] : Followers)
    out += id != SelfFollower && follower.Self.Active ? 1 : 0;
  return out;
}

Span CellMember::flushInterval() const {
  auto n = static_cast<int>(Owning ? activeFollowers() : 0);
  return std::max(Options.FlushInterval, Options.FlushPerFollower * n);
}

Span CellMember::planInterval() const {
  return std::max(Options.PlanInterval,
                  Options.PlanPerFollower *
                      static_cast<int>(activeFollowers()));
}

void CellMember::onSentNotices(std::uint64_t from,
                               const std::vector<SentNotice> &sent) {
  if (sent.empty())
    return;
  Followers[from].HasPendingSent = true;
  auto now = TimerService::now();
  for (const auto &it : sent) {
    PendingSent.emplace_back(from, it);
    if (from != SelfFollower)
      View.onSentElsewhere(it.Replica, it.Tokens, now);
  }
  flushSoon();
}

void CellMember::recordHoldings() {
  if (RecordedRevision == Planner.revision())
    return;
  RecordedRevision = Planner.revision();
  auto before = Holdings.revision();
  for (const auto &replica : Planner.replicas()) {
    const auto &held = Planner.residency(replica);
    if (Holdings.update(replica, held))
      View.onResidency(replica, held, TimerService::now());
  }
  Holdings.commit();
  if (Holdings.revision() == before)
    return;
  flushSoon();
  Callbacks.OnChanged();
}

std::vector<ReplicaNotice>
CellMember::holdingsSince(std::uint64_t number) const {
  auto now = TimerService::now();
  std::vector<ReplicaNotice> out;
  for (const auto &change : Holdings.since(number)) {
    ReplicaNotice notice{change.Replica, change.Complete, {}, {}};
    for (const auto &[weights, at] : change.Held)
      notice.Held.push_back({weights.text(), at.Version,
                             std::max(Span(0), at.ReadyAt - now).count(),
                             at.Evicting});
    for (const auto &weights : change.Dropped)
      notice.Dropped.push_back(weights.text());
    out.push_back(std::move(notice));
  }
  return out;
}

OwnerHeartbeat CellMember::newOwnerHeartbeat() const {
  OwnerHeartbeat out;
  out.LeaseVersion = Lease->version();
  out.RemainingUs = Lease->remaining().count();
  out.Fence = Lease->fence();
  out.Ordering = canOrder();
  return out;
}

void CellMember::sendNotices() {
  recordHoldings();
  auto sent = std::exchange(PendingSent, {});
  // Most followers are sent the same notice, which is packed once.
  std::map<std::uint64_t, std::string> packed;
  for (auto &[id, follower] : Followers) {
    bool own = std::exchange(follower.HasPendingSent, false);
    bool isBehind = follower.SentHoldings < Holdings.revision();
    bool isSkipped = id == SelfFollower || !follower.Self.Active;
    if (isSkipped || (sent.empty() && !isBehind))
      continue;
    auto sentRevision =
        std::exchange(follower.SentHoldings, Holdings.revision());
    auto &shared = packed[sentRevision];
    if (!own && !shared.empty()) {
      sendTo(follower, PeerMessage::OwnerNotice, shared);
      continue;
    }
    auto brief = newOwnerHeartbeat();
    brief.Replicas = holdingsSince(sentRevision);
    for (const auto &[from, notice] : sent)
      if (from != id)
        brief.Sent.push_back(notice);
    auto text = pack(brief);
    sendTo(follower, PeerMessage::OwnerNotice, text);
    if (!own)
      shared = std::move(text);
  }
}

OwnerHeartbeat CellMember::heartbeatFor(Follower &follower) {
  auto out = newOwnerHeartbeat();
  if (!follower.Self.Active)
    return out;
  out.Replicas =
      holdingsSince(std::exchange(follower.SentHoldings, Holdings.revision()));
  for (const auto &replica : Planner.replicas()) {
    auto total = TotalRunning.find(replica);
    auto own = follower.Running.find(replica);
    std::uint32_t n = total == TotalRunning.end() ? 0 : total->second;
    n -= own == follower.Running.end() ? 0 : std::min(n, own->second);
    auto [it, isNew] = follower.SentRunning.try_emplace(replica, 0);
    if (it->second == n)
      continue;
    it->second = n;
    out.Running.push_back({replica, n});
  }
  return out;
}

void CellMember::addRegistryUpdate(Follower &follower,
                                   OwnerHeartbeat &heartbeat) {
  if (!follower.Positions.Operator || !follower.Positions.Replica)
    return;
  heartbeat.Update = Callbacks.UpdateSince(follower.Positions);
  auto &positions = follower.Positions;
  positions.Operator =
      std::max(positions.Operator, heartbeat.Update.OperatorPosition);
  positions.Replica =
      std::max(positions.Replica, heartbeat.Update.ReplicaPosition);
}

void CellMember::removeExpiredFollowers(Instant now) {
  for (auto it = Followers.begin(); it != Followers.end();) {
    bool gone = it->first != SelfFollower &&
                now - it->second.ReceivedAt > Options.MemberExpiry;
    if (gone)
      dropUses(it->second);
    it = gone ? Followers.erase(it) : std::next(it);
  }
}

void CellMember::broadcast() {
  auto now = TimerService::now();
  bool due = now - BroadcastAt >= Options.HeartbeatInterval;
  auto entriesRevision = EntriesRevision;
  if (due || NodesChanged)
    chooseEntries(now);
  if (due) {
    BroadcastAt = now;
    countRunning();
    removeExpiredFollowers(now);
    updateLeases();
    handOverIfBetter(now);
  }
  recordHoldings();
  bool hasUpdate = std::exchange(UpdateDue, false);
  if (!due && !hasUpdate && entriesRevision == EntriesRevision)
    return;
  for (auto &[id, follower] : Followers)
    sendHeartbeatTo(id, follower);
}

void CellMember::sendHeartbeatTo(std::uint64_t id, Follower &follower) {
  auto heartbeat = heartbeatFor(follower);
  // The owner has its own choices and registry changes already.
  if (id == SelfFollower)
    return onOwnerHeartbeat(heartbeat);
  addRegistryUpdate(follower, heartbeat);
  heartbeat.EchoedSentAtUs = follower.SentAtUs;
  if (follower.SentAtUs)
    heartbeat.EchoHeldUs =
        (TimerService::now() - follower.HeartbeatReceivedAt).count();
  heartbeat.Crashes = takeUnsentCrashes(follower.SentCrashes);
  heartbeat.Limits = takeUnsentLimits(follower.SentLimits);
  heartbeat.Rejections = takeUnsentRejections(follower.SentRejections);
  heartbeat.Leaving = takeUnsentLeaving(follower.SentLeaving);
  auto now = TimerService::now();
  if (follower.Self.Active &&
      now - follower.SpeedsSentAt >= Options.HeartbeatInterval) {
    follower.SpeedsSentAt = now;
    heartbeat.Speeds = takeUnsentSpeeds(follower.SentSpeeds);
  }
  if (std::exchange(follower.SentEntries, EntriesRevision) != EntriesRevision)
    addEntries(heartbeat);
  bool near = follower.Self.FailureDomain == Options.FailureDomain;
  if (near &&
      std::exchange(follower.SentLeases, LeasesRevision) != LeasesRevision)
    heartbeat.Leases = Leases;
  sendTo(follower, PeerMessage::OwnerHeartbeat, pack(heartbeat));
}

void CellMember::sendTo(Follower &follower, PeerMessage kind,
                        const std::string &text) {
  // Between the loss of the lease and the next tick, `Lease` has the next
  // holder's version and no remaining time. Followers that received it would
  // take the new holder's lease as expired.
  if (!Lease->held())
    return;
  bool near = follower.Self.FailureDomain == Options.FailureDomain;
  Traffic.add(kind, near, text.size());
  follower.Stream->send(text);
}

void CellMember::addEntries(OwnerHeartbeat &heartbeat) const {
  heartbeat.EntriesChanged = true;
  for (const auto &domain : Entries) {
    DomainNotice notice{domain.FailureDomain, {}};
    for (const auto &it : domain.Entries)
      notice.Entries.push_back({it.Node,
                                it.CallerAddress,
                                it.RelayAddress,
                                {it.CutOff.begin(), it.CutOff.end()}});
    heartbeat.Entries.push_back(std::move(notice));
  }
}

} // namespace hemlockglade
