#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

namespace hemlockglade::test {

/// Conditions that LeaseManager relies on and that a test can disable; all are
/// simulated by the fixture.
struct FleetSwitches {
  /// A host's clock continues while the host is paused.
  bool ClockRunsInPause = true;
  /// A restarted host has a new incarnation.
  bool NewIncarnation = true;
  /// The table compares versions.
  bool CompareAndSet = true;
  /// The table answers reads of single rows.
  bool ReadBack = true;
  /// The write that marks an expired owner's row as ended reaches the table.
  bool FenceIsWritten = true;
  /// Maximum drift of a clock, as a fraction of Margin / Duration.
  double Drift = 0.95;
};

/// A lease manager with a drifting clock that can be paused and killed.
struct FleetHost {
  std::shared_ptr<LeaseManager> Manager;
  double Rate = 1;
  Span Offset{};
  bool Paused = false;
  bool Dead = false;
  Instant PausedAt{};
  Span PausedFor{};
  std::vector<std::function<void()>> DelayedCalls;
  std::map<std::string, Epoch> Owned;
  std::map<std::string, Epoch> LastOwnedEpochs;
};

/// Several hosts on one fake table in virtual time, with checks of the leases'
/// invariants: a cell has at most one holder, and its epochs rise.
class LeaseFleet {
public:
  explicit LeaseFleet(std::uint64_t seed, LeaseSettings settings = {},
                      FleetSwitches switches = {})
      : Table(Time, seed), Settings(settings), Switches(switches),
        Random(seed) {
    Table.OnCommitted = [this](const TableTransaction &it) { onCommit(it); };
  }

  VirtualTime Time;
  FakeTable Table;
  LeaseSettings Settings;
  FleetSwitches Switches;
  std::vector<std::string> Cells{"assistant/0", "assistant/1", "drafter/0"};
  Span RoundInterval = std::chrono::seconds(1);
  /// Commits of ownership rows take effect, but their answers are lost.
  bool LoseCellAnswers = false;
  /// Called once, before the first write that marks an owner's row as ended.
  std::function<void()> BeforeFence;
  /// Whether `checkInvariants` checks anything.
  bool ChecksEnabled = true;
  /// Numbers of reads of single rows, and of writes that are not renewals, as
  /// sent.
  std::uint64_t Gets = 0;
  std::uint64_t CellWrites = 0;
  /// All hosts ever started; `Current` has the last one of each name.
  std::vector<std::unique_ptr<FleetHost>> Hosts;
  std::map<std::string, FleetHost *> Current;
  /// Descriptions of the violations found.
  std::vector<std::string> Violations;

  FleetHost &start(const std::string &name) {
    Hosts.push_back(std::make_unique<FleetHost>());
    auto &host = *Hosts.back();
    double maxDrift = Switches.Drift * Settings.Margin.count() /
                      static_cast<double>(Settings.Duration.count());
    // Clocks with the maximum drift find the most violations.
    std::array rates{
        1 - maxDrift, 1 + maxDrift,
        std::uniform_real_distribution(1 - maxDrift, 1 + maxDrift)(Random)};
    host.Rate = rates[Random() % rates.size()];
    host.Offset = std::chrono::seconds(Hosts.size() * 1000);
    LeaseHooks hooks;
    hooks.Now = [this, &host] { return clock(host); };
    hooks.OnOwned = [this, &host](const std::string &cell, Epoch fence) {
      if (host.Dead)
        return;
      auto &last = host.LastOwnedEpochs[cell];
      if (fence <= last)
        Violations.push_back("epoch did not rise: " + cell);
      last = fence;
      host.Owned[cell] = fence;
    };
    hooks.OnLost = [&host](const std::string &cell) { host.Owned.erase(cell); };
    auto incarnation =
        Switches.NewIncarnation ? std::to_string(Hosts.size()) : "same";
    NodeRecord self{name, "i" + incarnation, "c-" + name, "p-" + name, "d"};
    host.Manager =
        std::make_shared<LeaseManager>(Settings, self, hooksOf(host), hooks);
    Current[name] = &host;
    return host;
  }

  void pause(FleetHost &host) {
    if (std::exchange(host.Paused, true))
      return;
    host.PausedAt = Time.now();
  }

  void resume(FleetHost &host) {
    if (!std::exchange(host.Paused, false))
      return;
    host.PausedFor += Time.now() - host.PausedAt;
    // A resumed process has the state from before the pause.
    checkInvariants();
    auto delayed = std::move(host.DelayedCalls);
    host.DelayedCalls.clear();
    for (auto &call : delayed)
      call();
  }

  void kill(FleetHost &host) {
    host.Dead = true;
    host.DelayedCalls.clear();
  }

  /// Runs rounds, and checks the invariants every 50 ms.
  void run(Span span) {
    constexpr Span step = std::chrono::milliseconds(50);
    for (Span it{}; it < span; it += step) {
      if (Time.now() >= NextRound) {
        NextRound = Time.now() + RoundInterval;
        for (auto &host : Hosts) {
          if (!host->Dead && !host->Paused)
            host->Manager->round(Cells);
        }
      }
      Time.advance(step);
      checkInvariants();
    }
  }

  /// The host that holds the cell; null if there is none.
  FleetHost *holder(const std::string &cell) {
    for (auto &host : Hosts) {
      if (!host->Dead && host->Manager->holds(cell))
        return host.get();
    }
    return nullptr;
  }

  /// Cells without a holder.
  std::vector<std::string> unheld() {
    std::vector<std::string> out;
    for (const auto &cell : Cells) {
      if (!holder(cell))
        out.push_back(cell);
    }
    return out;
  }

  void checkInvariants() {
    if (!ChecksEnabled)
      return;
    for (const auto &cell : Cells) {
      int holders = 0;
      for (auto &host : Hosts) {
        if (host->Dead || !host->Manager->holds(cell))
          continue;
        ++holders;
        // No host holds a cell at an epoch that another host has held it at,
        // or at a lower one.
        auto held = std::pair(host->Manager->fenceOf(cell), host.get());
        auto &last = LastHeldEpochs[cell];
        if (held.first < last.first ||
            (held.first == last.first && held.second != last.second))
          Violations.push_back("held epoch did not rise: " + cell);
        last = held;
      }
      if (holders > 1)
        Violations.push_back("two holders: " + cell);
    }
  }

private:
  Instant clock(const FleetHost &host) const {
    Span run = Time.now();
    if (!Switches.ClockRunsInPause) {
      run -= host.PausedFor;
      if (host.Paused)
        run -= Time.now() - host.PausedAt;
    }
    return Span(static_cast<std::int64_t>(run.count() * host.Rate)) +
           host.Offset;
  }

  template <typename T>
  TableCallback<T> wrapCallback(FleetHost &host, TableCallback<T> done) {
    return [&host, done](tl::expected<T, TableError> result) {
      if (host.Dead)
        return;
      if (host.Paused)
        host.DelayedCalls.push_back([done, result] { done(result); });
      else
        done(std::move(result));
    };
  }

  TableHooks hooksOf(FleetHost &host) {
    auto inner = Table.hooks();
    TableHooks hooks;
    hooks.Get = [this, inner, &host](std::string key, auto done) {
      ++Gets;
      if (!Switches.ReadBack && key.starts_with("cell/"))
        return Time.after(
            Span(1), [done] { done(tl::unexpected(TableError::NotSent)); });
      inner.Get(key, wrapCallback<std::optional<TableRow>>(host, done));
    };
    hooks.Scan = [this, inner, &host](std::string prefix, auto done) {
      inner.Scan(prefix, wrapCallback<std::vector<TableRow>>(host, done));
    };
    hooks.Commit = [this, inner, &host](TableTransaction transaction,
                                        TableCallback<std::uint64_t> done) {
      auto &first = transaction.Writes.front();
      bool fence = first.Value &&
                   first.Value->find("\"over\":true") != std::string::npos;
      CellWrites += fence || first.Key.starts_with("cell/");
      if (fence && BeforeFence)
        std::exchange(BeforeFence, nullptr)();
      if (first.Key.starts_with("cell/") && LoseCellAnswers)
        done = [done](auto) { done(tl::unexpected(TableError::Ambiguous)); };
      if (fence && !Switches.FenceIsWritten)
        return Time.after(Span(1), [done] { done(true); });
      if (!Switches.CompareAndSet) {
        auto it = Table.Rows.find(first.Key);
        first.ExpectedVersion = it == Table.Rows.end() ? 0 : it->second.Version;
      }
      inner.Commit(transaction, wrapCallback<std::uint64_t>(host, done));
    };
    return hooks;
  }

  void onCommit(const TableTransaction &transaction) {
    for (const auto &write : transaction.Writes) {
      if (!write.Key.starts_with("cell/") || !write.Value)
        continue;
      auto row = lease_rows::parseCell(*write.Value);
      auto &last = LastWrittenEpochs[write.Key];
      bool claimed = !row->Value.Owner.empty();
      if (claimed ? row->Value.Fence <= last : row->Value.Fence < last)
        Violations.push_back("written epoch did not rise: " + write.Key);
      last = row->Value.Fence;
    }
  }

  std::mt19937_64 Random;
  Instant NextRound{};
  std::map<std::string, std::pair<Epoch, const FleetHost *>> LastHeldEpochs;
  std::map<std::string, Epoch> LastWrittenEpochs;
};

} // namespace hemlockglade::test
