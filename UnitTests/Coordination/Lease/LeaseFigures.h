#pragma once

#include "UnitTests/Coordination/Lease/LeaseFleet.h"

namespace hemlockglade::test {

/// Times of a fleet whose figures are taken.
struct FigureSetup {
  Span Duration = std::chrono::seconds(10);
  Span Margin = std::chrono::seconds(1);
  Span Renew = std::chrono::seconds(3);
  Span Scan = std::chrono::seconds(1);
  Span Round = std::chrono::milliseconds(250);
  /// Each node's renewal is told to all others at once.
  bool Gossip = false;
  int Nodes = 7;
  int Cells = 7;
};

/// Table operations, and virtual seconds.
struct Figures {
  double Reads = 0;
  double Writes = 0;
  double RowsRead = 0;
  double Seconds = 0;
};

/// How a node of the fleet goes.
enum class Going : std::uint8_t { Killed, Frozen, Released };

/// A fleet whose table operations and times without an owner are measured.
class FigureFleet {
public:
  FigureFleet(std::uint64_t seed, const FigureSetup &setup)
      : Setup(setup), Fleet(seed, settingsOf(setup)) {
    Fleet.Switches.Drift = 0;
    Fleet.RoundInterval = setup.Round;
    Fleet.Checks = false;
    Fleet.Cells.clear();
    for (int it = 0; it < setup.Cells; ++it)
      Fleet.Cells.push_back("assistant/" + std::to_string(it));
    for (int it = 0; it < setup.Nodes; ++it)
      Fleet.start("entry-" + std::to_string(it));
    run(std::chrono::seconds(8));
    std::uniform_int_distribution<int> any(0, 3000);
    std::mt19937_64 random(seed);
    run(std::chrono::milliseconds(any(random)));
  }

  void run(Span span) {
    constexpr Span step = std::chrono::milliseconds(50);
    for (Span it{}; it < span; it += step) {
      Fleet.run(step);
      if (Setup.Gossip)
        tell();
    }
  }

  Figures measure(Span span) {
    auto before = total();
    run(span);
    auto after = total();
    return {after.Reads - before.Reads, after.Writes - before.Writes,
            after.RowsRead - before.RowsRead,
            std::chrono::duration<double>(span).count()};
  }

  /// Lets the node with the most cells go; the figures until all its cells
  /// have an owner again that may act, without renewals and scans.
  Figures lose(Going how) {
    LeaseHost *gone = Fleet.Hosts.front().get();
    for (auto &host : Fleet.Hosts) {
      if (host->Owned.size() > gone->Owned.size())
        gone = host.get();
    }
    Lost = gone->Owned.size();
    Fleet.Gets = Fleet.CellWrites = 0;
    auto start = Fleet.Time.now();
    if (how == Going::Killed)
      Fleet.kill(*gone);
    else if (how == Going::Frozen)
      Fleet.pause(*gone);
    else
      gone->Keeper->release([] {});
    while (unowned(*gone) && Fleet.Time.now() - start < std::chrono::minutes(2))
      run(std::chrono::milliseconds(50));
    auto seconds =
        std::chrono::duration<double>(Fleet.Time.now() - start).count();
    return {static_cast<double>(Fleet.Gets),
            static_cast<double>(Fleet.CellWrites), 0, seconds};
  }

  /// How many cells the node had that was let go.
  std::size_t Lost = 0;

private:
  static LeaseSettings settingsOf(const FigureSetup &setup) {
    LeaseSettings out;
    out.Duration = setup.Duration;
    out.Margin = setup.Margin;
    out.RenewInterval = setup.Renew;
    out.ScanInterval = setup.Scan;
    return out;
  }

  Figures total() const {
    return {static_cast<double>(Fleet.Table.Reads),
            static_cast<double>(Fleet.Table.Writes),
            static_cast<double>(Fleet.Table.RowsRead)};
  }

  bool unowned(const LeaseHost &gone) {
    std::size_t owned = 0;
    for (auto &host : Fleet.Hosts) {
      if (host.get() != &gone && !host->Dead)
        owned += host->Owned.size();
    }
    return owned < Fleet.Cells.size();
  }

  void tell() {
    for (auto &from : Fleet.Hosts) {
      if (from->Dead || from->Paused)
        continue;
      auto self = from->Keeper->self();
      if (self &&
          std::exchange(Told[from.get()], self->Version) != self->Version)
        tellAll([&](LeaseManager &to) { to.onNodeRow(*self); });
      if (self && self->Record.Leaving) {
        for (const auto &cell : Fleet.Cells)
          tellCell(*from, cell);
      }
      for (const auto &[cell, epoch] : from->Owned)
        tellCell(*from, cell);
    }
  }

  void tellCell(const LeaseHost &from, const std::string &cell) {
    auto sight = from.Keeper->cell(cell);
    if (!sight || sight->Version <= ToldCells[cell])
      return;
    ToldCells[cell] = sight->Version;
    tellAll([&](LeaseManager &to) { to.onCellRow(cell, *sight); });
  }

  template <typename Call> void tellAll(Call call) {
    for (auto &to : Fleet.Hosts) {
      if (!to->Dead && !to->Paused)
        call(*to->Keeper);
    }
  }

  FigureSetup Setup;
  LeaseFleet Fleet;
  std::map<const LeaseHost *, std::uint64_t> Told;
  std::map<std::string, std::uint64_t> ToldCells;
};

} // namespace hemlockglade::test
