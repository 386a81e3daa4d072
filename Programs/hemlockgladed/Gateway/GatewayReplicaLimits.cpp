// The part of Gateway that handles the limits that replicas state, on requests
// and on rejections.

#include "Hemlockglade/Coordination/RowText.h"
#include "Programs/hemlockgladed/Gateway/Gateway.h"

namespace hemlockglade {

namespace {

constexpr MetricFamily RoomRejectionsFamily{
    "hemlockglade_room_rejections_total",
    "Requests of this node that plain replicas rejected for want of room while "
    "their service stated a limit on rejections."};

Workspace placeHolder(const ReplicaRecord &replica, const PlaceNeed &need) {
  return replicaPlaceHolder(replica.Incarnation.text(), need.Places,
                            need.RejectionsPerSecond);
}

} // namespace

ReplicaLimitHooks Gateway::replicaLimitHooks() {
  ReplicaLimitHooks hooks;
  hooks.Reserve = [this](const ReplicaRecord &replica, double perSecond,
                         auto decided) {
    Quotas.reserve(replicaQuotaHolder(replica.Incarnation.text(), perSecond), 1,
                   std::move(decided));
  };
  hooks.Release = [this](const ReplicaRecord &replica, double perSecond) {
    Quotas.release(replicaQuotaHolder(replica.Incarnation.text(), perSecond),
                   1);
  };
  hooks.ReservePlace = [this](const ReplicaRecord &replica,
                              const PlaceNeed &need, bool waits, auto decided) {
    Quotas.reserve(placeHolder(replica, need), need.Needed, std::move(decided),
                   waits);
  };
  hooks.OccupyPlace = [this](const ReplicaRecord &replica,
                             const PlaceNeed &need) {
    Quotas.occupy(placeHolder(replica, need), need.Needed);
  };
  hooks.ReleasePlace = [this](const ReplicaRecord &replica,
                              const PlaceNeed &need, Span delay) {
    auto holder = placeHolder(replica, need);
    if (delay <= Span(0))
      return Quotas.release(holder, need.Needed);
    Timers.after(delay, [this, holder, places = need.Needed](Instant) {
      Quotas.release(holder, places);
    });
  };
  hooks.OnRejected = [this](const ReplicaRecord &replica,
                            const PlaceNeed &need) {
    Metrics.counter(RoomRejectionsFamily, {{"service", replica.Service}})
        .add(1);
    Quotas.onRejected(placeHolder(replica, need));
  };
  return hooks;
}

double Gateway::placesWithoutOwner(const Workspace &holder) const {
  std::vector<std::string> nodes;
  for (const auto &domain : Entries.lastKnown())
    for (const auto &it : domain.Entries)
      nodes.push_back(it.Node);
  return hemlockglade::placesWithoutOwner(Settings.Name, nodes, holder.Name,
                                          holder.Limit->Places);
}

void Gateway::onRejectionLimit(const StatedRejectionLimit &stated,
                               std::string_view from) {
  if (!View.onRejectionLimit(stated))
    return;
  std::string service;
  if (Plan)
    for (const auto &it : Plan->services())
      if (digestOf(it.Name) == stated.Service)
        service = it.Name;
  Log.write(LogClass::State, "rejection-limit",
            {{"service", service},
             {"limit_per_s", stated.PerSecond.value_or(0)},
             {"from", from},
             {"stated_ms_ago", TimerService::now() - stated.StatedAt}});
  for (auto &[name, cell] : Cells)
    cell->onLimitUpdate();
  if (!stated.PerSecond)
    return;
  for (const auto &it : Exchanges)
    it->onPlacesNeeded(service);
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
