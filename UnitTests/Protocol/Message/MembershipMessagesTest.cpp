#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

std::string arbitraryText() { return *rc::gen::string<std::string>(); }

MemberMessage arbitraryMessage() {
  MemberMessage out;
  out.Kind = static_cast<MemberMessageKind>(*rc::gen::inRange(0, 5));
  out.From = arbitraryText();
  out.FromIncarnation = *rc::gen::arbitrary<std::uint64_t>();
  out.SeenState = static_cast<MemberState>(*rc::gen::inRange(0, 4));
  out.InForce = *rc::gen::arbitrary<std::uint64_t>();
  out.Hashes = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
  out.More = *rc::gen::arbitrary<bool>();
  for (int it = *rc::gen::inRange(0, 5); it > 0; --it) {
    out.Members.push_back(
        {arbitraryText(), *rc::gen::arbitrary<std::uint64_t>(), arbitraryText(),
         arbitraryText(), arbitraryText(), arbitraryText(),
         *rc::gen::arbitrary<bool>(), MemberState::Suspect});
    out.Cells.push_back(
        {arbitraryText(), arbitraryText(), *rc::gen::arbitrary<Epoch>()});
  }
  return out;
}

} // namespace

TEST_CASE("a membership message survives a round trip", "[message]") {
  REQUIRE(rc::check("and its size is at most wireSize", [] {
    auto message = arbitraryMessage();
    auto bytes = pack(message);
    RC_ASSERT(bytes.size() <= wireSize(message));
    auto read = unpack<MemberMessage>(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->Kind == message.Kind);
    RC_ASSERT(read->From == message.From);
    RC_ASSERT(read->SeenState == message.SeenState);
    RC_ASSERT(read->InForce == message.InForce);
    RC_ASSERT(read->Members == message.Members);
    RC_ASSERT(read->Cells == message.Cells);
    RC_ASSERT(read->Hashes == message.Hashes);
    RC_ASSERT(read->More == message.More);
    for (std::size_t it = 0; it < bytes.size(); ++it)
      RC_ASSERT_FALSE(unpack<MemberMessage>(bytes.substr(0, it)).has_value());
  }));
}

TEST_CASE("a configuration answer survives a round trip", "[message]") {
  ConfigAnswer answer{7, true, {"a", std::string(70000, 'x')}, "piece"};
  auto read = unpack<ConfigAnswer>(pack(answer));
  REQUIRE(read);
  REQUIRE(read->Number == 7);
  REQUIRE(read->TooOld);
  REQUIRE(read->Deltas == answer.Deltas);
  REQUIRE(read->Piece == "piece");
  REQUIRE(unpack<ConfigFetch>(pack(ConfigFetch{3, -1}))->Piece == -1);
}
