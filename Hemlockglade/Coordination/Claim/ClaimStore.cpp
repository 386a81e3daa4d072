#include "Hemlockglade/Coordination/Claim/ClaimStore.h"

namespace hemlockglade {

ClaimStore::ClaimStore(const ClaimSettings &settings, std::string name,
                       TableHooks table, ClaimHooks hooks)
    : Settings(settings), Name(std::move(name)), Table(std::move(table)),
      Hooks(std::move(hooks)),
      Claims(std::make_shared<GroupCommit>(Settings.Group, Name + "/claim",
                                           Table, GroupHooks{Hooks.After})),
      Records(std::make_shared<GroupCommit>(Settings.Group, Name + "/outcome",
                                            Table, GroupHooks{Hooks.After})) {}

void ClaimStore::claim(const ClaimRequest &request, OnAnswer done) {
  auto attempt = std::make_shared<Attempt>();
  attempt->Row = ClaimRow::keyOf(request.Scope, request.Key);
  attempt->Value.RequestId = request.RequestId;
  attempt->Value.BodyHash = ClaimRow::hashOf(request.Body);
  attempt->Value.ClaimedAtMs = Hooks.WallMs();
  attempt->Done = std::move(done);
  {
    std::lock_guard lock(Mutex);
    ++Counts.Claims;
    attempt->Value.Attempt = nextAttemptId();
    auto [it, added] = InFlight.try_emplace(attempt->Row);
    if (!added) {
      it->second.push_back(attempt);
      return;
    }
  }
  sendClaim(attempt);
}

void ClaimStore::sendClaim(const AttemptPtr &attempt) {
  ++attempt->TimesSent;
  TableWrite write{attempt->Row, attempt->Expected, attempt->Value.text()};
  auto done = [self = shared_from_this(), attempt](auto result) {
    self->onClaimSent(attempt, result);
  };
  if (attempt->TimesSent < Settings.MaxAttempts)
    return Claims->add(std::move(write), std::move(done));
  // The last write is sent alone, so that a conflict of another claim can't
  // fail it.
  TableTransaction transaction;
  {
    std::lock_guard lock(Mutex);
    transaction.AttemptId = nextAttemptId();
    ++Counts.Transactions;
  }
  transaction.Writes.push_back(std::move(write));
  Table.Commit(std::move(transaction), std::move(done));
}

void ClaimStore::onClaimSent(const AttemptPtr &attempt,
                             tl::expected<std::uint64_t, TableError> result) {
  if (result) {
    ClaimAnswer answer;
    answer.Result = ClaimResult::Claimed;
    answer.Ticket.Version = attempt->Expected + 1;
    return finishClaim(attempt, std::move(answer));
  }
  if (result.error() == TableError::NotSent && !attempt->MayBeWritten) {
    ClaimAnswer answer;
    answer.Result = ClaimResult::StoreUnavailable;
    return finishClaim(attempt, std::move(answer));
  }
  if (result.error() == TableError::Ambiguous)
    attempt->MayBeWritten = true;
  // On a conflict the cause may be any row of the group.
  readBack(attempt);
}

void ClaimStore::readBack(const AttemptPtr &attempt) {
  {
    std::lock_guard lock(Mutex);
    ++Counts.Reads;
  }
  Table.Get(attempt->Row, [self = shared_from_this(), attempt](auto row) {
    if (row)
      return self->onReadBack(attempt, *row);
    ClaimAnswer answer;
    answer.Result = attempt->MayBeWritten ? ClaimResult::Ambiguous
                                          : ClaimResult::StoreUnavailable;
    self->finishClaim(attempt, std::move(answer));
  });
}

void ClaimStore::onReadBack(const AttemptPtr &attempt,
                            const std::optional<TableRow> &row) {
  ClaimAnswer answer;
  auto value = row ? ClaimRow::parse(row->Value) : std::nullopt;
  if (value && value->Attempt == attempt->Value.Attempt) {
    answer.Result = ClaimResult::Claimed;
    answer.Ticket.Version = row->Version;
    return finishClaim(attempt, std::move(answer));
  }
  bool isFree = !row || (value && value->Recorded == Outcome::NotRun &&
                         value->BodyHash == attempt->Value.BodyHash);
  if (isFree) {
    // An earlier write of this claim may still take effect before the next one.
    // The row then has this claim's attempt id, whichever write it was.
    attempt->Expected = row ? row->Version : 0;
    if (attempt->TimesSent < Settings.MaxAttempts)
      return sendClaim(attempt);
    answer.Result = attempt->MayBeWritten ? ClaimResult::Ambiguous
                                          : ClaimResult::StoreUnavailable;
    return finishClaim(attempt, std::move(answer));
  }
  bool hasOtherBody = value && value->BodyHash != attempt->Value.BodyHash;
  answer.Result = hasOtherBody ? ClaimResult::OtherBody : ClaimResult::Taken;
  if (value) {
    answer.RequestId = value->RequestId;
    answer.Recorded = value->Recorded.value_or(Outcome::Unknown);
  }
  finishClaim(attempt, std::move(answer));
}

void ClaimStore::finishClaim(const AttemptPtr &attempt, ClaimAnswer answer) {
  answer.Ticket.Row = attempt->Row;
  answer.Ticket.Attempt = attempt->Value.Attempt;
  answer.Ticket.BodyHash = attempt->Value.BodyHash;
  answer.Ticket.RequestId = attempt->Value.RequestId;
  answer.Ticket.ClaimedAtMs = attempt->Value.ClaimedAtMs;
  AttemptPtr next;
  {
    std::lock_guard lock(Mutex);
    auto it = InFlight.find(attempt->Row);
    if (it->second.empty()) {
      InFlight.erase(it);
    } else {
      next = it->second.front();
      it->second.erase(it->second.begin());
    }
  }
  attempt->Done(std::move(answer));
  if (next)
    sendClaim(next);
}

void ClaimStore::record(const ClaimTicket &ticket, Outcome outcome) {
  auto record = std::make_shared<Record>();
  record->Row = ticket.Row;
  record->Expected = ticket.Version;
  record->Value = {ticket.Attempt, ticket.RequestId, ticket.BodyHash,
                   ticket.ClaimedAtMs, outcome};
  bool isFull = false;
  {
    std::lock_guard lock(Mutex);
    isFull = PendingRecords >= Settings.OutcomeBacklog;
    if (isFull)
      ++Counts.OutcomesDropped;
    else
      ++PendingRecords;
  }
  if (!isFull)
    sendRecord(record);
}

void ClaimStore::sendRecord(const RecordPtr &record) {
  ++record->TimesSent;
  Records->add({record->Row, record->Expected, record->Value.text()},
               [self = shared_from_this(), record](auto result) {
                 self->onRecordSent(record, result);
               });
}

void ClaimStore::onRecordSent(const RecordPtr &record,
                              tl::expected<std::uint64_t, TableError> result) {
  if (result)
    return finishRecord(false);
  if (result.error() == TableError::Conflict)
    return readRecord(record);
  retryRecord(record);
}

void ClaimStore::readRecord(const RecordPtr &record) {
  {
    std::lock_guard lock(Mutex);
    ++Counts.Reads;
  }
  Table.Get(record->Row, [self = shared_from_this(), record](auto row) {
    if (!row)
      return self->retryRecord(record);
    auto value = *row ? ClaimRow::parse((*row)->Value) : std::nullopt;
    bool isOwn = value && value->Attempt == record->Value.Attempt;
    if (!isOwn || value->Recorded)
      return self->finishRecord(!isOwn);
    record->Expected = (*row)->Version;
    self->retryRecord(record);
  });
}

void ClaimStore::retryRecord(const RecordPtr &record) {
  if (record->TimesSent >= Settings.MaxAttempts)
    return finishRecord(true);
  Hooks.After(Settings.OutcomeRetry, [self = weak_from_this(), record] {
    if (auto store = self.lock())
      store->sendRecord(record);
  });
}

void ClaimStore::finishRecord(bool dropped) {
  std::lock_guard lock(Mutex);
  --PendingRecords;
  Counts.OutcomesDropped += dropped;
}

void ClaimStore::cleanUp(std::size_t index, std::size_t nodes) {
  std::size_t slices = std::size_t(1) << (4 * Settings.SliceDigits);
  std::size_t slice = 0;
  {
    std::lock_guard lock(Mutex);
    if (index + NextSlice * nodes >= slices)
      NextSlice = 0;
    slice = (index + NextSlice++ * nodes) % slices;
    ++Counts.Reads;
  }
  std::string digits(Settings.SliceDigits, '0');
  for (auto it = digits.rbegin(); it != digits.rend(); ++it, slice >>= 4)
    *it = "0123456789abcdef"[slice & 15];
  Table.Scan(std::string(ClaimRow::Prefix) + digits,
             [self = shared_from_this()](auto rows) {
               if (rows)
                 self->removeExpired(*rows);
             });
}

void ClaimStore::removeExpired(const std::vector<TableRow> &rows) {
  auto retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings.Retention);
  auto cutoff = Hooks.WallMs() - retention.count();
  TableTransaction transaction;
  for (const auto &row : rows) {
    auto value = ClaimRow::parse(row.Value);
    if (!value || value->ClaimedAtMs >= cutoff)
      continue;
    transaction.Writes.push_back({row.Key, row.Version, std::nullopt});
    if (transaction.Writes.size() >= Settings.CleanupBatch)
      break;
  }
  if (transaction.Writes.empty())
    return;
  auto removed = transaction.Writes.size();
  {
    std::lock_guard lock(Mutex);
    transaction.AttemptId = nextAttemptId();
    ++Counts.Transactions;
  }
  Table.Commit(std::move(transaction),
               [self = shared_from_this(), removed](auto result) {
                 std::lock_guard lock(self->Mutex);
                 self->Counts.RowsRemoved += result ? removed : 0;
               });
}

ClaimCounts ClaimStore::counts() const {
  std::lock_guard lock(Mutex);
  auto out = Counts;
  out.Transactions += Claims->sent() + Records->sent();
  return out;
}

std::string ClaimStore::nextAttemptId() {
  return Name + '/' + std::to_string(++LastAttempt);
}

} // namespace hemlockglade
