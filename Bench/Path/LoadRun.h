#pragma once

#include "LoadClient.h"
#include "NodeUsage.h"

namespace hemlockglade::bench {

/// How hard and how long to load.
struct LoadPlan {
  /// Requests a second to each target.
  double Rate = 50;
  /// Events of each answer.
  std::size_t Tokens = 277;
  /// Time between two events of an answer.
  std::chrono::microseconds Interval{20000};
  /// How long to measure once the first answers end.
  std::chrono::milliseconds Window{5000};
  /// Threads that send and receive.
  std::size_t Threads = 2;
};

/// What a run gave.
struct LoadOutcome {
  /// By target, in order.
  std::vector<LoadResult> Targets;
  /// Processor time of each watched process within the window, in seconds.
  std::vector<double> Processor;
  /// Length of the window in seconds.
  double Seconds = 0;
  /// Events of all targets that arrived within the window.
  std::uint64_t Events = 0;
};

/// Loads all targets at once, their requests interleaved, and watches the
/// processes meanwhile.
LoadOutcome runLoad(const LoadPlan &plan,
                    const std::vector<LoadTarget> &targets,
                    const std::vector<pid_t> &watched);

/// The value below which `share` of all lies; 0 if there is none.
double percentileUs(std::vector<std::uint32_t> &values, double share);

} // namespace hemlockglade::bench
