#pragma once

#include "Bench/Core/Bounds.h"

namespace hemlockglade::bench {

/// What a table of results shows.
struct MarkdownTableSettings {
  std::vector<std::string> Scenarios;
  std::vector<std::string> Policies;
  /// Seeds 1 to this; the table gives the mean.
  std::uint64_t Seeds = 3;
};

/// Runs every policy in every scenario and prints a table in Markdown.
void printMarkdownTable(const MarkdownTableSettings &settings,
                        const RunFunction &run, std::ostream &out);

} // namespace hemlockglade::bench
