#include "Hemlockglade/Coordination/Orders/CellLease.h"

#include "Hemlockglade/Coordination/TableEra.h"

#include <sstream>

namespace hemlockglade {

namespace {

/// Era of a table that has never come back older than it was.
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
  case LeaseChange::Released:
    return "released";
  case LeaseChange::HolderSeen:
    return "holder-seen";
  }
  return "unknown";
}

CellLease::CellLease(std::string cell, Settings settings, TableHooks table,
                     Clock clock, OnChange onChange)
    : Cell(std::move(cell)), Setup(std::move(settings)),
      Table(std::move(table)), Now(std::move(clock)),
      Changed(std::move(onChange)), LookPause(Setup.LookEvery) {}

bool CellLease::isOwn(const CellLeaseRow &row) const {
  return row.Holder == Setup.Holder && row.Incarnation == Setup.Incarnation;
}

bool CellLease::mayOrder() const {
  auto now = Now();
  return Mine && !Leaving && now >= std::max(OrdersFrom, AbstainsUntil) &&
         now < ValidUntil;
}

Span CellLease::remaining() const {
  return Mine ? std::max(Span(0), ValidUntil - Now()) : Span(0);
}

void CellLease::watchValidity() {
  bool ordering = mayOrder();
  if (ordering == WasOrdering)
    return;
  WasOrdering = ordering;
  if (ordering)
    TellOrdering = true;
  Changed(ordering ? LeaseChange::MayOrder : LeaseChange::Lapsed, *this);
}

void CellLease::tick(Span reluctance, Span leastLook) {
  Reluctance = reluctance;
  noteEra();
  watchValidity();
  if (Busy)
    return;
  auto now = Now();
  if (Leaving)
    return giveUp();
  if (Mine) {
    bool due = now - RenewedAt >= Setup.RenewEvery;
    if (due || std::exchange(TellOrdering, false))
      renew();
    return;
  }
  if (now - HeardAt < Setup.Silence)
    return;
  if (!InDoubt && Row && now >= std::max(FreeAt + reluctance, AbstainsUntil))
    return take(FreeAt, FreeAt + Setup.Handover + Setup.OrderTravel);
  if (now - LookedAt >= std::max(LookPause, leastLook))
    look();
}

void CellLease::noteEra() {
  auto era = Table.Era ? Table.Era() : 0;
  if (era <= Era)
    return;
  Era = era;
  SteppedBack = SteppedBack || Answered;
  auto now = Now();
  // Leases were granted until the table went away, before this was seen.
  OldLeasesEnd = now + Setup.Validity;
  auto ordersFrom = OldLeasesEnd + Setup.Handover + Setup.OrderTravel;
  InDoubt = true;
  // Another may have taken an expired one over.
  if (Mine && now >= ValidUntil)
    lose();
  if (Mine && now < OrdersFrom)
    OrdersFrom = std::max(OrdersFrom, ordersFrom);
  if (Mine)
    return;
  // One that took effect in this era was meant for another row, and its epoch
  // number may have been given out.
  Attempt.reset();
  FreeAt = std::max(FreeAt, OldLeasesEnd);
}

Epoch CellLease::nextFence() const {
  auto known = std::max(HighestFence, Row ? Row->Fence : 0);
  if (Era == 0)
    return known + 1;
  // The table may have forgotten the last number, and a late change may have
  // written over it. Versions rise all the same, and each is taken over once.
  return std::max({known, Version, TableEra::startOf(Era)}) + 1;
}

bool CellLease::isOfThisEra(const CellLeaseRow &row) const {
  return TableEra::eraOf(row.Fence) == Era;
}

void CellLease::renew() {
  if (InDoubt)
    return look();
  RenewedAt = Now();
  auto row = *Row;
  row.Ordering = mayOrder();
  commit(row, FreeAt, OrdersFrom);
}

void CellLease::look() {
  Busy = true;
  auto sentAt = Now();
  LookedAt = sentAt;
  Table.Get(key(), [self = shared_from_this(), sentAt](auto result) {
    self->Busy = false;
    self->noteEra();
    self->Answered = self->Answered || result.has_value();
    const auto &setup = self->Setup;
    self->LookPause = result ? setup.LookEvery
                             : std::min(setup.LongestLook, self->LookPause * 2);
    if (result)
      self->onRow(*result, sentAt);
  });
}

void CellLease::onRow(const std::optional<TableRow> &row, Instant sentAt) {
  auto now = Now();
  if (!row)
    return onNoRow();
  Forgotten = false;
  auto parsed = CellLeaseRow::parse(row->Value);
  if (!parsed)
    parsed = CellLeaseRow{};
  InDoubt = false;
  if (ReadNotes)
    ReadNotes(parsed->Notes);
  HighestFence = std::max(HighestFence, parsed->Fence);
  // While the own lease lasts nobody else can have one: a row of no later epoch
  // is from an older copy of the table, or was meant for one.
  bool isOther = !isOwn(*parsed) || parsed->Fence != Row->Fence;
  if (Mine && now < ValidUntil && isOther && parsed->Fence <= Row->Fence) {
    Attempt.reset();
    Version = row->Version;
    return Leaving ? giveUp() : renew();
  }
  if (isOwn(*parsed))
    return onOwnRow(*parsed, row->Version);
  lose();
  if (row->Version == Version && Row)
    return;
  adopt(*parsed, row->Version);
  bool sameHost = parsed->Holder == Setup.Holder;
  if (!isOfThisEra(*parsed)) {
    // It may be from an older copy of the table, which lacks its successor.
    FreeAt = now + Setup.Validity;
  } else if (parsed->Released) {
    FreeAt = sentAt;
  } else if (sameHost) {
    // The process before this one on the same host is gone. Its right to
    // order goes over, unless it was still waiting for another host's to end.
    FreeAt = now;
    if (!Leaving)
      take(now,
           parsed->Ordering ? now : now + Setup.Handover + Setup.OrderTravel);
  } else {
    // What the holder itself told of this version is nearer than what a row
    // that is seen for the first time allows, so that a cell whose holder the
    // table turns away gets orders again sooner.
    FreeAt = row->Version == HeardVersion ? HeardFreeAt : now + Setup.Validity;
  }
}

void CellLease::onNoRow() {
  auto now = Now();
  InDoubt = false;
  Version = 0;
  if (Mine && now < ValidUntil)
    return Leaving ? giveUp() : renew();
  lose();
  if (Row) {
    // The table has forgotten who held it since.
    if (!std::exchange(Forgotten, true))
      FreeAt = std::max(FreeAt, now + Setup.Validity);
    return;
  }
  if (!FirstLookAt)
    FirstLookAt = now;
  // Nobody has ever held this lease, unless the table has forgotten who did.
  bool mayBeHeld = SteppedBack || Era > FirstEra;
  if (Leaving || now - *FirstLookAt < Reluctance ||
      (mayBeHeld && now < OldLeasesEnd))
    return;
  auto ordersFrom = mayBeHeld ? now + Setup.Handover + Setup.OrderTravel : now;
  commit({Setup.Holder, Setup.Incarnation, Setup.Address, nextFence(), false,
          false},
         now, ordersFrom);
}

void CellLease::onOwnRow(const CellLeaseRow &row, std::uint64_t version) {
  bool known = Mine || (Attempt && Attempt->Fence == row.Fence);
  bool isNew = version != Version;
  Version = version;
  Row = row;
  if (known && !Mine) {
    Mine = true;
    ValidUntil = AttemptSentAt + Setup.Validity;
    OrdersFrom = AttemptOrdersFrom;
    Changed(LeaseChange::Taken, *this);
  }
  Attempt.reset();
  // One that was lost comes back from an older copy of the table, which lacks
  // whoever took it over.
  if (!known && isNew && !(row.Released && isOfThisEra(row)))
    FreeAt = std::max(FreeAt, Now() + Setup.Validity);
  if (Leaving)
    return giveUp();
  if (Mine)
    renew();
}

void CellLease::adopt(const CellLeaseRow &row, std::uint64_t version) {
  bool other =
      !Row || Row->Holder != row.Holder || Row->Incarnation != row.Incarnation;
  Row = row;
  Version = version;
  if (other)
    Changed(LeaseChange::HolderSeen, *this);
}

void CellLease::onHolderHeartbeat(std::uint64_t version, Span remaining) {
  auto now = Now();
  // A holder that can't renew is alive, but its lease has to be taken over.
  if (remaining > Span(0))
    HeardAt = now;
  if (version == HeardVersion)
    HeardFreeAt = std::min(HeardFreeAt, now + remaining);
  else if (version > HeardVersion)
    HeardFreeAt = now + remaining;
  HeardVersion = std::max(HeardVersion, version);
  if (Mine || version < Version)
    return;
  if (version > Version)
    InDoubt = true;
  // Whatever the row's version, the holder's right ends by then or is renewed
  // under a version that we have not heard of. Of several beats under one
  // version the one that was on its way for the shortest time is right; a row
  // that the table has forgotten has none.
  bool heard = version > 0 && version == HeardVersion;
  FreeAt = std::max(FreeAt, heard ? HeardFreeAt : now + remaining);
}

void CellLease::onPeerRow(const CellLeaseRow &row) {
  if (Mine || Busy || isOwn(row) || (Row && Row->Fence >= row.Fence))
    return;
  if (ReadNotes)
    ReadNotes(row.Notes);
  Row = row;
  InDoubt = true;
  // Whoever it is is asked first, and its row read only if it does not answer.
  LookedAt = Now();
  Changed(LeaseChange::HolderSeen, *this);
}

void CellLease::take(Instant freeAt, Instant ordersFrom) {
  CellLeaseRow row{Setup.Holder,  Setup.Incarnation,
                   Setup.Address, nextFence(),
                   false,         false};
  commit(row, freeAt, ordersFrom);
}

void CellLease::commit(CellLeaseRow row, Instant freeAt, Instant ordersFrom) {
  if (WriteNotes)
    row.Notes = WriteNotes();
  FreeAt = freeAt;
  Busy = true;
  auto sentAt = Now();
  Attempt = row;
  AttemptSentAt = sentAt;
  AttemptOrdersFrom = ordersFrom;
  TableTransaction transaction;
  transaction.AttemptId =
      Setup.Incarnation + "/" + Cell + "/" + std::to_string(sentAt.count());
  transaction.Writes.push_back({key(), Version, row.text()});
  Table.Commit(std::move(transaction), [self = shared_from_this(), row, sentAt,
                                        ordersFrom](const auto &result) {
    self->Busy = false;
    self->noteEra();
    self->onCommitted(row, sentAt, ordersFrom, result);
  });
}

void CellLease::onCommitted(
    const CellLeaseRow &row, Instant sentAt, Instant ordersFrom,
    const tl::expected<std::uint64_t, TableError> &result) {
  if (!result) {
    if (result.error() != TableError::NotSent)
      InDoubt = true;
    else
      Attempt.reset();
    // Tried again without waiting for the next renewal, but not at once.
    RenewedAt = std::min(RenewedAt, sentAt - Setup.RenewEvery / 2);
    return;
  }
  Attempt.reset();
  Row = row;
  HighestFence = std::max(HighestFence, row.Fence);
  Version = *result;
  if (row.Released) {
    Mine = false;
    Changed(LeaseChange::Released, *this);
    return;
  }
  bool taken = !std::exchange(Mine, true);
  ValidUntil = sentAt + Setup.Validity;
  RenewedAt = sentAt;
  if (taken) {
    OrdersFrom = ordersFrom;
    Changed(LeaseChange::Taken, *this);
  }
  watchValidity();
}

void CellLease::lose() {
  Attempt.reset();
  if (!std::exchange(Mine, false))
    return;
  WasOrdering = false;
  Changed(LeaseChange::Lost, *this);
}

void CellLease::release() {
  Leaving = true;
  if (!Busy)
    giveUp();
}

void CellLease::handOver() {
  if (!Mine || Busy || InDoubt || Leaving)
    return;
  AbstainsUntil = Now() + Setup.Abstain;
  giveUp();
}

void CellLease::giveUp() {
  if (!Mine || Row->Released)
    return;
  if (InDoubt && Now() - LookedAt >= Setup.LookEvery)
    return look();
  auto row = *Row;
  row.Released = true;
  commit(row, Now(), OrdersFrom);
}

} // namespace hemlockglade
