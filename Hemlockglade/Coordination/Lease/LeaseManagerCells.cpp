// The part of LeaseManager that claims, checks and releases cells.

#include "Hemlockglade/Coordination/Lease/LeaseManager.h"
#include "Hemlockglade/Coordination/Lease/LeaseRows.h"

#include <atomic>

namespace hemlockglade {

namespace {

/// Returns a function that calls `then` when it has been called `parts` times.
std::function<void()> whenAll(std::size_t parts, std::function<void()> then) {
  auto left = std::make_shared<std::atomic<std::size_t>>(parts);
  return [left, then = std::move(then)] {
    if (--*left == 0)
      then();
  };
}

} // namespace

void LeaseManager::claimAndCheckCells() {
  Instant now = Hooks.Now();
  std::vector<std::string> due;
  std::map<std::string, std::string> suspects;
  {
    std::lock_guard lock(Mutex);
    // A node whose own lease has lapsed must not take cells.
    if (Leaving || !FirstScannedAt || !Own.isValid(now))
      return;
    for (const auto &cell : CandidateCells) {
      if (CellsInFlight.contains(cell))
        continue;
      auto it = Cells.find(cell);
      bool claimable = canClaim(cell, now);
      if (!claimable && it == Cells.end())
        continue;
      bool suspect = !claimable && !isOwn(it->second.Record) &&
                     View.mustCheckOwner(it->second.Record, now);
      // The choice among all nodes costs most, so it is made last.
      if (!(claimable || suspect) || View.preferredOwner(cell, now) != Name)
        continue;
      if (claimable) {
        CellsInFlight.insert(cell);
        due.push_back(cell);
      } else if (OwnersInFlight.insert(it->second.Record.Owner).second) {
        suspects.emplace(it->second.Record.Owner,
                         it->second.Record.Incarnation);
      }
    }
  }
  for (const auto &cell : due)
    claimCell(cell);
  for (const auto &[owner, incarnation] : suspects)
    checkOwner(owner, incarnation);
}

bool LeaseManager::canClaim(const std::string &cell, Instant now) const {
  auto it = Cells.find(cell);
  if (it == Cells.end())
    return FirstScannedAt && now >= *FirstScannedAt + Settings.SettleTime;
  return it->second.Record.Owner.empty() ||
         View.hasEnded(it->second.Record.Incarnation, now);
}

void LeaseManager::checkOwner(const std::string &owner,
                              const std::string &incarnation) {
  readRow(lease_rows::nodeKey(owner),
          [self = shared_from_this(), owner, incarnation](auto row) {
            if (row)
              return self->onOwnerRead(owner, incarnation, *row);
            std::lock_guard lock(self->Mutex);
            self->OwnersInFlight.erase(owner);
          });
}

void LeaseManager::onOwnerRead(const std::string &owner,
                               const std::string &incarnation,
                               const std::optional<TableRow> &row) {
  Instant now = Hooks.Now();
  auto node = row ? lease_rows::parseNodeRow(*row) : std::nullopt;
  bool mustFence = false;
  {
    std::lock_guard lock(Mutex);
    if (node)
      View.updateNode(*node, now);
    // The cell's row was read before this read was sent, and the owner wrote
    // its own row before the cell's. So if the owner's row is missing now, its
    // incarnation will not come back.
    if (!node || node->Record.Incarnation != incarnation)
      View.markMissing(incarnation, now);
    mustFence =
        node && !node->Record.Ended && View.canFence(owner, incarnation, now);
    if (!mustFence)
      OwnersInFlight.erase(owner);
  }
  if (mustFence)
    fenceOwner(*node);
  else
    claimAndCheckCells();
}

void LeaseManager::fenceOwner(const NodeRow &row) {
  auto ended = row.Record;
  ended.Ended = true;
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    transaction.AttemptId = Own.nextAttemptId();
  }
  transaction.Writes.push_back(
      {lease_rows::nodeKey(ended.Name), row.Version,
       lease_rows::write(ended, transaction.AttemptId)});
  commit(std::move(transaction),
         [self = shared_from_this(), ended](auto result) {
           {
             std::lock_guard lock(self->Mutex);
             self->OwnersInFlight.erase(ended.Name);
             if (result)
               self->View.markEnded(ended.Incarnation);
           }
           // On a conflict or without an answer the next round reads the row
           // again.
           if (result)
             self->claimAndCheckCells();
         });
}

void LeaseManager::claimCell(const std::string &cell) {
  Instant now = Hooks.Now();
  CellRecord record;
  std::uint64_t version = 0;
  {
    std::lock_guard lock(Mutex);
    if (!Own.isValid(now) || Leaving || !canClaim(cell, now)) {
      CellsInFlight.erase(cell);
      return;
    }
    auto it = Cells.find(cell);
    if (it != Cells.end()) {
      version = it->second.Version;
      record = it->second.Record;
    }
    if (!record.Owner.empty()) {
      record.FormerOwner = record.Owner;
      record.FormerIncarnation = record.Incarnation;
    }
    record.Owner = Name;
    record.Incarnation = Own.record().Incarnation;
    ++record.Fence;
  }
  writeCell(cell, record, version, [] {});
}

void LeaseManager::writeCell(const std::string &cell, const CellRecord &record,
                             std::uint64_t version,
                             std::function<void()> then) {
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    transaction.AttemptId = Own.nextAttemptId();
  }
  transaction.Writes.push_back(
      {lease_rows::cellKey(cell), version,
       lease_rows::write(record, transaction.AttemptId)});
  commit(std::move(transaction),
         [self = shared_from_this(), cell, record, version,
          then = std::move(then)](auto result) {
           if (!result && result.error() != TableError::NotSent)
             return self->readCell(cell, then);
           {
             std::lock_guard lock(self->Mutex);
             self->CellsInFlight.erase(cell);
             if (result)
               self->updateCell(cell, {record, version + 1});
           }
           self->deliverChanges();
           then();
         });
}

void LeaseManager::readCell(const std::string &cell,
                            std::function<void()> then) {
  readRow(lease_rows::cellKey(cell),
          [self = shared_from_this(), cell, then = std::move(then)](auto row) {
            {
              std::lock_guard lock(self->Mutex);
              self->CellsInFlight.erase(cell);
              auto parsed =
                  row && *row ? lease_rows::parseCellRow(**row) : std::nullopt;
              if (parsed)
                self->updateCell(cell, *parsed);
            }
            self->deliverChanges();
            then();
          });
}

void LeaseManager::release(std::function<void()> done) {
  {
    std::lock_guard lock(Mutex);
    queueLosses(ownedCells());
    Leaving = true;
    Own.setLeaving();
    RenewalSentAt.reset();
    RenewalForced = true;
  }
  deliverChanges();
  renewIfDue();
  releaseCells(std::move(done));
}

void LeaseManager::releaseCells(std::function<void()> done) {
  std::vector<std::pair<std::string, CellRow>> owned;
  {
    std::lock_guard lock(Mutex);
    for (const auto &[name, cell] : Cells) {
      if (isOwn(cell.Record) && CellsInFlight.insert(name).second)
        owned.emplace_back(name, cell);
    }
  }
  if (owned.empty())
    return done();
  auto part = whenAll(owned.size(), std::move(done));
  for (auto &[name, cell] : owned) {
    CellRecord record{"", cell.Record.Fence, "", cell.Record.Owner,
                      cell.Record.Incarnation};
    writeCell(name, record, cell.Version, part);
  }
}

void LeaseManager::retire(std::function<void()> done) {
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    queueLosses(ownedCells());
    Leaving = true;
    Retired = true;
    transaction = Own.makeEnding();
  }
  deliverChanges();
  commit(std::move(transaction), [done = std::move(done)](auto) { done(); });
}

void LeaseManager::updateCell(const std::string &cell, const CellRow &row) {
  auto &known = Cells[cell];
  if (known.Version >= row.Version)
    return;
  bool was = isOwn(known.Record);
  bool is = isOwn(row.Record);
  known = row;
  if (Leaving)
    return;
  if (is)
    PendingChanges.push_back({cell, row.Record.Fence});
  else if (was)
    PendingChanges.push_back({cell, 0});
}

bool LeaseManager::isOwn(const CellRecord &cell) const {
  return cell.Owner == Name && cell.Incarnation == Own.record().Incarnation;
}

std::vector<std::string> LeaseManager::ownedCells() const {
  std::vector<std::string> out;
  for (const auto &[name, cell] : Cells) {
    if (!Leaving && isOwn(cell.Record))
      out.push_back(name);
  }
  return out;
}

void LeaseManager::queueLosses(const std::vector<std::string> &owned) {
  for (const auto &cell : owned)
    PendingChanges.push_back({cell, 0});
}

} // namespace hemlockglade
