#include "Hemlockglade/Coordination/Entries/ServingEntries.h"

#include <algorithm>
#include <set>

namespace hemlockglade {

namespace {

const std::vector<EntryCandidate> *
findEntries(const std::vector<DomainEntries> &reported,
            const std::string &domain) {
  for (const auto &it : reported)
    if (it.FailureDomain == domain && !it.Entries.empty())
      return &it.Entries;
  return nullptr;
}

} // namespace

void ServingEntries::update(const std::string &cell,
                            std::vector<DomainEntries> reported) {
  auto &current = ReportedByCell[cell];
  if (current == reported)
    return;
  if (!reported.empty())
    LastReported = reported;
  current = std::move(reported);
}

std::vector<EntryCandidate>
ServingEntries::inDomain(const std::string &domain) const {
  if (auto own = ReportedByCell.find(domain); own != ReportedByCell.end())
    if (const auto *entries = findEntries(own->second, domain))
      return *entries;
  for (const auto &[cell, reported] : ReportedByCell)
    if (const auto *entries = findEntries(reported, domain))
      return *entries;
  return {};
}

std::vector<DomainEntries> ServingEntries::byDomain() const {
  std::set<std::string> domains;
  for (const auto &[cell, reported] : ReportedByCell)
    for (const auto &it : reported)
      domains.insert(it.FailureDomain);
  std::vector<DomainEntries> out;
  out.reserve(domains.size());
  for (const auto &domain : domains)
    out.push_back({domain, inDomain(domain)});
  return out;
}

std::vector<DomainEntries> ServingEntries::lastKnown() const {
  auto out = byDomain();
  return out.empty() ? LastReported : out;
}

std::vector<EntryCandidate> ServingEntries::all() const {
  std::vector<EntryCandidate> out;
  for (auto &domain : byDomain())
    for (auto &it : domain.Entries)
      out.push_back(std::move(it));
  return out;
}

bool ServingEntries::serves(const std::string &node,
                            const std::string &domain) const {
  auto entries = inDomain(domain);
  return std::any_of(entries.begin(), entries.end(),
                     [&node](const auto &it) { return it.Node == node; });
}

double ServingEntries::shareOf(const std::string &node,
                               const std::string &domain) const {
  if (!serves(node, domain))
    return 0;
  return 1 / static_cast<double>(all().size());
}

double ServingEntries::fixedShareOf(const std::string &node,
                                    const std::string &domain,
                                    std::size_t domainCount) const {
  if (!serves(node, domain))
    return 0;
  auto parts = std::max<std::size_t>(1, domainCount) * inDomain(domain).size();
  return 1 / static_cast<double>(parts);
}

} // namespace hemlockglade
