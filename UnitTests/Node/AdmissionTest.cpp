#include "CellsRig.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// An entry that requests admission from an owner over a real connection.
struct AdmissionRig : CellsRig {
  CellNode Owner{*this, "owner"};
  std::unique_ptr<CellNode> Entry = std::make_unique<CellNode>(*this, "entry");
  std::shared_ptr<CellRunner> Runner;

  AdmissionRig() {
    Entry->Owner = Owner.Record;
    Runner = Owner.own(3);
    REQUIRE(Owner.until(
        [&] { return Owner.Cells.modeOf("assistant/0") == LeaseMode::Held; }));
  }
  /// Requests admission and runs the owner until the answer arrives.
  AdmitReply admit(const AdmitRequest &request,
                   std::shared_ptr<AdmissionTicket> &ticket) {
    std::optional<AdmitReply> reply;
    ticket = Entry->Admissions.admit(request,
                                     [&](const AdmitReply &it) { reply = it; });
    REQUIRE(Owner.until([&] { return reply.has_value(); }));
    return *reply;
  }
  bool slotReleased() {
    return Owner.until([&] { return Runner->running() == 0; });
  }
};

} // namespace

TEST_CASE("the end of an admission's stream releases the slot", "[admission]") {
  enum class Ending { Finish, Dropped, EntryClosed };
  for (auto ending : {Ending::Finish, Ending::Dropped, Ending::EntryClosed}) {
    CAPTURE(static_cast<int>(ending));
    AdmissionRig rig;
    std::shared_ptr<AdmissionTicket> ticket;
    auto reply = rig.admit(CellsRig::request("r1", "a@1"), ticket);
    REQUIRE(reply.Granted);
    CHECK(reply.Fence == 3);
    CHECK(reply.Address == rig.Engine.address());
    CHECK(rig.Runner->running() == 1);
    // While the stream is open the slot stays taken.
    rig.settle();
    CHECK(rig.Runner->running() == 1);
    if (ending == Ending::Finish)
      ticket->finish(Outcome::Complete);
    else if (ending == Ending::Dropped)
      ticket.reset();
    else
      rig.Entry->Net.close();
    CHECK(rig.slotReleased());
  }
}

TEST_CASE("a waiting request is removed when its stream ends", "[admission]") {
  AdmissionRig rig;
  rig.Wanted.Replicas.clear();
  rig.addReplica("e1", rig.Engine).Batch = 1;
  rig.commit();
  rig.Owner.Cells.configure(*rig.InForce);
  std::shared_ptr<AdmissionTicket> first;
  REQUIRE(rig.admit(CellsRig::request("r1", "a@1"), first).Granted);
  bool answered = false;
  auto second =
      rig.Entry->Admissions.admit(CellsRig::request("r2", "a@1"),
                                  [&](const AdmitReply &) { answered = true; });
  REQUIRE(rig.Owner.until([&] { return rig.Runner->waiting() == 1; }));
  second->finish(Outcome::NotRun);
  CHECK(rig.Owner.until([&] { return rig.Runner->waiting() == 0; }));
  CHECK_FALSE(answered);
}

TEST_CASE("a request to a node that is not or no longer the owner is refused",
          "[admission]") {
  AdmissionRig rig;
  std::shared_ptr<AdmissionTicket> ticket;
  auto other = CellsRig::request("r1", "a@1");
  other.Cell = "assistant/7";
  CHECK(rig.admit(other, ticket).Reason == "not-owner");
  rig.Entry->Owner.reset();
  auto none = rig.admit(other, ticket);
  CHECK(none.Reason == "no-owner");
  CHECK(none.RetryAfterUs > 0);
  // The cell is lost while the request waits for a load that never ends.
  rig.Entry->Owner = rig.Owner.Record;
  rig.Engine.OnRequest = [](auto &) { return ScriptedAnswer{}; };
  for (bool lost : {true, false}) {
    std::optional<AdmitReply> reply;
    ticket =
        rig.Entry->Admissions.admit(CellsRig::request("r2", "b@1"),
                                    [&](const AdmitReply &it) { reply = it; });
    REQUIRE(rig.Owner.until([&] { return rig.Runner->waiting() == 1; }));
    if (lost)
      rig.Owner.Cells.removeCell("assistant/0");
    else
      rig.Owner.Net.close();
    REQUIRE(rig.until([&] { return reply.has_value(); }));
    CHECK(reply->Reason == (lost ? "not-owner" : "owner-lost"));
    CHECK_FALSE(reply->Granted);
    if (lost) {
      rig.Runner = rig.Owner.own(4);
      rig.settle();
    }
  }
}

TEST_CASE("a malformed admission message is refused and takes no slot",
          "[admission]") {
  AdmissionRig rig;
  auto whole = pack(CellsRig::request("r1", "a@1"));
  std::vector<std::string> bad{"", "x", whole.substr(0, whole.size() / 2),
                               whole + "x", pack(FinishNotice{1})};
  for (const auto &message : bad) {
    CAPTURE(message);
    std::vector<std::string> received;
    bool closed = false;
    PeerHooks hooks{[&](std::string_view it) { received.emplace_back(it); },
                    [&](bool) { closed = true; }};
    auto stream =
        rig.Entry->Net.open(rig.Owner.Record.PeerAddress,
                            std::string(peer_path::Admit), message, hooks);
    REQUIRE(rig.until([&] { return closed; }));
    if (!received.empty())
      CHECK(unpack<AdmitReply>(received[0])->Reason == "malformed");
    CHECK(rig.Runner->running() == 0);
    CHECK(rig.Runner->waiting() == 0);
  }
  // A malformed finish notice releases the slot too.
  std::optional<AdmitReply> reply;
  PeerHooks hooks{[&](std::string_view it) { reply = *unpack<AdmitReply>(it); },
                  [](bool) {}};
  auto stream =
      rig.Entry->Net.open(rig.Owner.Record.PeerAddress,
                          std::string(peer_path::Admit), whole, hooks);
  REQUIRE(rig.Owner.until([&] { return reply.has_value(); }));
  CHECK(rig.Runner->running() == 1);
  stream->send("nonsense");
  CHECK(rig.slotReleased());
}

TEST_CASE("a malformed answer of an owner counts as a refusal", "[admission]") {
  AdmissionRig rig;
  PeerNet malformedOwner(rig.Context, "127.0.0.1", 0,
                         [](const std::shared_ptr<PeerStream> &stream) {
                           stream->OnMessage =
                               [weak = std::weak_ptr(stream)](auto) {
                                 if (auto open = weak.lock())
                                   open->send("nonsense");
                               };
                         });
  rig.Entry->Owner->PeerAddress = Loopback::address(malformedOwner.port());
  std::shared_ptr<AdmissionTicket> ticket;
  CHECK(rig.admit(CellsRig::request("r1", "a@1"), ticket).Reason ==
        "owner-malformed");
  malformedOwner.close();
  rig.settle();
}
