#pragma once

#include "Hemlockglade/Transport/Transport.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace hemlockglade {

/// The process that a stand-in lives in: its context, timers and history.
class StandIn {
public:
  /// Appends to the history file; an empty path records nothing.
  StandIn(asio::io_context &context, std::string name,
          const std::string &historyPath);

  asio::io_context &context() { return Context; }
  TimerService &timers() { return Timers; }
  const std::string &name() const { return Name; }

  /// Adds one line to the history, see HISTORY.md.
  void record(nlohmann::json line);

  /// Port that others connect to, if it isn't the one of the HTTP listener.
  std::uint16_t DataPort = 0;

private:
  asio::io_context &Context;
  TimerService Timers;
  std::string Name;
  std::ofstream History;
};

/// A text that is different for each start.
std::string newStandInId();

/// A whole number from a query; `fallback` if it isn't there.
std::int64_t queryNumber(const HttpIncoming &in, std::string_view name,
                         std::int64_t fallback);

/// Runs what `main` does, and says why if it can't.
template <typename Call> int guarded(Call call) {
  try {
    return call();
  } catch (...) {
    std::fputs("stand-in: ended by an exception\n", stderr);
    return 1;
  }
}

/// Hash of a text as it stands in the history.
std::string textHash(std::string_view text);

} // namespace hemlockglade
