#include "Hemlockglade/Protocol/Statement/Statement.h"

#include <array>

namespace hemlockglade {

namespace {

using Fields = std::span<const std::string_view>;

constexpr std::array Subjects = {
    ShowSubject::Loaded,   ShowSubject::Waiting, ShowSubject::Running,
    ShowSubject::Nodes,    ShowSubject::Cells,   ShowSubject::Replicas,
    ShowSubject::Adapters, ShowSubject::Config,  ShowSubject::Requests,
    ShowSubject::Classes,  ShowSubject::Pins};

constexpr std::string_view LoadedFields[] = {
    "cell", "replica", "failure_domain", "adapter", "running"};
constexpr std::string_view WaitingFields[] = {"cell", "adapter", "class",
                                              "waiting", "longest_ms"};
constexpr std::string_view RunningFields[] = {"cell", "replica", "adapter",
                                              "running"};
constexpr std::string_view NodesFields[] = {"node", "address", "failure_domain",
                                            "state", "revision"};
constexpr std::string_view CellsFields[] = {"cell", "owner", "epoch", "state"};
constexpr std::string_view ReplicasFields[] = {
    "replica", "service", "cell",  "failure_domain", "address",
    "slots",   "batch",   "state", "running"};
constexpr std::string_view AdaptersFields[] = {"adapter", "service", "current",
                                               "versions"};
constexpr std::string_view ConfigFields[] = {"revision", "services", "replicas",
                                             "adapters", "classes",  "rules",
                                             "pins",     "drained"};
constexpr std::string_view RequestsFields[] = {"request", "attempt", "node",
                                               "adapter", "replica", "class",
                                               "state",   "age_ms"};
constexpr std::string_view ClassesFields[] = {"class", "priority",
                                              "deadline_ms", "queue_limit"};
constexpr std::string_view PinsFields[] = {"adapter", "failure_domain",
                                           "copies"};

std::string inDomain(const std::string &domain) {
  return domain.empty() ? "" : " in " + domain;
}

std::string text(const statement::Show &it) {
  auto out = "show " + std::string(subjectName(it.Subject));
  const char *separator = " where ";
  for (const auto &condition : it.Where) {
    out += separator + condition.Field + ' ' +
           std::string(comparisonName(condition.Operator)) + ' ' +
           valueLiteral(condition.Value);
    separator = " and ";
  }
  return it.By.empty() ? out : out + " by " + it.By;
}

std::string text(const statement::Load &it) {
  return "load " + it.Adapter.text() + " on " + it.Replica;
}

std::string text(const statement::Pin &it) {
  return "pin " + it.Adapter.text() + inDomain(it.FailureDomain) + " copies " +
         std::to_string(it.Copies);
}

std::string text(const statement::Unpin &it) {
  return "unpin " + it.Adapter.text() + inDomain(it.FailureDomain);
}

std::string text(const statement::Drain &it) {
  return "drain replica " + it.Replica;
}

std::string text(const statement::Undrain &it) {
  return "undrain replica " + it.Replica;
}

std::string text(const statement::Stop &it) { return "stop host " + it.Host; }

} // namespace

std::span<const ShowSubject> showSubjects() { return Subjects; }

std::string_view subjectName(ShowSubject subject) {
  constexpr std::string_view Names[] = {
      "loaded",   "waiting", "running",  "nodes",   "cells", "replicas",
      "adapters", "config",  "requests", "classes", "pins"};
  return Names[static_cast<std::size_t>(subject)];
}

Fields subjectFields(ShowSubject subject) {
  constexpr Fields All[] = {LoadedFields,   WaitingFields, RunningFields,
                            NodesFields,    CellsFields,   ReplicasFields,
                            AdaptersFields, ConfigFields,  RequestsFields,
                            ClassesFields,  PinsFields};
  return All[static_cast<std::size_t>(subject)];
}

std::string_view comparisonName(Comparison comparison) {
  constexpr std::string_view Names[] = {"=", "!=", "<", "<=", ">", ">="};
  return Names[static_cast<std::size_t>(comparison)];
}

std::string StatementError::text() const {
  return "column " + std::to_string(Column) + ": expected " + Expected;
}

std::string statementText(const Statement &statement) {
  return std::visit([](const auto &it) { return text(it); }, statement);
}

bool isQuery(const Statement &statement) {
  return std::holds_alternative<statement::Show>(statement);
}

} // namespace hemlockglade
