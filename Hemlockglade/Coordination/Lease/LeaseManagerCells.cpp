// How the lease keeper takes, checks and gives up cells.

#include "Hemlockglade/Coordination/Lease/LeaseManager.h"
#include "Hemlockglade/Coordination/Lease/LeaseRows.h"

#include <atomic>

namespace hemlockglade {

namespace {

/// Runs `then` when as many parts have ended as were begun.
std::function<void()> whenAll(std::size_t parts, std::function<void()> then) {
  auto left = std::make_shared<std::atomic<std::size_t>>(parts);
  return [left, then = std::move(then)] {
    if (--*left == 0)
      then();
  };
}

} // namespace

void LeaseManager::act() {
  Instant now = Hooks.Now();
  std::vector<std::string> due;
  std::map<std::string, std::string> suspects;
  {
    std::lock_guard lock(Mutex);
    // Never takes over on a doubtful lease.
    if (Leaving || !ScannedAt || !Own.holds(now))
      return;
    for (const auto &cell : Wanted) {
      if (BusyCells.contains(cell))
        continue;
      auto it = Cells.find(cell);
      bool claimable = mayClaim(cell, now);
      if (!claimable && it == Cells.end())
        continue;
      bool suspect = !claimable && !isOurs(it->second.Record) &&
                     View.needsCheck(it->second.Record, now);
      // Choosing among all nodes costs most, so it comes last.
      if (!(claimable || suspect) || View.preferred(cell, now) != Name)
        continue;
      if (claimable) {
        BusyCells.insert(cell);
        due.push_back(cell);
      } else if (BusyOwners.insert(it->second.Record.Owner).second) {
        suspects.emplace(it->second.Record.Owner,
                         it->second.Record.Incarnation);
      }
    }
  }
  for (const auto &cell : due)
    claim(cell);
  for (const auto &[owner, incarnation] : suspects)
    check(owner, incarnation);
}

bool LeaseManager::mayClaim(const std::string &cell, Instant now) const {
  auto it = Cells.find(cell);
  if (it == Cells.end())
    return ScannedAt && now >= *ScannedAt + Settings.SettleTime;
  return it->second.Record.Owner.empty() ||
         View.isOver(it->second.Record.Incarnation, now);
}

void LeaseManager::check(const std::string &owner,
                         const std::string &incarnation) {
  get(lease_rows::nodeKey(owner),
      [self = shared_from_this(), owner, incarnation](auto row) {
        if (row)
          return self->onChecked(owner, incarnation, *row);
        std::lock_guard lock(self->Mutex);
        self->BusyOwners.erase(owner);
      });
}

void LeaseManager::onChecked(const std::string &owner,
                             const std::string &incarnation,
                             const std::optional<TableRow> &row) {
  Instant now = Hooks.Now();
  auto sight = row ? lease_rows::sightOfNode(*row) : std::nullopt;
  bool silent = false;
  {
    std::lock_guard lock(Mutex);
    if (sight)
      View.see(*sight, now);
    // The cell's row was seen before this read was sent, and the owner wrote
    // its own row before that one: if it is gone now, it is gone for good.
    if (!sight || sight->Record.Incarnation != incarnation)
      View.seeGone(incarnation, now);
    silent =
        sight && !sight->Record.Over && View.silent(owner, incarnation, now);
    if (!silent)
      BusyOwners.erase(owner);
  }
  if (silent)
    fence(*sight);
  else
    act();
}

void LeaseManager::fence(const NodeRow &sight) {
  auto over = sight.Record;
  over.Over = true;
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    transaction.AttemptId = Own.nextAttempt();
  }
  transaction.Writes.push_back(
      {lease_rows::nodeKey(over.Name), sight.Version,
       lease_rows::write(over, transaction.AttemptId)});
  commit(std::move(transaction),
         [self = shared_from_this(), over](auto result) {
           {
             std::lock_guard lock(self->Mutex);
             self->BusyOwners.erase(over.Name);
             if (result)
               self->View.seeOver(over.Incarnation);
           }
           // Without a clear answer the next round reads the row again.
           if (result)
             self->act();
         });
}

void LeaseManager::claim(const std::string &cell) {
  Instant now = Hooks.Now();
  CellRecord record;
  std::uint64_t version = 0;
  {
    std::lock_guard lock(Mutex);
    if (!Own.holds(now) || Leaving || !mayClaim(cell, now)) {
      BusyCells.erase(cell);
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
    transaction.AttemptId = Own.nextAttempt();
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
             self->BusyCells.erase(cell);
             if (result)
               self->takeCell(cell, {record, version + 1});
           }
           self->deliver();
           then();
         });
}

void LeaseManager::readCell(const std::string &cell,
                            std::function<void()> then) {
  get(lease_rows::cellKey(cell), [self = shared_from_this(), cell,
                                  then = std::move(then)](auto row) {
    {
      std::lock_guard lock(self->Mutex);
      self->BusyCells.erase(cell);
      auto sight = row && *row ? lease_rows::sightOfCell(**row) : std::nullopt;
      if (sight)
        self->takeCell(cell, *sight);
    }
    self->deliver();
    then();
  });
}

void LeaseManager::release(std::function<void()> done) {
  {
    std::lock_guard lock(Mutex);
    loseAll(ownedCells());
    Leaving = true;
    Own.setLeaving();
    RenewalSent.reset();
    RenewNow = true;
  }
  deliver();
  renew();
  releaseCells(std::move(done));
}

void LeaseManager::releaseCells(std::function<void()> done) {
  std::vector<std::pair<std::string, CellRow>> owned;
  {
    std::lock_guard lock(Mutex);
    for (const auto &[name, cell] : Cells) {
      if (isOurs(cell.Record) && BusyCells.insert(name).second)
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
    loseAll(ownedCells());
    Leaving = true;
    Retired = true;
    transaction = Own.ending();
  }
  deliver();
  commit(std::move(transaction), [done = std::move(done)](auto) { done(); });
}

void LeaseManager::takeCell(const std::string &cell, const CellRow &sight) {
  auto &known = Cells[cell];
  if (known.Version >= sight.Version)
    return;
  bool was = isOurs(known.Record);
  bool is = isOurs(sight.Record);
  known = sight;
  if (Leaving)
    return;
  if (is)
    Events.push_back({cell, sight.Record.Fence});
  else if (was)
    Events.push_back({cell, 0});
}

bool LeaseManager::isOurs(const CellRecord &cell) const {
  return cell.Owner == Name && cell.Incarnation == Own.record().Incarnation;
}

std::vector<std::string> LeaseManager::ownedCells() const {
  std::vector<std::string> out;
  for (const auto &[name, cell] : Cells) {
    if (!Leaving && isOurs(cell.Record))
      out.push_back(name);
  }
  return out;
}

void LeaseManager::loseAll(const std::vector<std::string> &owned) {
  for (const auto &cell : owned)
    Events.push_back({cell, 0});
}

} // namespace hemlockglade
