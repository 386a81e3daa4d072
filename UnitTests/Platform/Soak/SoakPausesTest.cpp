#include "UnitTests/Platform/Soak/SoakPauses.h"

#include "UnitTests/Platform/Soak/SentHistory.h"

#include <catch2/catch.hpp>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A replica that asks gateway g1 for a pause of 3 s at second 10.
struct PauseHistory : SentHistory {
  PauseHistory() {
    send("g1", seconds(10));
    auto &asked = add("i-1", "asked_pause", seconds(10));
    asked.Tag = "t1";
    asked.Running = 3000;
  }

  void sendThree(const std::string &gateway, Instant from) {
    for (int it = 0; it < 3; ++it)
      send(gateway, from + it * milliseconds(100));
  }
};

} // namespace

TEST_CASE("more than two requests within a pause are found", "[pauses]") {
  PauseHistory it;
  it.send("g1", milliseconds(10'600));
  it.send("g1", milliseconds(12'900));
  CHECK(checkPauses(it.Events).Broken.empty());
  CHECK(checkPauses(it.Events).Arrived == 2);
  it.send("g1", milliseconds(12'999));
  CHECK(checkPauses(it.Events).Broken.size() == 1);
}

TEST_CASE("requests that were on their way, that come later or from other "
          "gateways don't count",
          "[pauses]") {
  PauseHistory it;
  it.sendThree("g1", milliseconds(10'100));
  it.sendThree("g2", milliseconds(11'000));
  it.sendThree("g1", milliseconds(13'000));
  CHECK(checkPauses(it.Events).Arrived == 0);
  CHECK(checkPauses(it.Events).Asked == 1);
}

TEST_CASE("a gateway that was killed within the pause is excused", "[pauses]") {
  PauseHistory it;
  it.add("soak", "killed", milliseconds(10'300)).To = "g1";
  it.sendThree("g1", milliseconds(11'000));
  CHECK(checkPauses(it.Events).Broken.empty());
}

TEST_CASE("a request counts in each pause that is in force", "[pauses]") {
  PauseHistory it;
  it.send("g1", milliseconds(10'400));
  auto &asked = it.add("i-1", "asked_pause", milliseconds(10'400));
  asked.Tag = "t2";
  asked.Running = 1000;
  it.sendThree("g1", milliseconds(11'000));
  CHECK(checkPauses(it.Events).Asked == 2);
  CHECK(checkPauses(it.Events).Broken.size() == 2);
}

} // namespace hemlockglade::soak
