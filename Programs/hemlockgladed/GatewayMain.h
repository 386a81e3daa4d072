#pragma once

#include <string>

namespace hemlockglade {

/// Runs this process as a node that serves from a registry until it is told to
/// stop; gives the process's exit status.
int runGateway(const std::string &config, bool onlyCheck);

} // namespace hemlockglade
