// history_check FILE... : decides each promise from the given histories,
// prints a verdict for each, and exits with 1 if one was broken, with 2 if a
// line can't be read.

#include "UnitTests/History/HistoryChecker.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_double(leaving_s, 2, "bound for work to a leaving endpoint, in seconds");
DEFINE_double(config_s, 12,
              "bound for an accepted configuration to be in force, in seconds");
DEFINE_int32(shown, 5, "violations of each promise that are shown");

namespace {

using namespace hemlockglade;

constexpr int Broken = 1;
constexpr int Unreadable = 2;

/// Reads a file; false if a line is no history line.
bool read(const char *path, std::vector<HistoryEvent> &events) {
  std::ifstream file(path);
  bool good = file.is_open();
  std::size_t n = 0;
  for (std::string line; std::getline(file, line);) {
    ++n;
    if (auto event = HistoryEvent::parse(line)) {
      events.push_back(std::move(*event));
      continue;
    }
    std::cerr << path << ':' << n << ": not a history line\n";
    good = false;
  }
  return good;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("history_check FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<HistoryEvent> events;
  bool good = argc > 1;
  for (int it = 1; it < argc; ++it)
    good = read(argv[it], events) && good;
  HistoryChecker checker(std::move(events),
                         {spanOf(FLAGS_leaving_s), spanOf(FLAGS_config_s)});
  bool broken = false;
  for (const auto &verdict : checker.check()) {
    print(std::cout, verdict, static_cast<std::size_t>(FLAGS_shown));
    broken = broken || !verdict.Violations.empty();
  }
  return broken ? Broken : good ? 0 : Unreadable;
}
