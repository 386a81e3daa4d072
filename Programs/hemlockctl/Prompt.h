#pragma once

#include "Commands.h"

namespace hemlockglade {

/// Reads and runs commands line by line, with editing and a history that is
/// stored in `~/.hemlockctl_history`. Ends at the end of input, `quit` or
/// `exit`. Returns the status of the last command.
ExitCode runPrompt(Commands &commands);

} // namespace hemlockglade
