#include "Hemlockglade/Coordination/Lease/LeaseManager.h"

#include "Hemlockglade/Coordination/Lease/LeaseRows.h"
#include <algorithm>

namespace hemlockglade {

namespace {

/// A renewal is abandoned if it has no answer after this fraction of the lease
/// duration.
constexpr int RenewalsPerLease = 3;

} // namespace

LeaseManager::LeaseManager(const LeaseSettings &settings, NodeRecord self,
                           TableHooks table, LeaseHooks hooks)
    : Settings(settings), Table(std::move(table)), Hooks(std::move(hooks)),
      Name(self.Name), Own(settings, std::move(self)), View(settings) {}

void LeaseManager::readRow(std::string key,
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
                self->View.onTableAnswer(now);
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
      self->View.onTableAnswer(now);
    }
    done(std::move(result));
  });
}

void LeaseManager::round(std::vector<std::string> cells) {
  bool leaving = false;
  {
    std::lock_guard lock(Mutex);
    ++Counts.Rounds;
    CandidateCells = std::move(cells);
    leaving = Leaving;
  }
  renewIfDue();
  if (leaving)
    releaseCells([] {});
  if (startScan())
    scan();
  else
    claimAndCheckCells();
}

void LeaseManager::renewIfDue() {
  Instant now = Hooks.Now();
  bool read = false;
  {
    std::lock_guard lock(Mutex);
    if (Retired || Own.isSuperseded())
      return;
    if (RenewalSentAt &&
        now - *RenewalSentAt < Settings.Duration / RenewalsPerLease)
      return;
    // A recently renewed lease is renewed later, but at once if the contents
    // of its row have changed.
    bool fresh = Settings.RenewInterval > Span() &&
                 Own.isConfirmedSince(now - Settings.RenewInterval);
    if (fresh && !RenewalForced)
      return;
    RenewalForced = false;
    auto owned = ownedCells();
    if (Own.expireIncarnation(now))
      queueLosses(owned);
    RenewalSentAt = now;
    read = Own.needsRead();
  }
  deliverChanges();
  if (read)
    readOwnRow([self = shared_from_this()] { self->sendRenewal(); });
  else
    sendRenewal();
}

void LeaseManager::sendRenewal() {
  Instant now = Hooks.Now();
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    if (Retired || Own.isSuperseded() || Own.needsRead()) {
      RenewalSentAt.reset();
      return;
    }
    RenewalSentAt = now;
    transaction = Own.makeRenewal(now);
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
      Own.confirmRenewal(attempt);
      if (auto own = Own.confirmedRow())
        View.updateNode(*own, now);
    } else if (result.error() != TableError::Ambiguous) {
      Own.dropRenewal(attempt);
    }
    RenewalSentAt.reset();
  }
  if (result)
    return claimAndCheckCells();
  // It is unknown whether the write took effect, or another write came first.
  if (result.error() != TableError::NotSent)
    readOwnRow([] {});
}

void LeaseManager::readOwnRow(std::function<void()> then) {
  readRow(lease_rows::nodeKey(Name),
          [self = shared_from_this(), sentAt = Hooks.Now(),
           then = std::move(then)](auto row) {
            if (row) {
              Instant now = self->Hooks.Now();
              {
                std::lock_guard lock(self->Mutex);
                // The read may be out of date if a renewal that was sent after
                // it has been confirmed.
                if (!self->Own.isConfirmedSince(sentAt))
                  self->updateOwnRow(*row, now);
              }
              self->deliverChanges();
            }
            then();
          });
}

void LeaseManager::updateOwnRow(const std::optional<TableRow> &row,
                                Instant now) {
  auto owned = ownedCells();
  if (Own.updateFromRow(row))
    queueLosses(owned);
  if (auto own = Own.confirmedRow())
    View.updateNode(*own, now);
}

bool LeaseManager::startScan() {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  if (ScanStartedAt && now - *ScanStartedAt < Settings.ScanInterval)
    return false;
  ScanStartedAt = now;
  Counts.Scans += 2;
  return true;
}

void LeaseManager::scan() {
  auto self = shared_from_this();
  Table.Scan(std::string(lease_rows::NodePrefix), [self](auto nodes) {
    if (!nodes)
      return;
    self->onNodesScanned(*nodes);
    self->Table.Scan(std::string(lease_rows::CellPrefix), [self](auto cells) {
      if (!cells)
        return;
      self->onCellsScanned(*cells);
      self->removeStaleRow();
      self->claimAndCheckCells();
    });
  });
}

void LeaseManager::onNodesScanned(const std::vector<TableRow> &rows) {
  Instant now = Hooks.Now();
  std::vector<NodeRow> nodes;
  for (const auto &row : rows) {
    if (auto node = lease_rows::parseNodeRow(row))
      nodes.push_back(std::move(*node));
  }
  std::lock_guard lock(Mutex);
  View.onTableAnswer(now);
  View.updateAllNodes(nodes, now);
  // The scan may be older than the last write of this node's own row.
  if (auto own = Own.confirmedRow())
    View.updateNode(*own, now);
}

void LeaseManager::onCellsScanned(const std::vector<TableRow> &rows) {
  Instant now = Hooks.Now();
  {
    std::lock_guard lock(Mutex);
    View.onTableAnswer(now);
    FirstScannedAt = FirstScannedAt.value_or(now);
    for (const auto &row : rows) {
      if (auto cell = lease_rows::parseCellRow(row))
        updateCell(row.Key.substr(lease_rows::CellPrefix.size()), *cell);
    }
    std::set<std::string> referenced;
    for (const auto &[name, cell] : Cells)
      referenced.insert(cell.Record.Incarnation);
    View.prune(referenced);
  }
  deliverChanges();
}

void LeaseManager::removeStaleRow() {
  Instant now = Hooks.Now();
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    auto stale = View.staleRows(now);
    // One row per scan, and one node per row, bounds the number of deletions.
    auto it = std::find_if(stale.begin(), stale.end(), [&](const auto &row) {
      return View.preferredOwner(row.Record.Name, now) == Name;
    });
    if (it == stale.end())
      return;
    transaction.AttemptId = Own.nextAttemptId();
    transaction.Writes.push_back(
        {lease_rows::nodeKey(it->Record.Name), it->Version, std::nullopt});
  }
  commit(std::move(transaction), [](auto) {});
}

void LeaseManager::onNodeRow(const NodeRow &row) {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  if (row.Record.Name != Name)
    View.updateNodeIfNewer(row, now);
}

void LeaseManager::onCellRow(const std::string &cell, const CellRow &row) {
  bool read = false;
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    bool known = it != Cells.end() && it->second.Version >= row.Version;
    // A row that names this node as the owner counts only if it was read from
    // the table.
    read = !known && isOwn(row.Record) && CellsInFlight.insert(cell).second;
    if (!known && !isOwn(row.Record))
      updateCell(cell, row);
  }
  deliverChanges();
  if (read)
    readCell(cell, [] {});
  else
    claimAndCheckCells();
}

void LeaseManager::refreshCell(const std::string &cell) {
  {
    std::lock_guard lock(Mutex);
    if (!CellsInFlight.insert(cell).second)
      return;
  }
  readCell(cell, [self = shared_from_this(), cell] {
    self->markFormerOwnerLeaving(cell);
    self->claimAndCheckCells();
  });
}

void LeaseManager::markFormerOwnerLeaving(const std::string &cell) {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  if (it != Cells.end() && it->second.Record.Owner.empty())
    View.markLeaving(it->second.Record.FormerIncarnation);
}

void LeaseManager::deliverChanges() {
  std::unique_lock lock(Mutex);
  if (Delivering)
    return;
  Delivering = true;
  while (!PendingChanges.empty()) {
    auto change = std::move(PendingChanges.front());
    PendingChanges.pop_front();
    lock.unlock();
    if (change.Fence)
      Hooks.OnOwned(change.Cell, change.Fence);
    else
      Hooks.OnLost(change.Cell);
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
    if (Leaving || it == Cells.end() || !isOwn(it->second.Record))
      return LeaseMode::None;
    end = Own.validUntil();
  }
  // The clock is read last, so that a pause of the process before the read
  // can't make the lease appear valid for longer.
  return Hooks.Now() < end ? LeaseMode::Held : LeaseMode::Doubtful;
}

std::optional<NodeRecord> LeaseManager::ownerOf(const std::string &cell) const {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  if (it == Cells.end() || View.hasEnded(it->second.Record.Incarnation, now))
    return std::nullopt;
  auto node = View.findNode(it->second.Record.Owner);
  if (!node)
    return std::nullopt;
  return node->Record;
}

std::vector<NodeRecord> LeaseManager::nodes() const {
  Instant now = Hooks.Now();
  std::lock_guard lock(Mutex);
  return View.liveNodes(now);
}

Epoch LeaseManager::fenceOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  bool own = !Leaving && it != Cells.end() && isOwn(it->second.Record);
  return own ? it->second.Record.Fence : 0;
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
  return Own.confirmedRow();
}

std::optional<CellRow> LeaseManager::cell(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  return it == Cells.end() ? std::nullopt : std::optional(it->second);
}

bool LeaseManager::isSuperseded() const {
  std::lock_guard lock(Mutex);
  return Own.isSuperseded();
}

LeaseCounts LeaseManager::counts() const {
  std::lock_guard lock(Mutex);
  return Counts;
}

} // namespace hemlockglade
