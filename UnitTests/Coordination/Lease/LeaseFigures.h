#pragma once

#include "UnitTests/Coordination/Lease/LeaseFleet.h"

namespace hemlockglade::test {

/// Lease settings and size of a fleet that is measured.
struct FigureSetup {
  Span Duration = std::chrono::seconds(10);
  Span Margin = std::chrono::seconds(1);
  Span Renew = std::chrono::seconds(3);
  Span Scan = std::chrono::seconds(1);
  Span Round = std::chrono::milliseconds(250);
  /// Each node's new lease and ownership rows are sent to all others at once.
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

/// How a node of the fleet stops.
enum class Departure : std::uint8_t { Killed, Frozen, Released };

/// Measures the table operations of a fleet, and the time for which cells have
/// no owner after a node stops.
class FigureFleet {
public:
  FigureFleet(std::uint64_t seed, const FigureSetup &setup)
      : Setup(setup), Fleet(seed, settingsOf(setup)) {
    Fleet.Switches.Drift = 0;
    Fleet.RoundInterval = setup.Round;
    Fleet.ChecksEnabled = false;
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
        sendRows();
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

  /// Stops the node with the most cells. Returns the figures until all cells
  /// have an owner again, renewals and scans not counted.
  Figures measureFailover(Departure how) {
    FleetHost *departing = Fleet.Hosts.front().get();
    for (auto &host : Fleet.Hosts) {
      if (host->Owned.size() > departing->Owned.size())
        departing = host.get();
    }
    CellsLost = departing->Owned.size();
    Fleet.Gets = Fleet.CellWrites = 0;
    auto start = Fleet.Time.now();
    if (how == Departure::Killed)
      Fleet.kill(*departing);
    else if (how == Departure::Frozen)
      Fleet.pause(*departing);
    else
      departing->Manager->release([] {});
    while (hasUnownedCells(*departing) &&
           Fleet.Time.now() - start < std::chrono::minutes(2))
      run(std::chrono::milliseconds(50));
    auto seconds =
        std::chrono::duration<double>(Fleet.Time.now() - start).count();
    return {static_cast<double>(Fleet.Gets),
            static_cast<double>(Fleet.CellWrites), 0, seconds};
  }

  /// Number of cells that the stopped node owned.
  std::size_t CellsLost = 0;

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

  bool hasUnownedCells(const FleetHost &departing) {
    std::size_t owned = 0;
    for (auto &host : Fleet.Hosts) {
      if (host.get() != &departing && !host->Dead)
        owned += host->Owned.size();
    }
    return owned < Fleet.Cells.size();
  }

  void sendRows() {
    for (auto &from : Fleet.Hosts) {
      if (from->Dead || from->Paused)
        continue;
      auto self = from->Manager->self();
      if (self && std::exchange(SentNodeVersions[from.get()], self->Version) !=
                      self->Version)
        forEachRunning([&](LeaseManager &to) { to.onNodeRow(*self); });
      if (self && self->Record.Leaving) {
        for (const auto &cell : Fleet.Cells)
          sendCellRow(*from, cell);
      }
      for (const auto &[cell, epoch] : from->Owned)
        sendCellRow(*from, cell);
    }
  }

  void sendCellRow(const FleetHost &from, const std::string &cell) {
    auto row = from.Manager->cell(cell);
    if (!row || row->Version <= SentCellVersions[cell])
      return;
    SentCellVersions[cell] = row->Version;
    forEachRunning([&](LeaseManager &to) { to.onCellRow(cell, *row); });
  }

  template <typename Call> void forEachRunning(Call call) {
    for (auto &to : Fleet.Hosts) {
      if (!to->Dead && !to->Paused)
        call(*to->Manager);
    }
  }

  FigureSetup Setup;
  LeaseFleet Fleet;
  std::map<const FleetHost *, std::uint64_t> SentNodeVersions;
  std::map<std::string, std::uint64_t> SentCellVersions;
};

} // namespace hemlockglade::test
