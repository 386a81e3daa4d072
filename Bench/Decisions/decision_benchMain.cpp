// Measures the processor time of the decisions for each request and of the
// planning runs of a failure domain's owner, at the size of the largest planned
// deployment (580 nodes, 12,000 replicas of four services), and prints a table.
// Ends with status 1 if a choice among a service's replicas of one failure
// domain takes longer than the bound.

#include "PlanRuns.h"

#include <algorithm>
#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <numeric>

INITIALIZE_EASYLOGGINGPP

DEFINE_double(max_choose_us, 5,
              "bound of the median of ReplicaView::choose among a service's "
              "replicas of one failure domain, in microseconds");

namespace hemlockglade::bench {

namespace {

double quantile(CallTimes &times, double share) {
  auto at = static_cast<std::ptrdiff_t>(share *
                                        static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), times.begin() + at, times.end());
  return times[static_cast<std::size_t>(at)];
}

/// Prints a row and returns the median.
double print(const std::string &what, std::size_t replicas, CallTimes times) {
  auto mean = std::accumulate(times.begin(), times.end(), 0.0) /
              static_cast<double>(times.size());
  auto median = quantile(times, 0.5);
  std::cout << "| " << what << " | " << replicas << " | " << times.size()
            << " | " << mean << " | " << median << " | "
            << quantile(times, 0.99) << " |" << std::endl;
  return median;
}

} // namespace

} // namespace hemlockglade::bench

int main(int argc, char **argv) {
  using namespace hemlockglade::bench;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout.precision(3);
  std::cout << "| decision | replicas | samples | mean us | median us | 99% us "
               "|\n|---|---|---|---|---|---|\n";
  // 143 failure domains of 21 replicas of each service are 12,012 replicas.
  constexpr std::size_t ReplicasOfCell = 21;
  constexpr std::size_t Domains = 143;
  double median = 0;
  for (std::size_t replicas : {ReplicasOfCell, std::size_t{30}})
    median = std::max(median, print("choose, one failure domain", replicas,
                                    chooseTimes(replicas, 1)));
  constexpr std::size_t SomeDomains = 4;
  print("choose, four failure domains", ReplicasOfCell * SomeDomains,
        chooseTimes(ReplicasOfCell, SomeDomains));
  print("choose, all of the service", ReplicasOfCell * Domains,
        chooseTimes(ReplicasOfCell, Domains));
  for (std::size_t engines : {21, 30, 84, 336})
    for (bool ranked : {false, true})
      print(ranked ? "planning run, ranked" : "planning run", engines,
            planTimes(engines, ranked));
  bool isHeld = median <= FLAGS_max_choose_us;
  std::cout << (isHeld ? "held    " : "BROKEN  ")
            << "a choice in one failure domain takes " << median << " us, "
            << FLAGS_max_choose_us << " allowed\n";
  return isHeld ? 0 : 1;
}
