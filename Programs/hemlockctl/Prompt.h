#pragma once

#include "Commands.h"

namespace hemlockglade {

/// Reads commands line by line, with editing and a history that is kept in
/// `~/.hemlockctl_history`. Ends at the end of input, `quit` or `exit`; gives
/// the status of the last command.
ExitCode runPrompt(Commands &commands);

} // namespace hemlockglade
