#pragma once

#include "Hemlockglade/Coordination/Orders/CellLease.h"
#include "Hemlockglade/Coordination/TableEra.h"
#include "UnitTests/Coordination/FakeTable.h"

namespace hemlockglade::test {

using std::chrono::milliseconds;

inline constexpr Span LeaseStep = milliseconds(50);
inline constexpr Span Handover = milliseconds(3000);

/// Settings with short leases, which few steps of time outlast.
inline CellLease::Settings shortLeases() {
  CellLease::Settings out;
  out.Handover = Handover;
  out.RenewInterval = milliseconds(600);
  out.Validity = milliseconds(1800);
  return out;
}

/// A host whose process takes part in one cell's lease.
class LeaseHost {
public:
  LeaseHost(VirtualTime &time, FakeTable &table, std::string name,
            CellLease::Settings options)
      : Time(time), Table(table), Name(std::move(name)),
        Options(std::move(options)) {
    restart();
  }

  /// Replaces the process by a new one on the same host.
  void restart() {
    auto settings = Options;
    settings.Holder = Name;
    settings.Incarnation = Name + "-" + std::to_string(++StartCount);
    settings.Address = "10.0.0.1:7";
    Alive = std::make_shared<bool>(true);
    Era = TableEra();
    Lease = std::make_shared<CellLease>(
        "hall-a", settings, hooks(), [this] { return Time.now(); },
        [](LeaseChange, const CellLease &) {});
  }

  void tick() {
    if (!Suspended)
      Lease->tick(Span(0));
  }

  VirtualTime &Time;
  FakeTable &Table;
  std::string Name;
  CellLease::Settings Options;
  std::shared_ptr<CellLease> Lease;
  bool Suspended = false;
  bool Partitioned = false;
  /// No answer of the table arrives before.
  Instant CutOffUntil{};
  /// The table carries out this host's calls until then, without an answer.
  Instant UnansweredUntil{};
  /// Fencing number of an order that has been decided but not written, because
  /// the host was suspended right after.
  std::optional<Epoch> UnwrittenOrder;

private:
  /// The table as this host reaches it: no call passes while the host is
  /// partitioned.
  TableHooks hooks() {
    auto inner = Table.hooks();
    TableHooks out;
    out.Era = [this] { return Era.era(); };
    out.Get = [this, inner](const std::string &key, auto done) {
      if (isCutOff())
        return fail(done, lostError());
      inner.Get(key, guard<std::optional<TableRow>>([this, done](auto result) {
                  if (result && *result)
                    (*result)->Version = Era.wide((*result)->Version);
                  done(std::move(result));
                }));
    };
    out.Commit = [this, inner](const TableTransaction &transaction, auto done) {
      if (isCutOff())
        return fail(done, lostError());
      auto own = Era.own(transaction.Writes.front().ExpectedVersion);
      if (!own)
        return fail(done, TableError::Conflict);
      auto sent = transaction;
      sent.Writes.front().ExpectedVersion = *own;
      inner.Commit(sent, guard<std::uint64_t>([this, sentInEra = Era.era(),
                                               done](auto result) {
                     // The expected version may have been another row's by
                     // then.
                     if (result && Era.era() != sentInEra)
                       return done(tl::unexpected(TableError::Ambiguous));
                     done(result.map([this](auto it) { return Era.wide(it); }));
                   }));
    };
    return out;
  }

  bool isCutOff() const { return Partitioned || Time.now() < CutOffUntil; }

  TableError lostError() const {
    return Partitioned ? TableError::NotSent : TableError::Ambiguous;
  }

  template <typename Done> void fail(Done done, TableError error) {
    Time.after(milliseconds(20), [alive = Alive, done, error] {
      if (*alive)
        done(tl::unexpected(error));
    });
  }

  template <typename T> TableCallback<T> guard(TableCallback<T> done) {
    return [this, alive = Alive, done](tl::expected<T, TableError> result) {
      if (!*alive)
        return;
      if (Time.now() < UnansweredUntil)
        return done(tl::unexpected(TableError::Ambiguous));
      bool answered = result || result.error() == TableError::Conflict;
      if (isCutOff() || (answered && !Era.onAnswer(Table.AnsweredEra)))
        return done(tl::unexpected(TableError::Ambiguous));
      done(std::move(result));
    };
  }

  /// The table's era as this process knows it.
  TableEra Era;

  std::shared_ptr<bool> Alive;
  int StartCount = 0;
};

/// Several hosts that share one table, and a record of which of them could
/// order and grant when.
struct LeaseWorld {
  explicit LeaseWorld(std::uint64_t seed, int hosts = 3,
                      const CellLease::Settings &settings = shortLeases())
      : Table(Time, seed) {
    for (int it = 0; it < hosts; ++it)
      Hosts.push_back(std::make_unique<LeaseHost>(
          Time, Table, "host-" + std::to_string(it), settings));
  }

  void run(Span span) {
    for (Span elapsed{0}; elapsed < span; elapsed += LeaseStep) {
      Time.advance(LeaseStep);
      for (auto &it : Hosts)
        writeOrder(*it);
      for (auto &it : Hosts)
        it->tick();
      check();
    }
  }

  /// A host that is resumed finds the connection of its order open.
  void writeOrder(LeaseHost &host) {
    if (host.Suspended || !host.UnwrittenOrder)
      return;
    auto fence = *std::exchange(host.UnwrittenOrder, std::nullopt);
    bool mayWrite = host.Lease->mayOrder() && host.Lease->fence() == fence;
    if (mayWrite || !AsksBeforeWriting)
      onOrder(host, fence);
  }

  /// Records an order that reaches an engine.
  void onOrder(const LeaseHost &host, Epoch fence) {
    if (!LastHost.empty() && LastHost != host.Name) {
      OrderedTooSoon = OrderedTooSoon || Time.now() - LastAt < Handover;
      FenceNotIncreased = FenceNotIncreased || fence <= LastFence;
    }
    FenceNotIncreased = FenceNotIncreased || fence < LastFence;
    LastHost = host.Name;
    LastFence = fence;
    LastAt = Time.now();
  }

  /// Assumes that every host that may order at this moment does so.
  void check() {
    auto grants = [](const auto &it) {
      return !it->Suspended && it->Lease->remaining() > Span(0);
    };
    GrantedByTwo =
        GrantedByTwo || std::count_if(Hosts.begin(), Hosts.end(), grants) > 1;
    for (auto &it : Hosts)
      if (!it->Suspended && it->Lease->mayOrder())
        onOrder(*it, it->Lease->fence());
  }

  /// Suspends a host, right after it has decided an order if it may, or resumes
  /// it.
  static void toggleSuspended(LeaseHost &host) {
    if (!host.Suspended && host.Lease->mayOrder())
      host.UnwrittenOrder = host.Lease->fence();
    host.Suspended = !host.Suspended;
  }

  bool isBroken() const {
    return OrderedTooSoon || FenceNotIncreased || GrantedByTwo;
  }

  LeaseHost *holder() {
    for (auto &it : Hosts)
      if (it->Lease->mayOrder())
        return it.get();
    return nullptr;
  }

  VirtualTime Time;
  FakeTable Table;
  std::vector<std::unique_ptr<LeaseHost>> Hosts;
  /// Hosts look at their right again right before an order is written.
  bool AsksBeforeWriting = true;
  std::string LastHost;
  Epoch LastFence = 0;
  Instant LastAt{};
  bool OrderedTooSoon = false;
  bool FenceNotIncreased = false;
  /// Two hosts had time left under their leases at once.
  bool GrantedByTwo = false;
};

} // namespace hemlockglade::test
