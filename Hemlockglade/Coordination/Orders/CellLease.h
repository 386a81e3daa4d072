#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Ids.h"

#include <memory>

namespace hemlockglade {

/// The lease row of a cell: which node may send orders to its replicas.
struct CellLeaseRow {
  /// Host that holds the lease; a restarted process on that host keeps it.
  std::string Holder;
  /// The process on that host.
  std::string Incarnation;
  /// `ip:port` for peers.
  std::string Address;
  Epoch Fence = 0;
  /// The holder has released the lease and sends no more orders.
  bool Released = false;
  /// The previous holder's right to order has ended, so this holder may order.
  bool Ordering = false;
  /// Text without spaces that the holder stores in the row for later holders;
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
  ReleaseSent,
  Released,
  HolderSeen,
};

std::string_view leaseChangeName(LeaseChange change);

/// This node's own right under a lease. Events alone change it: answers of the
/// table, rows that were read, and releases that were sent.
enum class LeaseRight : std::uint8_t {
  /// Another node has the lease, or none.
  None,
  /// The lease is this node's until its validity ends.
  Held,
  /// A release was sent and may have taken effect, so that another node may
  /// have the lease. The right comes back only with a later write of this
  /// node's row, after which the release can't take effect any more.
  ReleaseSent,
};

/// One node's view of a cell's lease. Renews the lease while this node holds
/// it, and takes it over after its holder has ended. What this node may do is
/// counted from before a call was sent, what others may have done until its
/// answer, on this host's clock, which keeps running while the host is
/// suspended.
class CellLease : public std::enable_shared_from_this<CellLease> {
public:
  struct Settings {
    std::string Holder;
    std::string Incarnation;
    std::string Address;
    /// Time between renewals. Five fit into the validity, so that lost ones do
    /// no harm.
    Span RenewInterval = std::chrono::milliseconds(1200);
    /// How long a renewal gives the right to order. It outlasts most outages of
    /// the table, and most times for which the table refuses a holder. Other
    /// cells load for a cell without a holder, so that a longer takeover costs
    /// little.
    Span Validity = std::chrono::milliseconds(6500);
    /// Minimum time between the last order of one holder and the first of the
    /// next, as the deployment requires it.
    Span Handover = std::chrono::milliseconds(3000);
    /// Maximum time an order is in transit before its connection is reset.
    Span MaxOrderTransit = std::chrono::milliseconds(250);
    /// A holder whose last heartbeat is more recent than this is not suspected.
    Span HolderGracePeriod = std::chrono::milliseconds(900);
    /// How long a node that has handed a lease over does not take it again.
    Span AbstainTime = std::chrono::seconds(5);
    /// Time between reads of the row of a silent holder, and the maximum that
    /// it backs off to while the table does not answer either.
    Span ReadInterval = std::chrono::milliseconds(500);
    Span MaxReadInterval = std::chrono::milliseconds(1500);
  };
  using Clock = std::function<Instant()>;
  using OnChange = std::function<void(LeaseChange, const CellLease &)>;

  CellLease(std::string cell, Settings settings, TableHooks table, Clock clock,
            OnChange onChange);

  /// `write` returns the notes for a row that is about to be written; `read` is
  /// called with those of a row that was read.
  void setNotes(std::function<std::string()> write,
                std::function<void(const std::string &notes)> read) {
    WriteNotes = std::move(write);
    ReadNotes = std::move(read);
  }

  /// Does what is due; to be called about ten times a second. A free lease is
  /// taken only after it has been free for `takeoverDelay`, and the row is read
  /// at most once per `minReadInterval`.
  void tick(Span takeoverDelay, Span minReadInterval = Span(0));
  /// Called when the holder has reported that its lease, at this version of the
  /// row, lasts for another `remaining`.
  void onHolderHeartbeat(std::uint64_t version, Span remaining);
  /// Called when another node has reported the holder. The reported row is used
  /// only while none with as high a fencing number is known, and is never a
  /// reason to take the lease over.
  void onPeerRow(const CellLeaseRow &row);
  /// Releases the lease, if it is held, and does not take it again.
  void release();
  /// Releases the lease for a nearer node. This node goes on tracking the
  /// lease, but does not take it again for `Settings::AbstainTime`.
  void handOver();

  const std::string &cell() const { return Cell; }
  /// Whether this node is the last holder that it knows of. It may have no
  /// right to order or to grant all the same: see `remaining`.
  bool held() const { return Right != LeaseRight::None; }
  /// Whether orders may be sent at this moment. Must be checked right before
  /// each one.
  bool mayOrder() const;
  Epoch fence() const { return Row ? Row->Fence : 0; }
  /// The row as last read or written.
  const std::optional<CellLeaseRow> &row() const { return Row; }
  std::uint64_t version() const { return Version; }
  /// How long this node's own right still lasts; 0 if it has none, or may have
  /// given it away.
  Span remaining() const;

private:
  void updateEra();
  Epoch nextFence() const;
  bool isFromCurrentEra(const CellLeaseRow &row) const;
  bool hasRight() const;
  void onRowMissing();
  void onOwnRow(const CellLeaseRow &row, std::uint64_t version);
  void renew();
  void writeRelease();
  void readRow();
  void onRowRead(const std::optional<TableRow> &row);
  void takeOver(Instant freeAt, Instant ordersFrom);
  void commit(CellLeaseRow row, Instant freeAt, Instant ordersFrom);
  void onCommitted(const CellLeaseRow &row, Instant sentAt, Instant ordersFrom,
                   const tl::expected<std::uint64_t, TableError> &result);
  void setRow(const CellLeaseRow &row, std::uint64_t version);
  void onReleased();
  void markLost();
  void checkValidity();
  bool isOwn(const CellLeaseRow &row) const;
  std::string key() const { return "lease/" + Cell; }

  const std::string Cell;
  const Settings Options;
  TableHooks Table;
  Clock Now;
  std::function<std::string()> WriteNotes;
  std::function<void(const std::string &notes)> ReadNotes;
  OnChange NotifyChange;

  bool RequestPending = false;
  LeaseRight Right = LeaseRight::None;
  bool Releasing = false;
  /// The row in the table may have another version than `Version`: it must be
  /// read before it is written.
  bool VersionUncertain = true;
  bool MustWriteOrdering = false;
  std::optional<CellLeaseRow> Row;
  std::uint64_t Version = 0;
  /// From when on the holder of this version of the row has surely lost the
  /// right to order.
  Instant FreeAt{};
  Instant HeartbeatAt{-3'600'000'000};
  /// Highest version in a holder's heartbeats, and when the holder's right
  /// under that version ends at the latest.
  std::uint64_t HeartbeatVersion = 0;
  Instant HeartbeatFreeAt{};
  Instant LastReadAt{-3'600'000'000};
  /// Current time between reads of a silent holder's row.
  Span CurrentReadInterval{0};
  /// The table's era, and when the last lease that was granted before it began
  /// has ended: the table may have lost the row that says who held it.
  std::uint64_t Era = 0;
  Instant PriorLeasesEnd{};
  /// The table has answered, and its era has risen since.
  bool TableAnswered = false;
  bool EraRose = false;
  /// The row is missing from the table, though it existed.
  bool RowMissing = false;
  Epoch HighestFence = 0;
  /// When the row was first found not to exist.
  std::optional<Instant> FirstMissingAt;
  Span TakeoverDelay{0};
  Instant AbstainUntil{};
  Instant RenewedAt{};
  Instant ValidUntil{};
  Instant OrdersFrom{};
  bool WasOrdering = false;
  /// Own write whose outcome is not known.
  std::optional<CellLeaseRow> UnconfirmedRow;
  Instant UnconfirmedSentAt{};
  Instant UnconfirmedOrdersFrom{};
};

} // namespace hemlockglade
