// GatewayExchange: attempts at replicas that are slow, which go on until
// another replica can take their request over.

#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

namespace hemlockglade {

namespace {

std::string_view choiceName(const RouteChoice &choice) {
  switch (choice.Result) {
  case RouteChoice::Kind::Send:
    return "no retry budget";
  case RouteChoice::Kind::AwaitLoad:
    return "weights loading";
  case RouteChoice::Kind::AwaitPrefill:
    return "engine reads";
  case RouteChoice::Kind::NotLoaded:
    return "weights missing";
  case RouteChoice::Kind::Full:
    return "replicas full";
  case RouteChoice::Kind::Limited:
    return "replicas at their limits";
  case RouteChoice::Kind::Paused:
    return "replicas pause";
  case RouteChoice::Kind::NoReplica:
    return "no replica usable";
  case RouteChoice::Kind::NoSuchSoftware:
    return "no replica of the stream's software";
  }
  return "";
}

} // namespace

bool GatewayExchange::isReachable(const ReplicaRecord &replica) const {
  try {
    parseEndpoint(replica.Address);
  } catch (const asio::system_error &) {
    return false;
  }
  return !Shared.Paths.Choose ||
         Shared.Paths.Choose(replica, ExcludedRelays).Via !=
             ReplicaPath::Kind::None;
}

RouteChoice GatewayExchange::chooseInstead() {
  RouteChoice out;
  if (timeLeft() < Settings.MinAttemptTime || isListOld() ||
      Shared.Crashes.BarredFor(Subject))
    return out;
  readmitUnconnected();
  auto current = Current->Replica->Incarnation.text();
  bool isAdded = Query.Excluded.insert(current).second;
  out = Shared.View.choose(Query, TimerService::now());
  if (isAdded)
    Query.Excluded.erase(current);
  if (out.Result == RouteChoice::Kind::Send && !isReachable(*out.Replica))
    out.Result = RouteChoice::Kind::NoReplica;
  return out;
}

void GatewayExchange::onSlow() {
  if (GrantPending || WithdrawalPending)
    return keepSlow(GrantPending ? "replica's limit" : "software changes",
                    Settings.DemandReminderInterval);
  if (!canRetry()) {
    // The attempt goes on without a stall timeout; whether it begins too late
    // is still checked.
    leaveQueue(false);
    Current->StalledAt = Instant::max();
    return armAttemptTimer();
  }
  auto choice = chooseInstead();
  queueWhileSlow(choice);
  bool sends = choice.Result == RouteChoice::Kind::Send;
  if (!sends || !holdsGrantOf(choice))
    releaseGrant(Grant);
  if (sends && changesSoftware(choice)) {
    keepSlow("software changes", Settings.DemandReminderInterval);
    return withdrawOrigin();
  }
  if (sends && (needsPlace(choice) || needsRequestGrant(choice))) {
    keepSlow("replica's limit", Settings.DemandReminderInterval);
    return requestGrant(choice);
  }
  if (!sends) {
    reportWhileSlow(choice);
    return keepSlow(choiceName(choice), Settings.DemandReminderInterval);
  }
  if (!reserveRetry("slow")) {
    leaveQueue(false);
    releaseGrant(Grant);
    return keepSlow(choiceName(choice), Current->StallTime);
  }
  Query.Excluded.insert(Current->Replica->Incarnation.text());
  endAttempt(AttemptVerdict::NoValidAnswer);
  send(choice);
}

void GatewayExchange::keepSlow(std::string_view why, Span checkAgainIn) {
  auto now = TimerService::now();
  Current->IsSlow = true;
  Current->StalledAt = now + checkAgainIn;
  armAttemptTimer();
  if (std::exchange(Current->KeptBecause, why) == why)
    return;
  auto lastHeard =
      Current->FirstEventAt ? Current->LastEventAt : Current->SentAt;
  Shared.Log.write(LogClass::Request, "slow-kept",
                   {{"request", Labels.Id},
                    {"replica", Current->Replica->Incarnation.text()},
                    {"silent_ms", now - lastHeard},
                    {"choice", why}});
}

void GatewayExchange::endSlowness() {
  Current->KeptBecause = {};
  if (!std::exchange(Current->IsSlow, false))
    return;
  leaveQueue(false);
  releaseGrant(Grant);
}

void GatewayExchange::queueWhileSlow(RouteChoice &choice) {
  bool hasRoom = choice.Result == RouteChoice::Kind::Send;
  if (!hasRoom && choice.Result != RouteChoice::Kind::Full)
    return leaveQueue(false);
  auto now = TimerService::now();
  if (mustQueue(now))
    choice.Result = RouteChoice::Kind::Full;
  // Others may be sent to the replica that is slow for this request.
  if (!hasRoom && QueueTicket)
    Shared.PlainQueue->deferUntil(Query.Service, QueueTicket,
                                  now + Settings.WaitPollInterval / 2);
}

void GatewayExchange::reportWhileSlow(const RouteChoice &choice) {
  auto now = TimerService::now();
  if (choice.Result == RouteChoice::Kind::NotLoaded && usesEngine()) {
    auto unusable = Query.Excluded;
    unusable.insert(Current->Replica->Incarnation.text());
    return reportMissing(now, unusable);
  }
  if (choice.Result == RouteChoice::Kind::Full ||
      choice.Result == RouteChoice::Kind::AwaitPrefill)
    reportCongestion(now);
}

} // namespace hemlockglade
