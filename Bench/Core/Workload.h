#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// Replicas with the same properties.
struct EngineGroup {
  std::uint32_t Count = 12;
  std::uint32_t Slots = 8;
  std::uint32_t Batch = 32;
  /// Duration of a decode step with an empty batch.
  double StepMs = 25;
  /// Time that each running request adds to a step.
  double StepPerRequestMs = 0.7;
  /// Prompt tokens that are prefilled in the time of one step.
  double PrefillTokensPerStep = 256;
  /// Time after a restart in which steps take `WarmUpFactor` times as long.
  double WarmUpS = 20;
  double WarmUpFactor = 2.5;
};

/// A class of callers' requests.
struct CallerClass {
  std::string Name = "default";
  /// Fraction of the requests of this class; the fractions add up to 1.
  double Share = 1;
  std::uint8_t Priority = 1;
  /// Time after the arrival within which the first token is due.
  double DeadlineS = 10;
  /// Mean number of tokens in an answer.
  double Tokens = 100;
  /// Mean number of tokens in a prompt.
  double PromptTokens = 300;
  /// Max. retries of a caller after refusals.
  std::uint32_t CallerRetries = 1;
  /// Whether an entry may retry a request that may have run.
  bool Repeatable = true;
};

/// Rate of arrivals from a point in time on, in requests per second.
struct RatePoint {
  double AtS = 0;
  double Rate = 1;
};

enum class FaultKind : std::uint8_t {
  /// The popularity of a fraction (`Value`) of the adapters changes at once.
  Shift,
  /// A fraction (`Value`) of the adapters gets its first requests, and others
  /// become idle, spread over `ForS`.
  Wake,
  /// One request each for `Value` adapters per second, for `ForS`.
  Scan,
  /// Replica `Replica` (0 for all), or domain `Domain`, is down for `ForS`.
  Down,
  /// The weight store's rate is `Value` loads per second for `ForS`.
  Store,
  /// The lease is doubtful for `ForS`.
  Doubtful,
  /// Another node takes over the cell; its recovery takes `ForS`.
  Takeover,
  /// Replica `Replica` is drained for `ForS`.
  Drain,
};

/// An event of a run.
struct Fault {
  FaultKind Kind = FaultKind::Shift;
  double AtS = 0;
  double ForS = 0;
  double Value = 0;
  std::uint32_t Replica = 0;
  std::uint32_t Domain = 0;
};

/// Scenario of a run: the requests, the cell and the faults.
struct Workload {
  std::string Name;
  std::string About;
  /// The users' main objective: short load stalls (`stall`) or full batches
  /// (`batch`).
  std::string Objective = "stall";
  /// Time for which requests arrive.
  double DurationS = 900;
  /// A request that has not ended this long after the last arrivals counts as
  /// lost.
  double DrainS = 600;
  std::vector<EngineGroup> Engines{{}};
  std::uint32_t Domains = 3;
  std::uint32_t Adapters = 3000;
  /// Exponent of the Zipf distribution of the adapters' popularity.
  double Zipf = 1.0;
  /// Fraction of the adapters that get no requests at the start.
  double Idle = 0;
  std::vector<RatePoint> Rates{{}};
  /// Mean number of consecutive requests of a caller for an adapter.
  double SessionRequests = 1;
  /// Mean time between the requests of a session.
  double SessionGapS = 20;
  std::vector<CallerClass> Classes{{}};
  double LoadsPerS = 3;
  /// Fraction of the loads that fail.
  double LoadFailures = 0;
  /// Fraction of the adapters whose loads always fail.
  double BrokenAdapters = 0;
  /// Fraction of the load and evict commands that are lost; the same fraction
  /// of the others' answers is lost.
  double LostOrders = 0;
  /// Fraction of the adapters that may run in one failure domain only.
  double RuledAdapters = 0;
  double ReportPeriodS = 1;
  double ReportLagS = 0.2;
  /// Fraction of the reports that are missing.
  double ReportGaps = 0;
  std::vector<Fault> Faults;

  /// Returns the only failure domain where an adapter may run; 0 if it may run
  /// in all.
  std::uint32_t ruledDomain(std::uint32_t adapter) const;

  /// Returns the number of replicas of all groups.
  std::uint32_t replicas() const;
};

/// Reads a workload file; throws `std::runtime_error` with the path and the
/// cause if it is invalid.
Workload readWorkload(const std::string &path);

} // namespace hemlockglade::bench
