#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/Protocol/Protocol.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

/// All fields of a message, for comparing.
auto fields(const AdmitRequest &it) {
  return std::tie(it.Id, it.Attempt, it.Cell, it.Adapter, it.Class,
                  it.DeadlineUs, it.PrefixHash, it.PromptTokens, it.Caller);
}
auto fields(const AdmitReply &it) {
  return std::tie(it.Granted, it.Replica, it.Address, it.Fence, it.Reason,
                  it.RetryAfterUs, it.LoadStallUs);
}

AdmitRequest arbitraryRequest() {
  AdmitRequest out;
  out.Id = *rc::gen::arbitrary<std::string>();
  out.Attempt = *rc::gen::arbitrary<std::uint32_t>();
  out.Cell = *rc::gen::arbitrary<std::string>();
  out.Adapter = *rc::gen::arbitrary<std::string>();
  out.Class = *rc::gen::arbitrary<std::string>();
  out.DeadlineUs = *rc::gen::arbitrary<std::int64_t>();
  out.PrefixHash = *rc::gen::arbitrary<std::uint64_t>();
  out.PromptTokens = *rc::gen::arbitrary<std::uint32_t>();
  out.Caller = *rc::gen::arbitrary<std::string>();
  return out;
}

AdmitReply arbitraryReply() {
  AdmitReply out;
  out.Granted = *rc::gen::arbitrary<bool>();
  out.Replica = *rc::gen::arbitrary<std::string>();
  out.Address = *rc::gen::arbitrary<std::string>();
  out.Fence = *rc::gen::arbitrary<Epoch>();
  out.Reason = *rc::gen::arbitrary<std::string>();
  out.RetryAfterUs = *rc::gen::arbitrary<std::int64_t>();
  out.LoadStallUs = *rc::gen::arbitrary<std::int64_t>();
  return out;
}

} // namespace

TEST_CASE("peer messages survive a round trip", "[message]") {
  REQUIRE(rc::check([] {
    auto request = arbitraryRequest();
    auto readRequest = unpack<AdmitRequest>(pack(request));
    RC_ASSERT(readRequest.has_value());
    RC_ASSERT(fields(*readRequest) == fields(request));
    auto reply = arbitraryReply();
    auto readReply = unpack<AdmitReply>(pack(reply));
    RC_ASSERT(readReply.has_value());
    RC_ASSERT(fields(*readReply) == fields(reply));
    FinishNotice notice{*rc::gen::arbitrary<std::uint8_t>()};
    RC_ASSERT(unpack<FinishNotice>(pack(notice))->Result == notice.Result);
  }));
}

TEST_CASE(
    "a truncated peer message gives an error, a corrupted one a message or an "
    "error",
    "[message]") {
  REQUIRE(rc::check([] {
    auto data = pack(arbitraryRequest());
    auto cut = *rc::gen::inRange<std::size_t>(0, data.size());
    RC_ASSERT_FALSE(unpack<AdmitRequest>(data.substr(0, cut)).has_value());
    data[cut] = *rc::gen::arbitrary<char>();
    unpack<AdmitRequest>(data);
    unpack<AdmitReply>(data);
    unpack<AdmitRequest>(*rc::gen::arbitrary<std::string>());
  }));
}

TEST_CASE("a length beyond the end of a message is rejected", "[message]") {
  for (std::string head : {"\xdd", "\xdf", "\xdb", "\xc6", "\xc9"}) {
    auto claim = head + "\xff\xff\xff\xf0";
    REQUIRE_FALSE(unpack<AdmitRequest>(claim).has_value());
    REQUIRE_FALSE(unpack<AdmitRequest>("\x99" + claim).has_value());
  }
  auto trailing = pack(FinishNotice{1}) + "x";
  REQUIRE_FALSE(unpack<FinishNotice>(trailing).has_value());
}

// Nodes of two releases run at the same time during an update.
TEST_CASE("heartbeats of an earlier release, without speeds, decode",
          "[message]") {
  auto withoutLast = [](const auto &message) {
    auto text = pack(message);
    auto handle = msgpack::unpack(text.data(), text.size());
    auto object = handle.get();
    --object.via.array.size;
    return pack(object);
  };
  NodeHeartbeat node;
  node.Leaving = {"i-1"};
  node.Speeds = {{"i-1", 3, 1.5}};
  CHECK(unpack<NodeHeartbeat>(pack(node))->Speeds.front().Samples == 3);
  auto earlierNode = unpack<NodeHeartbeat>(withoutLast(node));
  REQUIRE(earlierNode);
  CHECK(earlierNode->Leaving == node.Leaving);
  CHECK(earlierNode->Speeds.empty());
  OwnerHeartbeat owner;
  owner.Fence = 7;
  owner.Speeds = {{"i-1", 1.5, 20}};
  CHECK(unpack<OwnerHeartbeat>(pack(owner))->Speeds.front().AgeUs == 20);
  auto earlierOwner = unpack<OwnerHeartbeat>(withoutLast(owner));
  REQUIRE(earlierOwner);
  CHECK(earlierOwner->Fence == 7);
  CHECK(earlierOwner->Speeds.empty());
}
