#pragma once

#include "Hemlockglade/State/Metrics/MetricRegistry.h"

namespace hemlockglade::metric {

/// Distribution, by `class`.
inline constexpr MetricFamily LoadStall{
    "hemlockglade_load_stall_seconds",
    "Time that requests waited for their adapter to load."};
/// Distribution, by `class`.
inline constexpr MetricFamily TimeToFirstToken{
    "hemlockglade_time_to_first_token_seconds",
    "Time from a request's arrival to the first byte of its answer."};
/// Distribution, by `service`.
inline constexpr MetricFamily BatchFill{
    "hemlockglade_batch_fill_ratio",
    "Running requests of a replica divided by its batch size."};
/// Gauge, by `class`.
inline constexpr MetricFamily Queue{"hemlockglade_queue_requests",
                                    "Requests that wait in this node's cells."};
/// Gauge.
inline constexpr MetricFamily Running{"hemlockglade_running_requests",
                                      "Requests that this node is serving."};
/// Counter, by `reason`.
inline constexpr MetricFamily Refusals{"hemlockglade_refusals_total",
                                       "Requests that were refused, not run."};
/// Counter, by `outcome`.
inline constexpr MetricFamily Outcomes{"hemlockglade_outcomes_total",
                                       "Requests that ended, by outcome."};
/// Counter.
inline constexpr MetricFamily Retries{"hemlockglade_retries_total",
                                      "Second and later attempts of requests."};
/// Gauge, by `cell`; unset while another node owns the cell.
inline constexpr MetricFamily CellEpoch{
    "hemlockglade_cell_epoch",
    "Fencing epoch of each cell that this node owns."};
/// Distribution, by `operation`.
inline constexpr MetricFamily StoreLatency{
    "hemlockglade_store_latency_seconds",
    "Time that the platform's table took to answer, failures included."};
/// Gauge.
inline constexpr MetricFamily ConfigRevision{
    "hemlockglade_config_revision", "Configuration revision in force here."};
/// Gauge, by `state`.
inline constexpr MetricFamily Members{"hemlockglade_members",
                                      "Nodes that this node knows, by state."};
/// Gauge.
inline constexpr MetricFamily UnreadBytes{
    "hemlockglade_unread_bytes_held",
    "Bytes held for answers that callers have not read, over all "
    "connections."};
/// Gauge.
inline constexpr MetricFamily RequestBytes{
    "hemlockglade_request_bytes_held",
    "Bytes held for requests of callers, complete or not, over all "
    "connections."};
/// Counter, by `kind`.
inline constexpr MetricFamily EndedForMemory{
    "hemlockglade_ended_for_memory_total",
    "Incomplete requests, and answers, that were ended because all of them "
    "together held too much, by kind."};
/// Gauge, by `listener` and `was`.
inline constexpr MetricFamily ClosedForRoom{
    "hemlockglade_closed_for_room_total",
    "Connections that were closed because all places were taken, by listener "
    "and by what they were: idle, with an incomplete request, or new."};

} // namespace hemlockglade::metric
