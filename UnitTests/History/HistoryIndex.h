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
  /// When the run stood without a reader: detached, resumed, detached...
  std::vector<Instant> Detached;

  /// Whether the run had a reader at that time.
  bool servesAt(Instant at) const;
};

/// One sending of a request by a caller, and its answer.
struct HistorySending {
  const HistoryEvent *Sent = nullptr;
  const HistoryEvent *Answered = nullptr;
  std::size_t Answers = 0;
};

/// A time during which something held.
struct HistorySpell {
  Instant From{};
  Instant To = Instant::max();

  bool covers(Instant at) const { return From <= at && at < To; }
};

/// A history in order, with its lines linked.
class HistoryIndex {
public:
  explicit HistoryIndex(std::vector<HistoryEvent> events);
  HistoryIndex(const HistoryIndex &) = delete;
  HistoryIndex &operator=(const HistoryIndex &) = delete;

  const std::vector<HistoryEvent> &events() const { return Events; }
  const std::deque<HistoryRun> &runs() const { return Runs; }
  /// Sendings by their name.
  const std::map<std::string, HistorySending> &sendings() const {
    return Sendings;
  }
  /// Runs of a caller's request.
  std::vector<const HistoryRun *> runsOf(const std::string &tag) const;
  /// The first sending of a request; nothing if no caller wrote it down.
  const HistorySending *sendingOf(const std::string &tag) const;
  /// Whether a process with that address was killed, ever.
  bool killed(const std::string &address) const;
  /// When a node was paused.
  std::vector<HistorySpell> paused(const std::string &address) const;
  /// When an endpoint, or what stands before it, gave no answers.
  std::vector<HistorySpell> silent(const std::string &endpoint) const;
  /// When the host list said that an endpoint is leaving.
  std::vector<HistorySpell> leaving(const std::string &endpoint) const;
  /// Whether connections to an endpoint were severed on purpose.
  bool severed(const std::string &endpoint, Instant from, Instant to) const;

private:
  using Spells = std::map<std::string, std::vector<HistorySpell>>;

  void link(const HistoryEvent &event);
  void linkRun(const HistoryEvent &event);
  static void mark(Spells &spells, const std::string &name, bool on,
                   Instant at);
  static std::vector<HistorySpell> find(const Spells &spells,
                                        const std::string &name);

  std::vector<HistoryEvent> Events;
  std::deque<HistoryRun> Runs;
  std::map<std::pair<std::string, std::uint64_t>, HistoryRun *> RunByNumber;
  std::unordered_map<std::string, std::vector<const HistoryRun *>> RunsByTag;
  std::map<std::string, HistorySending> Sendings;
  std::unordered_map<std::string, const HistorySending *> SendingByTag;
  std::map<std::string, Instant> Killed;
  Spells Paused;
  Spells Silent;
  Spells Leaving;
  std::map<std::string, std::vector<Instant>> Severed;
};

} // namespace hemlockglade
