#include "UnitTests/Platform/Soak/SoakBrittle.h"

#include <catch2/catch.hpp>

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Three replicas of one service that state a limit from second 10 on.
struct BrittleHistory {
  BrittleHistory() {
    auto &it = add("soak", "brittle", seconds(10));
    it.Running = 3;
    it.Change = "1";
  }

  HistoryEvent &add(std::string who, std::string event, Instant at) {
    auto &out = Events.emplace_back();
    out.Who = std::move(who);
    out.Event = std::move(event);
    out.At = at;
    out.Service = "book";
    return out;
  }

  /// A replica rejects two requests that came over a gateway, and fails.
  void fall(const std::string &gateway, Instant at) {
    for (int it = 0; it < 2; ++it) {
      auto tag = "t" + std::to_string(++Sent);
      auto &sent = add("callers", "sent", at);
      sent.Tag = tag;
      sent.To = gateway;
      add("i-1", "no_room", at).Tag = tag;
    }
    add("i-1", "fell", at);
  }

  std::vector<HistoryEvent> Events;
  int Sent = 0;
};

} // namespace

TEST_CASE("more failures than allowed in one time are found") {
  BrittleHistory it;
  for (int n = 0; n < 2; ++n)
    it.fall("n1", seconds(14 + n));
  CHECK(checkBrittle(it.Events, seconds(3)).Exceeded.empty());
  it.fall("n1", seconds(16));
  auto findings = checkBrittle(it.Events, seconds(3));
  CHECK(findings.Exceeded.size() == 1);
  CHECK(findings.Fallen == 3);
  CHECK(findings.Rejected == 6);
}

TEST_CASE("failures are counted for each time by itself") {
  BrittleHistory it;
  for (int n = 0; n < 2; ++n)
    it.fall("n1", seconds(14 + n));
  it.add("soak", "sound", seconds(18));
  it.add("soak", "brittle", seconds(20)).Running = 3;
  for (int n = 0; n < 2; ++n)
    it.fall("n1", seconds(24 + n));
  auto findings = checkBrittle(it.Events, seconds(3));
  CHECK(findings.Exceeded.empty());
  CHECK(findings.Checked == 2);
}

TEST_CASE("failures by requests of disturbed gateways don't count") {
  BrittleHistory it;
  it.add("soak", "killed", seconds(13)).To = "n1";
  for (int n = 0; n < 4; ++n)
    it.fall("n1", seconds(13) + n * milliseconds(600));
  CHECK(checkBrittle(it.Events, seconds(3)).Exceeded.empty());
}

} // namespace hemlockglade::soak
