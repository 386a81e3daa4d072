#include "Programs/hemlockgladed/SignalHold.h"

#include <utility>

namespace hemlockglade {

SignalHold::SignalHold() {
  sigset_t held;
  sigemptyset(&held);
  for (int it : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&held, it);
  Holds = pthread_sigmask(SIG_BLOCK, &held, &Before) == 0;
}

void SignalHold::release() {
  if (std::exchange(Holds, false))
    pthread_sigmask(SIG_SETMASK, &Before, nullptr);
}

} // namespace hemlockglade
