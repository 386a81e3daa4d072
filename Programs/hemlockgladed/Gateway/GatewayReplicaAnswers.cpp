// The part of Gateway that takes in what replicas' answers say of the replicas.

#include "Hemlockglade/Coordination/RowText.h"
#include "Programs/hemlockgladed/Gateway/Gateway.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

namespace hemlockglade {

void Gateway::onReplicaAnswer(const ReplicaRecord &replica,
                              std::uint16_t status, const AnswerLabels &labels,
                              Instant sentAt) {
  auto now = TimerService::now();
  // Another incarnation that answers at the address speaks of itself.
  bool isOther = !labels.Incarnation.empty() &&
                 labels.Incarnation != replica.Incarnation.id();
  auto speaker = isOther ? View.latestIncarnation(labels.Incarnation).text()
                         : replica.Incarnation.text();
  if (labels.Leaving)
    onLeaving(speaker, "answer");
  if (labels.PauseFor && status == gateway::Unavailable)
    onPauseAsked(speaker, *labels.PauseFor, "answer");
  if (labels.MalformedPause)
    Log.write(LogClass::State, "pause-unread", {{"replica", speaker}});
  if (isOther)
    return;
  if (gateway::isSuccess(status) && labels.Sealed && !labels.NotRun)
    View.onSuccess(speaker, sentAt, now);
  // Only a signed answer is surely the replica's own, and shows that it states
  // no limit; it may be older than one that stated a limit meanwhile.
  if (labels.RejectionLimit || labels.Sealed)
    onRejectionLimit({digestOf(replica.Service), labels.RejectionLimit,
                      labels.RejectionLimit ? now : sentAt},
                     "answer");
  if (labels.RequestLimit || labels.Sealed)
    onReplicaLimit(speaker, labels.RequestLimit,
                   labels.RequestLimit ? now : sentAt, "answer");
}

void Gateway::onLeaving(const std::string &replica, std::string_view from) {
  if (!View.onLeaving(replica, TimerService::now()))
    return;
  Log.write(LogClass::State, "replica-leaves",
            {{"replica", replica},
             {"from", from},
             {"running", View.ownRunningAt(replica)}});
  updateSoftware();
  if (auto it = Cells.find(View.failureDomainOf(replica)); it != Cells.end())
    it->second->onLimitUpdate();
  wakeWaiting();
}

void Gateway::onPauseAsked(const std::string &replica, Span span,
                           std::string_view from) {
  auto now = TimerService::now();
  if (!View.onPauseAsked(replica, span, now))
    return;
  Log.write(LogClass::State, "replica-pause",
            {{"replica", replica},
             {"for_ms", span},
             {"from", from},
             {"running", View.ownRunningAt(replica)},
             {"paused", static_cast<std::uint64_t>(View.paused(now).size())}});
  if (auto it = Cells.find(View.failureDomainOf(replica)); it != Cells.end())
    it->second->onLimitUpdate();
}

} // namespace hemlockglade
