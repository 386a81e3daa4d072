#pragma once

#include "UnitTests/Coordination/Orders/CellLeaseWorld.h"

namespace hemlockglade::test {

/// Keeps copies of the table's rows, to which it can be rolled back.
struct RollbackWorld : LeaseWorld {
  template <typename... Args>
  explicit RollbackWorld(Args... args) : LeaseWorld(args...) {
    Table.Era = 1;
  }

  void runWithCopies(Span span) {
    for (Span elapsed{0}; elapsed < span; elapsed += LeaseStep) {
      Copies[Time.now()] = Table.Rows;
      run(LeaseStep);
    }
  }

  /// Makes the table unavailable for `downtime`, and then available with the
  /// rows of `age` before.
  void rollBack(Span age, Span downtime) {
    auto copy = Copies.upper_bound(Time.now() - age);
    auto rows = copy == Copies.begin() ? std::map<std::string, TableRow>{}
                                       : std::prev(copy)->second;
    Table.Down = true;
    runWithCopies(downtime);
    Table.Down = false;
    ++Table.Era;
    Table.Rows = std::move(rows);
    Copies.clear();
  }

  std::map<Instant, std::map<std::string, TableRow>> Copies;
};

} // namespace hemlockglade::test
