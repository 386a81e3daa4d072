#pragma once

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

#include <atomic>

namespace hemlockglade {

/// Writes a snapshot to the object store, records it in the head row, and then
/// removes the older snapshot and the delta rows and objects that are no longer
/// needed.
class SnapshotWriter : public std::enable_shared_from_this<SnapshotWriter> {
public:
  SnapshotWriter(const ConfigSettings &settings, ConfigHooks hooks)
      : Settings(settings), Hooks(std::move(hooks)) {}

  /// Writes a snapshot of the view unless one is being written. If that fails,
  /// the old snapshot and all rows stay as they are.
  void write(const std::shared_ptr<const CatalogView> &view);

private:
  void recordInHead(Revision number);
  void onHead(Revision number, const TableRow &row);
  void trim(Revision number, Revision old);
  void removeRows(Revision number, std::vector<TableRow> rows);

  ConfigSettings Settings;
  ConfigHooks Hooks;
  std::atomic<bool> Writing{false};
};

} // namespace hemlockglade
