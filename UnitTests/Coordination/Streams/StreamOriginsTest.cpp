#include "Hemlockglade/Coordination/Streams/SoftwareHistory.h"
#include "Hemlockglade/Coordination/Streams/StreamHolders.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

namespace hemlockglade::test {

namespace {

using std::chrono::seconds;

constexpr Instant Start = seconds(1000);
const StreamOrigin Older{"s", "v1"};
const StreamOrigin Newer{"s", "v1.1"};

/// Nodes `a0`, `b0`, `c0`, `a1` and so on, in three failure domains.
std::vector<DomainEntries> nodes(std::size_t count,
                                 const std::set<std::string> &lost = {}) {
  std::vector<DomainEntries> out{{"a", {}}, {"b", {}}, {"c", {}}};
  for (std::size_t it = 0; it < count; ++it) {
    auto &domain = out[it % out.size()];
    auto name = domain.FailureDomain + std::to_string(it / out.size());
    if (!lost.contains(name))
      domain.Entries.push_back({name, "", {}, "", {}});
  }
  return out;
}

} // namespace

TEST_CASE("a stream has the origin of the last attempt before its first event",
          "[streams]") {
  StreamOrigins origins({});
  origins.add(1, Older, 1, Start);
  origins.add(1, Newer, 2, Start + seconds(1));
  REQUIRE(origins.find(1, Start + seconds(2)));
  CHECK(*origins.find(1, Start + seconds(2)) == Newer);
  // The message about the first attempt arrives late.
  origins.add(1, Older, 1, Start + seconds(3));
  CHECK(*origins.find(1, Start + seconds(4)) == Newer);
  CHECK_FALSE(origins.find(2, Start));
}

TEST_CASE("an origin that was withdrawn is not known again from what was said "
          "before",
          "[streams]") {
  StreamOrigins origins({});
  origins.add(1, Older, 1, Start);
  origins.withdraw(1, 2, Start);
  CHECK_FALSE(origins.find(1, Start));
  origins.add(1, Older, 1, Start);
  origins.add(1, Older, 0, Start);
  CHECK_FALSE(origins.find(1, Start));
  // The withdrawal may arrive first, or late.
  origins.withdraw(2, 2, Start);
  origins.add(2, Older, 1, Start);
  CHECK_FALSE(origins.find(2, Start));
  origins.add(1, Newer, 3, Start);
  origins.withdraw(1, 2, Start);
  REQUIRE(origins.find(1, Start));
  CHECK(*origins.find(1, Start) == Newer);
}

TEST_CASE("origins expire unless they are confirmed, and their number is "
          "limited",
          "[streams]") {
  StreamOrigins::Settings settings;
  settings.Lifetime = seconds(10);
  settings.MaxStreams = 100;
  StreamOrigins origins(settings);
  origins.add(1, Older, 1, Start);
  origins.add(2, Older, 1, Start);
  origins.add(1, Older, 1, Start + seconds(8));
  CHECK(origins.find(1, Start + seconds(12)));
  CHECK_FALSE(origins.find(2, Start + seconds(12)));
  for (StreamKey key = 10; key < 1000; ++key)
    origins.add(key, Older, 1, Start + seconds(13));
  CHECK(origins.size() <= 100);
  CHECK(origins.find(999, Start + seconds(13)));
}

TEST_CASE("streams are told to nodes of two failure domains", "[streams]") {
  auto all = nodes(9);
  for (StreamKey key = 0; key < 200; ++key) {
    auto told = holdersToTell(rankHolders(key, all), "a0", 2);
    REQUIRE(told.size() == 2);
    CHECK(told[0].FailureDomain != told[1].FailureDomain);
    CHECK(told[0].Node->Node != "a0");
    CHECK(told[1].Node->Node != "a0");
  }
  auto two = nodes(2);
  CHECK(holdersToTell(rankHolders(1, two), "a0", 2).size() == 1);
  CHECK(holdersToTell(rankHolders(1, {}), "a0", 2).empty());
}

TEST_CASE("most holders of a stream are asked first after nodes are lost",
          "[streams]") {
  REQUIRE(rc::check([](StreamKey key, std::uint32_t draw) {
    auto all = nodes(60);
    std::set<std::string> lost;
    for (std::uint32_t it = 0; it < 20; ++it)
      lost.insert(all[(draw >> it) % 3].Entries[(draw + it) % 20].Node);
    auto left = nodes(60, lost);
    auto asked = rankHolders(key, left);
    asked.resize(8);
    for (const auto &it : holdersToTell(rankHolders(key, all), "a0", 2)) {
      if (lost.contains(it.Node->Node))
        continue;
      RC_ASSERT(std::any_of(asked.begin(), asked.end(), [&it](const auto &at) {
        return at.Node->Node == it.Node->Node;
      }));
    }
  }));
}

TEST_CASE("the only software version is known once the whole time is",
          "[streams]") {
  SoftwareHistory history({}, Start);
  history.onSeen("s", "v1", Start);
  history.onSeen("s", "v1", Start + seconds(40));
  CHECK_FALSE(history.onlyVersion("s", Start - seconds(1)));
  CHECK(history.onlyVersion("s", Start + seconds(10)) == "v1");
  CHECK_FALSE(history.onlyVersion("other", Start + seconds(10)));
  history.onSeen("s", "v1.1", Start + seconds(50));
  CHECK_FALSE(history.onlyVersion("s", Start + seconds(10)));
  // The older one is gone.
  history.onSeen("s", "v1.1", Start + seconds(80));
  CHECK_FALSE(history.onlyVersion("s", Start + seconds(35)));
  CHECK(history.onlyVersion("s", Start + seconds(41)) == "v1.1");
}

namespace {

/// The notes of a process that knows of `v1` all the while, as of a position.
std::string notesAt(std::uint64_t position) {
  SoftwareHistory history({}, Start);
  history.onSeen("s", "v1", Start + seconds(100));
  history.onList(position);
  return history.notes(Start + seconds(100));
}

} // namespace

// A node that was out of step has seen one version only, and said so with
// certainty; streams of another one went on there.
TEST_CASE("nothing is known of the time in which replicas may have come and "
          "gone unseen",
          "[streams]") {
  SoftwareHistory history({}, Start);
  history.onList(7);
  history.onSeen("s", "v1", Start + seconds(100));
  REQUIRE(history.onlyVersion("s", Start + seconds(70)) == "v1");
  history.onGap(Start + seconds(100));
  history.onList(9);
  CHECK_FALSE(history.onlyVersion("s", Start + seconds(99)));
  CHECK(history.onlyVersion("s", Start + seconds(100)) == "v1");
  SECTION("also by notes from before") {
    history.onNotes(notesAt(8), Start + seconds(100));
    auto claim = history.takeClaim();
    REQUIRE(claim);
    CHECK(claim->Position == 8);
    CHECK_FALSE(history.onlyVersion("s", Start + seconds(70)));
    history.settleClaim(*claim, false);
    CHECK_FALSE(history.onlyVersion("s", Start + seconds(70)));
    history.onNotes(notesAt(8), Start + seconds(100));
    CHECK_FALSE(history.takeClaim());
  }
  SECTION("unless another process has known of it") {
    history.onNotes(notesAt(9), Start + seconds(100));
    CHECK_FALSE(history.takeClaim());
    CHECK(history.onlyVersion("s", Start + seconds(70)) == "v1");
  }
  SECTION("or none was removed since what notes know") {
    history.onNotes(notesAt(8), Start + seconds(100));
    history.settleClaim(history.takeClaim().value(), true);
    CHECK(history.onlyVersion("s", Start + seconds(70)) == "v1");
  }
}

TEST_CASE("the position at which the last replica joined never falls",
          "[streams]") {
  SoftwareHistory history({}, Start);
  history.onJoined(7);
  history.onList(9);
  history.onJoined(5);
  CHECK(history.joinedPosition() == 7);
  CHECK(history.position() == 9);
}

TEST_CASE("notes count once this process has a list of its own", "[streams]") {
  SoftwareHistory history({}, Start + seconds(100));
  history.onNotes(notesAt(8), Start + seconds(100));
  history.onSeen("s", "v1", Start + seconds(100));
  CHECK_FALSE(history.takeClaim());
  CHECK_FALSE(history.onlyVersion("s", Start + seconds(70)));
  history.onList(8);
  CHECK_FALSE(history.takeClaim());
  CHECK(history.onlyVersion("s", Start + seconds(70)) == "v1");
}

TEST_CASE("a process that starts alone knows of software versions from the "
          "notes of an earlier one",
          "[streams]") {
  SoftwareHistory before({}, Start);
  before.onSeen("s", "v1", Start + seconds(70));
  before.onSeen("s", "v1.1", Start + seconds(100));
  before.onSeen("t", "v1", Start + seconds(100));
  before.onList(7);
  auto notes = "0123:crash;" + before.notes(Start + seconds(100)) + "junk";
  Instant now = seconds(5);
  SoftwareHistory after({}, now);
  after.onSeen("s", "v1.1", now);
  after.onSeen("t", "v1", now);
  after.onList(7);
  CHECK_FALSE(after.onlyVersion("t", now - seconds(20)));
  after.onNotes(notes, now);
  CHECK_FALSE(after.takeClaim());
  CHECK(after.onlyVersion("t", now - seconds(20)) == "v1");
  CHECK_FALSE(after.onlyVersion("s", now - seconds(31)));
  CHECK(after.onlyVersion("s", now - seconds(20)) == "v1.1");
}

TEST_CASE("damaged notes about software versions are skipped", "[streams]") {
  REQUIRE(rc::check([](const std::string &text) {
    SoftwareHistory history({}, Start);
    history.onNotes(text, Start);
    history.onNotes("software!" + text + ";software!1!2!" + text, Start);
  }));
}

} // namespace hemlockglade::test
