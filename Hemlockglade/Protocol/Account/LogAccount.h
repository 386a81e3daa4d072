#pragma once

#include "Hemlockglade/Protocol/Account/LogLine.h"

#include <map>
#include <ostream>
#include <set>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// Loads of one reason, by what they brought where.
struct LoadCounts {
  std::uint64_t All = 0;
  /// Weights and version that no replica had been loaded with before.
  std::uint64_t First = 0;
  /// Back to a replica that had been loaded with them.
  std::uint64_t SameReplica = 0;
  /// To a replica that had not, while another one had.
  std::uint64_t OtherReplica = 0;
};

/// How long requests waited at the entry for one reason.
struct WaitCounts {
  std::vector<double> Ms;
};

/// What requests that arrived in one span of time came to.
struct WindowCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Complete = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  /// Complete ones that were held longer than the account's bound before they
  /// were first sent.
  std::uint64_t HeldLong = 0;
};

/// Adds up what nodes decided, from their own log lines: how requests ended and
/// what they waited for, what was loaded and how often again.
class LogAccount {
public:
  struct Settings {
    /// Length of a window, in seconds.
    double WindowSeconds = 2;
    /// Requests held longer count as held long, in milliseconds: half of the
    /// shortest target latency in use.
    double LongHoldMs = 300;
    /// Requests whose sendings are kept until their end is read.
    std::size_t MostOpen = 1'000'000;
  };

  explicit LogAccount(Settings settings) : Setup(settings) {}

  void add(const LogLine &line);
  /// Prints the account as tables.
  void print(std::ostream &out) const;

  std::uint64_t lines() const { return Lines; }
  const std::map<std::string, LoadCounts> &loads() const { return Loads; }
  const std::map<std::string, WaitCounts> &waits() const { return Waits; }
  /// Refusals by what the request had waited for.
  const std::map<std::string, std::uint64_t> &refusals() const {
    return Refusals;
  }
  /// Tries at replicas by how they ended.
  const std::map<std::string, std::uint64_t> &tries() const { return Tries; }
  /// Requests that were not booked against their workspace's limit.
  const std::map<std::string, std::uint64_t> &limited() const {
    return Limited;
  }
  /// Ends of replicas under requests, by the requests' keys, and the keys that
  /// were barred.
  const std::map<std::string, std::uint64_t> &ends() const { return Ends; }
  const std::set<std::string> &barred() const { return Barred; }
  /// By route and number of the window.
  const std::map<std::pair<std::string, std::int64_t>, WindowCounts> &
  windows() const {
    return Windows;
  }

private:
  /// What is known of a request before its end.
  struct Open {
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

  Settings Setup;
  std::uint64_t Lines = 0;
  std::unordered_map<std::string, Open> Requests;
  std::map<std::string, LoadCounts> Loads;
  /// Replicas that were loaded with weights and version.
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> Loaded;
  std::map<std::string, WaitCounts> Waits;
  std::map<std::string, std::uint64_t> Refusals;
  std::map<std::string, std::uint64_t> Tries;
  std::map<std::string, std::uint64_t> Limited;
  std::map<std::string, std::uint64_t> Ends;
  std::set<std::string> Barred;
  std::map<std::pair<std::string, std::int64_t>, WindowCounts> Windows;
};

} // namespace hemlockglade
