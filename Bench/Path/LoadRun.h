#pragma once

#include "LoadClient.h"
#include "NodeUsage.h"

namespace hemlockglade::bench {

/// Rate, size and duration of a load.
struct LoadPlan {
  /// Requests per second to each target.
  double Rate = 50;
  /// Number of events of each answer.
  std::size_t Tokens = 277;
  /// Interval between two events of an answer.
  std::chrono::microseconds Interval{20000};
  /// Duration of the measurement, which begins when the first answers end.
  std::chrono::milliseconds Window{5000};
  /// Threads that send and receive.
  std::size_t Threads = 2;
};

/// Results of a run.
struct LoadOutcome {
  /// One entry per target, in the same order.
  std::vector<LoadResult> Targets;
  /// Processor time of each measured process within the window, in seconds.
  std::vector<double> Processor;
  /// Length of the window in seconds.
  double Seconds = 0;
  /// Number of events from all targets that arrived within the window.
  std::uint64_t Events = 0;
};

/// Sends load to all targets at once, their requests interleaved, and measures
/// the processor time of the `watched` processes meanwhile.
LoadOutcome runLoad(const LoadPlan &plan,
                    const std::vector<LoadTarget> &targets,
                    const std::vector<pid_t> &watched);

/// Returns the quantile `share` (0 to 1) of values in nanoseconds, in
/// microseconds; 0 if there are none. Reorders the values.
double percentileUs(std::vector<std::uint32_t> &values, double share);

} // namespace hemlockglade::bench
