#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// What a run measured. All but the decision times are in virtual time and
/// the same at every run of the same program.
struct Figures {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Doubled = 0;
  std::uint64_t WrongAdapter = 0;
  std::uint64_t EvictedWhileServing = 0;
  /// Evictions ordered while the lease did not hold.
  std::uint64_t EvictedWithoutLease = 0;
  /// Requests that ran where a rule does not let their adapter run.
  std::uint64_t OutsideRule = 0;
  /// Admissions to an engine that went down or lost the adapter unknown to
  /// the policy; they were not run.
  std::uint64_t StaleAdmits = 0;
  /// Attempts that the policy was asked for.
  std::uint64_t Attempts = 0;
  std::uint64_t Loads = 0;
  std::uint64_t LoadsFailed = 0;
  std::uint64_t LoadsCancelled = 0;
  std::uint64_t Evictions = 0;
  std::uint64_t DecisionHash = 0;
  std::uint64_t Decisions = 0;
  double BatchFill = 0;
  /// Requests whose first token came in time, as part of all.
  std::uint64_t InTime = 0;
  /// How a class fared.
  struct ClassFigures {
    std::uint64_t Requests = 0;
    std::uint64_t InTime = 0;
  };
  std::map<std::string, ClassFigures> Classes;
  /// Load stalls of answered requests, in seconds.
  std::vector<double> Stalls;
  /// Load stalls of requests that ended in a refusal.
  std::vector<double> RefusedStalls;
  /// Load stalls of all, where one without answer counts at least its
  /// deadline.
  std::vector<double> PenalisedStalls;
  /// Times to the first token of answered requests.
  std::vector<double> FirstTokens;
  /// Wall clock time of each call of the policy.
  std::vector<std::uint32_t> DecisionNs;

  /// The figures under the names that bounds and reports use.
  nlohmann::json toJson() const;
};

} // namespace hemlockglade::bench
