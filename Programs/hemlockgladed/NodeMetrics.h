#pragma once

#include "Exchange.h"
#include "OwnedCells.h"

#include "Hemlockglade/State/State.h"

namespace hemlockglade {

/// Updates a node's metrics. The registry keeps the metric of each label value
/// after its first use.
class NodeMetrics {
public:
  explicit NodeMetrics(MetricRegistry &registry);

  /// Called when a request has ended.
  void onEnd(const ExchangeEnd &end);
  /// Called when a request is retried.
  void onRetry();
  /// Called when the table has answered or failed, with the time it took.
  void onTable(std::string_view operation, Span took);
  /// Sets the gauges, and records the batch fills of all replicas. `running` is
  /// the number of unfinished requests of callers.
  void refresh(const OwnedCells &cells, Revision inForce,
               std::span<const NodeRecord> nodes, std::size_t running);
  /// Called each second with what callers hold. Logs what was ended for it
  /// since the last call.
  void onLoad(const HttpServerLoad &load);

  /// Returns the same table with its latencies recorded.
  TableHooks timed(TableHooks table);

private:
  MetricRegistry &Registry;
  HttpServerLoad LastLoad;
};

} // namespace hemlockglade
