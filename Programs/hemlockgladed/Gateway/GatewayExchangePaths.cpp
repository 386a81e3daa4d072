// GatewayExchange: the path of a request to its replica, directly or through
// another node, and attempts that got no connection.

#include "Hemlockglade/Transport/Http1/RelayFields.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

namespace {

/// Priorities at engines are 0 to 9, of which 9 is the least urgent.
constexpr std::uint32_t LowestRank = 9;

} // namespace

HttpRequestHead GatewayExchange::headFor(const RouteChoice &choice,
                                         const ReplicaPath &path,
                                         std::uint64_t sendingNumber) const {
  ForwardLabels labels;
  labels.TimeLeft = timeLeft();
  labels.Incarnation = choice.Replica->Incarnation.id();
  if (usesEngine())
    labels.Priority = std::min(LowestRank, Query.Rank);
  if (usesEngine() && choice.Version)
    labels.Version = choice.Version;
  labels.ResumeBehind = LastEventId;
  labels.Workspace = workspace();
  HttpRequestHead head{Request.Head.Method, Request.Head.Target, {}};
  head.Fields = fieldsOf(Shared.Labels.Forward(Fields, labels));
  relay_field::eraseAll(head.Fields);
  if (!Body->empty() || findField(Request.Head.Fields, "Content-Length"))
    head.Fields.push_back({"Content-Length", std::to_string(Body->size())});
  else if (findField(Request.Head.Fields, "Transfer-Encoding"))
    head.Fields.push_back({"Content-Length", "0"});
  if (path.Via != ReplicaPath::Kind::Relayed)
    return head;
  head.Fields.push_back(
      {std::string(relay_field::Replica), choice.Replica->Incarnation.text()});
  head.Fields.push_back(
      {std::string(relay_field::Sending), std::to_string(sendingNumber)});
  if (!MatchedRoute.idempotent())
    head.Fields.push_back(
        {std::string(relay_field::MaxIdle),
         std::to_string(Settings.MaxIdleForRunOnce / Span(1000))});
  return head;
}

void GatewayExchange::refuseUnreachable() {
  // Other nodes reach the replica, so the caller is best served by one of them
  // at once.
  constexpr auto RetryAfterOtherNode = std::chrono::milliseconds(20);
  constexpr std::string_view Why = "no path to the replica";
  refuse({Why, RetryAfterOtherNode});
}

void GatewayExchange::refusePaused(Instant returnsAt) {
  constexpr std::string_view Why = "all replicas pause";
  // Callers that are refused together don't come back together.
  constexpr auto MaxSpreadMs = 500;
  auto spread = std::chrono::milliseconds(std::hash<std::string>{}(Labels.Id) %
                                          MaxSpreadMs);
  refuse({Why, returnsAt - TimerService::now() + Span(spread)});
}

void GatewayExchange::readmitUnconnected() {
  if (Unconnected.empty() || !Shared.Paths.IsCutOff ||
      !Shared.Paths.IsCutOff(Query.Service))
    return;
  for (const auto &it : std::exchange(Unconnected, {}))
    Query.Excluded.erase(it);
}

void GatewayExchange::onCutOff(const std::string &service) {
  if (Done || Query.Service != service)
    return;
  if (Current && !Current->isRelayed() &&
      Sendings.state() == SendingState::Chosen) {
    if (withdrawAttempt(AttemptVerdict::NoValidAnswer))
      sendOrHold();
    return;
  }
  bool isUnanswered = Current && !Current->isRelayed() && !Current->Head;
  if (isUnanswered && MatchedRoute.idempotent()) {
    Current->StalledAt = std::min(Current->StalledAt,
                                  TimerService::now() + Settings.RestartGrace);
    armAttemptTimer();
  }
  wake();
}

void GatewayExchange::onNotConnected() {
  auto failed = Current->Replica->Incarnation.text();
  auto why = connectFailureName(Current->Connection->connectFailure());
  ++ConnectFailures;
  Shared.Log.write(LogClass::Request, "not-connected",
                   {{"request", Labels.Id},
                    {"replica", failed},
                    {"service", Query.Service},
                    {"relay", Current->Relay},
                    {"why", why},
                    {"took_ms", TimerService::now() - Current->SentAt},
                    {"failed", std::uint64_t{ConnectFailures}}});
  if (Current->isRelayed())
    return onNotRelayed(RelayFault::Unreachable);
  if (Shared.Paths.OnConnectFailed)
    Shared.Paths.OnConnectFailed(*Current->Replica);
  Unconnected.insert(failed);
  onReplicaUnconnected();
}

void GatewayExchange::onReplicaUnconnected() {
  auto failed = Current->Replica->Incarnation.text();
  if (!withdrawAttempt(AttemptVerdict::NoValidAnswer))
    return;
  Query.Excluded.insert(failed);
  sendOrHold();
}

void GatewayExchange::onNotRelayed(RelayFault why) {
  Shared.Paths.OnRelayFault(Current->Relay, Query.Service, why);
  ExcludedRelays.insert(Current->Relay);
  if (withdrawAttempt(AttemptVerdict::Success))
    sendOrHold();
}

void GatewayExchange::onPausedAtRelay() {
  // Another relay would be a way around the pause of an overloaded replica.
  AnswerLabels stated;
  stated.PauseFor = Current->RelayPause;
  if (Shared.OnAnswer)
    Shared.OnAnswer(*Current->Replica, Unavailable, stated, Current->SentAt);
  ExcludedRelays.insert(Current->Relay);
  if (withdrawAttempt(AttemptVerdict::Success))
    sendOrHold();
}

void GatewayExchange::onRelayAnswer() {
  auto outcome = Current->RelayOutcome;
  Shared.Log.write(LogClass::Request, "not-relayed",
                   {{"request", Labels.Id},
                    {"replica", Current->Replica->Incarnation.text()},
                    {"relay", Current->Relay},
                    {"sending", Sendings.count()},
                    {"outcome", outcome},
                    {"took_ms", TimerService::now() - Current->SentAt}});
  if (outcome == relay_outcome::Broken)
    return onFailed(HttpFailure::Broken);
  // The relay has sent nothing to the replica.
  Sendings.onNotRun();
  if (outcome == relay_outcome::NotConnected) {
    ++ConnectFailures;
    return onReplicaUnconnected();
  }
  if (outcome == relay_outcome::Paused)
    return onPausedAtRelay();
  onNotRelayed(outcome == relay_outcome::CutOff ? RelayFault::CutOff
                                                : RelayFault::Refused);
}

} // namespace hemlockglade
