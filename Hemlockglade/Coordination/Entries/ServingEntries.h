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

/// What one node knows of who serves callers, from the owners of the cells. The
/// owner of a failure domain's own cell hears of all its nodes, that of another
/// cell only of those that serve: its word counts while the first is silent.
/// No clock, no sockets.
class ServingEntries {
public:
  /// The owner of a cell tells who serves; replaces what it told before.
  void update(const std::string &cell, std::vector<DomainEntries> told);
  /// It is lost or silent: what it told does not count any more.
  void forget(const std::string &cell) { Told.erase(cell); }

  /// Who serves a failure domain; empty if nobody knows.
  std::vector<EntryCandidate> inDomain(const std::string &domain) const;
  /// Who serves any failure domain.
  std::vector<EntryCandidate> all() const;
  bool serves(const std::string &node, const std::string &domain) const;
  /// Part of what all nodes in service share that is this node's: none if it is
  /// not one of them, or if they are not known.
  double shareOf(const std::string &node, const std::string &domain) const;

private:
  std::map<std::string, std::vector<DomainEntries>> Told;
};

} // namespace hemlockglade
