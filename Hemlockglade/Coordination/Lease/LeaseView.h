#pragma once

#include "Hemlockglade/Coordination/Lease/LeaseTypes.h"

#include <map>
#include <set>
#include <vector>

namespace hemlockglade {

/// What one node has seen of the others' lease rows and when, on its own
/// clock. Silence counts only while the table answers us. Not locked.
class LeaseView {
public:
  explicit LeaseView(const LeaseSettings &settings);

  /// The table answered. After a gap all silence is counted anew, since the
  /// others may have been cut off as we were.
  void onContact(Instant now);
  /// A row as read from the table.
  void see(const NodeRow &sight, Instant now);
  /// A row as told by another node; an older one is ignored.
  void hear(const NodeRow &sight, Instant now);
  /// All rows there are.
  void seeAll(const std::vector<NodeRow> &sights, Instant now);
  /// The node's row is not there, or is of another incarnation.
  void seeGone(const std::string &incarnation, Instant now);
  /// The incarnation has released a cell, which only a leaving node does.
  void seeLeaving(const std::string &incarnation);
  /// The incarnation's lease is over for good.
  void seeOver(const std::string &incarnation);
  /// Forgets what only incarnations outside `named` need.
  void prune(const std::set<std::string> &named);

  /// The row has changed within Duration + Margin.
  bool lives(const std::string &node, Instant now) const;
  /// Nobody of this incarnation can hold anything any more.
  bool isOver(const std::string &incarnation, Instant now) const;
  /// The owner may be dead, and only a read of its row can tell.
  bool needsCheck(const CellRecord &cell, Instant now) const;
  /// The row has not changed for so long that it may be fenced.
  bool silent(const std::string &node, const std::string &incarnation,
              Instant now) const;
  /// Name of the live node that should take the cell; empty if there is none.
  std::string preferred(const std::string &cell, Instant now) const;
  std::optional<NodeRow> find(const std::string &node) const;
  std::vector<NodeRecord> live(Instant now) const;
  /// Rows of dead nodes that were unchanged for RowKeep.
  std::vector<NodeRow> stale(Instant now) const;

private:
  struct Seen {
    NodeRow Sight;
    Instant ChangedAt{};
  };

  Span unchangedFor(Instant since, Instant now) const;
  bool lives(const Seen &node, Instant now) const;

  LeaseSettings Settings;
  Instant LastContact{};
  Instant ObservingSince{};
  std::map<std::string, Seen> Nodes;
  /// Incarnations whose rows are gone, and since when we know.
  std::map<std::string, Instant> Gone;
  std::set<std::string> Over;
};

} // namespace hemlockglade
