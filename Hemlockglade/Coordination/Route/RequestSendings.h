#pragma once

#include <cstdint>
#include <string_view>

namespace hemlockglade {

/// How far a sending of a request to a replica has come.
enum class SendingState : std::uint8_t {
  /// Nothing has been written.
  Chosen,
  /// Ended before anything was written.
  Withdrawn,
  /// Bytes of the request may have been written.
  Written,
  /// The replica's answer has begun, and doesn't say that it has not run the
  /// request.
  Answering,
  /// That answer is complete.
  Answered,
  /// Its connection ended before an answer was complete.
  Broken,
  /// This node ended it before an answer was complete.
  Abandoned,
  /// Its own answer says that the request has not run.
  NotRun,
};

/// Returns the state's name, for logs.
std::string_view sendingStateName(SendingState state);

/// All sendings of one request, one at a time, and what they leave open:
/// whether the request may have run. Only events change a sending; that it was
/// written is never undone except by the answer to this very sending. An event
/// that contradicts what is known changes nothing and returns false.
class RequestSendings {
public:
  /// Begins the next sending. The one before must have ended.
  bool begin();
  /// Called right before the first byte is written.
  bool onWritten();
  /// Called with the head of an answer that doesn't say "not run".
  bool onAnswering();
  /// Called when that answer is complete.
  bool onAnswered();
  /// Called when the connection has ended the sending.
  bool onBroken();
  /// Called when the answer to this sending says that it has not run.
  bool onNotRun();
  /// Ends the sending if it is still under way: withdraws it if nothing was
  /// written, else abandons it.
  void end();

  /// State of the last sending; `Withdrawn` if there was none.
  SendingState state() const { return Last; }
  /// Number of sendings begun.
  std::uint32_t count() const { return Count; }
  /// Number of sendings that were proved not to have run.
  std::uint32_t notRun() const { return NotRunCount; }
  /// Whether bytes of the last sending have been written and its end is not
  /// known.
  bool isUnderWay() const {
    return Last == SendingState::Written || Last == SendingState::Answering;
  }
  /// Whether the last sending may have run.
  bool lastMayHaveRun() const { return mayHaveRun(Last); }
  /// Whether any sending may have run. Only while this is false may the caller
  /// be told that the request has not run, or a run-once request be sent.
  bool mayHaveRun() const { return EarlierMayHaveRun || lastMayHaveRun(); }

private:
  static bool mayHaveRun(SendingState state);
  bool advance(SendingState from, SendingState to);

  SendingState Last = SendingState::Withdrawn;
  std::uint32_t Count = 0;
  std::uint32_t NotRunCount = 0;
  /// A sending before the last one may have run.
  bool EarlierMayHaveRun = false;
};

} // namespace hemlockglade
