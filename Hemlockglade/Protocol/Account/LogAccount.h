#pragma once

#include "Hemlockglade/Protocol/Account/LogLine.h"

#include <map>
#include <ostream>
#include <set>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// Number of loads for one reason, by where the weights had been loaded before.
struct LoadCounts {
  std::uint64_t All = 0;
  /// The weights and version had not been loaded on any replica.
  std::uint64_t First = 0;
  /// They had been loaded on the same replica.
  std::uint64_t SameReplica = 0;
  /// They had been loaded on other replicas only.
  std::uint64_t OtherReplica = 0;
};

/// How long requests waited at the entry for one reason.
struct WaitCounts {
  /// One value per request, in milliseconds.
  std::vector<double> Ms;
};

/// Results of the requests that arrived in one window of time.
struct WindowCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  /// Complete requests that were held longer than `LongHoldMs` before they were
  /// first sent.
  std::uint64_t HeldLong = 0;
};

/// Summarizes the decisions of nodes from their log lines: how requests ended
/// and what they waited for, and which weights were loaded how often.
class LogAccount {
public:
  struct Settings {
    /// Length of a window, in seconds.
    double WindowSeconds = 2;
    /// Requests held longer than this, in milliseconds, are counted as held
    /// long. The default is half of the shortest target latency in use.
    double LongHoldMs = 300;
    /// Maximum number of requests whose attempts are kept until their end is
    /// read; further requests are not tracked.
    std::size_t MaxOpenRequests = 1'000'000;
  };

  explicit LogAccount(Settings settings) : Options(settings) {}

  void add(const LogLine &line);
  /// Prints the summary as tables.
  void print(std::ostream &out) const;

  std::uint64_t lines() const { return Lines; }
  const std::map<std::string, LoadCounts> &loads() const { return Loads; }
  const std::map<std::string, WaitCounts> &waits() const { return Waits; }
  /// Refusals, by result and what the request had waited for.
  const std::map<std::string, std::uint64_t> &refusals() const {
    return Refusals;
  }
  /// Attempts at replicas, by how they ended.
  const std::map<std::string, std::uint64_t> &attempts() const {
    return Attempts;
  }
  /// Requests for which no quota could be reserved, by workspace.
  const std::map<std::string, std::uint64_t> &quotaRefusals() const {
    return QuotaRefusals;
  }
  /// Ends of replicas while they ran a request, by the key of the request, and
  /// the keys that were barred.
  const std::map<std::string, std::uint64_t> &replicaEnds() const {
    return ReplicaEnds;
  }
  const std::set<std::string> &barredKeys() const { return BarredKeys; }
  /// Results by route and number of the window.
  const std::map<std::pair<std::string, std::int64_t>, WindowCounts> &
  windows() const {
    return Windows;
  }

private:
  /// What is known of a request whose end has not been read yet.
  struct OpenRequest {
    std::string Route;
    std::string Wait;
    double WaitedMs = 0;
    std::uint64_t Sent = 0;
  };

  void addSend(const LogLine &line);
  void addEnd(const LogLine &line);
  void addOrder(const LogLine &line);
  void printLoads(std::ostream &out) const;
  void printWaits(std::ostream &out) const;
  void printEnds(std::ostream &out) const;
  void printWindows(std::ostream &out) const;

  Settings Options;
  std::uint64_t Lines = 0;
  std::unordered_map<std::string, OpenRequest> Requests;
  std::map<std::string, LoadCounts> Loads;
  /// Replicas on which weights were loaded, by weights and version.
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> Loaded;
  std::map<std::string, WaitCounts> Waits;
  std::map<std::string, std::uint64_t> Refusals;
  std::map<std::string, std::uint64_t> Attempts;
  std::map<std::string, std::uint64_t> QuotaRefusals;
  std::map<std::string, std::uint64_t> ReplicaEnds;
  std::set<std::string> BarredKeys;
  std::map<std::pair<std::string, std::int64_t>, WindowCounts> Windows;
};

} // namespace hemlockglade
