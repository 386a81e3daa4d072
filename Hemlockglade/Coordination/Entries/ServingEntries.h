#pragma once

#include "Hemlockglade/Coordination/Entries/EntrySelector.h"

#include <map>

namespace hemlockglade {

/// The nodes in service of one failure domain.
struct DomainEntries {
  std::string FailureDomain;
  std::vector<EntryCandidate> Entries;

  bool operator==(const DomainEntries &) const = default;
};

/// The nodes in service as one node knows them from the owners of the cells.
/// The owner of a failure domain's own cell receives reports of all its nodes,
/// that of another cell only of those in service: its list is used only while
/// there is none from the own cell's owner. Deterministic: it has no clock and
/// does no I/O.
class ServingEntries {
public:
  /// Called when the owner of a cell has reported the nodes in service;
  /// replaces its earlier report.
  void update(const std::string &cell, std::vector<DomainEntries> reported);
  /// Called when the owner of a cell has ended or is silent: its report is
  /// discarded.
  void forget(const std::string &cell) { ReportedByCell.erase(cell); }

  /// Returns the nodes in service of a failure domain; empty if none is known.
  std::vector<EntryCandidate> inDomain(const std::string &domain) const;
  /// Returns the nodes in service of all failure domains.
  std::vector<EntryCandidate> all() const;
  std::vector<DomainEntries> byDomain() const;
  /// Returns the nodes in service of each failure domain, or those that were
  /// reported last if no owner's report counts at present.
  std::vector<DomainEntries> lastKnown() const;
  bool serves(const std::string &node, const std::string &domain) const;
  /// Returns this node's part of what all nodes in service share: 0 if it is
  /// not one of them, or if none is known.
  double shareOf(const std::string &node, const std::string &domain) const;
  /// The same, but of what the failure domains, of which there are
  /// `domainCount`, divide evenly first. Needs to know only the own domain's
  /// nodes, so that the shares add up to one at most while failure domains
  /// can't reach each other.
  double fixedShareOf(const std::string &node, const std::string &domain,
                      std::size_t domainCount) const;

private:
  std::map<std::string, std::vector<DomainEntries>> ReportedByCell;
  std::vector<DomainEntries> LastReported;
};

} // namespace hemlockglade
