// The part of Gateway that handles the limits that replicas state.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

namespace hemlockglade {

ReplicaLimitHooks Gateway::replicaLimitHooks() {
  ReplicaLimitHooks hooks;
  hooks.OnStated = [this](const ReplicaRecord &replica,
                          std::optional<double> perSecond, Instant statedAt) {
    onReplicaLimit(replica.Incarnation.text(), perSecond, statedAt, "answer");
  };
  return hooks;
}

void Gateway::onReplicaLimit(const std::string &replica,
                             std::optional<double> perSecond, Instant statedAt,
                             std::string_view from) {
  if (!View.onLimit(replica, perSecond, statedAt))
    return;
  Log.write(LogClass::State, "replica-limit",
            {{"replica", replica},
             {"limit_per_s", perSecond.value_or(0)},
             {"from", from},
             {"stated_ms_ago", TimerService::now() - statedAt}});
}

} // namespace hemlockglade
