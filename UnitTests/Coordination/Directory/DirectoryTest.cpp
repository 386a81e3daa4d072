#include "Hemlockglade/Coordination/Coordination.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace hemlockglade;

namespace {

/// Two regions of three failure domains with four nodes each.
std::vector<MemberRecord> members() {
  std::vector<MemberRecord> out;
  for (int it = 0; it < 24; ++it) {
    auto number = std::to_string(it);
    out.push_back({"entry-" + number, 1, "10.0.0.1:" + number, "", "hall-",
                   "region-" + std::to_string(it / 12)});
    out.back().FailureDomain += std::to_string(it / 4);
  }
  return out;
}

std::string domainOf(const std::vector<MemberRecord> &all,
                     const std::string &address) {
  for (const auto &it : all) {
    if (it.CallerAddress == address)
      return it.FailureDomain;
  }
  return {};
}

} // namespace

TEST_CASE("the owner comes first and near nodes follow", "[directory]") {
  auto all = members();
  std::map<std::string, int> secondAddresses;
  for (int it = 0; it < 300; ++it) {
    auto caller = "caller-" + std::to_string(it);
    auto answer =
        chooseAddresses({}, {caller, "hall-1", "region-0", "entry-0"}, all);
    REQUIRE(answer.Addresses.size() == 4);
    REQUIRE(answer.TimeToLive == DirectorySettings{}.TimeToLive);
    REQUIRE(answer.Addresses[0] == "10.0.0.1:0");
    for (int index = 1; index < 4; ++index)
      REQUIRE(domainOf(all, answer.Addresses[index]) == "hall-1");
    ++secondAddresses[answer.Addresses[1]];
    // The same caller gets the same addresses again.
    auto again =
        chooseAddresses({}, {caller, "hall-1", "region-0", "entry-0"}, all);
    REQUIRE(again.Addresses == answer.Addresses);
  }
  // The second addresses are spread over the callers.
  REQUIRE(secondAddresses.size() == 4);
  for (const auto &[address, n] : secondAddresses)
    REQUIRE(n < 300 / 2);
}

TEST_CASE("leaving and dead nodes are omitted and suspected ones come last",
          "[directory]") {
  for (auto state : {MemberState::Alive, MemberState::Suspect,
                     MemberState::Dead, MemberState::Left}) {
    for (bool leaving : {false, true}) {
      auto all = members();
      all[0].State = state;
      all[0].Leaving = leaving;
      DirectorySettings settings;
      settings.MaxAddresses = 100;
      auto answer = chooseAddresses(settings, {"c", "", "", "entry-0"}, all);
      auto it = std::find(answer.Addresses.begin(), answer.Addresses.end(),
                          "10.0.0.1:0");
      bool lives = state == MemberState::Alive || state == MemberState::Suspect;
      REQUIRE((it != answer.Addresses.end()) == (lives && !leaving));
      if (it == answer.Addresses.end())
        continue;
      REQUIRE((it == answer.Addresses.begin()) ==
              (state == MemberState::Alive));
      REQUIRE((it + 1 == answer.Addresses.end()) ==
              (state == MemberState::Suspect));
    }
  }
}

TEST_CASE("an answer has addresses of at least two failure domains",
          "[directory]") {
  auto all = members();
  for (int it = 0; it < 50; ++it) {
    auto caller = std::to_string(it);
    // The caller's location is unknown, so the owner's is used.
    auto answer = chooseAddresses({}, {caller, "", "", "entry-5"}, all);
    REQUIRE(answer.Addresses[0] == "10.0.0.1:5");
    REQUIRE(domainOf(all, answer.Addresses[1]) == "hall-1");
    auto last = domainOf(all, answer.Addresses[3]);
    REQUIRE((last == "hall-0" || last == "hall-2"));
  }
  REQUIRE(chooseAddresses({}, {"c", "", "", "gone"}, {}).Addresses.empty());
  REQUIRE(
      chooseAddresses({}, {"c", "hall-0", "", "gone"}, all).Addresses.size() ==
      4);
}
