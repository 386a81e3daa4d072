#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// One run of a request at an endpoint.
struct HistoryRun {
  const HistoryEvent *Ran = nullptr;
  /// `finished`, `cancelled` or `cut`; empty if the history ends before.
  const HistoryEvent *End = nullptr;
  /// Times at which the run lost and regained its reader, in turn: detached,
  /// resumed, detached...
  std::vector<Instant> Detached;

  /// Whether the run was in progress and had a reader at that time.
  bool hasReaderAt(Instant at) const;
};

/// One call: a request as a caller sent it once, and its answer. A retry of the
/// request is a further call.
struct HistoryCall {
  const HistoryEvent *Sent = nullptr;
  const HistoryEvent *Answered = nullptr;
  std::size_t Answers = 0;
};

/// A half-open time interval during which a state lasted.
struct HistoryInterval {
  Instant From{};
  Instant To = Instant::max();

  bool contains(Instant at) const { return From <= at && at < To; }
};

/// A history in the order of time, with related events linked.
class HistoryIndex {
public:
  explicit HistoryIndex(std::vector<HistoryEvent> events);
  HistoryIndex(const HistoryIndex &) = delete;
  HistoryIndex &operator=(const HistoryIndex &) = delete;

  const std::vector<HistoryEvent> &events() const { return Events; }
  const std::deque<HistoryRun> &runs() const { return Runs; }
  /// Calls by the name that their `sending` field has.
  const std::map<std::string, HistoryCall> &calls() const { return Calls; }
  /// Returns all runs of a caller's request.
  std::vector<const HistoryRun *> runsOf(const std::string &tag) const;
  /// Returns the first call of a request; null if no caller recorded one.
  const HistoryCall *firstCallOf(const std::string &tag) const;
  /// Whether a process with that address was killed at any time.
  bool wasKilled(const std::string &address) const;
  /// Returns the intervals in which a node was paused.
  std::vector<HistoryInterval>
  pausedIntervals(const std::string &address) const;
  /// Returns the intervals in which an endpoint, or a proxy before it, gave no
  /// answers.
  std::vector<HistoryInterval>
  silentIntervals(const std::string &endpoint) const;
  /// Returns the intervals in which the host list showed an endpoint as
  /// draining.
  std::vector<HistoryInterval>
  drainingIntervals(const std::string &endpoint) const;
  /// Whether the test severed connections to an endpoint between these times.
  bool hasSeveredConnections(const std::string &endpoint, Instant from,
                             Instant to) const;

private:
  using IntervalMap = std::map<std::string, std::vector<HistoryInterval>>;

  void link(const HistoryEvent &event);
  void linkRun(const HistoryEvent &event);
  static void recordChange(IntervalMap &intervals, const std::string &name,
                           bool on, Instant at);
  static std::vector<HistoryInterval> find(const IntervalMap &intervals,
                                           const std::string &name);

  std::vector<HistoryEvent> Events;
  std::deque<HistoryRun> Runs;
  std::map<std::pair<std::string, std::uint64_t>, HistoryRun *> RunByNumber;
  std::unordered_map<std::string, std::vector<const HistoryRun *>> RunsByTag;
  std::map<std::string, HistoryCall> Calls;
  std::unordered_map<std::string, const HistoryCall *> CallByTag;
  std::map<std::string, Instant> Killed;
  IntervalMap Paused;
  IntervalMap Silent;
  IntervalMap Draining;
  std::map<std::string, std::vector<Instant>> Severed;
};

} // namespace hemlockglade
