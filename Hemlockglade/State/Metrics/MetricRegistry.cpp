#include "Hemlockglade/State/Metrics/MetricRegistry.h"

#include <charconv>
#include <cmath>
#include <xxhash.h>

namespace hemlockglade {

namespace {

constexpr std::string_view OverflowLabels = "overflow=\"true\"";
/// Enough for the shortest decimal form of any double.
constexpr std::size_t NumberBytes = 32;

std::string escaped(std::string_view value) {
  std::string out;
  for (char c : value) {
    if (c == '\\' || c == '"')
      out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out;
}

std::string labelText(const MetricLabels &labels) {
  std::string out;
  for (const auto &[name, value] : labels) {
    out += out.empty() ? "" : ",";
    out += std::string(name) + "=\"" + escaped(value) + '"';
  }
  return out;
}

std::string numberText(double number) {
  if (std::isnan(number))
    return "NaN";
  if (std::isinf(number))
    return number > 0 ? "+Inf" : "-Inf";
  std::array<char, NumberBytes> buf{};
  auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), number);
  return {buf.data(), end};
}

std::string seriesLine(const std::string &name, const std::string &labels,
                       const std::string &value) {
  auto labelSet = labels.empty() ? "" : '{' + labels + '}';
  return name + labelSet + ' ' + value + '\n';
}

std::string seriesText(const std::string &name, const std::string &labels,
                       const Counter &it) {
  return seriesLine(name, labels, std::to_string(it.value()));
}

std::string seriesText(const std::string &name, const std::string &labels,
                       const Gauge &it) {
  auto value = it.value();
  return std::isnan(value) ? "" : seriesLine(name, labels, numberText(value));
}

std::string seriesText(const std::string &name, const std::string &labels,
                       const Distribution &it) {
  auto summary = it.summary();
  auto prefix = labels.empty() ? labels : labels + ',';
  std::string out;
  for (std::size_t n = 0; n < DistributionQuantiles.size(); ++n) {
    auto quantile = prefix;
    quantile += "quantile=\"" + numberText(DistributionQuantiles[n]) + '"';
    out += seriesLine(name, quantile, numberText(summary.RecentQuantiles[n]));
  }
  out += seriesLine(name + "_sum", labels, numberText(summary.Sum));
  out += seriesLine(name + "_count", labels, std::to_string(summary.Count));
  return out;
}

std::string seriesText(const std::string &name, const std::string &labels,
                       const Histogram &it) {
  auto prefix = labels.empty() ? labels : labels + ',';
  std::string out;
  std::uint64_t cumulative = 0;
  for (std::size_t n = 0; n <= Histogram::Bounds.size(); ++n) {
    cumulative += it.count(n);
    bool isLast = n == Histogram::Bounds.size();
    auto bound = prefix + "le=\"";
    bound += isLast ? "+Inf" : numberText(Histogram::Bounds[n]);
    bound += '"';
    out += seriesLine(name + "_bucket", bound, std::to_string(cumulative));
  }
  out += seriesLine(name + "_sum", labels, numberText(it.sum()));
  out += seriesLine(name + "_count", labels, std::to_string(cumulative));
  return out;
}

/// Appends the text of each family of one kind to `out`, by family name.
template <typename Families>
void exposeFamilies(const Families &families, std::string_view kind,
                    std::map<std::string, std::string> &out) {
  for (const auto &[name, family] : families.ByName) {
    auto &text = out[name];
    text += "# HELP " + name;
    text += ' ' + family.Help;
    text += "\n# TYPE " + name;
    text += ' ' + std::string(kind) + '\n';
    for (const auto &[labels, it] : family.Series)
      text += seriesText(name, labels, it);
  }
}

} // namespace

MetricRegistry::Shard &MetricRegistry::shardOf(std::string_view name) {
  return Shards[XXH3_64bits(name.data(), name.size()) % ShardCount];
}

template <typename T>
T &MetricRegistry::find(Families<T> Shard::*kind, const MetricFamily &family,
                        const MetricLabels &labels) {
  auto &shard = shardOf(family.Name);
  auto key = labelText(labels);
  std::lock_guard lock(shard.Mutex);
  auto &found = (shard.*kind).ByName[std::string(family.Name)];
  found.Help = family.Help;
  auto it = found.Series.find(key);
  if (it != found.Series.end())
    return it->second;
  bool isFull = found.Series.size() >= MaxSeries;
  return found.Series[isFull ? std::string(OverflowLabels) : key];
}

Counter &MetricRegistry::counter(const MetricFamily &family,
                                 const MetricLabels &labels) {
  return find(&Shard::Counters, family, labels);
}

Gauge &MetricRegistry::gauge(const MetricFamily &family,
                             const MetricLabels &labels) {
  return find(&Shard::Gauges, family, labels);
}

Distribution &MetricRegistry::distribution(const MetricFamily &family,
                                           const MetricLabels &labels) {
  return find(&Shard::Distributions, family, labels);
}

Histogram &MetricRegistry::histogram(const MetricFamily &family,
                                     const MetricLabels &labels) {
  return find(&Shard::Histograms, family, labels);
}

std::string MetricRegistry::expose() const {
  std::map<std::string, std::string> families;
  for (const auto &shard : Shards) {
    std::lock_guard lock(shard.Mutex);
    exposeFamilies(shard.Counters, "counter", families);
    exposeFamilies(shard.Gauges, "gauge", families);
    exposeFamilies(shard.Distributions, "summary", families);
    exposeFamilies(shard.Histograms, "histogram", families);
  }
  std::string out;
  for (const auto &[name, text] : families)
    out += text;
  return out;
}

} // namespace hemlockglade
