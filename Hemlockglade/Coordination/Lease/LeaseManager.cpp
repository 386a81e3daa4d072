#include "Hemlockglade/Coordination/Lease/LeaseManager.h"

#include "Hemlockglade/Coordination/Lease/LeaseRows.h"
#include <algorithm>

namespace hemlockglade {

namespace {

/// A renewal without an answer is given up after this part of the duration.
constexpr int RenewalsPerLease = 3;

} // namespace

LeaseManager::LeaseManager(const LeaseSettings &settings, NodeRecord self,
                           TableHooks table, LeaseHooks hooks)
    : Settings(settings), Table(std::move(table)), Hooks(std::move(hooks)),
      Name(self.Name), Own(settings, std::move(self)), View(settings) {}

void LeaseManager::get(std::string key,
                       TableCallback<std::optional<TableRow>> done) {
  {
    std::lock_guard lock(Mutex);
    ++Counts.Gets;
  }
  Table.Get(std::move(key),
            [self = shared_from_this(), done = std::move(done)](auto row) {
              if (row) {
                Instant now = self->Hooks.Now();
                std::lock_guard lock(self->Mutex);
                self->View.onContact(now);
              }
              done(std::move(row));
            });
}

void LeaseManager::commit(TableTransaction transaction,
                          TableCallback<std::uint64_t> done) {
  {
    std::lock_guard lock(Mutex);
    ++Counts.Commits;
  }
  Table.Commit(std::move(transaction), [self = shared_from_this(),
                                        done = std::move(done)](auto result) {
    if (result || result.error() == TableError::Conflict) {
      Instant now = self->Hooks.Now();
      std::lock_guard lock(self->Mutex);
      self->View.onContact(now);
    }
    done(std::move(result));
  });
}

void LeaseManager::round(std::vector<std::string> cells) {
  bool leaving = false;
  {
    std::lock_guard lock(Mutex);
    ++Counts.Rounds;
    Wanted = std::move(cells);
    leaving = Leaving;
  }
  renew();
  if (leaving)
    releaseCells([] {});
  if (startScan())
    scan();
  else
    act();
}

void LeaseManager::renew() {
  Instant now = Hooks.Now();
  bool read = false;
  {
    std::lock_guard lock(Mutex);
    if (Retired || Own.superseded())
      return;
    if (RenewalSent &&
        now - *RenewalSent < Settings.Duration / RenewalsPerLease)
      return;
    // A fresh lease is renewed later, but at once when it says something new.
    bool fresh = Settings.RenewInterval > Span() &&
                 Own.confirmedSince(now - Settings.RenewInterval);
    if (fresh && !RenewNow)
      return;
    RenewNow = false;
    auto owned = ownedCells();
    if (Own.expire(now))
      loseAll(owned);
    RenewalSent = now;
    read = Own.needsRead();
  }
  deliver();
  if (read)
    readOwn([self = shared_from_this()] { self->sendRenewal(); });
  else
    sendRenewal();
}

void LeaseManager::sendRenewal() {
  Instant now = Hooks.Now();
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    if (Retired || Own.superseded() || Own.needsRead()) {
      RenewalSent.reset();
      return;
    }
    RenewalSent = now;
    transaction = Own.renewal(now);
  }
  auto attempt = transaction.AttemptId;
  commit(std::move(transaction),
         [self = shared_from_this(), attempt](auto result) {
           self->onRenewed(attempt, result);
         });
}

void LeaseManager::onRenewed(
    const std::string &attempt,
    const tl::expected<std::uint64_t, TableError> &result) {
  Instant now = Hooks.Now();
  {
    std::lock_guard lock(Mutex);
    if (result) {
      Own.confirm(attempt);
      if (auto sight = Own.sight())
        View.see(*sight, now);
    } else if (result.error() != TableError::Ambiguous) {
      Own.drop(attempt);
    }
    RenewalSent.reset();
  }
  if (result)
    return act();
  // Whether the write took effect is unknown, or another's came first.
  if (result.error() != TableError::NotSent)
    readOwn([] {});
}

void LeaseManager::readOwn(std::function<void()> then) {
  get(lease_rows::nodeKey(Name),
      [self = shared_from_this(), asked = Hooks.Now(),
       then = std::move(then)](auto row) {
        if (row) {
          Instant now = self->Hooks.Now();
          {
            std::lock_guard lock(self->Mutex);
            // A read from before the last renewal tells nothing.
            if (!self->Own.confirmedSince(asked))
              self->takeOwn(*row, now);
          }
          self->deliver();
        }
        then();
      });
}

void LeaseManager::takeOwn(const std::optional<TableRow> &row, Instant now) {
  auto owned = ownedCells();
  if (Own.take(row))
    loseAll(owned);
  if (auto sight = Own.sight())
    View.see(*sight, now);
}

bool LeaseManager::startScan() {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  if (ScanStarted && now - *ScanStarted < Settings.ScanInterval)
    return false;
  ScanStarted = now;
  Counts.Scans += 2;
  return true;
}

void LeaseManager::scan() {
  auto self = shared_from_this();
  Table.Scan(std::string(lease_rows::NodePrefix), [self](auto nodes) {
    if (!nodes)
      return;
    self->takeNodes(*nodes);
    self->Table.Scan(std::string(lease_rows::CellPrefix), [self](auto cells) {
      if (!cells)
        return;
      self->takeCells(*cells);
      self->removeStale();
      self->act();
    });
  });
}

void LeaseManager::takeNodes(const std::vector<TableRow> &rows) {
  Instant now = Hooks.Now();
  std::vector<NodeRow> sights;
  for (const auto &row : rows) {
    if (auto sight = lease_rows::sightOfNode(row))
      sights.push_back(std::move(*sight));
  }
  std::lock_guard lock(Mutex);
  View.onContact(now);
  View.seeAll(sights, now);
  // The scan may be from before our own row was written.
  if (auto sight = Own.sight())
    View.see(*sight, now);
}

void LeaseManager::takeCells(const std::vector<TableRow> &rows) {
  Instant now = Hooks.Now();
  {
    std::lock_guard lock(Mutex);
    View.onContact(now);
    ScannedAt = ScannedAt.value_or(now);
    for (const auto &row : rows) {
      if (auto sight = lease_rows::sightOfCell(row))
        takeCell(row.Key.substr(lease_rows::CellPrefix.size()), *sight);
    }
    std::set<std::string> named;
    for (const auto &[name, cell] : Cells)
      named.insert(cell.Record.Incarnation);
    View.prune(named);
  }
  deliver();
}

void LeaseManager::removeStale() {
  Instant now = Hooks.Now();
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    auto stale = View.stale(now);
    // One row a scan, each by one node, bounds what cleaning costs.
    auto it = std::find_if(stale.begin(), stale.end(), [&](const auto &row) {
      return View.preferred(row.Record.Name, now) == Name;
    });
    if (it == stale.end())
      return;
    transaction.AttemptId = Own.nextAttempt();
    transaction.Writes.push_back(
        {lease_rows::nodeKey(it->Record.Name), it->Version, std::nullopt});
  }
  commit(std::move(transaction), [](auto) {});
}

void LeaseManager::onNodeRow(const NodeRow &sight) {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  if (sight.Record.Name != Name)
    View.hear(sight, now);
}

void LeaseManager::onCellRow(const std::string &cell, const CellRow &sight) {
  bool read = false;
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    bool known = it != Cells.end() && it->second.Version >= sight.Version;
    // What is said to be ours is believed only from the table.
    read = !known && isOurs(sight.Record) && BusyCells.insert(cell).second;
    if (!known && !isOurs(sight.Record))
      takeCell(cell, sight);
  }
  deliver();
  if (read)
    readCell(cell, [] {});
  else
    act();
}

void LeaseManager::refreshCell(const std::string &cell) {
  {
    std::lock_guard lock(Mutex);
    if (!BusyCells.insert(cell).second)
      return;
  }
  readCell(cell, [self = shared_from_this(), cell] {
    self->takeLeaving(cell);
    self->act();
  });
}

void LeaseManager::takeLeaving(const std::string &cell) {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  if (it != Cells.end() && it->second.Record.Owner.empty())
    View.seeLeaving(it->second.Record.FormerIncarnation);
}

void LeaseManager::deliver() {
  std::unique_lock lock(Mutex);
  if (Delivering)
    return;
  Delivering = true;
  while (!Events.empty()) {
    auto event = std::move(Events.front());
    Events.pop_front();
    lock.unlock();
    if (event.Fence)
      Hooks.OnOwned(event.Cell, event.Fence);
    else
      Hooks.OnLost(event.Cell);
    lock.lock();
  }
  Delivering = false;
}

bool LeaseManager::holds(const std::string &cell) const {
  return modeOf(cell) == LeaseMode::Held;
}

LeaseMode LeaseManager::modeOf(const std::string &cell) const {
  Instant end;
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    if (Leaving || it == Cells.end() || !isOurs(it->second.Record))
      return LeaseMode::None;
    end = Own.end();
  }
  // The clock is read last: a pause before it can't make a lease look longer.
  return Hooks.Now() < end ? LeaseMode::Held : LeaseMode::Doubtful;
}

std::optional<NodeRecord> LeaseManager::ownerOf(const std::string &cell) const {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  if (it == Cells.end() || View.isOver(it->second.Record.Incarnation, now))
    return std::nullopt;
  auto node = View.find(it->second.Record.Owner);
  if (!node)
    return std::nullopt;
  return node->Record;
}

std::vector<NodeRecord> LeaseManager::nodes() const {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  return View.live(now);
}

Epoch LeaseManager::fenceOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  bool ours = !Leaving && it != Cells.end() && isOurs(it->second.Record);
  return ours ? it->second.Record.Fence : 0;
}

std::map<std::string, CellRecord> LeaseManager::cells() const {
  std::lock_guard lock(Mutex);
  std::map<std::string, CellRecord> out;
  for (const auto &[name, cell] : Cells)
    out.emplace(name, cell.Record);
  return out;
}

std::optional<NodeRow> LeaseManager::self() const {
  std::lock_guard lock(Mutex);
  return Own.sight();
}

std::optional<CellRow> LeaseManager::cell(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  return it == Cells.end() ? std::nullopt : std::optional(it->second);
}

bool LeaseManager::superseded() const {
  std::lock_guard lock(Mutex);
  return Own.superseded();
}

LeaseCounts LeaseManager::counts() const {
  std::lock_guard lock(Mutex);
  return Counts;
}

} // namespace hemlockglade
