#include "Hemlockglade/Protocol/Settings/DecisionSettings.h"

namespace hemlockglade {

namespace {

constexpr NumberRange MillisecondRange{0, 60'000};
/// Limit of costs and gains; their unit is the load of an engine, as a share of
/// its slots.
constexpr double MaxCost = 1000;
constexpr double MaxRate = 1e6;

void bindRoute(SchemaReader &map, ReplicaView::Settings &out) {
  map.real("far_cost", out.RemoteCost, 0, MaxCost);
  map.real("prefix_gain", out.PrefixGain, 0, MaxCost);
  map.real("failure_cost", out.FailureCost, 0, MaxCost);
  map.real("overdue_cost", out.OverdueCost, 0, MaxCost);
  map.real("backlog_cost", out.BacklogCost, 0, MaxCost);
  map.milliseconds("pace_backlog_ms", out.MaxPrefillBacklog, MillisecondRange);
  map.milliseconds("rank_step_ms", out.RankStep, MillisecondRange);
  map.milliseconds("late_idle_ms", out.LateIdle, MillisecondRange);
  map.flag("replica_speeds", out.UseSpeeds);
  map.seconds("speed_half_life_s", out.Speed.HalfLife, 0.1, 3600);
}

void bindPlacement(SchemaReader &map, CellPlacement::Settings &out) {
  map.real("loads_per_rate", out.Concurrency.InitialPerRate, 0, MaxRate);
  map.real("loads_least", out.Concurrency.Least, 1, MaxRate);
  map.real("loads_rise_per_second", out.Concurrency.RisePerSecond, 0, 1);
  map.number("loads_per_replica", out.MaxLoadsPerReplica, {1, 1000});
  map.number("quick_memory", out.MaxRecentlyDropped, {0, 100'000});
  map.real("quick_gain", out.ReloadGain, 0, MaxCost);
  map.real("same_place_gain", out.HashedReplicaGain, 0, MaxCost);
  map.seconds("demand_half_life_s", out.DemandHalfLife, 0.1, 3600);
  map.milliseconds("fast_half_life_ms", out.FastHalfLife, MillisecondRange);
  map.real("fast_least", out.MinFastWeight, 0, MaxRate);
  map.real("pressed_rate_per_copy", out.CongestedRatePerCopy, 0, MaxRate);
  map.real("rate_for_copy", out.MinRateForCopy, 0, MaxRate);
  map.real("rate_per_copy", out.MaxRatePerCopy, 0.001, MaxRate);
  map.real("gain_over_victim", out.MinGainOverVictim, 0, MaxCost);
  map.milliseconds("recent_use_ms", out.RecentUse, MillisecondRange);
  map.milliseconds("pressed_for_ms", out.CongestedFor, MillisecondRange);
  map.milliseconds("want_lasts_ms", out.WaitReportTimeout, MillisecondRange);
  map.real("wait_weight", out.WaitWeight, 0, MaxRate);
  map.flag("rank_loads", out.RankLoads);
  map.milliseconds("rank_horizon_ms", out.Ranking.Horizon, {100, 60'000});
  map.real("starts_per_copy", out.Ranking.StartsPerCopy, 0.001, MaxRate);
  map.real("oldest_load_share", out.Ranking.OldestShare, 0, 1);
}

void bindExchange(SchemaReader &map, ExchangeSettings &out) {
  map.real("hold_share", out.MaxHoldShare, 0, 1);
  map.real("patience_share", out.StreamHoldShare, 0, 1);
  map.milliseconds("pressed_after_ms", out.CongestedAfter, MillisecondRange);
  map.real("timely_share", out.OnTimeShare, 0, 1);
  map.milliseconds("shed_rest_ms", out.ShedBackoff, MillisecondRange);
  map.real("slow_factor", out.SlowFactor, 1, MaxCost);
  map.real("stall_factor", out.StallFactor, 1, MaxCost);
  map.milliseconds("least_stall_ms", out.MinStallTime, MillisecondRange);
  map.flag("queue_held", out.QueueHeld);
  map.flag("reject_hopeless", out.RejectHopeless);
  if (out.RejectHopeless && !out.QueueHeld)
    map.fault("reject_hopeless", "false unless queue_held is true");
}

} // namespace

void bindDecisions(SchemaReader &map, DecisionSettings &out) {
  bindRoute(map, out.Route);
  bindPlacement(map, out.Placement);
  bindExchange(map, out.Exchange);
}

} // namespace hemlockglade
