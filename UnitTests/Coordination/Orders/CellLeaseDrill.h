#pragma once

#include "UnitTests/Coordination/Orders/CellLeaseWorld.h"

namespace hemlockglade::test {

/// Keeps copies of the table, to which it can be set back.
struct DrillWorld : LeaseWorld {
  template <typename... Args>
  explicit DrillWorld(Args... args) : LeaseWorld(args...) {
    Table.Era = 1;
  }

  void play(Span span) {
    for (Span gone{0}; gone < span; gone += LeaseStep) {
      Copies[Time.now()] = Table.Rows;
      run(LeaseStep);
    }
  }

  /// The table is away, and comes back as it was `age` before.
  void stepBack(Span age, Span away) {
    auto copy = Copies.upper_bound(Time.now() - age);
    auto rows = copy == Copies.begin() ? std::map<std::string, TableRow>{}
                                       : std::prev(copy)->second;
    Table.Down = true;
    play(away);
    Table.Down = false;
    ++Table.Era;
    Table.Rows = std::move(rows);
    Copies.clear();
  }

  std::map<Instant, std::map<std::string, TableRow>> Copies;
};

} // namespace hemlockglade::test
