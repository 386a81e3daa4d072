#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// An entry that asks an owner over a real connection.
struct Pair : CellsRig {
  CellNode Owner{*this, "owner"};
  std::unique_ptr<CellNode> Entry = std::make_unique<CellNode>(*this, "entry");
  std::shared_ptr<CellRunner> Runner;

  Pair() {
    Entry->Owner = Owner.Record;
    Runner = Owner.own(3);
    REQUIRE(Owner.until(
        [&] { return Owner.Cells.modeOf("assistant/0") == LeaseMode::Held; }));
  }
  /// Waits for the owner's answer while the owner does its work.
  AdmitReply ask(const AdmitRequest &request,
                 std::shared_ptr<AdmissionTicket> &ticket) {
    std::optional<AdmitReply> reply;
    ticket =
        Entry->Asker.ask(request, [&](const AdmitReply &it) { reply = it; });
    REQUIRE(Owner.until([&] { return reply.has_value(); }));
    return *reply;
  }
  bool freed() {
    return Owner.until([&] { return Runner->running() == 0; });
  }
};

} // namespace

TEST_CASE("the end of an admission's stream gives the slot back",
          "[admission]") {
  enum class How { Finish, Dropped, EntryGone };
  for (auto how : {How::Finish, How::Dropped, How::EntryGone}) {
    CAPTURE(static_cast<int>(how));
    Pair pair;
    std::shared_ptr<AdmissionTicket> ticket;
    auto reply = pair.ask(CellsRig::request("r1", "a@1"), ticket);
    REQUIRE(reply.Granted);
    CHECK(reply.Fence == 3);
    CHECK(reply.Address == pair.Engine.address());
    CHECK(pair.Runner->running() == 1);
    // Without an end of the stream the slot stays taken.
    pair.settle();
    CHECK(pair.Runner->running() == 1);
    if (how == How::Finish)
      ticket->finish(Outcome::Complete);
    else if (how == How::Dropped)
      ticket.reset();
    else
      pair.Entry->Net.close();
    CHECK(pair.freed());
  }
}

TEST_CASE("a request that waits is forgotten with its stream", "[admission]") {
  Pair pair;
  pair.Wanted.Replicas.clear();
  pair.addReplica("e1", pair.Engine).Batch = 1;
  pair.commit();
  pair.Owner.Cells.configure(*pair.InForce);
  std::shared_ptr<AdmissionTicket> first;
  REQUIRE(pair.ask(CellsRig::request("r1", "a@1"), first).Granted);
  bool answered = false;
  auto second =
      pair.Entry->Asker.ask(CellsRig::request("r2", "a@1"),
                            [&](const AdmitReply &) { answered = true; });
  REQUIRE(pair.Owner.until([&] { return pair.Runner->waiting() == 1; }));
  second->finish(Outcome::NotRun);
  CHECK(pair.Owner.until([&] { return pair.Runner->waiting() == 0; }));
  CHECK_FALSE(answered);
}

TEST_CASE("an owner that goes away or isn't one refuses", "[admission]") {
  Pair pair;
  std::shared_ptr<AdmissionTicket> ticket;
  auto other = CellsRig::request("r1", "a@1");
  other.Cell = "assistant/7";
  CHECK(pair.ask(other, ticket).Reason == "not-owner");
  pair.Entry->Owner.reset();
  auto none = pair.ask(other, ticket);
  CHECK(none.Reason == "no-owner");
  CHECK(none.RetryAfterUs > 0);
  // The cell is lost while the request waits for a load that never ends.
  pair.Entry->Owner = pair.Owner.Record;
  pair.Engine.OnRequest = [](auto &) { return Act{}; };
  for (bool lost : {true, false}) {
    std::optional<AdmitReply> reply;
    ticket = pair.Entry->Asker.ask(CellsRig::request("r2", "b@1"),
                                   [&](const AdmitReply &it) { reply = it; });
    REQUIRE(pair.Owner.until([&] { return pair.Runner->waiting() == 1; }));
    if (lost)
      pair.Owner.Cells.lose("assistant/0");
    else
      pair.Owner.Net.close();
    REQUIRE(pair.until([&] { return reply.has_value(); }));
    CHECK(reply->Reason == (lost ? "not-owner" : "owner-lost"));
    CHECK_FALSE(reply->Granted);
    if (lost) {
      pair.Runner = pair.Owner.own(4);
      pair.settle();
    }
  }
}

TEST_CASE("what isn't an admission message is refused and costs nothing",
          "[admission]") {
  Pair pair;
  auto whole = pack(CellsRig::request("r1", "a@1"));
  std::vector<std::string> bad{"", "x", whole.substr(0, whole.size() / 2),
                               whole + "x", pack(FinishNotice{1})};
  for (const auto &message : bad) {
    CAPTURE(message);
    std::vector<std::string> got;
    bool closed = false;
    PeerHooks hooks{[&](std::string_view it) { got.emplace_back(it); },
                    [&](bool) { closed = true; }};
    auto stream =
        pair.Entry->Net.open(pair.Owner.Record.PeerAddress,
                             std::string(peer_path::Admit), message, hooks);
    REQUIRE(pair.until([&] { return closed; }));
    if (!got.empty())
      CHECK(unpack<AdmitReply>(got[0])->Reason == "malformed");
    CHECK(pair.Runner->running() == 0);
    CHECK(pair.Runner->waiting() == 0);
  }
  // A malformed end is an end.
  std::optional<AdmitReply> reply;
  PeerHooks hooks{[&](std::string_view it) { reply = *unpack<AdmitReply>(it); },
                  [](bool) {}};
  auto stream =
      pair.Entry->Net.open(pair.Owner.Record.PeerAddress,
                           std::string(peer_path::Admit), whole, hooks);
  REQUIRE(pair.Owner.until([&] { return reply.has_value(); }));
  CHECK(pair.Runner->running() == 1);
  stream->send("nonsense");
  CHECK(pair.freed());
}

TEST_CASE("an owner's malformed answer is a refusal", "[admission]") {
  Pair pair;
  PeerNet odd(pair.Context, "127.0.0.1", 0,
              [](const std::shared_ptr<PeerStream> &stream) {
                stream->OnMessage = [weak = std::weak_ptr(stream)](auto) {
                  if (auto open = weak.lock())
                    open->send("nonsense");
                };
              });
  pair.Entry->Owner->PeerAddress = Loopback::address(odd.port());
  std::shared_ptr<AdmissionTicket> ticket;
  CHECK(pair.ask(CellsRig::request("r1", "a@1"), ticket).Reason ==
        "owner-malformed");
  odd.close();
  pair.settle();
}
