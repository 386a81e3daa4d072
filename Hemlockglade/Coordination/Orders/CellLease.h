#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Ids.h"

#include <memory>

namespace hemlockglade {

/// The lease row of a cell: who may give orders to its replicas.
struct CellLeaseRow {
  /// Host that holds the lease; a restarted process keeps it.
  std::string Holder;
  /// The process on that host.
  std::string Incarnation;
  /// `ip:port` for peers.
  std::string Address;
  Epoch Fence = 0;
  /// The holder has given the lease up and orders nothing any more.
  bool Released = false;
  /// The holder has waited out its predecessor and may order.
  bool Ordering = false;
  /// One word that the holder keeps with the row, for nodes that come later;
  /// may be empty.
  std::string Notes;

  std::string text() const;
  static std::optional<CellLeaseRow> parse(const std::string &text);
};

/// Why a cell's lease changed, for the log.
enum class LeaseChange : std::uint8_t {
  Taken,
  MayOrder,
  Lapsed,
  Regained,
  Lost,
  Released,
  HolderSeen,
};

std::string_view leaseChangeName(LeaseChange change);

/// One cell's lease as one node sees it: renews it if it holds it, takes it
/// over if its holder has gone. All time is counted from before a call was
/// sent, on the clock of this host, which runs while the host is suspended.
class CellLease : public std::enable_shared_from_this<CellLease> {
public:
  struct Settings {
    std::string Holder;
    std::string Incarnation;
    std::string Address;
    /// Time between renewals; five fit into the validity, so that lost ones
    /// cost nothing.
    Span RenewEvery = std::chrono::milliseconds(1200);
    /// How long a renewal gives the right to order. A holder that the table
    /// turns away, or a table that is away, mostly comes back before that;
    /// other cells load for a cell whose holder has gone, so that a longer
    /// takeover costs little.
    Span Validity = std::chrono::milliseconds(6500);
    /// Time that must lie between the last order of one holder and the first
    /// of the next; the deployment's bound.
    Span Handover = std::chrono::milliseconds(3000);
    /// Longest time an order is on its way before its connection is reset.
    Span OrderTravel = std::chrono::milliseconds(250);
    /// A holder that was heard from this recently is not doubted.
    Span Silence = std::chrono::milliseconds(900);
    /// How long a node that has handed a lease over leaves it to others.
    Span Abstain = std::chrono::seconds(5);
    /// Time between looks at the row of a silent holder, and the longest when
    /// the table does not answer either.
    Span LookEvery = std::chrono::milliseconds(500);
    Span LongestLook = std::chrono::milliseconds(1500);
  };
  using Clock = std::function<Instant()>;
  using OnChange = std::function<void(LeaseChange, const CellLease &)>;

  CellLease(std::string cell, Settings settings, TableHooks table, Clock clock,
            OnChange onChange);

  /// `write` gives the notes for a row that is written; `read` is called with
  /// those of a row that was read.
  void setNotes(std::function<std::string()> write,
                std::function<void(const std::string &notes)> read) {
    WriteNotes = std::move(write);
    ReadNotes = std::move(read);
  }

  /// Does what is due; to be called about ten times a second. A lease that is
  /// free is taken only after it has been free for `reluctance`, and the row is
  /// looked at no more often than each `leastLook`.
  void tick(Span reluctance, Span leastLook = Span(0));
  /// The holder has told that its lease, at this version of the row, lasts for
  /// `remaining`.
  void onHolderHeartbeat(std::uint64_t version, Span remaining);
  /// Another node tells who holds the lease; taken while less is known, and
  /// never as a ground to take the lease over.
  void onPeerRow(const CellLeaseRow &row);
  /// Gives the lease up, if it is held.
  void release();
  /// Lets a node that is nearer have the lease; takes part on, but leaves the
  /// lease alone for a while.
  void handOver();

  const std::string &cell() const { return Cell; }
  bool held() const { return Mine; }
  /// Whether orders may be given at this moment. To be asked right before each.
  bool mayOrder() const;
  Epoch fence() const { return Row ? Row->Fence : 0; }
  /// The row as last read or written.
  const std::optional<CellLeaseRow> &row() const { return Row; }
  std::uint64_t version() const { return Version; }
  /// How long the own lease still lasts.
  Span remaining() const;

private:
  void noteEra();
  Epoch nextFence() const;
  bool isOfThisEra(const CellLeaseRow &row) const;
  void onNoRow();
  void onOwnRow(const CellLeaseRow &row, std::uint64_t version);
  void renew();
  void giveUp();
  void look();
  void onRow(const std::optional<TableRow> &row, Instant sentAt);
  void take(Instant freeAt, Instant ordersFrom);
  void commit(CellLeaseRow row, Instant freeAt, Instant ordersFrom);
  void onCommitted(const CellLeaseRow &row, Instant sentAt, Instant ordersFrom,
                   const tl::expected<std::uint64_t, TableError> &result);
  void adopt(const CellLeaseRow &row, std::uint64_t version);
  void lose();
  void watchValidity();
  bool isOwn(const CellLeaseRow &row) const;
  std::string key() const { return "lease/" + Cell; }

  const std::string Cell;
  const Settings Setup;
  TableHooks Table;
  Clock Now;
  std::function<std::string()> WriteNotes;
  std::function<void(const std::string &notes)> ReadNotes;
  OnChange Changed;

  bool Busy = false;
  bool Mine = false;
  bool Leaving = false;
  /// The version may be another than we think: read before writing.
  bool InDoubt = true;
  bool TellOrdering = false;
  std::optional<CellLeaseRow> Row;
  std::uint64_t Version = 0;
  /// When this version of the row was first seen, and from when on its holder
  /// surely has no right to order any more.
  Instant FreeAt{};
  Instant HeardAt{-3'600'000'000};
  /// Highest version that a holder told of, and when its right under that one
  /// ends at the latest.
  std::uint64_t HeardVersion = 0;
  Instant HeardFreeAt{};
  Instant LookedAt{-3'600'000'000};
  /// Time between looks now.
  Span LookPause{0};
  /// The table's era, and when no lease that was granted before it began lasts
  /// any more: the table may have forgotten who held it.
  std::uint64_t Era = 0;
  Instant OldLeasesEnd{};
  /// The table has answered, and its era has risen since.
  bool Answered = false;
  bool SteppedBack = false;
  /// The row is gone from the table, though it existed.
  bool Forgotten = false;
  Epoch HighestFence = 0;
  /// When the row was first found not to exist.
  std::optional<Instant> FirstLookAt;
  Span Reluctance{0};
  Instant AbstainsUntil{};
  Instant RenewedAt{};
  Instant ValidUntil{};
  Instant OrdersFrom{};
  bool WasOrdering = false;
  /// Own attempt whose end is not known.
  std::optional<CellLeaseRow> Attempt;
  Instant AttemptSentAt{};
  Instant AttemptOrdersFrom{};
};

} // namespace hemlockglade
