// Measures how memory, processor time, table operations and bytes grow with the
// size of a deployment, and prints each slope with its fit. The figures of
// docs/CAPACITY.md are derived from this table.

#include "Slope.h"
#include "Slopes.h"

#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(fit, "",
              "only print the row for what|unit|by|planned|size:value,...");

using namespace hemlockglade::bench;

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout.precision(4);
  if (!FLAGS_fit.empty()) {
    print(std::cout, readSlope(FLAGS_fit));
    return 0;
  }
  printHead(std::cout);
  measureCore(std::cout);
  measureState(std::cout);
  measureMessages(std::cout);
  measureTable(std::cout);
  measureMembers(std::cout);
  measurePeers(std::cout);
  return 0;
}
