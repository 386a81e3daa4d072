#include "Programs/hemlockgladed/AdminFront.h"
#include "CellsRig.h"
#include "FakeReply.h"
#include "UnitTests/Coordination/FakeTable.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// Serves the platform's table over HTTP.
struct FakePlatform : ScriptedEndpoint {
  explicit FakePlatform(asio::io_context &context) : ScriptedEndpoint(context) {
    OnRequest = [this](const std::string &request) { return respond(request); };
  }
  VirtualTime Time;
  FakeTable Table{Time, 1};

private:
  ScriptedAnswer respond(const std::string &request) {
    auto line = request.substr(0, request.find(" HTTP"));
    auto query = line.substr(std::min(line.find('?'), line.size() - 1) + 1);
    if (line.starts_with("POST /table/commit")) {
      auto body = request.substr(request.find("\r\n\r\n") + 4);
      return Table.apply(*platform_format::readCommit(body))
                 ? answerOf(200, "{\"ok\":true}")
                 : answerOf(409, "{}");
    }
    if (line.starts_with("GET /table/row")) {
      auto it = Table.Rows.find(queryValue(query, "key"));
      return it == Table.Rows.end()
                 ? answerOf(404, "")
                 : answerOf(200, platform_format::rowBody(it->second));
    }
    if (line.starts_with("GET /table/scan")) {
      std::vector<TableRow> rows;
      for (const auto &[key, row] : Table.Rows) {
        if (key.starts_with(queryValue(query, "prefix")))
          rows.push_back(row);
      }
      return answerOf(200, platform_format::rowsBody(rows));
    }
    return answerOf(404, "");
  }
};

/// The AdminFront of one node.
struct AdminNode {
  AdminNode(CellsRig &rig, FakePlatform &platform)
      : Rig(rig), Platform(rig.Client, "http://" + platform.address()),
        Node(rig, "node"), Config(Platform, ConfigSettings{}, configHooks()),
        Admin("node", rig.Client, Config, Node.Cells, adminHooks()) {}

  CellsRig &Rig;
  PlatformClient Platform;
  CellNode Node;
  ConfigLink Config;
  AdminFront Admin;

  std::shared_ptr<FakeReply> send(HttpIncoming in, bool fire = true) {
    auto reply = std::make_shared<FakeReply>();
    REQUIRE(Admin.handle(in, reply));
    REQUIRE(Node.until([&] {
      if (fire)
        Rig.fire();
      return reply->Ended;
    }));
    return reply;
  }
  std::shared_ptr<FakeReply> execute(const std::string &statement,
                                     const std::string &command = "c") {
    return send({"POST",
                 std::string(admin_path::Statement),
                 "",
                 admin_format::statementBody({statement, command, "ann"}),
                 "127.0.0.1",
                 {}});
  }
  std::shared_ptr<FakeReply> apply(const Catalog &wanted,
                                   const std::string &command,
                                   const std::string &operatorName) {
    return send({"POST",
                 std::string(admin_path::Apply),
                 "",
                 writeDeclarations(wanted),
                 "127.0.0.1",
                 {{std::string(header::CommandId), command},
                  {std::string(header::Operator), operatorName}}});
  }
  std::string exported() {
    return send({"GET",
                 std::string(admin_path::Export),
                 "",
                 "",
                 "127.0.0.1",
                 {}})
        ->Body;
  }
  Revision revision() const { return Config.inForce()->number(); }

private:
  ConfigLinkHooks configHooks() {
    ConfigLinkHooks hooks;
    hooks.AnyPeer = [] { return std::nullopt; };
    hooks.After = [this](Span, std::function<void()> call) {
      Rig.Timers.push_back(std::move(call));
    };
    hooks.OnInForce = [](const CatalogView &) {};
    return hooks;
  }
  AdminFrontHooks adminHooks() {
    AdminFrontHooks hooks;
    hooks.Nodes = [this] { return Rig.Nodes; };
    hooks.CellRecords = [] { return std::map<std::string, CellRecord>(); };
    hooks.OwnerOf = [](const std::string &) { return std::nullopt; };
    hooks.After = [this](Span, std::function<void()> call) {
      Rig.Timers.push_back(std::move(call));
    };
    return hooks;
  }
};

/// A platform, and a node with the rig's declarations in force as revision 1.
struct AdminRig : CellsRig {
  FakePlatform Platform{Context};
  AdminNode First{*this, Platform};

  AdminRig() {
    REQUIRE(First.apply(Wanted, "c0", "ann")->Status == 200);
    REQUIRE(First.revision() == 1);
  }
};

} // namespace

TEST_CASE("an invalid statement is refused with the column of the error",
          "[admin]") {
  AdminRig rig;
  for (const auto *bad : {"drian replica e1", "drain", "pin a", "show nothing",
                          "show replicas where", " "}) {
    CAPTURE(bad);
    auto reply = rig.First.execute(bad);
    CHECK(reply->Status == 400);
    CHECK(admin_format::readError(reply->Body).Column > 0);
  }
  auto empty = rig.First.execute("");
  CHECK(empty->Status == 400);
  CHECK_FALSE(admin_format::readError(empty->Body).Message.empty());
  CHECK(rig.First.revision() == 1);
}

TEST_CASE("a change with the same command id takes effect once", "[admin]") {
  AdminRig rig;
  auto &node = rig.First;
  struct Case {
    std::string Text;
    std::size_t Pins;
    std::size_t Drains;
  };
  Revision number = 1;
  for (const auto &it : std::vector<Case>{{"drain replica e1", 0, 1},
                                          {"undrain replica e1", 0, 0},
                                          {"pin a@1 copies 1", 1, 0},
                                          {"unpin a@1", 0, 0}}) {
    CAPTURE(it.Text);
    auto reply = node.execute(it.Text, it.Text);
    CAPTURE(reply->Body);
    CHECK(reply->Status == 200);
    CHECK(node.revision() == ++number);
    // The same command again, as an operator sends it after a lost answer.
    node.execute(it.Text, it.Text);
    CHECK(node.revision() == number);
    CHECK(node.Config.inForce()->all<PinEntry>().size() == it.Pins);
    CHECK(node.Config.inForce()->all<DrainEntry>().size() == it.Drains);
  }
  // The same command again, after another command has undone it.
  CHECK(node.execute("drain replica e1", "drain replica e1")->Status == 200);
  CHECK(node.revision() == number);
  for (const auto *none : {"drain replica e9", "undrain replica e1",
                           "unpin a@1", "pin z@1 copies 1"})
    CHECK(node.execute(none, none)->Status == 404);
  CHECK(node.revision() == number);
}

TEST_CASE("of two concurrent changes the second is refused and names the first",
          "[admin]") {
  // Without the comparison of versions both would be accepted and the second
  // would overwrite the first.
  AdminRig rig;
  AdminNode second(rig, rig.Platform);
  second.Config.round();
  REQUIRE(second.Node.until([&] { return second.revision() == 1; }));
  auto wanted = rig.Wanted;
  wanted.Replicas["e1"].Batch = 5;
  REQUIRE(rig.First.apply(wanted, "c1", "ann")->Status == 200);
  wanted.Replicas["e1"].Batch = 6;
  auto reply = second.apply(wanted, "c2", "ben");
  CHECK(reply->Status == 409);
  CHECK(reply->Body.find("ann") != std::string::npos);
  CHECK(reply->Body.find("c1") != std::string::npos);
  CHECK(rig.First.Config.inForce()->find<ReplicaConfig>("e1")->Batch == 5);
  // The refused command committed no revision.
  CHECK(rig.First.revision() == 2);
}

TEST_CASE("applying the exported declarations changes nothing", "[admin]") {
  AdminRig rig;
  rig.First.execute("drain replica e1", "d");
  auto text = rig.First.exported();
  auto read = checkDeclarations(text, "export");
  REQUIRE(read);
  auto before = rig.First.Config.inForce()->catalog();
  auto again = *read;
  again.Number = before.Number;
  CHECK(again == before);
  CHECK(rig.First.apply(*read, "again", "ann")->Status == 200);
  CHECK(rig.First.revision() == before.Number);
}
