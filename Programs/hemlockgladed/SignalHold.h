#pragma once

#include <csignal>

namespace hemlockglade {

/// Keeps SIGTERM, SIGINT and SIGHUP pending while a process sets itself up.
/// Without it one that arrives before the handlers are installed ends the
/// process by the signal, with nothing said and nothing closed.
class SignalHold {
public:
  SignalHold();
  ~SignalHold() { release(); }
  SignalHold(const SignalHold &) = delete;
  SignalHold &operator=(const SignalHold &) = delete;

  /// Delivers what came meanwhile, and holds nothing from now on.
  void release();

private:
  sigset_t Before{};
  bool Holds = false;
};

} // namespace hemlockglade
