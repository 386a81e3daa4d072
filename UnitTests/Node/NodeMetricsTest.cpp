#include "Programs/hemlockgladed/NodeMetrics.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

TEST_CASE("what callers hold, and what was ended for it, is counted",
          "[metrics]") {
  MetricRegistry registry;
  NodeMetrics metrics(registry);
  metrics.onLoad({1000, 2000, 3, 4, 5, 6});
  metrics.onLoad({10, 20, 7, 4, 5, 6});
  auto text = registry.expose();
  for (const auto *line :
       {"hemlockglade_request_bytes_held 10\n",
        "hemlockglade_unread_bytes_held 20\n",
        "hemlockglade_ended_for_memory_total{kind=\"request\"} 7\n",
        "hemlockglade_ended_for_memory_total{kind=\"unread\"} 4\n",
        "hemlockglade_closed_for_room_total{listener=\"callers\",was=\"idle\"} "
        "5\n",
        "hemlockglade_closed_for_room_total{listener=\"callers\",was="
        "\"incomplete\"} 6\n"}) {
    INFO(line << " in " << text);
    CHECK(text.find(line) != std::string::npos);
  }
}

} // namespace hemlockglade::test
