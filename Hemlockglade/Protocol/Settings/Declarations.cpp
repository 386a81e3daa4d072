#include "Hemlockglade/Protocol/Settings/Declarations.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace hemlockglade {

namespace {

template <typename T>
T valueOr(const YAML::Node &node, const char *key, T fallback) {
  return node[key] ? node[key].as<T>() : fallback;
}

ServiceConfig readService(const YAML::Node &node) {
  ServiceConfig service;
  service.Name = node["name"].as<std::string>();
  service.Kind = valueOr<std::string>(node, "kind", "engine") == "plain"
                     ? ServiceKind::Plain
                     : ServiceKind::Engine;
  service.Cells = valueOr<std::uint32_t>(node, "cells", 1);
  service.BaseModel = valueOr<std::string>(node, "base_model", "");
  return service;
}

ReplicaConfig readReplica(const YAML::Node &node) {
  ReplicaConfig replica;
  replica.Name = node["name"].as<std::string>();
  replica.Service = node["service"].as<std::string>();
  replica.Address = node["address"].as<std::string>();
  replica.FailureDomain = node["failure_domain"].as<std::string>();
  replica.Slots = valueOr(node, "slots", replica.Slots);
  replica.Batch = valueOr(node, "batch", replica.Batch);
  replica.ChecksFencing = valueOr(node, "checks_fencing", false);
  return replica;
}

AdapterConfig readAdapter(const YAML::Node &node) {
  AdapterConfig adapter;
  adapter.Name = node["name"].as<std::string>();
  adapter.Service = node["service"].as<std::string>();
  adapter.Versions = valueOr<std::vector<std::uint32_t>>(node, "versions", {1});
  adapter.Current = valueOr(node, "current", adapter.Versions.back());
  return adapter;
}

ServiceClass readClass(const YAML::Node &node) {
  ServiceClass out;
  out.Name = node["name"].as<std::string>();
  out.Priority = static_cast<std::uint8_t>(valueOr(node, "priority", 0U));
  out.Deadline = std::chrono::milliseconds(valueOr(node, "deadline_ms", 30000));
  out.QueueLimit = valueOr(node, "queue_limit", out.QueueLimit);
  return out;
}

} // namespace

tl::expected<Catalog, ProtocolError> readDeclarations(const std::string &text) {
  try {
    auto root = YAML::Load(text);
    Catalog catalog;
    for (const auto &it : root["services"]) {
      auto service = readService(it);
      catalog.Services.emplace(service.Name, service);
    }
    for (const auto &it : root["replicas"]) {
      auto replica = readReplica(it);
      catalog.Replicas.emplace(replica.Name, replica);
    }
    for (const auto &it : root["adapters"]) {
      auto adapter = readAdapter(it);
      catalog.Adapters.emplace(adapter.Name, adapter);
    }
    for (const auto &it : root["classes"]) {
      auto out = readClass(it);
      catalog.Classes.emplace(out.Name, out);
    }
    return catalog;
  } catch (const YAML::Exception &error) {
    return tl::unexpected(
        ProtocolError{ProtocolErrorKind::Malformed, error.what()});
  }
}

std::string writeDeclarations(const Catalog &catalog) {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "services" << YAML::BeginSeq;
  for (const auto &[name, it] : catalog.Services) {
    out << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << name;
    out << YAML::Key << "kind" << YAML::Value
        << (it.Kind == ServiceKind::Plain ? "plain" : "engine");
    out << YAML::Key << "cells" << YAML::Value << it.Cells;
    if (!it.BaseModel.empty())
      out << YAML::Key << "base_model" << YAML::Value << it.BaseModel;
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "replicas" << YAML::BeginSeq;
  for (const auto &[name, it] : catalog.Replicas) {
    out << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << name;
    out << YAML::Key << "service" << YAML::Value << it.Service;
    out << YAML::Key << "address" << YAML::Value << it.Address;
    out << YAML::Key << "failure_domain" << YAML::Value << it.FailureDomain;
    out << YAML::Key << "slots" << YAML::Value << it.Slots;
    out << YAML::Key << "batch" << YAML::Value << it.Batch;
    out << YAML::Key << "checks_fencing" << YAML::Value << it.ChecksFencing;
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "adapters" << YAML::BeginSeq;
  std::map<std::string, AdapterConfig> sorted(catalog.Adapters.begin(),
                                              catalog.Adapters.end());
  for (const auto &[name, it] : sorted) {
    out << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << name;
    out << YAML::Key << "service" << YAML::Value << it.Service;
    out << YAML::Key << "versions" << YAML::Value << YAML::Flow << it.Versions;
    out << YAML::Key << "current" << YAML::Value << it.Current;
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::Key << "classes" << YAML::BeginSeq;
  for (const auto &[name, it] : catalog.Classes) {
    out << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << name;
    out << YAML::Key << "priority" << YAML::Value
        << static_cast<unsigned>(it.Priority);
    out << YAML::Key << "deadline_ms" << YAML::Value
        << it.Deadline.count() / 1000;
    out << YAML::Key << "queue_limit" << YAML::Value << it.QueueLimit;
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + '\n';
}

} // namespace hemlockglade
