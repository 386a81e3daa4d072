// The part of Gateway that handles the limits that replicas state.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

namespace hemlockglade {

ReplicaLimitHooks Gateway::replicaLimitHooks() {
  ReplicaLimitHooks hooks;
  hooks.OnStated = [this](const ReplicaRecord &replica,
                          std::optional<double> perSecond, Instant statedAt) {
    onReplicaLimit(replica.Incarnation.text(), perSecond, statedAt, "answer");
  };
  hooks.Reserve = [this](const ReplicaRecord &replica, double perSecond,
                         auto decided) {
    Quotas.reserve(replicaQuotaHolder(replica.Incarnation.text(), perSecond), 1,
                   std::move(decided));
  };
  hooks.Release = [this](const ReplicaRecord &replica, double perSecond) {
    Quotas.release(replicaQuotaHolder(replica.Incarnation.text(), perSecond),
                   1);
  };
  return hooks;
}

void Gateway::onReplicaLimit(const std::string &replica,
                             std::optional<double> perSecond, Instant statedAt,
                             std::string_view from) {
  bool hadLimit = View.limitOf(replica).has_value();
  if (!View.onLimit(replica, perSecond, statedAt))
    return;
  Log.write(LogClass::State, "replica-limit",
            {{"replica", replica},
             {"limit_per_s", perSecond.value_or(0)},
             {"from", from},
             {"stated_ms_ago", TimerService::now() - statedAt}});
  if (perSecond && !hadLimit)
    Quotas.addSent(replicaQuotaHolder(replica, *perSecond),
                   View.sentAgo(replica, TimerService::now()));
  // Only the replica's own cell sends its limit on.
  if (auto it = Cells.find(View.failureDomainOf(replica)); it != Cells.end())
    it->second->onLimitUpdate();
}

} // namespace hemlockglade
