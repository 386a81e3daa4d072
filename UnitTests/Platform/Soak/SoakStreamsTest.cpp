#include "UnitTests/Platform/Soak/SoakStreams.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;
using namespace hemlockglade::soak;
using std::chrono::milliseconds;

namespace {

constexpr Span Contact = milliseconds(3000);

/// A history of requests for streams at gateway `n1`.
struct StreamHistory {
  void request(const std::string &part, bool broughtEvents) {
    auto name = std::to_string(Events.size());
    auto &sent = add("sent", name);
    sent.To = "n1";
    auto &answered = add("answered", name);
    answered.StreamPart = part;
    answered.BroughtEvents = broughtEvents;
  }
  HistoryEvent &add(std::string event, const std::string &tag) {
    HistoryEvent it;
    it.At = Now;
    it.Event = std::move(event);
    it.Tag = it.Sending = tag;
    Events.push_back(std::move(it));
    return Events.back();
  }

  Instant Now = std::chrono::seconds(100);
  std::vector<HistoryEvent> Events;
};

} // namespace

TEST_CASE("streams with events of two software versions are found",
          "[streams]") {
  StreamHistory it;
  it.add("streamed", "a").Change = "v1";
  it.add("streamed", "b").Change = "v1 v1.1";
  auto findings = checkStreams(it.Events, Contact);
  CHECK(findings.Streams == 2);
  CHECK(findings.Mixed.size() == 1);
}

TEST_CASE("streams that go on too rarely are found", "[streams]") {
  StreamHistory it;
  for (int n = 0; n < 20; ++n)
    it.request("begins", n < 16);
  for (int n = 0; n < 20; ++n)
    it.request("goes-on", n < 8);
  CHECK(checkStreams(it.Events, Contact).goOn());
  it.request("goes-on", false);
  CHECK_FALSE(checkStreams(it.Events, Contact).goOn());
}
