#pragma once

#include "Commands.h"

namespace hemlockglade {

/// Settings of the command `explain`.
struct ExplainSettings {
  /// Files with log lines; `-` is standard input.
  std::vector<std::string> Files;
  /// Id of the request whose lines are printed, with the orders for its
  /// weights; if empty, all requests are summed up together.
  std::string Request;
};

/// Reads nodes' logs and prints what happened to requests. Needs no node.
ExitCode explain(const ExplainSettings &settings);

} // namespace hemlockglade
