#include "Programs/hemlockgladed/Gateway/CellMember.h"

#include <cmath>

namespace hemlockglade {

namespace {

/// A stream to an owner that is silent for this long is closed and reopened.
constexpr auto OwnerTimeout = std::chrono::milliseconds(1500);
/// Time between two attempts to connect to an owner.
constexpr auto ReopenInterval = std::chrono::milliseconds(300);

} // namespace

CellMember::CellMember(Settings settings, Hooks hooks, ReplicaView &view,
                       PeerNet &net, PeerTraffic &traffic, EventLog &log)
    : Options(std::move(settings)), Callbacks(std::move(hooks)), View(view),
      Net(net), Traffic(traffic), Log(log), Planner(Options.Placement) {
  Lease = std::make_shared<CellLease>(
      Options.Cell, Options.Lease, Callbacks.Table,
      [] { return TimerService::now(); },
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
      [this] {
        auto notes = Callbacks.Crashes->notes();
        return Callbacks.WriteNotes ? notes + Callbacks.WriteNotes() : notes;
      },
      [this](const std::string &notes) {
        Callbacks.Crashes->onNotes(notes);
        if (Callbacks.OnNotes)
          Callbacks.OnNotes(notes);
      });
}

void CellMember::tick() {
  bool follows = Callbacks.Follows();
  bool isStandby = !Callbacks.Self().Active;
  CutOff = isCutOffFromEngines();
  // Only nodes in service compete for the cells of other failure domains.
  if (!isStandby || Options.Cell == Options.FailureDomain || Lease->held()) {
    Lease->tick(Options.TakeoverDelay +
                    (isStandby ? Options.StandbyTakeoverDelay : Span(0)) +
                    (CutOff ? Options.CutOffTakeoverDelay : Span(0)),
                isStandby ? Options.StandbyReadInterval + Options.StandbyJitter
                          : Span(0));
  }
  if (Lease->held())
    runAsOwner();
  else if (Owning)
    stopOwning();
  if (!Owning && follows)
    follow();
  else if (!Owning && Owner)
    unfollow("stands by");
  auto now = TimerService::now();
  if (HeartbeatDue || now - HeartbeatAt >= Options.HeartbeatInterval)
    sendHeartbeat();
  if (Owning)
    broadcast();
}

void CellMember::releaseLease() { Lease->release(); }

bool CellMember::isUpToDate() const {
  return Owning ||
         TimerService::now() - OwnerReceivedAt < Options.MemberTimeout;
}

const std::vector<DomainEntries> *CellMember::servingEntries() const {
  return isUpToDate() && (Owning || EntriesReceived) ? &Entries : nullptr;
}

Span CellMember::silentFor() const {
  return Owning ? Span(0)
                : TimerService::now() - std::max(OwnerReceivedAt, StartedAt);
}

bool CellMember::canOrder() const {
  return Owning ? Lease->mayOrder() && !CutOff : OwnerOrders && isUpToDate();
}

void CellMember::onVersion(const WeightsRef &weights, std::uint64_t version) {
  Planner.setVersion(weights, version);
}

void CellMember::onRegistryUpdate() {
  if (!Owning)
    return;
  UpdateDue = true;
  planSoon();
}

void CellMember::sendUpdateSoon() {
  if (!Owning) {
    HeartbeatDue = true;
    return;
  }
  UpdateDue = true;
  planSoon();
}

void CellMember::mergeCrashes(const std::vector<CrashNotice> &crashes,
                              std::uint64_t &sentRevision) {
  bool upToDate = sentRevision == Callbacks.Crashes->revision();
  Callbacks.Crashes->onPeerRecords(crashes);
  if (upToDate)
    sentRevision = Callbacks.Crashes->revision();
}

std::vector<CrashNotice>
CellMember::takeUnsentCrashes(std::uint64_t &sentRevision) const {
  return Callbacks.Crashes->since(
      std::exchange(sentRevision, Callbacks.Crashes->revision()));
}

void CellMember::mergeLimits(const std::vector<LimitNotice> &limits) {
  auto now = TimerService::now();
  for (const auto &it : limits) {
    bool valid = std::isfinite(it.PerSecond) && it.PerSecond > 0;
    Callbacks.OnLimit({it.Replica,
                       valid ? std::optional(it.PerSecond) : std::nullopt,
                       now - std::max(Span(0), Span(it.AgeUs))});
  }
}

std::vector<LimitNotice>
CellMember::takeUnsentLimits(std::uint64_t &sentRevision) const {
  auto now = TimerService::now();
  std::vector<LimitNotice> out;
  for (const auto &it : View.limitsSince(
           Options.Cell, std::exchange(sentRevision, View.limitRevision())))
    out.push_back(
        {it.Replica, it.PerSecond.value_or(0), (now - it.StatedAt).count()});
  return out;
}

void CellMember::mergeRejections(const std::vector<RejectionNotice> &limits) {
  auto now = TimerService::now();
  for (const auto &it : limits) {
    bool valid = std::isfinite(it.PerSecond) && it.PerSecond > 0;
    Callbacks.OnRejectionLimit(
        {it.Service, valid ? std::optional(it.PerSecond) : std::nullopt,
         now - std::max(Span(0), Span(it.AgeUs))});
  }
}

std::vector<RejectionNotice>
CellMember::takeUnsentRejections(std::uint64_t &sentRevision) const {
  auto now = TimerService::now();
  const auto &limits = View.rejectionLimits();
  std::vector<RejectionNotice> out;
  for (const auto &it :
       limits.since(std::exchange(sentRevision, limits.revision())))
    out.push_back(
        {it.Service, it.PerSecond.value_or(0), (now - it.StatedAt).count()});
  return out;
}

void CellMember::mergeLeaving(const std::vector<std::string> &replicas) {
  for (const auto &it : replicas)
    if (Callbacks.OnLeaving)
      Callbacks.OnLeaving(it);
}

std::vector<std::string>
CellMember::takeUnsentLeaving(std::uint64_t &sentRevision) const {
  return View.leavingSince(Options.Cell,
                           std::exchange(sentRevision, View.leavingRevision()));
}

std::vector<SpeedNotice> CellMember::takeSpeedNotices() {
  auto now = TimerService::now();
  std::vector<SpeedNotice> out;
  // Heartbeats about something urgent do not carry more of them.
  if (now - SpeedsTakenAt < Options.HeartbeatInterval)
    return out;
  SpeedsTakenAt = now;
  View.refreshSpeeds(now);
  for (const auto &it : View.takeSpeedSamples(Options.Cell))
    out.push_back({it.Replica, it.Samples.Count, it.Samples.Factor});
  // The owner's own samples are in its factors already.
  if (Owning)
    out.clear();
  return out;
}

std::vector<MergedSpeedNotice>
CellMember::takeUnsentSpeeds(std::uint64_t &sentRevision) const {
  std::vector<MergedSpeedNotice> out;
  for (const auto &it :
       View.takeSpeedsSince(Options.Cell, sentRevision, TimerService::now()))
    out.push_back({it.Replica, it.Factor, it.Age.count()});
  return out;
}

void CellMember::onDemand(const std::string &service, const WeightsRef &weights,
                          bool waiting, std::uint32_t unusable) {
  auto &notice = Demand[{service, weights}];
  notice.Service = service;
  notice.Weights = weights.text();
  notice.Requests += waiting ? 0 : 1;
  if (waiting && !notice.Waiting)
    HeartbeatDue = true;
  notice.Waiting = notice.Waiting || waiting;
  notice.Unusable = std::max(notice.Unusable, unusable);
  notice.WaitingRequests += waiting ? 1 : 0;
  if (HeartbeatDue)
    sendHeartbeat();
}

void CellMember::onCongested(const std::string &service,
                             const WeightsRef &weights) {
  auto &notice = Demand[{service, weights}];
  notice.Service = service;
  notice.Weights = weights.text();
  notice.Congested = true;
  ++notice.WaitingRequests;
}

void CellMember::onSent(const std::string &replica, std::uint32_t tokens,
                        const WeightsRef &weights) {
  Sent.push_back({replica, tokens});
  Uses.push_back({replica, weights.text(), 1});
  flushSoon();
}

void CellMember::onDone(const std::string &replica, const WeightsRef &weights) {
  // An end is not urgent: it goes out with the next heartbeat or notice.
  Uses.push_back({replica, weights.text(), -1});
}

std::vector<UseNotice> CellMember::allUses() const {
  std::vector<UseNotice> out;
  for (const auto &[key, n] : View.ownRunningByWeights(Options.Cell))
    out.push_back({key.first, key.second.text(), static_cast<std::int32_t>(n)});
  return out;
}

void CellMember::onUses(Follower &from, const std::vector<UseNotice> &uses) {
  for (const auto &it : uses) {
    from.Uses[{it.Replica, it.Weights}] += it.Change;
    Planner.onUse(it.Replica, WeightsRef::parse(it.Weights), it.Change);
  }
}

void CellMember::dropUses(Follower &follower) {
  for (const auto &[key, n] : std::exchange(follower.Uses, {}))
    Planner.onUse(key.first, WeightsRef::parse(key.second), -n);
}

void CellMember::flushSoon() {
  if (std::exchange(FlushDue, true))
    return;
  Callbacks.After(flushInterval(), [this, alive = Alive] {
    if (*alive)
      flush();
  });
}

void CellMember::flush() {
  FlushDue = false;
  if (Owning) {
    onUses(Followers[SelfFollower], std::exchange(Uses, {}));
    onSentNotices(SelfFollower, std::exchange(Sent, {}));
    return sendNotices();
  }
  NodeHeartbeat brief;
  brief.Brief = true;
  brief.Sent = std::exchange(Sent, {});
  brief.Uses = std::exchange(Uses, {});
  sendToOwner(PeerMessage::NodeNotice, brief);
}

void CellMember::sendToOwner(PeerMessage kind, const NodeHeartbeat &heartbeat) {
  if (!Owner)
    return;
  auto text = pack(heartbeat);
  Traffic.add(kind, Options.Cell == Options.FailureDomain, text.size());
  Owner->send(text);
}

void CellMember::onRefusal(const std::string &replica,
                           const WeightsRef &weights, bool missing) {
  Refusals.push_back({replica, weights.text(), missing});
}

NodeHeartbeat CellMember::takeHeartbeat() {
  NodeHeartbeat out;
  out.Self = Callbacks.Self();
  out.SentAtUs = TimerService::now().count();
  for (const auto &[replica, n] : View.ownRunning(Options.Cell))
    out.Running.push_back({replica, n});
  for (auto &[key, notice] : std::exchange(Demand, {}))
    out.Demand.push_back(std::move(notice));
  out.Refusals = std::exchange(Refusals, {});
  out.Uses = std::exchange(Uses, {});
  out.KnownPositions = Callbacks.KnownPositions();
  auto load = Callbacks.Load();
  out.RequestsPerSecond = load.Requests;
  out.BytesPerSecond = load.Bytes;
  if (!Owning)
    out.Crashes = takeUnsentCrashes(CrashesSentToOwner);
  if (!Owning)
    out.Limits = takeUnsentLimits(LimitsSentToOwner);
  if (!Owning)
    out.Rejections = takeUnsentRejections(RejectionsSentToOwner);
  if (!Owning)
    out.Leaving = takeUnsentLeaving(LeavingSentToOwner);
  out.Speeds = takeSpeedNotices();
  auto now = TimerService::now();
  for (const auto &[replica, until] : View.pausedIn(Options.Cell, now))
    out.Pauses.push_back({replica, (until - now).count()});
  auto reachRevision = Callbacks.ReachRevision();
  if (Owning || std::exchange(ReachSentToOwner, reachRevision) != reachRevision)
    out.Reach.push_back(Callbacks.Reach());
  return out;
}

void CellMember::sendHeartbeat() {
  HeartbeatDue = false;
  HeartbeatAt = TimerService::now();
  if (Owning) {
    onNodeHeartbeat(SelfFollower, takeHeartbeat());
    return;
  }
  if (Owner)
    sendToOwner(PeerMessage::NodeHeartbeat, takeHeartbeat());
}

void CellMember::follow() {
  auto now = TimerService::now();
  const auto &row = Lease->row();
  if (Owner && now - std::max(OwnerReceivedAt, OpenedAt) > OwnerTimeout) {
    Net.drop(OwnerAddress);
    unfollow("silent");
  }
  if (!row || row->Released || row->Address.empty())
    return;
  if (Owner && OwnerAddress == row->Address)
    return;
  if (now - OpenedAt < ReopenInterval)
    return;
  unfollow("another owner");
  OpenedAt = now;
  OwnerAddress = row->Address;
  PeerHooks hooks;
  auto self = std::make_shared<std::weak_ptr<PeerStream>>();
  hooks.OnMessage = [this, alive = Alive, self](std::string_view message) {
    if (!*alive || self->lock() != Owner)
      return;
    auto heartbeat = unpack<OwnerHeartbeat>(message);
    if (heartbeat)
      onOwnerHeartbeat(*heartbeat);
    else
      Log.write(LogClass::State, "message-refused",
                {{"what", "owner beat"}, {"cell", Options.Cell}});
  };
  hooks.OnClosed = [this, alive = Alive, self](bool) {
    if (*alive && self->lock() == Owner)
      unfollow("closed");
  };
  CrashesSentToOwner = 0;
  LimitsSentToOwner = 0;
  RejectionsSentToOwner = 0;
  LeavingSentToOwner = 0;
  ReachSentToOwner = 0;
  auto first = takeHeartbeat();
  first.Uses = allUses();
  Owner = Net.open(OwnerAddress, std::string(peer_path::Cell) + Options.Cell,
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
  // A new owner's first messages need not list the nodes in service, and those
  // that the previous owner listed may have failed, that owner among them.
  EntriesReceived = false;
  Callbacks.OnServingEntries();
  View.onOwnerLost(Options.Cell);
  Log.write(LogClass::State, "owner-lost",
            {{"cell", Options.Cell},
             {"address", OwnerAddress},
             {"why", why},
             {"heard", OwnerReceivedAt >= OpenedAt},
             {"heard_ms_ago",
              TimerService::now() - std::max(OwnerReceivedAt, OpenedAt)}});
}

void CellMember::onHoldings(const ReplicaNotice &notice, Instant now) {
  Residency held;
  for (const auto &it : notice.Held)
    held[WeightsRef::parse(it.Weights)] = {
        it.Version, it.ReadyInUs ? now + Span(it.ReadyInUs) : Instant{},
        it.Evicting};
  if (notice.Complete)
    return View.onResidency(notice.Replica, std::move(held), now);
  std::vector<WeightsRef> dropped;
  for (const auto &it : notice.Dropped)
    dropped.push_back(WeightsRef::parse(it));
  View.onResidencyChange(notice.Replica, held, dropped);
}

void CellMember::onEntries(const std::vector<DomainNotice> &received) {
  Entries.clear();
  for (const auto &domain : received) {
    DomainEntries entries{domain.FailureDomain, {}};
    for (const auto &it : domain.Entries)
      entries.Entries.push_back({it.Node,
                                 it.CallerAddress,
                                 {},
                                 it.RelayAddress,
                                 {it.CutOff.begin(), it.CutOff.end()}});
    Entries.push_back(std::move(entries));
  }
  EntriesReceived = true;
  Callbacks.OnServingEntries();
}

Instant CellMember::sentAfter(const OwnerHeartbeat &heartbeat, Instant now) {
  if (!heartbeat.EchoedSentAtUs)
    return LongAgo;
  auto held = std::max(Span(0), Span(heartbeat.EchoHeldUs));
  return std::min(now, Instant(heartbeat.EchoedSentAtUs) + held);
}

void CellMember::onOwnerHeartbeat(const OwnerHeartbeat &heartbeat) {
  auto now = TimerService::now();
  if (now - OwnerReceivedAt > OwnerTimeout)
    Log.write(LogClass::State, "owner-heard",
              {{"cell", Options.Cell},
               {"address", OwnerAddress},
               {"fence", heartbeat.Fence}});
  OwnerReceivedAt = now;
  OwnerOrders = heartbeat.Ordering;
  Lease->onHolderHeartbeat(heartbeat.LeaseVersion, Span(heartbeat.RemainingUs));
  for (const auto &it : heartbeat.Replicas)
    onHoldings(it, now);
  for (const auto &it : heartbeat.Sent)
    View.onSentElsewhere(it.Replica, it.Tokens, now);
  for (const auto &it : heartbeat.Running)
    View.onRunningElsewhere(it.Replica, it.Running, now);
  for (const auto &[cell, row] : heartbeat.Leases)
    Callbacks.OnLease(cell, row);
  if (heartbeat.EntriesChanged)
    onEntries(heartbeat.Entries);
  Callbacks.OnUpdate(heartbeat.Update, sentAfter(heartbeat, now));
  mergeCrashes(heartbeat.Crashes, CrashesSentToOwner);
  mergeLimits(heartbeat.Limits);
  mergeRejections(heartbeat.Rejections);
  mergeLeaving(heartbeat.Leaving);
  for (const auto &it : heartbeat.Speeds)
    View.onMergedSpeed({it.Replica, it.Factor, Span(it.AgeUs)}, now);
  // What other nodes send is reported on the same way.
  if (heartbeat.EchoedSentAtUs)
    View.onNewsDelay(Options.Cell, now - sentAfter(heartbeat, now));
  if (!heartbeat.Replicas.empty())
    Callbacks.OnChanged();
}

} // namespace hemlockglade
