// The part of Gateway that knows which replicas this node can connect to, and
// finds other nodes that forward requests to those it can't.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include "Hemlockglade/Transport/Http1/ListenProbe.h"
#include "Hemlockglade/Transport/Http1/SocketOptions.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// As long as a request's own attempt to connect.
constexpr auto PathProbeTimeout = std::chrono::milliseconds(400);

/// Bytes that a node's own fields may add to the head of a caller's request.
constexpr std::size_t MaxAddedHeadBytes = 4096;

} // namespace

void Gateway::startRelay() {
  RelayService::Settings options;
  options.Address = Settings.Address + ":" + std::to_string(Settings.RelayPort);
  RelayService::Hooks hooks;
  hooks.Find = [this](std::string_view incarnation) {
    return View.findUsable(incarnation);
  };
  hooks.IsCutOff = [this](const std::string &service) {
    return Reach.isCutOff(service);
  };
  hooks.PausedFor = [this](const ReplicaRecord &replica) {
    return View.pausedFor(replica.Incarnation.text(), TimerService::now());
  };
  hooks.OnAnswer = SharedContext.OnAnswer;
  hooks.Stopping = [this] { return Stopping; };
  hooks.Bounds = [bounds = callerHooks().Bounds] {
    auto out = bounds();
    out.MaxHeadBytes += MaxAddedHeadBytes;
    return out;
  };
  hooks.Memory = Memory;
  hooks.OnConnected = [this](const ReplicaRecord &replica) {
    Reach.onConnected(replica, TimerService::now());
  };
  hooks.OnHeard = [this](const ReplicaRecord &replica) {
    Reach.onHeard(replica, TimerService::now());
  };
  hooks.OnConnectFailed = [this](const ReplicaRecord &replica) {
    Reach.onConnectFailed(replica, TimerService::now());
  };
  hooks.ProbeEnded = [this](const ReplicaRecord &replica, auto done) {
    probeEnded(replica, std::move(done));
  };
  Relay = std::make_unique<RelayService>(
      Context, std::move(options), std::move(hooks), Port.Labels, Pool, Log);
}

PathHooks Gateway::pathHooks() {
  PathHooks hooks;
  hooks.IsCutOff = [this](const std::string &service) {
    return Reach.isCutOff(service);
  };
  hooks.Choose = [this](const ReplicaRecord &replica, const auto &excluded) {
    return choosePath(replica, excluded);
  };
  hooks.OnSent = [this](const ReplicaRecord &replica) {
    Reach.onSent(replica, TimerService::now());
  };
  hooks.OnConnected = [this](const ReplicaRecord &replica) {
    Reach.onConnected(replica, TimerService::now());
  };
  hooks.OnHeard = [this](const ReplicaRecord &replica) {
    Reach.onHeard(replica, TimerService::now());
  };
  hooks.OnBroken = [this](const ReplicaRecord &replica) {
    Reach.onBroken(replica, TimerService::now());
  };
  hooks.OnConnectFailed = [this](const ReplicaRecord &replica) {
    Reach.onConnectFailed(replica, TimerService::now());
  };
  hooks.OnRelaySent = [this](const std::string &relay) {
    Relays.onSent(relay);
  };
  hooks.OnRelayEnd = [this](const std::string &relay) { Relays.onEnd(relay); };
  hooks.OnRelayFault = [this](const std::string &relay,
                              const std::string &service, RelayFault why) {
    auto now = TimerService::now();
    if (why == RelayFault::Unreachable)
      Relays.onUnreachable(relay, now);
    else if (why == RelayFault::CutOff)
      Relays.onCutOff(relay, service, now);
  };
  return hooks;
}

ReplicaPath Gateway::choosePath(const ReplicaRecord &replica,
                                const std::set<std::string> &excludedRelays) {
  if (!Reach.isCutOff(replica.Service))
    return {};
  RelaySelector::Query query;
  query.Service = replica.Service;
  query.ReplicaDomain = replica.FailureDomain;
  query.OwnNode = Settings.Name;
  query.OwnDomain = Settings.FailureDomain;
  query.Excluded = excludedRelays;
  // An owner that is cut off hands its cell over, and the next one lists the
  // nodes in service only after a while.
  auto relay =
      Relays.choose(Entries.lastKnown(), query, Random(), TimerService::now());
  if (relay)
    return {ReplicaPath::Kind::Relayed, *relay};
  // Where nobody else reaches the service either, its replicas have failed or
  // may be back at any moment.
  return {excludedRelays.empty() ? ReplicaPath::Kind::Direct
                                 : ReplicaPath::Kind::None,
          {}};
}

void Gateway::checkReach() {
  auto now = TimerService::now();
  for (const auto &it : Reach.takeProbes(now))
    if (!View.isPaused(it->Incarnation.text(), now))
      probePath(it);
  for (const auto &it : Reach.takeChanges())
    onReachChange(it);
  updateReachNotice();
}

void Gateway::probePath(const ReplicaPtr &replica,
                        const std::function<void(bool reached)> &done) {
  probeListener(
      Context, parseEndpoint(replica->Address), PathProbeTimeout,
      [this, replica, done](Listening result) {
        bool reached = result == Listening::Yes;
        auto now = TimerService::now();
        if (reached)
          Reach.onConnected(*replica, now);
        else
          Reach.onConnectFailed(*replica, now);
        if (done)
          done(reached);
      },
      parseLocalAddress(Settings.OutgoingAddress));
}

void Gateway::probeOthers(const ReplicaRecord &replica,
                          std::function<void(bool reaches)> done) {
  // As many as must fail for the verdict that this node is cut off.
  const auto count = ReplicaReach::Settings{}.MinFailed;
  auto others = View.replicasOf(replica.Service);
  std::erase_if(others, [&replica](const auto &it) {
    return it->Incarnation == replica.Incarnation;
  });
  if (others.empty())
    return done(true);
  std::erase_if(others, [this](const auto &it) {
    return View.isPaused(it->Incarnation.text(), TimerService::now());
  });
  if (others.empty())
    return done(false);
  std::shuffle(others.begin(), others.end(), Random);
  others.resize(std::min(others.size(), count));
  struct Pending {
    std::size_t Open = 0;
    std::function<void(bool reaches)> Done;
  };
  auto pending = std::make_shared<Pending>();
  pending->Open = others.size();
  pending->Done = std::move(done);
  for (const auto &it : others)
    probePath(it, [pending](bool reached) {
      bool isLast = --pending->Open == 0;
      if (!pending->Done || (!reached && !isLast))
        return;
      std::exchange(pending->Done, nullptr)(reached);
    });
}

void Gateway::onReachChange(const ReplicaReach::Change &change) {
  Log.write(
      LogClass::State, change.IsCutOff ? "cut-off" : "reached-again",
      {{"service", change.Service},
       {"replicas",
        static_cast<std::uint64_t>(View.replicasOf(change.Service).size())},
       {"failed", static_cast<std::uint64_t>(change.Failed)},
       {change.IsCutOff ? "first_failed_ms_ago" : "lasted_ms", change.Since}});
  if (change.IsCutOff) {
    // Connections that are open may be silent without having ended.
    for (const auto &it : View.replicasOf(change.Service))
      Pool.drop(parseEndpoint(it->Address));
    auto open = Exchanges;
    for (const auto &it : open)
      it->onCutOff(change.Service);
  }
  wakeWaiting();
}

ReachNotice Gateway::reachNotice() const {
  return {Settings.Address + ":" + std::to_string(Relay->port()),
          Reach.reached(TimerService::now()), Reach.cutOff()};
}

void Gateway::updateReachNotice() {
  auto notice = reachNotice();
  if (notice == ToldReach)
    return;
  bool isUrgent = notice.CutOff != ToldReach.CutOff;
  ToldReach = std::move(notice);
  ++ReachRevision;
  if (!isUrgent)
    return;
  for (auto &[name, cell] : Cells)
    cell->sendHeartbeat();
}

} // namespace hemlockglade
