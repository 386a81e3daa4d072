#include "Hemlockglade/Protocol/Settings/ReferenceCheck.h"

#include <algorithm>
#include <set>

namespace hemlockglade {

namespace {

using DomainSet = std::set<std::string, std::less<>>;

bool hasVersion(const Catalog &catalog, const std::string &text) {
  auto adapter = AdapterRef::parse(text);
  if (!adapter)
    return false;
  auto it = catalog.Adapters.find(adapter->Name);
  if (it == catalog.Adapters.end())
    return false;
  const auto &versions = it->second.Versions;
  return std::find(versions.begin(), versions.end(), adapter->Version) !=
         versions.end();
}

bool isEngine(const Catalog &catalog, const std::string &name) {
  auto it = catalog.Services.find(name);
  return it != catalog.Services.end() && it->second.Kind == ServiceKind::Engine;
}

bool exists(const Catalog &catalog, const DomainSet &domains,
            const Reference &reference) {
  switch (reference.Kind) {
  case ReferenceKind::Service:
    return catalog.Services.contains(reference.Value);
  case ReferenceKind::EngineService:
    return isEngine(catalog, reference.Value);
  case ReferenceKind::Replica:
    return catalog.Replicas.contains(reference.Value);
  case ReferenceKind::Adapter:
    return catalog.Adapters.contains(reference.Value);
  case ReferenceKind::AdapterVersion:
    return hasVersion(catalog, reference.Value);
  case ReferenceKind::FailureDomain:
    return domains.contains(reference.Value);
  }
  return false;
}

std::string_view expectedText(ReferenceKind kind) {
  switch (kind) {
  case ReferenceKind::Service:
    return "a declared service";
  case ReferenceKind::EngineService:
    return "a declared service of kind engine";
  case ReferenceKind::Replica:
    return "a declared replica";
  case ReferenceKind::Adapter:
    return "a declared adapter";
  case ReferenceKind::AdapterVersion:
    return "a declared adapter and one of its versions";
  case ReferenceKind::FailureDomain:
    break;
  }
  return "the failure domain of a declared replica";
}

} // namespace

void ReferenceCheck::check(const Catalog &catalog, FaultList &faults) const {
  DomainSet domains;
  for (const auto &[name, replica] : catalog.Replicas)
    domains.insert(replica.FailureDomain);
  for (const auto &it : References) {
    if (exists(catalog, domains, it))
      continue;
    faults.add(it.Mark, it.Key,
               std::string(expectedText(it.Kind)) + "; nothing is called '" +
                   it.Value + "'");
  }
}

} // namespace hemlockglade
