#pragma once

#include "Hemlockglade/Transport/Transport.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace hemlockglade {

/// Services that a stand-in's process provides to it: context, timers and
/// history.
class StandIn {
public:
  /// Appends to the history file; with an empty path nothing is recorded.
  StandIn(asio::io_context &context, std::string name,
          const std::string &historyPath);

  asio::io_context &context() { return Context; }
  TimerService &timers() { return Timers; }
  const std::string &name() const { return Name; }

  /// Appends one line to the history; HISTORY.md describes the events. Adds
  /// the time and the stand-in's name.
  void record(nlohmann::json line);

  /// Port that other processes connect to, if it differs from that of the HTTP
  /// listener; otherwise 0.
  std::uint16_t DataPort = 0;

private:
  asio::io_context &Context;
  TimerService Timers;
  std::string Name;
  std::ofstream History;
};

/// Returns a random identifier, different for each start.
std::string newStandInId();

/// Returns an integer parameter of the query, or `fallback` if it is missing.
std::int64_t queryNumber(const HttpIncoming &in, std::string_view name,
                         std::int64_t fallback);

/// Runs the body of `main` and returns its exit code; if it throws, prints a
/// message and returns 1.
template <typename Call> int guarded(Call call) {
  try {
    return call();
  } catch (...) {
    std::fputs("stand-in: ended by an exception\n", stderr);
    return 1;
  }
}

/// Returns the hash of a text, as hexadecimal digits, that histories contain.
std::string textHash(std::string_view text);

} // namespace hemlockglade
