#include "Hemlockglade/Protocol/Settings/Declarations.h"

#include <yaml-cpp/yaml.h>

namespace hemlockglade {

namespace {

template <typename T>
void field(YAML::Emitter &out, const char *key, const T &value) {
  out << YAML::Key << key << YAML::Value << value;
}

void names(YAML::Emitter &out, const char *key,
           const std::vector<std::string> &values) {
  out << YAML::Key << key << YAML::Value << YAML::Flow << values;
}

void write(YAML::Emitter &out, const ServiceConfig &it) {
  field(out, "name", it.Name);
  field(out, "kind", it.Kind == ServiceKind::Plain ? "plain" : "engine");
  field(out, "cells", it.Cells);
  if (!it.BaseModel.empty())
    field(out, "base_model", it.BaseModel);
  if (it.ObjectivePercent)
    field(out, "objective_percent", it.ObjectivePercent);
}

void write(YAML::Emitter &out, const ReplicaConfig &it) {
  field(out, "name", it.Name);
  field(out, "service", it.Service);
  field(out, "address", it.Address);
  field(out, "failure_domain", it.FailureDomain);
  field(out, "slots", it.Slots);
  field(out, "batch", it.Batch);
  field(out, "checks_fencing", it.ChecksFencing);
}

void write(YAML::Emitter &out, const AdapterConfig &it) {
  field(out, "name", it.Name);
  field(out, "service", it.Service);
  out << YAML::Key << "versions" << YAML::Value << YAML::Flow << it.Versions;
  field(out, "current", it.Current);
}

void write(YAML::Emitter &out, const ServiceClass &it) {
  auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(it.Deadline);
  field(out, "name", it.Name);
  field(out, "priority", static_cast<unsigned>(it.Priority));
  field(out, "deadline_ms", deadline.count());
  field(out, "queue_limit", it.QueueLimit);
}

void write(YAML::Emitter &out, const PlacementRule &it) {
  field(out, "adapter", it.Adapter);
  names(out, "failure_domains", it.FailureDomains);
}

void write(YAML::Emitter &out, const PinConfig &it) {
  field(out, "adapter", it.Adapter.text());
  if (!it.FailureDomain.empty())
    field(out, "failure_domain", it.FailureDomain);
  field(out, "copies", it.Copies);
}

template <typename T> void writeItem(YAML::Emitter &out, const T &it) {
  out << YAML::Flow << YAML::BeginMap;
  write(out, it);
  out << YAML::EndMap;
}

template <typename Map>
void writeValues(YAML::Emitter &out, const char *key, const Map &map) {
  out << YAML::Key << key << YAML::BeginSeq;
  for (const auto &[name, it] : map)
    writeItem(out, it);
  out << YAML::EndSeq;
}

} // namespace

std::string writeDeclarations(const Catalog &catalog) {
  std::map<std::string, AdapterConfig> adapters(catalog.Adapters.begin(),
                                                catalog.Adapters.end());
  std::vector<std::string> drained;
  for (const auto &[name, isDrained] : catalog.Drained) {
    if (isDrained)
      drained.push_back(name);
  }
  YAML::Emitter out;
  out << YAML::BeginMap;
  writeValues(out, "services", catalog.Services);
  writeValues(out, "replicas", catalog.Replicas);
  writeValues(out, "adapters", adapters);
  writeValues(out, "classes", catalog.Classes);
  out << YAML::Key << "rules" << YAML::BeginSeq;
  for (const auto &rule : catalog.Rules)
    writeItem(out, rule);
  out << YAML::EndSeq;
  writeValues(out, "pins", catalog.Pins);
  names(out, "drained", drained);
  out << YAML::EndMap;
  return std::string(out.c_str()) + '\n';
}

} // namespace hemlockglade
