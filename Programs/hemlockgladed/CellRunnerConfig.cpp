// The part of CellRunner that applies the configuration.

#include "CellRunner.h"

#include <set>

namespace hemlockglade {

namespace {

constexpr double Percent = 100;

/// Returns the load limit of one cell. Loads aren't coordinated between cells:
/// each engine cell of the deployment gets an equal share of the weight store.
LoadLimitChanged loadLimitPerCell(const CatalogView &view,
                                  double loadsPerSecond) {
  std::uint32_t cells = 0;
  view.all<ServiceConfig>().forEach([&cells](const ServiceConfig &service) {
    if (service.Kind == ServiceKind::Engine)
      cells += service.Cells;
  });
  LoadLimitChanged limit;
  limit.LoadsPerSecond = loadsPerSecond / std::max(cells, 1U);
  return limit;
}

/// Whether a rule's adapter pattern, a name or a prefix followed by `*`,
/// matches a name.
bool matches(const PlacementRule &rule, std::string_view name) {
  std::string_view pattern = rule.Adapter;
  if (!pattern.ends_with('*'))
    return pattern == name;
  pattern.remove_suffix(1);
  return name.starts_with(pattern);
}

} // namespace

void CellRunner::configure(const CatalogView &view) {
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    Classes.clear();
    view.all<ServiceClass>().forEach(
        [this](const ServiceClass &it) { Classes.emplace(it.Name, it); });
    auto service = view.find<ServiceConfig>(Cell.substr(0, Cell.find('/')));
    Plain = service && service->Kind == ServiceKind::Plain;
    if (service)
      handle(ObjectiveChanged{service->ObjectivePercent / Percent}, deferred);
    handle(loadLimitPerCell(view, Hooks.LoadsPerSecond), deferred);
    configureReplicas(view, deferred);
    configureRules(view, deferred);
    configurePins(view, deferred);
  }
  for (auto &call : deferred)
    call();
}

void CellRunner::configureReplicas(const CatalogView &view,
                                   Deferred &deferred) {
  // A replica that is still declared may belong to another cell now.
  std::set<ReplicaKey> present;
  view.all<ReplicaConfig>().forEach([&](const ReplicaConfig &config) {
    auto service = view.find<ServiceConfig>(config.Service);
    if (!service || cellOfReplica(*service, config) != Cell)
      return;
    auto [it, added] = ReplicaKeys.try_emplace(
        config.Name, static_cast<ReplicaKey>(Replicas.size()));
    if (added)
      Replicas.emplace_back();
    present.insert(it->second);
    auto &replica = Replicas[it->second];
    bool same = !added && !replica.Removed && replica.Config == config;
    replica.Config = config;
    replica.Removed = false;
    replica.Drained = view.find<DrainEntry>(config.Name) != nullptr;
    if (!same)
      handle(ReplicaAdded{it->second, domainOf(config.FailureDomain),
                          config.Slots, config.Batch, config.ChecksFencing},
             deferred);
    applyDraining(it->second, deferred);
  });
  for (auto &[name, key] : ReplicaKeys) {
    auto &replica = Replicas[key];
    if (present.contains(key) || replica.Removed)
      continue;
    replica.Removed = true;
    // The core drops the draining state together with the replica.
    replica.Draining = false;
    handle(ReplicaRemoved{key}, deferred);
  }
}

void CellRunner::applyDraining(ReplicaKey key, Deferred &deferred) {
  auto &replica = Replicas[key];
  bool draining = replica.Leaving || replica.Drained;
  if (replica.Draining == draining)
    return;
  replica.Draining = draining;
  handle(ReplicaDraining{key, draining}, deferred);
}

void CellRunner::setLeaving(const std::vector<std::string> &replicas) {
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    for (auto &[name, key] : ReplicaKeys) {
      Replicas[key].Leaving =
          std::find(replicas.begin(), replicas.end(), name) != replicas.end();
      applyDraining(key, deferred);
    }
  }
  for (auto &call : deferred)
    call();
}

void CellRunner::configurePins(const CatalogView &view, Deferred &deferred) {
  decltype(SentPins) wanted;
  view.all<PinEntry>().forEach([&](const PinEntry &it) {
    auto adapter = view.find<AdapterConfig>(it.Pin.Adapter.Name);
    auto service =
        adapter ? view.find<ServiceConfig>(adapter->Service) : nullptr;
    auto text = it.Pin.Adapter.text();
    if (!service || cellOf(*service, text) != Cell)
      return;
    const auto &domain = it.Pin.FailureDomain;
    wanted[{keyOf(text), domain.empty() ? 0 : domainOf(domain)}] =
        it.Pin.Copies;
  });
  for (const auto &[pin, copies] : wanted) {
    auto it = SentPins.find(pin);
    if (it == SentPins.end() || it->second != copies)
      handle(PinChanged{pin.first, pin.second, copies}, deferred);
  }
  for (const auto &[pin, copies] : SentPins) {
    if (!wanted.contains(pin))
      handle(PinChanged{pin.first, pin.second, 0}, deferred);
  }
  SentPins = std::move(wanted);
}

void CellRunner::configureRules(const CatalogView &view, Deferred &deferred) {
  Rules.clear();
  // Rules are named by their position; the first that matches an adapter
  // applies.
  std::map<std::string, PlacementRule> ordered;
  view.all<RuleEntry>().forEach(
      [&](const RuleEntry &it) { ordered.emplace(it.Name, it.Rule); });
  for (auto &[name, rule] : ordered)
    Rules.push_back(std::move(rule));
  for (AdapterKey it = 1; it < AdapterNames.size(); ++it)
    applyRule(it, deferred);
}

void CellRunner::applyRule(AdapterKey adapter, Deferred &deferred) {
  auto sent = SentRules.find(adapter);
  if (adapter == NoAdapter || (Rules.empty() && sent == SentRules.end()))
    return;
  const auto &text = AdapterNames[adapter];
  auto name = std::string_view(text).substr(0, text.rfind('@'));
  RuleChanged event;
  event.Adapter = adapter;
  for (const auto &rule : Rules) {
    if (!matches(rule, name))
      continue;
    for (const auto &domain : rule.FailureDomains)
      event.Domains.push_back(domainOf(domain));
    break;
  }
  if (sent == SentRules.end() ? event.Domains.empty()
                              : sent->second == event.Domains)
    return;
  SentRules[adapter] = event.Domains;
  handle(event, deferred);
}

bool CellRunner::orderLoad(const std::string &adapter,
                           const std::string &replica) {
  Deferred deferred;
  {
    std::lock_guard lock(Mutex);
    auto it = ReplicaKeys.find(replica);
    if (it == ReplicaKeys.end() || Replicas[it->second].Removed)
      return false;
    auto key = keyOf(adapter);
    applyRule(key, deferred);
    handle(OperatorLoad{it->second, key}, deferred);
  }
  for (auto &call : deferred)
    call();
  return true;
}

} // namespace hemlockglade
