#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Coordination/Registry/DeclaredVersions.h"

namespace hemlockglade::bench {

namespace {

constexpr std::size_t Changes = 2000;
constexpr std::size_t Services = 4;
const std::vector<std::size_t> AdapterSizes{1000, 10000, 49000};
const std::vector<std::size_t> ReplicaSizes{1000, 4000, 12000};

std::string serviceName(std::size_t number) {
  return "assistant-" + std::to_string(number % Services);
}

AdapterConfig adapter(std::size_t number, std::uint32_t current) {
  return {"adapter-" + std::to_string(number),
          serviceName(number),
          current,
          {current}};
}

ReplicaConfig replica(std::size_t number) {
  ReplicaConfig out;
  out.Name = "assistant-replica-" + std::to_string(number);
  out.Service = serviceName(number);
  out.Address = "10.20.30.40:" + std::to_string(10000 + number);
  out.FailureDomain = "hall-" + std::to_string(number % 23);
  return out;
}

ServiceConfig service(std::size_t number, std::uint32_t cells) {
  ServiceConfig out;
  out.Name = serviceName(number);
  out.Cells = cells;
  return out;
}

template <typename Make> CatalogView viewOf(std::size_t n, Make make) {
  std::vector<ConfigChange> all;
  for (std::size_t it = 0; it < n; ++it)
    all.push_back({make(it)});
  for (std::size_t it = 0; it < Services; ++it)
    all.push_back(
        {service(it, static_cast<std::uint32_t>(planned::CellsOfService))});
  return CatalogView().with(1, all);
}

template <typename Make> double viewBytes(std::size_t n, Make make) {
  auto before = heapBytes();
  auto view = viewOf(n, make);
  return heapBytes() - before;
}

double applyMicros(std::size_t n) {
  CatalogStore store;
  store.replace(viewOf(n, [](std::size_t it) { return adapter(it, 1); }));
  Revision number = 1;
  return microsOf([&] {
           for (std::size_t it = 0; it < Changes; ++it) {
             ConfigDelta delta{++number,
                               "command-id-of-an-operator",
                               "operator",
                               {{adapter(it * 7919 % n, 2)}}};
             store.apply(*decodeDelta(encodeDelta(delta)));
           }
         }) /
         Changes;
}

/// Returns the time in which CellRunner::configure finds the replicas of one
/// owned cell among all replicas of the view.
double findOwnMicros(std::size_t n) {
  auto view = viewOf(n, &replica);
  auto cell = cellName(serviceName(0), 0);
  std::size_t own = 0;
  auto micros = microsOf([&] {
    view.all<ReplicaConfig>().forEach([&](const ReplicaConfig &it) {
      auto found = view.find<ServiceConfig>(it.Service);
      own += found && cellOfReplica(*found, it) == cell;
    });
  });
  return own ? micros : 0;
}

double cellOfMicros(std::size_t cells) {
  auto config = service(0, static_cast<std::uint32_t>(cells));
  std::size_t chars = 0;
  auto micros =
      microsOf([&] {
        for (std::size_t it = 0; it < Changes; ++it)
          chars +=
              cellOf(config, "adapter-" + std::to_string(it) + "@1").size();
      }) /
      Changes;
  return chars ? micros : 0;
}

double registerBytes(std::size_t n) {
  auto before = heapBytes();
  RunningRequests requests;
  for (std::size_t it = 0; it < n; ++it)
    requests.add({"entry-1-89abcdef-" + std::to_string(it),
                  "assistant-0/" + std::to_string(it % 20),
                  "assistant-replica-" + std::to_string(it % 400),
                  "adapter-" + std::to_string(it % 1000) + "@1", 7});
  return heapBytes() - before;
}

double versionBytes(std::size_t n) {
  auto before = heapBytes();
  DeclaredVersions versions(std::chrono::seconds(4));
  for (std::size_t it = 0; it < n; ++it)
    versions.add({{"assistant-base", "adapter-" + std::to_string(it)},
                  2,
                  std::chrono::seconds(it)});
  return heapBytes() - before;
}

double registerMicros(std::size_t n) {
  RunningRequests requests;
  std::vector<RegisteredRequest> all;
  for (std::size_t it = 0; it < n; ++it)
    all.push_back({"entry-1-89abcdef-" + std::to_string(it),
                   "assistant-0/" + std::to_string(it % 20), "replica",
                   "adapter@1", 7});
  return microsOf([&] {
    for (const auto &it : all)
      requests.add(it);
    for (const auto &it : all)
      requests.remove(it.Cell, it.Id);
  });
}

} // namespace

void measureState(std::ostream &out) {
  auto adapters = [](std::size_t it) { return adapter(it, 1); };
  measureSlope(
      out,
      {"configuration, adapter", "bytes", "adapters", planned::Adapters, {}},
      AdapterSizes, [&](std::size_t n) { return viewBytes(n, adapters); });
  measureSlope(
      out,
      {"configuration, replica", "bytes", "replicas", planned::Replicas, {}},
      ReplicaSizes, [](std::size_t n) { return viewBytes(n, &replica); });
  measureSlope(out,
               {"adapter with a version named",
                "bytes",
                "adapters",
                planned::Adapters,
                {}},
               AdapterSizes, &versionBytes);
  measureSlope(out,
               {"configuration, one change read and applied",
                "us",
                "adapters",
                planned::Adapters,
                {}},
               AdapterSizes, &applyMicros);
  measureSlope(out,
               {"runner, replicas of one cell found at a change, 4 x 143 cells",
                "us",
                "replicas of the deployment",
                planned::Replicas,
                {}},
               ReplicaSizes, &findOwnMicros);
  measureSlope(out,
               {"cell of a request's adapter",
                "us",
                "cells of the service",
                planned::CellsOfService,
                {}},
               {1, 16, 48, 143}, &cellOfMicros);
  measureSlope(out,
               {"register, running request",
                "bytes",
                "requests",
                planned::RunningOfNode,
                {}},
               {500, 2000, 8000}, &registerBytes);
  measureSlope(out,
               {"register, requests entered and left",
                "us",
                "requests",
                planned::RunningOfNode,
                {}},
               {500, 2000, 8000}, &registerMicros);
}

} // namespace hemlockglade::bench
