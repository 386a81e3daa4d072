#include "Hemlockglade/State/State.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>
#include <new>
#include <random>
#include <thread>

using namespace hemlockglade;

namespace {

std::atomic<std::size_t> Allocations = 0;

} // namespace

// Counts the allocations of this test program.
void *operator new(std::size_t size) {
  ++Allocations;
  if (auto *out = std::malloc(size))
    return out;
  throw std::bad_alloc();
}

void operator delete(void *it) noexcept { std::free(it); }
void operator delete(void *it, std::size_t) noexcept { std::free(it); }

namespace {

constexpr MetricFamily Refused{"x_refusals_total", "Refused."};
constexpr MetricFamily Stall{"x_stall_seconds", "Stall."};
constexpr MetricFamily Members{"x_members", "Members."};

/// Returns a number in [0, 1). It is the same on every platform, unlike those
/// of the library's distributions.
double uniform(std::mt19937 &random) {
  return static_cast<double>(random()) / 4294967296.0;
}

double exactQuantile(std::vector<double> samples, double fraction) {
  std::sort(samples.begin(), samples.end());
  auto rank = std::ceil(fraction * static_cast<double>(samples.size()));
  return samples[static_cast<std::size_t>(rank) - 1];
}

} // namespace

TEST_CASE("metrics are exposed as text, sorted by name and labels",
          "[metrics]") {
  MetricRegistry registry;
  registry.counter(Refused, {{"reason", "shed"}}).add(3);
  registry.counter(Refused, {{"reason", "a\\b\"c\nd"}}).add();
  registry.gauge(Members).set(2.5);
  registry.gauge(Members, {{"state", "dead"}});
  for (double it : {1.0, 2.0, 3.0, 4.0})
    registry.distribution(Stall, {{"class", "phone"}}).record(it);
  CHECK(registry.expose() ==
        "# HELP x_members Members.\n"
        "# TYPE x_members gauge\n"
        "x_members 2.5\n"
        "# HELP x_refusals_total Refused.\n"
        "# TYPE x_refusals_total counter\n"
        "x_refusals_total{reason=\"a\\\\b\\\"c\\nd\"} 1\n"
        "x_refusals_total{reason=\"shed\"} 3\n"
        "# HELP x_stall_seconds Stall.\n"
        "# TYPE x_stall_seconds summary\n"
        "x_stall_seconds{class=\"phone\",quantile=\"0.5\"} 2\n"
        "x_stall_seconds{class=\"phone\",quantile=\"0.95\"} 4\n"
        "x_stall_seconds{class=\"phone\",quantile=\"0.99\"} 4\n"
        "x_stall_seconds_sum{class=\"phone\"} 10\n"
        "x_stall_seconds_count{class=\"phone\"} 4\n");
}

TEST_CASE("a gauge can be increased, decreased and unset", "[metrics]") {
  MetricRegistry registry;
  auto &gauge = registry.gauge(Members);
  gauge.add(2);
  gauge.add(-0.5);
  CHECK(gauge.value() == 1.5);
  gauge.unset();
  CHECK_THAT(registry.expose(), !Catch::Contains("x_members 1"));
  gauge.set(0);
  CHECK_THAT(registry.expose(), Catch::Contains("x_members 0\n"));
}

TEST_CASE("series beyond the maximum of a family share an overflow series",
          "[metrics]") {
  MetricRegistry registry;
  for (std::size_t it = 0; it < 2 * MetricRegistry::MaxSeries; ++it)
    registry.counter(Refused, {{"reason", std::to_string(it)}}).add();
  auto &kept = registry.counter(Refused, {{"reason", "1"}});
  CHECK(kept.value() == 1);
  auto &overflow = registry.counter(Refused, {{"reason", "another"}});
  CHECK(overflow.value() == MetricRegistry::MaxSeries);
  CHECK_THAT(registry.expose(), Catch::Contains("{overflow=\"true\"} 1024\n"));
}

TEST_CASE("estimated quantiles are close to the exact ones", "[metrics]") {
  auto shape = GENERATE(1.0, 3.0, 0.25);
  auto count = GENERATE(1U, 5U, 9U, 10U, 65U, 100U, 256U, 257U, 300U, 1000U,
                        4095U, 4096U, 4097U, 9000U);
  std::mt19937 random(20261);
  Distribution distribution;
  std::vector<double> samples;
  for (std::size_t it = 0; it < count; ++it) {
    samples.push_back(std::pow(uniform(random), shape));
    distribution.record(samples.back());
  }
  auto summary = distribution.summary();
  CHECK(summary.Count == count);
  for (std::size_t it = 0; it < DistributionQuantiles.size(); ++it) {
    INFO("shape " << shape << " count " << count << " quantile "
                  << DistributionQuantiles[it]);
    CHECK(
        summary.RecentQuantiles[it] ==
        Approx(exactQuantile(samples, DistributionQuantiles[it])).margin(0.06));
  }
}

TEST_CASE("the summary covers recent samples only", "[metrics]") {
  Distribution distribution;
  for (std::uint64_t it = 0; it < 10 * Distribution::Window; ++it)
    distribution.record(100);
  for (std::uint64_t it = 0; it < 2 * Distribution::Window; ++it)
    distribution.record(1);
  auto summary = distribution.summary();
  CHECK(summary.RecentMean == 1);
  CHECK(summary.RecentQuantiles.back() == 1);
  CHECK(summary.Count == 12 * Distribution::Window);
}

TEST_CASE("recording a sample does not allocate", "[metrics]") {
  MetricRegistry registry;
  auto &counter = registry.counter(Refused);
  auto &gauge = registry.gauge(Members);
  auto &distribution = registry.distribution(Stall);
  auto before = Allocations.load();
  for (std::uint64_t it = 0; it < 5 * Distribution::Window; ++it) {
    counter.add();
    gauge.add(1);
    distribution.record(static_cast<double>(it));
  }
  auto after = Allocations.load();
  CHECK(after == before);
}

TEST_CASE("no sample of concurrent threads is lost", "[metrics]") {
  constexpr std::size_t Threads = 4;
  constexpr std::size_t Samples = 5000;
  MetricRegistry registry;
  std::vector<std::thread> threads;
  threads.reserve(Threads);
  for (std::size_t it = 0; it < Threads; ++it)
    threads.emplace_back([&registry] {
      for (std::size_t n = 0; n < Samples; ++n) {
        registry.counter(Refused).add();
        registry.gauge(Members).add(1);
        registry.distribution(Stall).record(1);
      }
    });
  for (auto &it : threads)
    it.join();
  CHECK(registry.counter(Refused).value() == Threads * Samples);
  CHECK(registry.gauge(Members).value() == Threads * Samples);
  auto summary = registry.distribution(Stall).summary();
  CHECK(summary.Count == Threads * Samples);
  CHECK(summary.Sum == Threads * Samples);
}

TEST_CASE("a histogram exposes cumulative counts for its bounds", "[metrics]") {
  MetricRegistry registry;
  auto &it = registry.histogram(Stall, {{"service", "drafts"}});
  for (double seconds : {0.001, 0.002, 0.03, 99.0})
    it.record(seconds);
  auto text = registry.expose();
  auto has = [&text](const std::string &line) {
    return text.find(line + "\n") != std::string::npos;
  };
  CHECK(has("# TYPE x_stall_seconds histogram"));
  CHECK(has("x_stall_seconds_bucket{service=\"drafts\",le=\"0.002\"} 2"));
  CHECK(has("x_stall_seconds_bucket{service=\"drafts\",le=\"0.025\"} 2"));
  CHECK(has("x_stall_seconds_bucket{service=\"drafts\",le=\"0.05\"} 3"));
  CHECK(has("x_stall_seconds_bucket{service=\"drafts\",le=\"30\"} 3"));
  CHECK(has("x_stall_seconds_bucket{service=\"drafts\",le=\"+Inf\"} 4"));
  CHECK(has("x_stall_seconds_count{service=\"drafts\"} 4"));
}
