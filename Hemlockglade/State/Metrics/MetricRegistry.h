#pragma once

#include "Hemlockglade/State/Metrics/Counter.h"
#include "Hemlockglade/State/Metrics/Distribution.h"
#include "Hemlockglade/State/Metrics/Gauge.h"
#include "Hemlockglade/State/Metrics/Histogram.h"

#include <array>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// Name and help text of a metric; its series differ in their labels.
struct MetricFamily {
  std::string_view Name;
  std::string_view Help;
};

/// Names and values of labels, in a fixed order.
using MetricLabels = std::vector<std::pair<std::string_view, std::string_view>>;

/// All metrics of a process. A series is created when it is first requested and
/// lives as long as the registry, so hot paths request it once and keep the
/// reference. Safe to use from any thread: the registry is sharded by family,
/// and each shard has its own lock.
class MetricRegistry {
public:
  /// Maximum series of a family. Further label values share one series with the
  /// label `overflow="true"`, so that memory stays bounded.
  static constexpr std::size_t MaxSeries = 1024;

  Counter &counter(const MetricFamily &family, const MetricLabels &labels = {});
  Gauge &gauge(const MetricFamily &family, const MetricLabels &labels = {});
  Distribution &distribution(const MetricFamily &family,
                             const MetricLabels &labels = {});
  Histogram &histogram(const MetricFamily &family,
                       const MetricLabels &labels = {});

  /// Returns all metrics in the Prometheus text format, sorted by name.
  std::string expose() const;

private:
  static constexpr std::size_t ShardCount = 16;

  /// The series of one kind in one shard, by family name and then label text.
  template <typename T> struct Families {
    struct Family {
      std::string Help;
      std::map<std::string, T, std::less<>> Series;
    };
    std::map<std::string, Family, std::less<>> ByName;
  };

  struct Shard {
    mutable std::mutex Mutex;
    Families<Counter> Counters;
    Families<Gauge> Gauges;
    Families<Distribution> Distributions;
    Families<Histogram> Histograms;
  };

  Shard &shardOf(std::string_view name);
  template <typename T>
  T &find(Families<T> Shard::*kind, const MetricFamily &family,
          const MetricLabels &labels);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hemlockglade
