// history_check FILE... : checks each guarantee from the given histories,
// prints a verdict for each, and exits with 1 if one is violated, with 2 if a
// line can't be parsed.

#include "UnitTests/History/HistoryChecker.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(leaving_s, 2,
              "how long a draining endpoint may get new work, in seconds");
DEFINE_double(
    config_s, 12,
    "time until an accepted configuration must be in force, in seconds");
DEFINE_int32(shown, 5, "maximum number of violations shown for each guarantee");

namespace {

using namespace hemlockglade;

constexpr int ExitViolated = 1;
constexpr int ExitUnreadable = 2;

/// Appends the events of a file; returns false if the file can't be opened or a
/// line isn't a history line.
bool read(const char *path, std::vector<HistoryEvent> &events) {
  std::ifstream file(path);
  bool isReadable = file.is_open();
  std::size_t n = 0;
  for (std::string line; std::getline(file, line);) {
    ++n;
    if (auto event = HistoryEvent::parse(line)) {
      events.push_back(std::move(*event));
      continue;
    }
    std::cerr << path << ':' << n << ": not a history line\n";
    isReadable = false;
  }
  return isReadable;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("history_check FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<HistoryEvent> events;
  bool isReadable = argc > 1;
  for (int it = 1; it < argc; ++it)
    isReadable = read(argv[it], events) && isReadable;
  HistoryChecker checker(std::move(events),
                         {spanOf(FLAGS_leaving_s), spanOf(FLAGS_config_s)});
  bool isViolated = false;
  for (const auto &verdict : checker.check()) {
    print(std::cout, verdict, static_cast<std::size_t>(FLAGS_shown));
    isViolated = isViolated || !verdict.Violations.empty();
  }
  return isViolated ? ExitViolated : isReadable ? 0 : ExitUnreadable;
}
