#pragma once

#include "Programs/hemlockgladed/SignalHold.h"

#include <string>

namespace hemlockglade {

/// Runs this process as a node that serves from a registry until it is told to
/// stop; gives the process's exit status. `hold` is released once signals are
/// obeyed.
int runGateway(const std::string &config, bool onlyCheck, SignalHold &hold);

} // namespace hemlockglade
