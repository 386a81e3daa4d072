#include "Programs/hemlockgladed/SignalBlock.h"

#include <utility>

namespace hemlockglade {

SignalBlock::SignalBlock() {
  sigset_t blocked;
  sigemptyset(&blocked);
  for (int it : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&blocked, it);
  Blocked = pthread_sigmask(SIG_BLOCK, &blocked, &FormerMask) == 0;
}

void SignalBlock::release() {
  if (std::exchange(Blocked, false))
    pthread_sigmask(SIG_SETMASK, &FormerMask, nullptr);
}

} // namespace hemlockglade
