#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// Results of a run. All but the decision times are in virtual time and are the
/// same in every run of the same program.
struct Figures {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Doubled = 0;
  std::uint64_t WrongAdapter = 0;
  std::uint64_t EvictedWhileServing = 0;
  /// Evictions commanded while the lease was not held.
  std::uint64_t EvictedWithoutLease = 0;
  /// Requests that ran in a failure domain where a rule doesn't allow their
  /// adapter.
  std::uint64_t OutsideRule = 0;
  /// Admissions to an engine that was down or no longer had the adapter, which
  /// the policy couldn't know yet; they were not run.
  std::uint64_t StaleAdmits = 0;
  /// Attempts that were passed to the policy.
  std::uint64_t Attempts = 0;
  std::uint64_t Loads = 0;
  std::uint64_t LoadsFailed = 0;
  std::uint64_t LoadsCancelled = 0;
  std::uint64_t Evictions = 0;
  std::uint64_t DecisionHash = 0;
  std::uint64_t Decisions = 0;
  double BatchFill = 0;
  /// Requests whose first token arrived within the deadline.
  std::uint64_t InTime = 0;
  /// Figures of one class of callers.
  struct ClassFigures {
    std::uint64_t Requests = 0;
    std::uint64_t InTime = 0;
  };
  std::map<std::string, ClassFigures> Classes;
  /// Load stalls of answered requests, in seconds.
  std::vector<double> Stalls;
  /// Load stalls of requests that ended in a refusal, in seconds.
  std::vector<double> RefusedStalls;
  /// Load stalls of all requests, in seconds; a request without an answer
  /// counts with at least its deadline.
  std::vector<double> PenalisedStalls;
  /// Times to the first token of answered requests, in seconds.
  std::vector<double> FirstTokens;
  /// Wall-clock time of each call of the policy, in nanoseconds.
  std::vector<std::uint32_t> DecisionNs;

  /// Returns the figures under the names that bounds and reports use.
  nlohmann::json toJson() const;
};

} // namespace hemlockglade::bench
