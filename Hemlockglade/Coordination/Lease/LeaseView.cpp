#include "Hemlockglade/Coordination/Lease/LeaseView.h"

#include "Hemlockglade/State/Catalog.h"

namespace hemlockglade {

LeaseView::LeaseView(const LeaseSettings &settings) : Settings(settings) {}

void LeaseView::onContact(Instant now) {
  if (now - LastContact > Settings.Duration / 2)
    ObservingSince = now;
  LastContact = std::max(LastContact, now);
}

void LeaseView::see(const NodeRow &sight, Instant now) {
  auto [it, added] = Nodes.try_emplace(sight.Record.Name, Seen{sight, now});
  auto &seen = it->second;
  bool changed = seen.Sight.Version != sight.Version ||
                 seen.Sight.Record.Incarnation != sight.Record.Incarnation;
  if (!added && changed)
    seen = {sight, now};
  if (sight.Record.Over)
    Over.insert(sight.Record.Incarnation);
}

void LeaseView::hear(const NodeRow &sight, Instant now) {
  auto it = Nodes.find(sight.Record.Name);
  if (it == Nodes.end() || it->second.Sight.Version < sight.Version)
    see(sight, now);
}

void LeaseView::seeAll(const std::vector<NodeRow> &sights, Instant now) {
  std::set<std::string> names;
  for (const auto &sight : sights) {
    see(sight, now);
    names.insert(sight.Record.Name);
  }
  std::erase_if(Nodes,
                [&](const auto &it) { return !names.contains(it.first); });
}

void LeaseView::seeGone(const std::string &incarnation, Instant now) {
  Gone.try_emplace(incarnation, now);
}

void LeaseView::seeLeaving(const std::string &incarnation) {
  for (auto &[name, node] : Nodes) {
    if (node.Sight.Record.Incarnation == incarnation)
      node.Sight.Record.Leaving = true;
  }
}

void LeaseView::seeOver(const std::string &incarnation) {
  Over.insert(incarnation);
}

void LeaseView::prune(const std::set<std::string> &named) {
  std::erase_if(Gone,
                [&](const auto &it) { return !named.contains(it.first); });
  std::erase_if(Over, [&](const auto &it) { return !named.contains(it); });
}

Span LeaseView::unchangedFor(Instant since, Instant now) const {
  // Nothing can be seen to change while the table does not answer.
  bool inContact = now - LastContact <= Settings.Duration / 2;
  return (inContact ? now : LastContact) - std::max(since, ObservingSince);
}

bool LeaseView::lives(const Seen &node, Instant now) const {
  return !node.Sight.Record.Over && unchangedFor(node.ChangedAt, now) <
                                        Settings.Duration + Settings.Margin;
}

bool LeaseView::lives(const std::string &node, Instant now) const {
  auto it = Nodes.find(node);
  return it != Nodes.end() && lives(it->second, now);
}

bool LeaseView::isOver(const std::string &incarnation, Instant now) const {
  if (Over.contains(incarnation))
    return true;
  auto it = Gone.find(incarnation);
  return it != Gone.end() &&
         unchangedFor(it->second, now) >= Settings.Duration + Settings.Margin;
}

bool LeaseView::silent(const std::string &node, const std::string &incarnation,
                       Instant now) const {
  auto it = Nodes.find(node);
  return it != Nodes.end() &&
         it->second.Sight.Record.Incarnation == incarnation &&
         !lives(it->second, now);
}

bool LeaseView::needsCheck(const CellRecord &cell, Instant now) const {
  if (Gone.contains(cell.Incarnation))
    return false;
  auto it = Nodes.find(cell.Owner);
  bool current = it != Nodes.end() &&
                 it->second.Sight.Record.Incarnation == cell.Incarnation;
  return !current || !lives(it->second, now);
}

std::string LeaseView::preferred(const std::string &cell, Instant now) const {
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto &[name, node] : Nodes) {
    if (!lives(node, now) || node.Sight.Record.Leaving)
      continue;
    auto weight = rendezvousWeight(name, cell);
    if (!best.empty() && weight <= bestWeight)
      continue;
    best = name;
    bestWeight = weight;
  }
  return best;
}

std::optional<NodeRow> LeaseView::find(const std::string &node) const {
  auto it = Nodes.find(node);
  return it == Nodes.end() ? std::nullopt : std::optional(it->second.Sight);
}

std::vector<NodeRecord> LeaseView::live(Instant now) const {
  std::vector<NodeRecord> out;
  for (const auto &[name, node] : Nodes) {
    if (lives(node, now))
      out.push_back(node.Sight.Record);
  }
  return out;
}

std::vector<NodeRow> LeaseView::stale(Instant now) const {
  std::vector<NodeRow> out;
  for (const auto &[name, node] : Nodes) {
    if (!lives(node, now) &&
        unchangedFor(node.ChangedAt, now) >= Settings.RowKeep)
      out.push_back(node.Sight);
  }
  return out;
}

} // namespace hemlockglade
