#include "Hemlockglade/Coordination/Orders/CellLease.h"

#include "Hemlockglade/Coordination/TableEra.h"

#include <sstream>

namespace hemlockglade {

namespace {

/// Era of a table that has never been restored from an older copy.
constexpr std::uint64_t FirstEra = 1;

} // namespace

std::string CellLeaseRow::text() const {
  std::ostringstream out;
  out << Holder << ' ' << Incarnation << ' ' << Address << ' ' << Fence << ' '
      << Released << ' ' << Ordering;
  if (!Notes.empty())
    out << ' ' << Notes;
  return out.str();
}

std::optional<CellLeaseRow> CellLeaseRow::parse(const std::string &text) {
  std::istringstream in(text);
  CellLeaseRow row;
  if (!(in >> row.Holder >> row.Incarnation >> row.Address >> row.Fence >>
        row.Released >> row.Ordering))
    return std::nullopt;
  in >> row.Notes;
  return row;
}

std::string_view leaseChangeName(LeaseChange change) {
  switch (change) {
  case LeaseChange::Taken:
    return "taken";
  case LeaseChange::MayOrder:
    return "may-order";
  case LeaseChange::Lapsed:
    return "lapsed";
  case LeaseChange::Regained:
    return "regained";
  case LeaseChange::Lost:
    return "lost";
  case LeaseChange::ReleaseSent:
    return "release-sent";
  case LeaseChange::Released:
    return "released";
  case LeaseChange::HolderSeen:
    return "holder-seen";
  }
  return "unknown";
}

CellLease::CellLease(std::string cell, Settings settings, TableHooks table,
                     Clock clock, OnChange onChange)
    : Cell(std::move(cell)), Options(std::move(settings)),
      Table(std::move(table)), Now(std::move(clock)),
      NotifyChange(std::move(onChange)),
      CurrentReadInterval(Options.ReadInterval) {}

bool CellLease::isOwn(const CellLeaseRow &row) const {
  return row.Holder == Options.Holder && row.Incarnation == Options.Incarnation;
}

bool CellLease::hasRight() const {
  return Right == LeaseRight::Held && Now() < ValidUntil;
}

bool CellLease::mayOrder() const {
  return hasRight() && !Releasing && Now() >= OrdersFrom;
}

Span CellLease::remaining() const {
  return hasRight() ? ValidUntil - Now() : Span(0);
}

void CellLease::checkValidity() {
  bool ordering = mayOrder();
  if (ordering == WasOrdering)
    return;
  WasOrdering = ordering;
  if (ordering)
    MustWriteOrdering = true;
  NotifyChange(ordering ? LeaseChange::MayOrder : LeaseChange::Lapsed, *this);
}

void CellLease::tick(Span takeoverDelay, Span minReadInterval) {
  TakeoverDelay = takeoverDelay;
  updateEra();
  checkValidity();
  if (RequestPending)
    return;
  auto now = Now();
  if (Releasing)
    return writeRelease();
  if (held()) {
    bool isDue = now - RenewedAt >= Options.RenewInterval;
    if (isDue || std::exchange(MustWriteOrdering, false))
      renew();
    return;
  }
  if (now - HeartbeatAt < Options.HolderGracePeriod)
    return;
  if (!VersionUncertain && Row &&
      now >= std::max(FreeAt + takeoverDelay, AbstainUntil))
    return takeOver(FreeAt,
                    FreeAt + Options.Handover + Options.MaxOrderTransit);
  if (now - LastReadAt >= std::max(CurrentReadInterval, minReadInterval))
    readRow();
}

void CellLease::updateEra() {
  auto era = Table.Era ? Table.Era() : 0;
  if (era <= Era)
    return;
  Era = era;
  EraRose = EraRose || TableAnswered;
  auto now = Now();
  // The table granted leases until it became unavailable, which was before now.
  PriorLeasesEnd = now + Options.Validity;
  auto ordersFrom = PriorLeasesEnd + Options.Handover + Options.MaxOrderTransit;
  VersionUncertain = true;
  // Another node may have taken over a lease that has expired or was released.
  if (!hasRight())
    markLost();
  if (held() && now < OrdersFrom)
    OrdersFrom = std::max(OrdersFrom, ordersFrom);
  if (held())
    return;
  // A write that took effect in this era was meant for another row, and its
  // fencing number may have been given out to another holder.
  UnconfirmedRow.reset();
  FreeAt = std::max(FreeAt, PriorLeasesEnd);
}

Epoch CellLease::nextFence() const {
  auto known = std::max(HighestFence, Row ? Row->Fence : 0);
  if (Era == 0)
    return known + 1;
  // The table may have lost the last fencing number, and a late write may have
  // overwritten it. Versions rise all the same, and each is taken over once.
  return std::max({known, Version, TableEra::startOf(Era)}) + 1;
}

bool CellLease::isFromCurrentEra(const CellLeaseRow &row) const {
  return TableEra::eraOf(row.Fence) == Era;
}

void CellLease::renew() {
  if (VersionUncertain)
    return readRow();
  RenewedAt = Now();
  auto row = *Row;
  row.Ordering = mayOrder();
  commit(row, FreeAt, OrdersFrom);
}

void CellLease::readRow() {
  RequestPending = true;
  LastReadAt = Now();
  Table.Get(key(), [self = shared_from_this()](auto result) {
    self->RequestPending = false;
    self->updateEra();
    self->TableAnswered = self->TableAnswered || result.has_value();
    const auto &options = self->Options;
    self->CurrentReadInterval =
        result
            ? options.ReadInterval
            : std::min(options.MaxReadInterval, self->CurrentReadInterval * 2);
    if (result)
      self->onRowRead(*result);
  });
}

void CellLease::onRowRead(const std::optional<TableRow> &row) {
  auto now = Now();
  if (!row)
    return onRowMissing();
  RowMissing = false;
  auto parsed = CellLeaseRow::parse(row->Value);
  if (!parsed)
    parsed = CellLeaseRow{};
  VersionUncertain = false;
  if (ReadNotes)
    ReadNotes(parsed->Notes);
  HighestFence = std::max(HighestFence, parsed->Fence);
  // While this node's lease lasts no other node can hold one: a row without a
  // later fencing number is from an older copy of the table, or was written for
  // one.
  bool isOther = !isOwn(*parsed) || parsed->Fence != Row->Fence;
  if (hasRight() && isOther && parsed->Fence <= Row->Fence) {
    UnconfirmedRow.reset();
    Version = row->Version;
    return Releasing ? writeRelease() : renew();
  }
  if (isOwn(*parsed))
    return onOwnRow(*parsed, row->Version);
  markLost();
  if (row->Version == Version && Row)
    return;
  setRow(*parsed, row->Version);
  bool sameHost = parsed->Holder == Options.Holder;
  if (!isFromCurrentEra(*parsed)) {
    // The row may be from an older copy of the table, which lacks its
    // successor.
    FreeAt = now + Options.Validity;
  } else if (parsed->Released) {
    // The table may have released it at any time until it answered.
    FreeAt = now;
  } else if (sameHost) {
    // The previous process on this host has ended. Its right to order passes to
    // this one, unless it was still waiting for another host's right to end.
    FreeAt = now;
    if (!Releasing)
      takeOver(now, parsed->Ordering
                        ? now
                        : now + Options.Handover + Options.MaxOrderTransit);
  } else {
    // The holder's own heartbeat for this version gives an earlier end than a
    // row that is read for the first time. A cell whose holder the table
    // refuses gets orders again sooner.
    FreeAt = row->Version == HeartbeatVersion ? HeartbeatFreeAt
                                              : now + Options.Validity;
  }
}

void CellLease::onRowMissing() {
  auto now = Now();
  VersionUncertain = false;
  Version = 0;
  if (hasRight())
    return Releasing ? writeRelease() : renew();
  markLost();
  if (Row) {
    // The table has lost the rows of later holders.
    if (!std::exchange(RowMissing, true))
      FreeAt = std::max(FreeAt, now + Options.Validity);
    return;
  }
  if (!FirstMissingAt)
    FirstMissingAt = now;
  // Nobody has ever held this lease, unless the table has lost the row.
  bool mayBeHeld = EraRose || Era > FirstEra;
  if (Releasing || now - *FirstMissingAt < TakeoverDelay ||
      (mayBeHeld && now < PriorLeasesEnd))
    return;
  auto ordersFrom =
      mayBeHeld ? now + Options.Handover + Options.MaxOrderTransit : now;
  commit({Options.Holder, Options.Incarnation, Options.Address, nextFence(),
          false, false},
         now, ordersFrom);
}

void CellLease::onOwnRow(const CellLeaseRow &row, std::uint64_t version) {
  bool known = held() || (UnconfirmedRow && UnconfirmedRow->Fence == row.Fence);
  bool isNew = version != Version;
  Version = version;
  Row = row;
  if (row.Released) {
    onReleased();
  } else if (known && !held()) {
    Right = LeaseRight::Held;
    ValidUntil = UnconfirmedSentAt + Options.Validity;
    OrdersFrom = UnconfirmedOrdersFrom;
    NotifyChange(LeaseChange::Taken, *this);
  }
  UnconfirmedRow.reset();
  // A lease that was lost comes back from an older copy of the table, which
  // lacks the row of the node that took it over.
  if (!known && isNew && !(row.Released && isFromCurrentEra(row)))
    FreeAt = std::max(FreeAt, Now() + Options.Validity);
  if (Releasing)
    return writeRelease();
  if (held())
    renew();
}

void CellLease::setRow(const CellLeaseRow &row, std::uint64_t version) {
  bool isOther =
      !Row || Row->Holder != row.Holder || Row->Incarnation != row.Incarnation;
  Row = row;
  Version = version;
  if (isOther)
    NotifyChange(LeaseChange::HolderSeen, *this);
}

void CellLease::onHolderHeartbeat(std::uint64_t version, Span remaining) {
  auto now = Now();
  // A holder that cannot renew is alive, but its lease must be taken over.
  if (remaining > Span(0))
    HeartbeatAt = now;
  if (version == HeartbeatVersion)
    HeartbeatFreeAt = std::min(HeartbeatFreeAt, now + remaining);
  else if (version > HeartbeatVersion)
    HeartbeatFreeAt = now + remaining;
  HeartbeatVersion = std::max(HeartbeatVersion, version);
  if (held() || version < Version)
    return;
  if (version > Version)
    VersionUncertain = true;
  // Whatever the row's version, the holder's right ends by then or is renewed
  // under a version that this node has not received. Of several heartbeats
  // under one version, the one with the shortest transit time is right; a row
  // that the table has lost has no version.
  bool received = version > 0 && version == HeartbeatVersion;
  FreeAt = std::max(FreeAt, received ? HeartbeatFreeAt : now + remaining);
}

void CellLease::onPeerRow(const CellLeaseRow &row) {
  if (held() || RequestPending || isOwn(row) ||
      (Row && Row->Fence >= row.Fence))
    return;
  if (ReadNotes)
    ReadNotes(row.Notes);
  Row = row;
  VersionUncertain = true;
  // The reported holder is contacted first, and its row is read only if it does
  // not answer.
  LastReadAt = Now();
  NotifyChange(LeaseChange::HolderSeen, *this);
}

void CellLease::takeOver(Instant freeAt, Instant ordersFrom) {
  CellLeaseRow row{Options.Holder,  Options.Incarnation,
                   Options.Address, nextFence(),
                   false,           false};
  commit(row, freeAt, ordersFrom);
}

void CellLease::commit(CellLeaseRow row, Instant freeAt, Instant ordersFrom) {
  if (WriteNotes)
    row.Notes = WriteNotes();
  FreeAt = freeAt;
  RequestPending = true;
  auto sentAt = Now();
  UnconfirmedRow = row;
  UnconfirmedSentAt = sentAt;
  UnconfirmedOrdersFrom = ordersFrom;
  TableTransaction transaction;
  transaction.AttemptId =
      Options.Incarnation + "/" + Cell + "/" + std::to_string(sentAt.count());
  transaction.Writes.push_back({key(), Version, row.text()});
  Table.Commit(std::move(transaction), [self = shared_from_this(), row, sentAt,
                                        ordersFrom](const auto &result) {
    self->RequestPending = false;
    self->updateEra();
    self->onCommitted(row, sentAt, ordersFrom, result);
  });
}

void CellLease::onCommitted(
    const CellLeaseRow &row, Instant sentAt, Instant ordersFrom,
    const tl::expected<std::uint64_t, TableError> &result) {
  if (!result) {
    if (result.error() != TableError::NotSent)
      VersionUncertain = true;
    else
      UnconfirmedRow.reset();
    // Retried before the next renewal is due, but not at once.
    RenewedAt = std::min(RenewedAt, sentAt - Options.RenewInterval / 2);
    return;
  }
  UnconfirmedRow.reset();
  Row = row;
  HighestFence = std::max(HighestFence, row.Fence);
  Version = *result;
  if (row.Released)
    return onReleased();
  auto before = std::exchange(Right, LeaseRight::Held);
  ValidUntil = sentAt + Options.Validity;
  RenewedAt = sentAt;
  if (before == LeaseRight::None) {
    OrdersFrom = ordersFrom;
    NotifyChange(LeaseChange::Taken, *this);
  } else if (before == LeaseRight::ReleaseSent) {
    AbstainUntil = {};
    NotifyChange(LeaseChange::Regained, *this);
  }
  checkValidity();
}

void CellLease::onReleased() {
  if (std::exchange(Right, LeaseRight::None) == LeaseRight::None)
    return;
  FreeAt = std::max(FreeAt, Now());
  WasOrdering = false;
  NotifyChange(LeaseChange::Released, *this);
}

void CellLease::markLost() {
  UnconfirmedRow.reset();
  if (std::exchange(Right, LeaseRight::None) == LeaseRight::None)
    return;
  WasOrdering = false;
  NotifyChange(LeaseChange::Lost, *this);
}

void CellLease::release() {
  Releasing = true;
  if (!RequestPending)
    writeRelease();
}

void CellLease::handOver() {
  if (Right != LeaseRight::Held || RequestPending || VersionUncertain ||
      Releasing)
    return;
  AbstainUntil = Now() + Options.AbstainTime;
  writeRelease();
}

void CellLease::writeRelease() {
  if (!held())
    return;
  if (VersionUncertain && Now() - LastReadAt >= Options.ReadInterval)
    return readRow();
  auto row = *Row;
  row.Released = true;
  if (std::exchange(Right, LeaseRight::ReleaseSent) == LeaseRight::Held)
    NotifyChange(LeaseChange::ReleaseSent, *this);
  commit(row, Now(), OrdersFrom);
}

} // namespace hemlockglade
