// The part of Gateway that maintains metrics and logs its use of the registry
// and of peers.

#include "Hemlockglade/State/Metrics/MetricNames.h"
#include "Programs/hemlockgladed/Gateway/Gateway.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <asio/post.hpp>

namespace hemlockglade {

using namespace gateway;

namespace {

constexpr MetricFamily RequestsFamily{"hemlockglade_requests_total",
                                      "Requests that ended, by result."};
constexpr MetricFamily WorkspaceFamily{
    "hemlockglade_workspace_requests_total",
    "Requests of workspaces that ended, by result: complete, limited, other."};
constexpr MetricFamily FirstByteFamily{
    "hemlockglade_first_byte_seconds",
    "Time from a request's arrival to the first byte of its answer."};
constexpr MetricFamily RequestTimeFamily{
    "hemlockglade_request_seconds",
    "Time from a request's arrival to the end of its answer."};
constexpr MetricFamily HeldFamily{
    "hemlockglade_held_seconds",
    "Time that requests were held before they were first sent to a replica."};
constexpr MetricFamily ReplacedFamily{
    "hemlockglade_replaced_version_seconds",
    "For how long the version that a request was sent for had been replaced, "
    "of requests that were not sent for the newest known."};
constexpr MetricFamily NotBegunFamily{
    "hemlockglade_not_begun_total",
    "Requests with an attempt that was ended because it would have begun on "
    "weights replaced too long ago."};
constexpr MetricFamily HeldRequestsFamily{
    "hemlockglade_held_requests",
    "Requests in the queue of those that are held for engines."};
constexpr MetricFamily HopelessFamily{
    "hemlockglade_hopeless_total",
    "Requests refused at once because no engine could have taken them before "
    "their hold time ended."};
constexpr MetricFamily OrdersFamily{
    "hemlockglade_orders", "Orders to replicas since the start, by cell."};
constexpr MetricFamily CellFamily{
    "hemlockglade_cell_ordering",
    "1 for each cell whose replicas this node may give orders to."};
constexpr MetricFamily RegistryCallsFamily{
    "hemlockglade_registry_calls",
    "Calls to the registry since the start, by what they were for."};
constexpr MetricFamily PeerMessagesFamily{
    "hemlockglade_peer_messages",
    "Messages to other nodes about cells since the start, by kind and by "
    "whether they went to the own failure domain."};
constexpr MetricFamily PeerBytesFamily{
    "hemlockglade_peer_bytes",
    "Bytes of messages to other nodes about cells since the start."};
constexpr MetricFamily InServiceFamily{"hemlockglade_in_service",
                                       "1 if callers are sent to this node."};
constexpr MetricFamily WaitingFamily{"hemlockglade_waiting_requests",
                                     "Requests that wait for a replica."};
constexpr MetricFamily ServingFamily{"hemlockglade_serving_requests",
                                     "Requests that are being served."};
constexpr MetricFamily PlanFamily{"hemlockglade_plan_version",
                                  "Version of the plan in force."};
constexpr MetricFamily DeclaredAgeFamily{
    "hemlockglade_declarations_age_seconds",
    "Time since operators' declarations were surely as this node has them."};
constexpr MetricFamily ReplicasAgeFamily{
    "hemlockglade_replicas_age_seconds",
    "Time since the registered replicas were surely as this node has them."};
constexpr MetricFamily SuspectsFamily{
    "hemlockglade_crash_suspects",
    "Requests under which replicas ended, barred ones among them."};
constexpr MetricFamily BarredFamily{
    "hemlockglade_crash_barred",
    "Requests that are sent to no replica, since several ended under them."};
constexpr MetricFamily SuspectPartsFamily{
    "hemlockglade_crash_suspect_parts",
    "Parts of prompts under which replicas ended, barred ones among them."};
constexpr MetricFamily BarredPartsFamily{
    "hemlockglade_crash_barred_parts",
    "Parts of prompts with which requests are sent to no replica."};
constexpr MetricFamily EndsSeenFamily{
    "hemlockglade_replica_ends_seen",
    "Replicas that this node found gone behind a broken connection."};
constexpr MetricFamily PhaseFamily{
    "hemlockglade_replicas", "Known replicas by the phase of their life."};
constexpr MetricFamily LimitedFamily{
    "hemlockglade_limited_replicas",
    "Replicas that state how many requests they accept from all nodes."};
constexpr MetricFamily RejectionLimitFamily{
    "hemlockglade_rejection_limits",
    "Services whose replicas fail if they have to reject too many requests."};
constexpr MetricFamily PausedFamily{
    "hemlockglade_paused_replicas",
    "Replicas that have asked this node to send them nothing for a time."};
constexpr MetricFamily SentIntoPausesFamily{
    "hemlockglade_sent_into_pauses",
    "Requests since the start that were sent to a replica which had asked this "
    "node for a pause."};
constexpr MetricFamily MinSpeedFamily{
    "hemlockglade_replica_speed_min",
    "Lowest speed factor of a service's replicas: the time that the fastest "
    "takes, relative to the service."};
constexpr MetricFamily MaxSpeedFamily{
    "hemlockglade_replica_speed_max",
    "Highest speed factor of a service's replicas, that of the slowest."};
constexpr MetricFamily RejectedSpeedsFamily{
    "hemlockglade_rejected_speed_reports",
    "Reports about replicas' speeds since the start that were wrong, or not "
    "about a replica in use."};
constexpr MetricFamily NotConnectedFamily{
    "hemlockglade_not_connected_total",
    "Attempts for which no connection to a replica was established."};
constexpr MetricFamily SendingsFamily{
    "hemlockglade_sendings_total",
    "Sendings of requests to replicas, and those of them that were proved not "
    "to have run, by kind."};
constexpr MetricFamily ForeignAnswersFamily{
    "hemlockglade_foreign_answers_total",
    "Answers of replicas that were not taken for the request under way, by "
    "kind: stray ones name another request, unattributed ones name none."};
constexpr MetricFamily ContradictionsFamily{
    "hemlockglade_contradictions_total",
    "Decisions that were withheld since they contradict what is known of a "
    "request's sendings. Each one is a fault."};
constexpr MetricFamily CutOffFamily{
    "hemlockglade_cut_off_services",
    "Services none of whose replicas this node can connect to."};
constexpr MetricFamily RelayedFamily{
    "hemlockglade_relayed_requests",
    "Requests of other nodes that this node has taken to forward to replicas, "
    "since the start."};
constexpr MetricFamily RetriesFamily{
    "hemlockglade_retries",
    "Retries since the start, by service and by whether they were sent or "
    "refused for want of a budget."};
constexpr MetricFamily BudgetRequestsFamily{
    "hemlockglade_retry_budget_requests",
    "Requests since the start that count towards the retry budget."};
constexpr MetricFamily BudgetLeftFamily{
    "hemlockglade_retry_budget_left",
    "Further retries that this node may send at present."};
constexpr MetricFamily AnswerBytesFamily{
    "hemlockglade_answer_bytes_held",
    "Bytes held for answers that are not complete, over all connections."};
constexpr MetricFamily EndlessFamily{
    "hemlockglade_endless_answers_total",
    "Answers that were ended because they went beyond a limit, by kind."};
constexpr MetricFamily LogLeftOutFamily{"hemlockglade_log_lines_left_out",
                                        "Log lines left out by the bound."};

std::string_view resultOf(const GatewayExchange &exchange) {
  if (exchange.status() == TooMany)
    return "limited";
  return isSuccess(exchange.status()) ? "complete" : "other";
}

} // namespace

void Gateway::onEnd(const GatewayExchange &exchange) {
  std::string_view service = exchange.service();
  auto now = TimerService::now();
  Span took = now - exchange.arrivedAt();
  Metrics
      .counter(RequestsFamily,
               {{"service", service}, {"result", exchange.outcome()}})
      .add(1);
  if (auto space = exchange.workspace(); !space.empty())
    Metrics
        .counter(WorkspaceFamily,
                 {{"workspace", space}, {"result", resultOf(exchange)}})
        .add(1);
  if (auto first = exchange.firstByte())
    Metrics.histogram(FirstByteFamily, {{"service", service}})
        .record(inSeconds(*first));
  Metrics.histogram(RequestTimeFamily, {{"service", service}})
      .record(inSeconds(took));
  Metrics.histogram(HeldFamily, {{"service", service}})
      .record(inSeconds(exchange.heldFor()));
  if (auto replaced = exchange.replacedFor())
    Metrics.histogram(ReplacedFamily, {{"service", service}})
        .record(inSeconds(*replaced));
  if (exchange.endedBeforeStart())
    Metrics.counter(NotBegunFamily, {{"service", service}}).add(1);
  if (exchange.hopeless())
    Metrics.counter(HopelessFamily, {{"service", service}}).add(1);
  if (auto n = exchange.connectFailures())
    Metrics.counter(NotConnectedFamily, {{"service", service}}).add(n);
  countSendings(exchange);
  if (exchange.sendings().count() > 0)
    Times.onEnd(exchange.route(), took, now);
  Meter.onBytes(exchange.bodyBytes(), now);
  auto self =
      std::const_pointer_cast<GatewayExchange>(exchange.shared_from_this());
  // The exchange's own functions may still be running; it is destroyed after
  // they have returned.
  asio::post(Context, [self] {});
  Exchanges.erase(self);
}

void Gateway::countSendings(const GatewayExchange &exchange) {
  std::string_view service = exchange.service();
  auto count = [this, service](const MetricFamily &family,
                               std::string_view kind, std::uint32_t n) {
    if (n > 0)
      Metrics.counter(family, {{"service", service}, {"kind", kind}}).add(n);
  };
  count(SendingsFamily, "all", exchange.sendings().count());
  count(SendingsFamily, "not-run", exchange.sendings().notRun());
  count(ForeignAnswersFamily, "stray", exchange.strayAnswers());
  count(ForeignAnswersFamily, "unattributed", exchange.unattributedAnswers());
  // Exposed before the first one, so that its absence shows.
  Metrics.counter(ContradictionsFamily, {{"service", service}})
      .add(exchange.contradictions());
}

void Gateway::refresh() {
  for (const auto &it : View.removeExpired(TimerService::now()))
    Crashes.onEnded(it);
  Pool.tidy();
  Relays.removeExpired(TimerService::now());
  Crashes.removeExpired();
  Port.Tidy();
  std::size_t waiting = 0;
  for (const auto &it : Exchanges)
    waiting += it->waiting() ? 1 : 0;
  for (const auto &[name, cell] : Cells) {
    Metrics.gauge(OrdersFamily, {{"cell", name}})
        .set(static_cast<double>(cell->orders()));
    Metrics.gauge(CellFamily, {{"cell", name}})
        .set(cell->lease().mayOrder() ? 1 : 0);
  }
  Held.removeExpired(TimerService::now());
  Metrics.gauge(HeldRequestsFamily).set(static_cast<double>(Held.size()));
  Metrics.gauge(WaitingFamily).set(static_cast<double>(waiting));
  Metrics.gauge(ServingFamily).set(static_cast<double>(Exchanges.size()));
  Metrics.gauge(PlanFamily)
      .set(Plan ? static_cast<double>(Plan->version()) : 0);
  Metrics.gauge(DeclaredAgeFamily).set(inSeconds(Watcher->operatorAge()));
  Metrics.gauge(ReplicasAgeFamily).set(inSeconds(Watcher->replicasAge()));
  Metrics.gauge(LogLeftOutFamily).set(static_cast<double>(Log.dropped()));
  Metrics.gauge(InServiceFamily).set(InService ? 1 : 0);
  Metrics.gauge(SuspectsFamily).set(static_cast<double>(Crashes.suspects()));
  Metrics.gauge(BarredFamily).set(static_cast<double>(Crashes.barred()));
  Metrics.gauge(SuspectPartsFamily)
      .set(static_cast<double>(Crashes.suspectParts()));
  Metrics.gauge(BarredPartsFamily)
      .set(static_cast<double>(Crashes.barredParts()));
  for (const auto &[phase, n] : View.phaseCounts())
    Metrics.gauge(PhaseFamily, {{"phase", replicaPhaseName(phase)}})
        .set(static_cast<double>(n));
  Metrics.gauge(LimitedFamily).set(static_cast<double>(View.limitedCount()));
  Metrics.gauge(RejectionLimitFamily)
      .set(static_cast<double>(View.rejectionLimits().size()));
  Metrics.gauge(PausedFamily)
      .set(static_cast<double>(View.paused(TimerService::now()).size()));
  Metrics.gauge(SentIntoPausesFamily)
      .set(static_cast<double>(View.sentIntoPauses()));
  for (const auto &[service, it] : View.speedRanges()) {
    Metrics.gauge(MinSpeedFamily, {{"service", service}}).set(it.Min);
    Metrics.gauge(MaxSpeedFamily, {{"service", service}}).set(it.Max);
  }
  Metrics.gauge(RejectedSpeedsFamily)
      .set(static_cast<double>(View.rejectedSpeeds()));
  Quotas.logPlaces();
  Metrics.gauge(CutOffFamily).set(static_cast<double>(Reach.cutOff().size()));
  Metrics.gauge(RelayedFamily).set(static_cast<double>(Relay->total()));
  Metrics.gauge(EndsSeenFamily).set(static_cast<double>(Crashes.ended()));
  updateSoftware();
  Streams.tick();
  refreshUsage();
  refreshRetryBudgets();
  refreshMemory();
  refreshAnswers();
  refreshPlaces();
}

void Gateway::refreshMemory() {
  Metrics.gauge(metric::RequestBytes)
      .set(static_cast<double>(Memory->bytes(HeldKind::Request)));
  Metrics.gauge(AnswerBytesFamily)
      .set(static_cast<double>(Memory->bytes(HeldKind::Answer)));
  Metrics.gauge(metric::UnreadBytes)
      .set(static_cast<double>(Memory->bytes(HeldKind::Unread)));
  for (std::size_t it = 0; it < HeldMemory::Kinds; ++it) {
    auto kind = static_cast<HeldKind>(it);
    auto n = Memory->ended(kind);
    auto since = n - std::exchange(EndedShares[it], n);
    Metrics.counter(metric::EndedForMemory, {{"kind", heldKindName(kind)}})
        .add(since);
    if (since > 0)
      Log.write(LogClass::State, "ended-for-memory",
                {{"kind", heldKindName(kind)},
                 {"ended", since},
                 {"limit", std::uint64_t{Memory->maxBytes(kind)}},
                 {"bytes_held", std::uint64_t{Memory->bytes(kind)}},
                 {"most_bytes_held", std::uint64_t{Memory->peakBytes(kind)}}});
  }
}

void Gateway::refreshPlaces() {
  const std::array<std::pair<std::string_view, const CallerServer *>, 4> all{
      {{"callers", Callers.get()},
       {"directory", Directory.get()},
       {"readiness", Readiness.get()},
       {"metrics", MetricsServer.get()}}};
  for (const auto &[listener, server] : all) {
    if (!server)
      continue;
    auto n = server->closedIdle() + server->closedIncomplete() +
             server->turnedAway();
    auto since = n - std::exchange(LoggedPlaces[listener], n);
    auto set = [&, name = listener](std::string_view was, std::uint64_t count) {
      Metrics.gauge(metric::ClosedForRoom, {{"listener", name}, {"was", was}})
          .set(static_cast<double>(count));
    };
    set("idle", server->closedIdle());
    set("incomplete", server->closedIncomplete());
    set("new", server->turnedAway());
    if (since > 0)
      Log.write(LogClass::State, "closed-for-room",
                {{"listener", listener},
                 {"closed", since},
                 {"open", static_cast<std::uint64_t>(server->connections())}});
  }
}

void Gateway::refreshAnswers() {
  for (std::size_t it = 0; it < HeldMemory::EndlessKinds; ++it) {
    auto kind = static_cast<EndlessKind>(it);
    auto n = Memory->endless(kind);
    auto since = n - std::exchange(EndlessAnswers[it], n);
    Metrics.counter(EndlessFamily, {{"kind", endlessKindName(kind)}})
        .add(since);
    if (since > 0)
      Log.write(LogClass::State, "endless-answers",
                {{"kind", endlessKindName(kind)},
                 {"ended", since},
                 {"bytes_held", std::uint64_t{Memory->bytes(HeldKind::Answer)}},
                 {"most_bytes_held",
                  std::uint64_t{Memory->peakBytes(HeldKind::Answer)}}});
  }
}

void Gateway::refreshRetryBudgets() {
  auto now = TimerService::now();
  auto since = std::exchange(BudgetsLoggedAt, now);
  for (const auto &[service, it] : Budget.usage(now)) {
    Metrics.gauge(RetriesFamily, {{"service", service}, {"result", "sent"}})
        .set(static_cast<double>(it.Sent));
    Metrics.gauge(RetriesFamily, {{"service", service}, {"result", "refused"}})
        .set(static_cast<double>(it.Refused));
    Metrics.gauge(BudgetRequestsFamily, {{"service", service}})
        .set(static_cast<double>(it.Requests));
    Metrics.gauge(BudgetLeftFamily, {{"service", service}}).set(it.Left);
    auto before = std::exchange(LoggedBudgets[service], it);
    if (it.Sent == before.Sent && it.Refused == before.Refused)
      continue;
    Log.write(LogClass::State, "retry-budget",
              {{"service", service},
               {"over_ms", now - since},
               {"requests", it.Requests - before.Requests},
               // Below 0 if more were withdrawn than sent.
               {"sent", static_cast<std::int64_t>(it.Sent - before.Sent)},
               {"refused", it.Refused - before.Refused},
               {"reserved", it.Reserved},
               {"left", it.Left},
               {"fixed_share", Budget.fixedShare(now)}});
  }
}

void Gateway::refreshUsage() {
  auto calls = Port.Calls();
  auto setCalls = [this](std::string_view kind, std::uint64_t n) {
    Metrics.gauge(RegistryCallsFamily, {{"kind", kind}})
        .set(static_cast<double>(n));
  };
  setCalls("operator", calls.Operator);
  setCalls("replicas", calls.Replicas);
  setCalls("lease_reads", calls.LeaseReads);
  setCalls("lease_writes", calls.LeaseWrites);
  for (std::size_t it = 0; it < PeerTraffic::Kinds; ++it)
    for (bool near : {true, false}) {
      auto kind = static_cast<PeerMessage>(it);
      const auto &sum = Traffic.sum(kind, near);
      auto name = peerMessageName(kind);
      std::string_view to = near ? "own" : "another";
      Metrics.gauge(PeerMessagesFamily, {{"kind", name}, {"to", to}})
          .set(static_cast<double>(sum.Messages));
      Metrics.gauge(PeerBytesFamily, {{"kind", name}, {"to", to}})
          .set(static_cast<double>(sum.Bytes));
    }
}

void Gateway::logUsage() {
  auto calls = Port.Calls();
  auto bytes = [this](PeerMessage kind, bool near) {
    return Traffic.sum(kind, near).Bytes;
  };
  Log.write(LogClass::State, "usage",
            {{"in_service", InService},
             {"calls_operator", calls.Operator},
             {"calls_replicas", calls.Replicas},
             {"calls_lease_reads", calls.LeaseReads},
             {"calls_lease_writes", calls.LeaseWrites},
             {"node_beats_near", bytes(PeerMessage::NodeHeartbeat, true)},
             {"node_beats_far", bytes(PeerMessage::NodeHeartbeat, false)},
             {"node_notices_near", bytes(PeerMessage::NodeNotice, true)},
             {"node_notices_far", bytes(PeerMessage::NodeNotice, false)},
             {"owner_beats_near", bytes(PeerMessage::OwnerHeartbeat, true)},
             {"owner_beats_far", bytes(PeerMessage::OwnerHeartbeat, false)},
             {"owner_notices_near", bytes(PeerMessage::OwnerNotice, true)},
             {"owner_notices_far", bytes(PeerMessage::OwnerNotice, false)},
             {"quota_asks_near", bytes(PeerMessage::QuotaRequest, true)},
             {"quota_asks_far", bytes(PeerMessage::QuotaRequest, false)},
             {"quota_grants_near", bytes(PeerMessage::QuotaGrant, true)},
             {"quota_grants_far", bytes(PeerMessage::QuotaGrant, false)},
             {"streams_near", bytes(PeerMessage::StreamNotice, true)},
             {"streams_far", bytes(PeerMessage::StreamNotice, false)}});
}

} // namespace hemlockglade
