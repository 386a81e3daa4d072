#include "Hemlockglade/Coordination/Config/SnapshotWriter.h"

#include "Hemlockglade/Coordination/Config/ConfigObjects.h"

namespace hemlockglade {

namespace {
/// Max rows that one transaction removes.
constexpr std::size_t TrimBatch = 64;
} // namespace

void SnapshotWriter::write(const std::shared_ptr<const CatalogView> &view) {
  if (Writing.exchange(true))
    return;
  auto pieces = std::make_shared<std::vector<std::string>>();
  for (std::size_t it = 0; it < CatalogView::PieceCount; ++it)
    pieces->push_back(encodePiece(*view, it));
  auto number = view->number();
  putObjects(Hooks, configSnapshotName(number), pieces,
             [self = shared_from_this(), number](bool stored) {
               if (stored)
                 self->recordInHead(number);
               else
                 self->Writing = false;
             });
}

void SnapshotWriter::recordInHead(Revision number) {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this(), number](auto row) {
                    if (row && *row)
                      self->onHead(number, **row);
                    else
                      self->Writing = false;
                  });
}

void SnapshotWriter::onHead(Revision number, const TableRow &row) {
  auto head = decodeHead(row.Value);
  if (!head || head->Snapshot >= number || head->Number < number) {
    Writing = false;
    return;
  }
  auto old = head->Snapshot;
  head->Snapshot = number;
  TableTransaction transaction;
  transaction.AttemptId = "config/snapshot/" + std::to_string(number) + '/' +
                          std::to_string(row.Version);
  transaction.Writes.push_back({row.Key, row.Version, encodeHead(*head)});
  Hooks.Table.Commit(std::move(transaction),
                     [self = shared_from_this(), number, old](auto result) {
                       if (result)
                         return self->trim(number, old);
                       // A commit changed the head meanwhile: record the
                       // snapshot in the new one. After any other failure the
                       // next snapshot does.
                       if (result.error() == TableError::Conflict)
                         return self->recordInHead(number);
                       self->Writing = false;
                     });
}

void SnapshotWriter::trim(Revision number, Revision old) {
  if (old > 0)
    dropObjects(Hooks, configSnapshotName(old), CatalogView::PieceCount);
  Hooks.Table.Scan(std::string(ConfigDeltaPrefix),
                   [self = shared_from_this(), number](auto rows) {
                     if (rows)
                       self->removeRows(number, std::move(*rows));
                     else
                       self->Writing = false;
                   });
}

void SnapshotWriter::removeRows(Revision number, std::vector<TableRow> rows) {
  auto keep = configDeltaKey(
      number > Settings.RetainedRows ? number - Settings.RetainedRows : 0);
  TableTransaction transaction;
  std::vector<ConfigDeltaObjects> objects;
  while (!rows.empty() && transaction.Writes.size() < TrimBatch) {
    auto row = std::move(rows.back());
    rows.pop_back();
    if (row.Key > keep)
      continue;
    if (auto found = decodeDeltaObjects(row.Value))
      objects.push_back(*found);
    transaction.Writes.push_back({row.Key, row.Version, std::nullopt});
  }
  if (transaction.Writes.empty()) {
    Writing = false;
    return;
  }
  transaction.AttemptId = "config/trim/" + transaction.Writes.front().Key;
  Hooks.Table.Commit(std::move(transaction),
                     [self = shared_from_this(), number, objects,
                      rows = std::move(rows)](auto result) mutable {
                       if (!result) {
                         self->Writing = false;
                         return;
                       }
                       for (const auto &it : objects)
                         dropObjects(self->Hooks, it.Name, it.Pieces);
                       self->removeRows(number, std::move(rows));
                     });
}

} // namespace hemlockglade
