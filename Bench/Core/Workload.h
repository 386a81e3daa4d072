#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// Replicas of the same make.
struct EngineGroup {
  std::uint32_t Count = 12;
  std::uint32_t Slots = 8;
  std::uint32_t Batch = 32;
  /// Time of a decode step with an empty batch.
  double StepMs = 25;
  /// What each running request adds to a step.
  double StepPerRequestMs = 0.7;
  /// Prompt tokens that are read in the time of one step.
  double PrefillTokensPerStep = 256;
  /// Time after a start in which steps take `WarmUpFactor` as long.
  double WarmUpS = 20;
  double WarmUpFactor = 2.5;
};

/// A class of callers' requests.
struct CallerClass {
  std::string Name = "default";
  /// Part of the requests that are of this class; the parts add up to 1.
  double Share = 1;
  std::uint8_t Priority = 1;
  /// When the first token is due after the arrival.
  double DeadlineS = 10;
  /// Mean number of tokens in an answer.
  double Tokens = 100;
  /// Mean number of tokens in a prompt.
  double PromptTokens = 300;
  /// How often a caller comes back after a refusal.
  std::uint32_t CallerRetries = 1;
  /// Whether an entry may try again what may have run.
  bool Repeatable = true;
};

/// From when on how many requests a second arrive.
struct RatePoint {
  double AtS = 0;
  double Rate = 1;
};

enum class FaultKind : std::uint8_t {
  /// Popularity of a part (`Value`) of the adapters changes at once.
  Shift,
  /// A part (`Value`) of the adapters wakes up, others fall idle, over `ForS`.
  Wake,
  /// Requests for `Value` adapters a second, each asked for once, for `ForS`.
  Scan,
  /// Replica `Replica` (0 for all), or domain `Domain`, is down for `ForS`.
  Down,
  /// The weight store gives `Value` loads a second for `ForS`.
  Store,
  /// The lease is doubtful for `ForS`.
  Doubtful,
  /// Another node takes the cell over; recovery takes `ForS`.
  Takeover,
  /// Replica `Replica` is drained for `ForS`.
  Drain,
};

/// Something that happens in a run.
struct Fault {
  FaultKind Kind = FaultKind::Shift;
  double AtS = 0;
  double ForS = 0;
  double Value = 0;
  std::uint32_t Replica = 0;
  std::uint32_t Domain = 0;
};

/// What arrives at a cell, what the cell consists of, and what happens to it.
struct Workload {
  std::string Name;
  std::string About;
  /// What the users weigh more: `stall` or `batch`.
  std::string Objective = "stall";
  /// Requests arrive for this long.
  double DurationS = 900;
  /// A request that has not ended this long after that is lost.
  double DrainS = 600;
  std::vector<EngineGroup> Engines{{}};
  std::uint32_t Domains = 3;
  std::uint32_t Adapters = 3000;
  /// Exponent of the adapters' popularity by rank.
  double Zipf = 1.0;
  /// Part of the adapters that nobody asks for at the start.
  double Idle = 0;
  std::vector<RatePoint> Rates{{}};
  /// Mean number of requests that a caller makes for an adapter in a row.
  double SessionRequests = 1;
  /// Mean time between these.
  double SessionGapS = 20;
  std::vector<CallerClass> Classes{{}};
  double LoadsPerS = 3;
  /// Part of the loads that fail.
  double LoadFailures = 0;
  /// Part of the adapters that never load.
  double BrokenAdapters = 0;
  /// Part of the load and evict orders that do not arrive; of as many others
  /// the answer is lost.
  double LostOrders = 0;
  /// Part of the adapters that may run in one failure domain only.
  double RuledAdapters = 0;
  double ReportPeriodS = 1;
  double ReportLagS = 0.2;
  /// Part of the reports that are missing.
  double ReportGaps = 0;
  std::vector<Fault> Faults;

  /// The only failure domain where an adapter may run; 0 if any may.
  std::uint32_t ruledDomain(std::uint32_t adapter) const;

  /// Number of replicas.
  std::uint32_t replicas() const;
};

/// Reads a workload file; throws `std::runtime_error` that says what is wrong.
Workload readWorkload(const std::string &path);

} // namespace hemlockglade::bench
