#pragma once

#include "Exchange.h"
#include "OwnedCells.h"

#include "Hemlockglade/State/State.h"

namespace hemlockglade {

/// Feeds a node's metrics. What is asked for on hot paths is looked up once
/// for each label value and kept by the registry.
class NodeMetrics {
public:
  explicit NodeMetrics(MetricRegistry &registry);

  /// A request has ended.
  void onEnd(const ExchangeEnd &end);
  /// An attempt is made after a first one.
  void onRetry();
  /// The table has answered, or failed to.
  void onTable(std::string_view operation, Span took);
  /// Sets what is read off when the metrics are asked for.
  void refresh(const OwnedCells &cells, Revision inForce,
               std::span<const NodeRecord> nodes, std::size_t running);

  /// The table with its latencies recorded.
  TableHooks timed(TableHooks table);

private:
  MetricRegistry &Registry;
};

} // namespace hemlockglade
