#include "PlanRuns.h"

#include "Hemlockglade/Coordination/Route/ReplicaView.h"

namespace hemlockglade::bench {

namespace {

constexpr std::size_t Services = 4;
constexpr std::size_t AdaptersOfEngine = 9;
constexpr std::size_t CopiesOfAdapter = 2;
constexpr std::uint32_t Slots = 16;

std::string serviceName(std::size_t number) {
  return "service-" + std::to_string(number);
}

std::string domainName(std::size_t number) {
  return "hall-" + std::to_string(number);
}

WeightsRef adapter(std::size_t number) {
  return {"base", "a" + std::to_string(number)};
}

void addReplicas(ReplicaView &view, std::size_t replicas, std::size_t domains,
                 Instant now) {
  EngineSpec engine;
  engine.Slots = Slots;
  engine.AdapterSlots = AdaptersOfEngine;
  engine.MemoryTokens = 1'000'000;
  std::vector<ServiceSpec> services;
  for (std::size_t it = 0; it < Services; ++it)
    services.push_back({serviceName(it), "/", 10, engine});
  view.setPlan(std::make_shared<const RoutePlan>(1, std::vector<Route>{},
                                                 services, CallerLimits{}));
  ReplicaChanges changes;
  changes.Complete = true;
  changes.Position = 1;
  for (std::size_t it = 0; it < replicas * domains * Services; ++it) {
    ReplicaRecord record;
    record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
    record.Service = serviceName(it % Services);
    record.Address = "10.0.0.1:80";
    auto ofService = it / Services;
    record.FailureDomain = domainName(ofService / replicas);
    record.Slots = Slots;
    record.Held[{"base", {}}] = 1;
    auto inDomain = ofService % replicas;
    for (std::size_t n = 0; n < AdaptersOfEngine; ++n)
      record
          .Held[adapter((inDomain * AdaptersOfEngine + n) / CopiesOfAdapter)] =
          1;
    changes.Present.push_back(std::move(record));
  }
  view.onRegistry(changes, false, now);
}

} // namespace

CallTimes chooseTimes(std::size_t replicas, std::size_t domains) {
  Instant now = std::chrono::seconds(1000);
  ReplicaView::Settings settings;
  settings.FailureDomain = domainName(0);
  ReplicaView view(settings);
  addReplicas(view, replicas, domains, now);
  RouteQuery query;
  query.Service = serviceName(0);
  query.PromptParts = {1, 2, 3};
  query.SharedTokens = 350;
  query.PromptTokens = 1460;
  query.Tokens = 1600;
  auto adapters = replicas * AdaptersOfEngine / CopiesOfAdapter;
  // About as many calls of each size in the same time.
  auto calls = 2'000'000 / (replicas * domains + 100);
  CallTimes out;
  // One call is too short for the clock.
  constexpr int CallsPerTime = 10;
  for (std::size_t it = 0; it < calls; ++it) {
    now += std::chrono::milliseconds(1);
    query.OnTimeUntil = now + std::chrono::milliseconds(500);
    query.Weights = adapter(it % std::max<std::size_t>(1, adapters));
    auto before = threadMicros();
    RouteChoice choice;
    for (int n = 0; n < CallsPerTime; ++n)
      choice = view.choose(query, now);
    out.push_back((threadMicros() - before) / CallsPerTime);
    if (choice.Result != RouteChoice::Kind::Send)
      continue;
    // Engines are neither idle nor full.
    const auto &id = choice.Replica->Incarnation.text();
    auto attempt = view.onSent(id, query, now);
    view.onAnswered(id, attempt, true, now);
    if (it % 4)
      view.onEnd(id, attempt, query, AttemptVerdict{}, now);
  }
  return out;
}

} // namespace hemlockglade::bench
