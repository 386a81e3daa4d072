#pragma once

#include "UnitTests/History/HistoryIndex.h"

#include <iosfwd>

namespace hemlockglade {

/// What must always hold. The enumerators index the array of verdicts and of
/// names.
enum class Guarantee : std::uint8_t {
  CorrectAdapter,
  NoEvictionWhileServing,
  CompleteAnswer,
  NotRunMeansNotRun,
  AtMostOnce,
  DrainingEndpoint,
  GracefulStop,
  ConfigurationNeverReverts,
  SingleHolder,
};

/// Returns the name under which a verdict is printed.
std::string_view guaranteeName(Guarantee guarantee);

/// One violation and the history lines that show it.
struct Violation {
  std::string Text;
  std::vector<std::string> Lines;
};

/// The result for one guarantee.
struct Verdict {
  Guarantee Which = Guarantee::CorrectAdapter;
  /// Number of cases examined; 0 if the history has none, which proves nothing.
  std::size_t Examined = 0;
  std::vector<Violation> Violations;
};

/// Prints a verdict and its first `shown` violations.
void print(std::ostream &out, const Verdict &verdict, std::size_t shown);

/// Time bounds of the guarantees that allow for a delay.
struct HistoryBounds {
  /// How long an endpoint may still get new work after the host list shows it
  /// as draining.
  Span Draining = std::chrono::seconds(2);
  /// Until an accepted configuration must be in force on each node.
  Span Configuration = std::chrono::seconds(12);
  /// Minimum time between the orders of two lease holders to one engine.
  Span Lease = std::chrono::seconds(3);
  /// Time after a paused holder is resumed in which its orders are not checked.
  Span ResumeGrace = std::chrono::milliseconds(300);
};

/// Checks each guarantee from a history alone.
class HistoryChecker {
public:
  explicit HistoryChecker(std::vector<HistoryEvent> events,
                          HistoryBounds bounds = {});

  /// Returns a verdict for each guarantee, in their order.
  std::vector<Verdict> check() const;

private:
  void checkAdapter(Verdict &verdict) const;
  void checkResidency(Verdict &verdict) const;
  void checkEvictions(Verdict &verdict) const;
  void checkAnswers(Verdict &verdict) const;
  void checkAnswer(const HistoryCall &call, Verdict &verdict) const;
  void checkNotRun(Verdict &verdict) const;
  void checkAtMostOnce(Verdict &verdict) const;
  void checkDrainingEndpoints(Verdict &verdict) const;
  void checkGracefulStops(Verdict &verdict) const;
  bool wasKilledWhileStopping(const HistoryEvent &stop,
                              const HistoryEvent *exit) const;
  void checkGracefulStop(const HistoryEvent &stop, Verdict &verdict) const;
  void checkCancelledRuns(const HistoryInterval &stop, Verdict &verdict) const;
  void checkNeverReverts(Verdict &verdict) const;
  void checkInForceInTime(Verdict &verdict) const;
  void checkOneChangePerRevision(Verdict &verdict) const;
  void checkSingleHolder(Verdict &verdict) const;
  bool isJustResumed(const HistoryEvent &order) const;

  /// Whether the node that answered had been ordered to stop by then.
  bool wasTerminated(const HistoryEvent &answer) const;
  bool wasEverCurrent(const std::string &adapter, Instant at) const;
  bool isRunOf(const HistoryRun &run, const HistoryEvent &answer) const;
  bool isExcused(const HistoryEvent &observation) const;
  std::vector<const HistoryEvent *> eventsOf(std::string_view kind) const;

  HistoryIndex Index;
  HistoryBounds Bounds;
};

} // namespace hemlockglade
