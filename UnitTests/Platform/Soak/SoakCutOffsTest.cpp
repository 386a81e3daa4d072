#include "UnitTests/Platform/Soak/SoakCutOffs.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::soak;
using std::chrono::milliseconds;

namespace {

constexpr Span Contact = milliseconds(3000);

/// A history in which gateway `n1` is cut off from 10 to 20 s.
struct CutOffHistory {
  CutOffHistory() {
    add(10'000, "cut_off", "n1");
    add(20'000, "reached_again", "n1");
  }

  HistoryEvent &add(int ms, std::string event, std::string to) {
    HistoryEvent it;
    it.At = Instant(milliseconds(ms));
    it.Event = std::move(event);
    it.To = std::move(to);
    return Events.emplace_back(std::move(it));
  }

  /// `n` requests are sent to a gateway, of which `served` are complete.
  void send(int ms, const std::string &to, int n, int served) {
    for (int it = 0; it < n; ++it) {
      auto name = std::to_string(Events.size());
      auto &sent = add(ms, "sent", to);
      sent.Sending = sent.Tag = name;
      auto &answered = add(ms + 1, "answered", to);
      answered.Sending = name;
      answered.Outcome = it < served ? "complete" : "not-run";
    }
  }

  CutOffFindings check() const { return checkCutOffs(Events, Contact); }

  std::vector<HistoryEvent> Events;
};

} // namespace

TEST_CASE(
    "a gateway that is cut off must serve two thirds as often as others") {
  CutOffHistory it;
  it.send(14'000, "n2", 100, 90);
  SECTION("59 of 100 are too few") {
    it.send(14'000, "n1", 100, 59);
    CHECK(it.check().Poor.size() == 1);
  }
  SECTION("60 of 100 are enough") {
    it.send(14'000, "n1", 100, 60);
    CHECK(it.check().Poor.empty());
  }
  SECTION("ten may be unserved") {
    it.send(14'000, "n1", 10, 0);
    CHECK(it.check().Poor.empty());
  }
}

TEST_CASE("requests within the contact time and after a cut don't count") {
  CutOffHistory it;
  it.send(14'000, "n2", 100, 90);
  it.send(12'900, "n1", 100, 0);
  it.send(20'100, "n1", 100, 0);
  CHECK(it.check().Poor.empty());
  CHECK(it.check().Checked == 0);
}
