#include "NodeMetrics.h"

#include <easylogging++.h>
#include <utility>

namespace hemlockglade {

namespace {

/// Returns the callback wrapped so that it records the time from now until it
/// is called.
template <typename T>
TableCallback<T> timedCallback(NodeMetrics &metrics, std::string_view operation,
                               TableCallback<T> done) {
  return [&metrics, operation, done = std::move(done),
          sent = TimerService::now()](tl::expected<T, TableError> result) {
    metrics.onTable(operation, TimerService::now() - sent);
    done(std::move(result));
  };
}

} // namespace

NodeMetrics::NodeMetrics(MetricRegistry &registry) : Registry(registry) {}

void NodeMetrics::onEnd(const ExchangeEnd &end) {
  const auto &name = end.Request.Admit.Class;
  Registry.counter(metric::Outcomes, {{"outcome", outcomeName(end.Result)}})
      .add();
  if (!end.Reason.empty())
    Registry.counter(metric::Refusals, {{"reason", end.Reason}}).add();
  if (end.Replica.empty())
    return;
  if (!end.Request.Admit.Adapter.empty())
    Registry.distribution(metric::LoadStall, {{"class", name}})
        .record(inSeconds(end.LoadStall));
  if (end.ToFirstByte > Span{})
    Registry.distribution(metric::TimeToFirstToken, {{"class", name}})
        .record(inSeconds(end.ToFirstByte));
}

void NodeMetrics::onRetry() { Registry.counter(metric::Retries).add(); }

void NodeMetrics::onTable(std::string_view operation, Span took) {
  Registry.distribution(metric::StoreLatency, {{"operation", operation}})
      .record(inSeconds(took));
}

void NodeMetrics::refresh(const OwnedCells &cells, Revision inForce,
                          std::span<const NodeRecord> nodes,
                          std::size_t running) {
  Registry.gauge(metric::ConfigRevision).set(static_cast<double>(inForce));
  Registry.gauge(metric::Running).set(static_cast<double>(running));
  std::size_t leaving = 0;
  for (const auto &node : nodes)
    leaving += node.Leaving ? 1 : 0;
  Registry.gauge(metric::Members, {{"state", "leaving"}})
      .set(static_cast<double>(leaving));
  Registry.gauge(metric::Members, {{"state", "live"}})
      .set(static_cast<double>(nodes.size() - leaving));
  std::map<std::string, std::size_t> waiting;
  for (const auto &runner : cells.all()) {
    Registry.gauge(metric::CellEpoch, {{"cell", runner->cell()}})
        .set(static_cast<double>(runner->fence()));
    runner->addQueues(waiting);
    for (double fill : runner->batchFills())
      Registry
          .distribution(
              metric::BatchFill,
              {{"service", runner->cell().substr(0, runner->cell().find('/'))}})
          .record(fill);
  }
  for (const auto &[name, n] : waiting)
    Registry.gauge(metric::Queue, {{"class", name}})
        .set(static_cast<double>(n));
}

void NodeMetrics::onLoad(const HttpServerLoad &load) {
  auto last = std::exchange(LastLoad, load);
  Registry.gauge(metric::RequestBytes)
      .set(static_cast<double>(load.RequestBytes));
  Registry.gauge(metric::UnreadBytes)
      .set(static_cast<double>(load.UnreadBytes));
  auto requests = load.EndedRequests - last.EndedRequests;
  auto answers = load.EndedAnswers - last.EndedAnswers;
  Registry.counter(metric::EndedForMemory, {{"kind", "request"}}).add(requests);
  Registry.counter(metric::EndedForMemory, {{"kind", "unread"}}).add(answers);
  if (requests + answers > 0)
    LOG(WARNING) << "ended-for-memory requests=" << requests
                 << " unread=" << answers
                 << " request_bytes=" << load.RequestBytes
                 << " unread_bytes=" << load.UnreadBytes;
  auto setClosed = [this](std::string_view was, std::uint64_t n) {
    Registry
        .gauge(metric::ClosedForRoom, {{"listener", "callers"}, {"was", was}})
        .set(static_cast<double>(n));
  };
  setClosed("idle", load.ClosedIdle);
  setClosed("incomplete", load.ClosedIncomplete);
}

TableHooks NodeMetrics::timed(TableHooks table) {
  TableHooks out;
  out.Get = [this, get = std::move(table.Get)](
                std::string key, TableCallback<std::optional<TableRow>> done) {
    get(std::move(key), timedCallback(*this, "get", std::move(done)));
  };
  out.Scan = [this, scan = std::move(table.Scan)](
                 std::string prefix,
                 TableCallback<std::vector<TableRow>> done) {
    scan(std::move(prefix), timedCallback(*this, "scan", std::move(done)));
  };
  out.Commit = [this, commit = std::move(table.Commit)](
                   TableTransaction transaction,
                   TableCallback<std::uint64_t> done) {
    commit(std::move(transaction),
           timedCallback(*this, "commit", std::move(done)));
  };
  return out;
}

} // namespace hemlockglade
