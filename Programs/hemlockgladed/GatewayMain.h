#pragma once

#include "Programs/hemlockgladed/SignalBlock.h"

#include <string>

namespace hemlockglade {

/// Runs this process as a node that serves from a registry until a signal stops
/// it. Returns the exit status of the process. With `onlyCheck` it only reads
/// the settings file. `signalBlock` is released once the handlers are
/// installed.
int runGateway(const std::string &config, bool onlyCheck,
               SignalBlock &signalBlock);

} // namespace hemlockglade
