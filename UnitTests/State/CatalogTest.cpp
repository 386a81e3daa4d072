#include "Hemlockglade/State/State.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

TEST_CASE("a key belongs to the cell with the highest weight", "[catalog]") {
  for (std::uint32_t cells : {0, 1, 2, 9, 10, 11, 143, 1001}) {
    ServiceConfig service;
    service.Name = "assistant";
    service.Cells = cells;
    for (int it = 0; it < 50; ++it) {
      auto key = "adapter-" + std::to_string(it) + "@1";
      auto cell = cellOf(service, key);
      CHECK(cell.empty() == (cells == 0));
      for (std::uint32_t other = 0; other < cells; ++other)
        CHECK(rendezvousWeight(cell, key) >=
              rendezvousWeight(cellName(service.Name, other), key));
    }
  }
}
