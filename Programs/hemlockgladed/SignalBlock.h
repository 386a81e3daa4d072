#pragma once

#include <csignal>

namespace hemlockglade {

/// Blocks SIGTERM, SIGINT and SIGHUP while a process starts, so that they stay
/// pending until its handlers are installed. Without it a signal that arrives
/// earlier kills the process before it can log or close anything.
class SignalBlock {
public:
  SignalBlock();
  ~SignalBlock() { release(); }
  SignalBlock(const SignalBlock &) = delete;
  SignalBlock &operator=(const SignalBlock &) = delete;

  /// Restores the former signal mask, which delivers the pending signals.
  void release();

private:
  sigset_t FormerMask{};
  bool Blocked = false;
};

} // namespace hemlockglade
