#pragma once

#include "UnitTests/History/HistoryIndex.h"

#include <iosfwd>

namespace hemlockglade {

/// What must always hold, in the order of the users' list.
enum class Promise : std::uint8_t {
  RightAdapter,
  NoEvictionWhileServing,
  WholeAnswer,
  NotRunIsTrue,
  AtMostOnce,
  LeavingEndpoint,
  GracefulStop,
  ConfigurationHolds,
  OneHolder,
};

/// The promise's name in a verdict.
std::string_view promiseName(Promise promise);

/// One breach and the lines that show it.
struct Violation {
  std::string Text;
  std::vector<std::string> Lines;
};

/// What the history says about one promise.
struct Verdict {
  Promise Which = Promise::RightAdapter;
  /// Cases looked at; 0 says that the history tells nothing.
  std::size_t Examined = 0;
  std::vector<Violation> Violations;
};

/// Prints a verdict and its first `shown` violations.
void print(std::ostream &out, const Verdict &verdict, std::size_t shown);

/// Bounds that the promises with "seconds" in them are held to.
struct HistoryBounds {
  /// After the list says that an endpoint is leaving.
  Span Leaving = std::chrono::seconds(2);
  /// After a configuration was accepted.
  Span Configuration = std::chrono::seconds(12);
  /// Between the orders of two holders to one engine.
  Span Lease = std::chrono::seconds(3);
  /// After a holder was woken, in which its orders do not count.
  Span Thaw = std::chrono::milliseconds(300);
};

/// Decides each promise from a history alone.
class HistoryChecker {
public:
  explicit HistoryChecker(std::vector<HistoryEvent> events,
                          HistoryBounds bounds = {});

  /// A verdict for each promise, in order.
  std::vector<Verdict> check() const;

private:
  void rightAdapter(Verdict &verdict) const;
  void residency(Verdict &verdict) const;
  void noEvictionWhileServing(Verdict &verdict) const;
  void wholeAnswer(Verdict &verdict) const;
  void wholeAnswerOf(const HistorySending &sending, Verdict &verdict) const;
  void notRunIsTrue(Verdict &verdict) const;
  void atMostOnce(Verdict &verdict) const;
  void leavingEndpoint(Verdict &verdict) const;
  void gracefulStop(Verdict &verdict) const;
  bool killedWhileStopping(const HistoryEvent &stop,
                           const HistoryEvent *exit) const;
  void gracefulStopOf(const HistoryEvent &stop, Verdict &verdict) const;
  void cancelledWithin(const HistorySpell &stop, Verdict &verdict) const;
  void neverReverts(Verdict &verdict) const;
  void inForceInTime(Verdict &verdict) const;
  void oneChangeARevision(Verdict &verdict) const;
  void oneHolder(Verdict &verdict) const;
  bool justWoken(const HistoryEvent &order) const;

  /// Whether the node that answered had been told to stop by then.
  bool terminated(const HistoryEvent &answer) const;
  bool currentEver(const std::string &adapter, Instant at) const;
  bool isRunOf(const HistoryRun &run, const HistoryEvent &answer) const;
  bool excused(const HistoryEvent &look) const;
  std::vector<const HistoryEvent *> of(std::string_view kind) const;

  HistoryIndex Index;
  HistoryBounds Bounds;
};

} // namespace hemlockglade
