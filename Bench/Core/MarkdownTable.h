#pragma once

#include "Bench/Core/Bounds.h"

namespace hemlockglade::bench {

/// Contents of a table of results.
struct MarkdownTableSettings {
  std::vector<std::string> Scenarios;
  std::vector<std::string> Policies;
  /// The table shows means over seeds 1 to this one.
  std::uint64_t Seeds = 3;
};

/// Runs every policy in every scenario and prints a table in Markdown.
void printMarkdownTable(const MarkdownTableSettings &settings,
                        const RunFunction &run, std::ostream &out);

} // namespace hemlockglade::bench
