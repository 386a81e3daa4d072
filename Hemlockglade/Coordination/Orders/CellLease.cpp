#include "Hemlockglade/Coordination/Orders/CellLease.h"

#include <sstream>

namespace hemlockglade {

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
    const auto &setup = self->Setup;
    self->LookPause = result ? setup.LookEvery
                             : std::min(setup.LongestLook, self->LookPause * 2);
    if (result)
      self->onRow(*result, sentAt);
  });
}

void CellLease::onRow(const std::optional<TableRow> &row, Instant sentAt) {
  auto now = Now();
  if (!row) {
    InDoubt = false;
    Version = 0;
    Row.reset();
    if (!FirstLookAt)
      FirstLookAt = now;
    // Nobody has ever held this lease.
    if (!Leaving && now - *FirstLookAt >= Reluctance)
      commit({Setup.Holder, Setup.Incarnation, Setup.Address, 1, false, false},
             now, now);
    return;
  }
  auto parsed = CellLeaseRow::parse(row->Value);
  if (!parsed)
    parsed = CellLeaseRow{};
  InDoubt = false;
  if (ReadNotes)
    ReadNotes(parsed->Notes);
  if (isOwn(*parsed)) {
    bool known = Mine || (Attempt && Attempt->Fence == parsed->Fence);
    Version = row->Version;
    Row = *parsed;
    if (known && !Mine) {
      Mine = true;
      ValidUntil = AttemptSentAt + Setup.Validity;
      OrdersFrom = AttemptOrdersFrom;
      Changed(LeaseChange::Taken, *this);
    }
    Attempt.reset();
    if (Leaving)
      return giveUp();
    if (Mine)
      renew();
    return;
  }
  lose();
  if (row->Version == Version && Row)
    return;
  adopt(*parsed, row->Version);
  bool sameHost = parsed->Holder == Setup.Holder;
  if (parsed->Released) {
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

void CellLease::adopt(const CellLeaseRow &row, std::uint64_t version) {
  bool other =
      !Row || Row->Holder != row.Holder || Row->Incarnation != row.Incarnation;
  Row = row;
  Version = version;
  if (other)
    Changed(LeaseChange::HolderSeen, *this);
}

void CellLease::onHeard(std::uint64_t version, Span remaining) {
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
  // under a version that we have not heard of.
  FreeAt = std::max(FreeAt, now + remaining);
}

void CellLease::onTold(const CellLeaseRow &row) {
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
                   Setup.Address, Row->Fence + 1,
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
