#include "Hemlockglade/Protocol/Settings/DecisionSettings.h"

namespace hemlockglade {

namespace {

constexpr NumberRange Ms{0, 60'000};
/// Costs and gains are loads in shares of an engine's slots.
constexpr double MostCost = 1000;
constexpr double MostRate = 1e6;

void bindRoute(SchemaReader &map, ReplicaView::Settings &out) {
  map.real("far_cost", out.RemoteCost, 0, MostCost);
  map.real("prefix_gain", out.PrefixGain, 0, MostCost);
  map.real("failure_cost", out.FailureCost, 0, MostCost);
  map.real("overdue_cost", out.OverdueCost, 0, MostCost);
  map.real("backlog_cost", out.BacklogCost, 0, MostCost);
  map.milliseconds("pace_backlog_ms", out.PaceBacklog, Ms);
  map.milliseconds("rank_step_ms", out.RankStep, Ms);
  map.milliseconds("late_idle_ms", out.LateIdle, Ms);
}

void bindDesk(SchemaReader &map, CellPlacement::Settings &out) {
  map.real("loads_per_rate", out.Concurrency.FirstPerRate, 0, MostRate);
  map.real("loads_least", out.Concurrency.Least, 1, MostRate);
  map.real("loads_rise_per_second", out.Concurrency.RisePerSecond, 0, 1);
  map.number("loads_per_replica", out.LoadsPerReplica, {1, 1000});
  map.number("quick_memory", out.QuickMemory, {0, 100'000});
  map.real("quick_gain", out.QuickGain, 0, MostCost);
  map.real("same_place_gain", out.SamePlaceGain, 0, MostCost);
  map.seconds("demand_half_life_s", out.DemandHalfLife, 0.1, 3600);
  map.milliseconds("fast_half_life_ms", out.FastHalfLife, Ms);
  map.real("fast_least", out.FastLeast, 0, MostRate);
  map.real("pressed_rate_per_copy", out.PressedRatePerCopy, 0, MostRate);
  map.real("rate_for_copy", out.RateForCopy, 0, MostRate);
  map.real("rate_per_copy", out.RatePerCopy, 0.001, MostRate);
  map.real("gain_over_victim", out.GainOverVictim, 0, MostCost);
  map.milliseconds("recent_use_ms", out.RecentUse, Ms);
  map.milliseconds("pressed_for_ms", out.PressedFor, Ms);
  map.milliseconds("want_lasts_ms", out.WantLasts, Ms);
  map.real("wait_weight", out.WaitWeight, 0, MostRate);
}

void bindExchange(SchemaReader &map, ExchangeSettings &out) {
  map.real("hold_share", out.MaxHoldShare, 0, 1);
  map.real("patience_share", out.StreamHoldShare, 0, 1);
  map.milliseconds("pressed_after_ms", out.CongestedAfter, Ms);
  map.real("timely_share", out.OnTimeShare, 0, 1);
  map.milliseconds("shed_rest_ms", out.ShedBackoff, Ms);
  map.real("slow_factor", out.SlowFactor, 1, MostCost);
  map.real("stall_factor", out.StallFactor, 1, MostCost);
  map.milliseconds("least_stall_ms", out.MinStallTime, Ms);
}

} // namespace

void bindDecisions(SchemaReader &map, DecisionSettings &out) {
  bindRoute(map, out.Route);
  bindDesk(map, out.Desk);
  bindExchange(map, out.Exchange);
}

} // namespace hemlockglade
