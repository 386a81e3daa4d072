#pragma once

#include "Hemlockglade/Coordination/Orders/CellLease.h"
#include "Hemlockglade/Coordination/TableEra.h"
#include "UnitTests/Coordination/FakeTable.h"

namespace hemlockglade::test {

using std::chrono::milliseconds;

inline constexpr Span LeaseStep = milliseconds(50);
inline constexpr Span Handover = milliseconds(3000);

/// A host whose process looks after one cell's lease.
class LeaseHost {
public:
  LeaseHost(VirtualTime &time, FakeTable &table, std::string name)
      : Time(time), Table(table), Name(std::move(name)) {
    restart();
  }

  /// A new process on the same host.
  void restart() {
    CellLease::Settings settings;
    settings.Holder = Name;
    settings.Incarnation = Name + "-" + std::to_string(++Starts);
    settings.Address = "10.0.0.1:7";
    settings.Handover = Handover;
    settings.RenewEvery = milliseconds(600);
    settings.Validity = milliseconds(1800);
    Alive = std::make_shared<bool>(true);
    Era = TableEra();
    Lease = std::make_shared<CellLease>(
        "hall-a", settings, hooks(), [this] { return Time.now(); },
        [](LeaseChange, const CellLease &) {});
  }

  void tick() {
    if (!Frozen)
      Lease->tick(Span(0));
  }

  VirtualTime &Time;
  FakeTable &Table;
  std::string Name;
  std::shared_ptr<CellLease> Lease;
  bool Frozen = false;
  bool Cut = false;

private:
  /// The table as this host reaches it: nothing comes through a cut.
  TableHooks hooks() {
    auto inner = Table.hooks();
    TableHooks out;
    out.Era = [this] { return Era.era(); };
    out.Get = [this, inner](const std::string &key, auto done) {
      if (Cut)
        return fail(done);
      inner.Get(key, guard<std::optional<TableRow>>([this, done](auto result) {
                  if (result && *result)
                    (*result)->Version = Era.wide((*result)->Version);
                  done(std::move(result));
                }));
    };
    out.Commit = [this, inner](const TableTransaction &transaction, auto done) {
      if (Cut)
        return fail(done);
      auto own = Era.own(transaction.Writes.front().ExpectedVersion);
      if (!own)
        return fail(done, TableError::Conflict);
      auto sent = transaction;
      sent.Writes.front().ExpectedVersion = *own;
      inner.Commit(sent, guard<std::uint64_t>([this, sentIn = Era.era(),
                                               done](auto result) {
                     // Its version may have meant another row by then.
                     if (result && Era.era() != sentIn)
                       return done(tl::unexpected(TableError::Ambiguous));
                     done(result.map([this](auto it) { return Era.wide(it); }));
                   }));
    };
    return out;
  }

  template <typename Done>
  void fail(Done done, TableError how = TableError::NotSent) {
    Time.after(milliseconds(20), [alive = Alive, done, how] {
      if (*alive)
        done(tl::unexpected(how));
    });
  }

  template <typename T> TableCallback<T> guard(TableCallback<T> done) {
    return [this, alive = Alive, done](tl::expected<T, TableError> result) {
      if (!*alive)
        return;
      bool answered = result || result.error() == TableError::Conflict;
      if (Cut || (answered && !Era.onAnswer(Table.AnsweredEra)))
        return done(tl::unexpected(TableError::Ambiguous));
      done(std::move(result));
    };
  }

  /// What this process has heard of the table's era.
  TableEra Era;

  std::shared_ptr<bool> Alive;
  int Starts = 0;
};

/// Several hosts over one table, and a record of who could order when.
struct LeaseWorld {
  explicit LeaseWorld(std::uint64_t seed, int hosts = 3) : Table(Time, seed) {
    for (int it = 0; it < hosts; ++it)
      Hosts.push_back(std::make_unique<LeaseHost>(
          Time, Table, "host-" + std::to_string(it)));
  }

  void run(Span span) {
    for (Span gone{0}; gone < span; gone += LeaseStep) {
      Time.advance(LeaseStep);
      for (auto &it : Hosts)
        it->tick();
      check();
    }
  }

  /// Every host that may order at this moment does.
  void check() {
    for (auto &it : Hosts) {
      if (it->Frozen || !it->Lease->mayOrder())
        continue;
      if (!LastHost.empty() && LastHost != it->Name) {
        TooSoon = TooSoon || Time.now() - LastAt < Handover;
        FenceFell = FenceFell || it->Lease->fence() <= LastFence;
      }
      FenceFell = FenceFell || it->Lease->fence() < LastFence;
      LastHost = it->Name;
      LastFence = it->Lease->fence();
      LastAt = Time.now();
    }
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
  std::string LastHost;
  Epoch LastFence = 0;
  Instant LastAt{};
  bool TooSoon = false;
  bool FenceFell = false;
};

} // namespace hemlockglade::test
