#include "Hemlockglade/Coordination/Lease/LeaseView.h"

#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

LeaseView::LeaseView(const LeaseSettings &settings) : Settings(settings) {}

void LeaseView::onTableAnswer(Instant now) {
  if (now - LastContact > Settings.Duration / 2)
    ObservingSince = now;
  LastContact = std::max(LastContact, now);
}

void LeaseView::updateNode(const NodeRow &row, Instant now) {
  auto [it, added] = Nodes.try_emplace(row.Record.Name, ObservedNode{row, now});
  auto &observed = it->second;
  bool changed = observed.Row.Version != row.Version ||
                 observed.Row.Record.Incarnation != row.Record.Incarnation;
  if (!added && changed)
    observed = {row, now};
  if (row.Record.Ended)
    EndedIncarnations.insert(row.Record.Incarnation);
}

void LeaseView::updateNodeIfNewer(const NodeRow &row, Instant now) {
  auto it = Nodes.find(row.Record.Name);
  if (it == Nodes.end() || it->second.Row.Version < row.Version)
    updateNode(row, now);
}

void LeaseView::updateAllNodes(const std::vector<NodeRow> &rows, Instant now) {
  std::set<std::string> names;
  for (const auto &row : rows) {
    updateNode(row, now);
    names.insert(row.Record.Name);
  }
  std::erase_if(Nodes,
                [&](const auto &it) { return !names.contains(it.first); });
}

void LeaseView::markMissing(const std::string &incarnation, Instant now) {
  MissingSince.try_emplace(incarnation, now);
}

void LeaseView::markLeaving(const std::string &incarnation) {
  for (auto &[name, node] : Nodes) {
    if (node.Row.Record.Incarnation == incarnation)
      node.Row.Record.Leaving = true;
  }
}

void LeaseView::markEnded(const std::string &incarnation) {
  EndedIncarnations.insert(incarnation);
}

void LeaseView::prune(const std::set<std::string> &referenced) {
  std::erase_if(MissingSince,
                [&](const auto &it) { return !referenced.contains(it.first); });
  std::erase_if(EndedIncarnations,
                [&](const auto &it) { return !referenced.contains(it); });
}

Span LeaseView::unchangedFor(Instant since, Instant now) const {
  // Nothing can be observed to change while the table does not answer.
  bool inContact = now - LastContact <= Settings.Duration / 2;
  return (inContact ? now : LastContact) - std::max(since, ObservingSince);
}

bool LeaseView::isAlive(const ObservedNode &node, Instant now) const {
  return !node.Row.Record.Ended && unchangedFor(node.ChangedAt, now) <
                                       Settings.Duration + Settings.Margin;
}

bool LeaseView::isAlive(const std::string &node, Instant now) const {
  auto it = Nodes.find(node);
  return it != Nodes.end() && isAlive(it->second, now);
}

bool LeaseView::hasEnded(const std::string &incarnation, Instant now) const {
  if (EndedIncarnations.contains(incarnation))
    return true;
  auto it = MissingSince.find(incarnation);
  return it != MissingSince.end() &&
         unchangedFor(it->second, now) >= Settings.Duration + Settings.Margin;
}

bool LeaseView::canFence(const std::string &node,
                         const std::string &incarnation, Instant now) const {
  auto it = Nodes.find(node);
  return it != Nodes.end() &&
         it->second.Row.Record.Incarnation == incarnation &&
         !isAlive(it->second, now);
}

bool LeaseView::mustCheckOwner(const CellRecord &cell, Instant now) const {
  if (MissingSince.contains(cell.Incarnation))
    return false;
  auto it = Nodes.find(cell.Owner);
  bool current = it != Nodes.end() &&
                 it->second.Row.Record.Incarnation == cell.Incarnation;
  return !current || !isAlive(it->second, now);
}

std::string LeaseView::preferredOwner(const std::string &cell,
                                      Instant now) const {
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto &[name, node] : Nodes) {
    if (!isAlive(node, now) || node.Row.Record.Leaving)
      continue;
    auto weight = rendezvousWeight(name, cell);
    if (!best.empty() && weight <= bestWeight)
      continue;
    best = name;
    bestWeight = weight;
  }
  return best;
}

std::optional<NodeRow> LeaseView::findNode(const std::string &node) const {
  auto it = Nodes.find(node);
  return it == Nodes.end() ? std::nullopt : std::optional(it->second.Row);
}

std::vector<NodeRecord> LeaseView::liveNodes(Instant now) const {
  std::vector<NodeRecord> out;
  for (const auto &[name, node] : Nodes) {
    if (isAlive(node, now))
      out.push_back(node.Row.Record);
  }
  return out;
}

std::vector<NodeRow> LeaseView::staleRows(Instant now) const {
  std::vector<NodeRow> out;
  for (const auto &[name, node] : Nodes) {
    if (!isAlive(node, now) &&
        unchangedFor(node.ChangedAt, now) >= Settings.RowRetention)
      out.push_back(node.Row);
  }
  return out;
}

} // namespace hemlockglade
