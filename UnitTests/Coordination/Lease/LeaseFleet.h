#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

namespace hemlockglade::test {

/// Mechanisms that a test may switch off, all of them outside the product.
struct FleetSwitches {
  /// Clocks run on while their host is paused.
  bool ClockRunsInPause = true;
  /// A restarted host gets a new incarnation.
  bool NewIncarnation = true;
  /// The table compares versions.
  bool CompareAndSet = true;
  /// The table answers reads of single rows.
  bool ReadBack = true;
  /// A taker's mark on the row of a silent owner is really written.
  bool FenceIsWritten = true;
  /// Largest drift of a clock, as a part of Margin / Duration.
  double Drift = 0.95;
};

/// A lease keeper with a drifting clock that can be paused and killed.
struct LeaseHost {
  std::shared_ptr<LeaseManager> Keeper;
  double Rate = 1;
  Span Offset{};
  bool Paused = false;
  bool Dead = false;
  Instant PausedAt{};
  Span LostToPauses{};
  std::vector<std::function<void()>> Waiting;
  std::map<std::string, Epoch> Owned;
  std::map<std::string, Epoch> LastOwned;
};

/// A few hosts on one fake table in virtual time, and what must hold of them.
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
  /// Commits of ownership rows take effect and nobody is told.
  bool LoseCellAnswers = false;
  /// Called once, before the first mark on a silent owner's row is sent.
  std::function<void()> BeforeFence;
  /// Whether the promises are checked all the time.
  bool Checks = true;
  /// Reads of single rows, and writes that are no renewals, as sent.
  std::uint64_t Gets = 0;
  std::uint64_t CellWrites = 0;
  /// All hosts ever started; those at the end of `Current` run.
  std::vector<std::unique_ptr<LeaseHost>> Hosts;
  std::map<std::string, LeaseHost *> Current;
  /// Broken promises, in words.
  std::vector<std::string> Broken;

  LeaseHost &start(const std::string &name) {
    Hosts.push_back(std::make_unique<LeaseHost>());
    auto &host = *Hosts.back();
    double most = Switches.Drift * Settings.Margin.count() /
                  static_cast<double>(Settings.Duration.count());
    // Clocks at the ends of what is allowed find most.
    std::array rates{
        1 - most, 1 + most,
        std::uniform_real_distribution(1 - most, 1 + most)(Random)};
    host.Rate = rates[Random() % rates.size()];
    host.Offset = std::chrono::seconds(Hosts.size() * 1000);
    LeaseHooks hooks;
    hooks.Now = [this, &host] { return clock(host); };
    hooks.OnOwned = [this, &host](const std::string &cell, Epoch fence) {
      if (host.Dead)
        return;
      auto &last = host.LastOwned[cell];
      if (fence <= last)
        Broken.push_back("epoch did not rise: " + cell);
      last = fence;
      host.Owned[cell] = fence;
    };
    hooks.OnLost = [&host](const std::string &cell) { host.Owned.erase(cell); };
    auto incarnation =
        Switches.NewIncarnation ? std::to_string(Hosts.size()) : "same";
    NodeRecord self{name, "i" + incarnation, "c-" + name, "p-" + name, "d"};
    host.Keeper =
        std::make_shared<LeaseManager>(Settings, self, hooksOf(host), hooks);
    Current[name] = &host;
    return host;
  }

  void pause(LeaseHost &host) {
    if (std::exchange(host.Paused, true))
      return;
    host.PausedAt = Time.now();
  }

  void wake(LeaseHost &host) {
    if (!std::exchange(host.Paused, false))
      return;
    host.LostToPauses += Time.now() - host.PausedAt;
    // A thawed process believes what it believed when it stopped.
    check();
    auto waiting = std::move(host.Waiting);
    host.Waiting.clear();
    for (auto &call : waiting)
      call();
  }

  void kill(LeaseHost &host) {
    host.Dead = true;
    host.Waiting.clear();
  }

  /// Runs rounds, and checks the promises every 50 ms.
  void run(Span span) {
    constexpr Span step = std::chrono::milliseconds(50);
    for (Span it{}; it < span; it += step) {
      if (Time.now() >= NextRound) {
        NextRound = Time.now() + RoundInterval;
        for (auto &host : Hosts) {
          if (!host->Dead && !host->Paused)
            host->Keeper->round(Cells);
        }
      }
      Time.advance(step);
      check();
    }
  }

  /// The host that holds the cell; null if there is none.
  LeaseHost *holder(const std::string &cell) {
    for (auto &host : Hosts) {
      if (!host->Dead && host->Keeper->holds(cell))
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

  void check() {
    if (!Checks)
      return;
    for (const auto &cell : Cells) {
      int holders = 0;
      for (auto &host : Hosts) {
        if (host->Dead || !host->Keeper->holds(cell))
          continue;
        ++holders;
        // No host ever holds at an epoch that another has held, or below.
        auto held = std::pair(host->Keeper->fenceOf(cell), host.get());
        auto &last = LastHeld[cell];
        if (held.first < last.first ||
            (held.first == last.first && held.second != last.second))
          Broken.push_back("held epoch did not rise: " + cell);
        last = held;
      }
      if (holders > 1)
        Broken.push_back("two holders: " + cell);
    }
  }

private:
  Instant clock(const LeaseHost &host) const {
    Span run = Time.now();
    if (!Switches.ClockRunsInPause) {
      run -= host.LostToPauses;
      if (host.Paused)
        run -= Time.now() - host.PausedAt;
    }
    return Span(static_cast<std::int64_t>(run.count() * host.Rate)) +
           host.Offset;
  }

  template <typename T>
  TableCallback<T> guard(LeaseHost &host, TableCallback<T> done) {
    return [&host, done](tl::expected<T, TableError> result) {
      if (host.Dead)
        return;
      if (host.Paused)
        host.Waiting.push_back([done, result] { done(result); });
      else
        done(std::move(result));
    };
  }

  TableHooks hooksOf(LeaseHost &host) {
    auto inner = Table.hooks();
    TableHooks hooks;
    hooks.Get = [this, inner, &host](std::string key, auto done) {
      ++Gets;
      if (!Switches.ReadBack && key.starts_with("cell/"))
        return Time.after(
            Span(1), [done] { done(tl::unexpected(TableError::NotSent)); });
      inner.Get(key, guard<std::optional<TableRow>>(host, done));
    };
    hooks.Scan = [this, inner, &host](std::string prefix, auto done) {
      inner.Scan(prefix, guard<std::vector<TableRow>>(host, done));
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
      inner.Commit(transaction, guard<std::uint64_t>(host, done));
    };
    return hooks;
  }

  void onCommit(const TableTransaction &transaction) {
    for (const auto &write : transaction.Writes) {
      if (!write.Key.starts_with("cell/") || !write.Value)
        continue;
      auto row = lease_rows::readCell(*write.Value);
      auto &last = LastWritten[write.Key];
      bool claimed = !row->Value.Owner.empty();
      if (claimed ? row->Value.Fence <= last : row->Value.Fence < last)
        Broken.push_back("written epoch did not rise: " + write.Key);
      last = row->Value.Fence;
    }
  }

  std::mt19937_64 Random;
  Instant NextRound{};
  std::map<std::string, std::pair<Epoch, const LeaseHost *>> LastHeld;
  std::map<std::string, Epoch> LastWritten;
};

} // namespace hemlockglade::test
