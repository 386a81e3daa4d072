#include "Programs/hemlockgladed/AdminFront.h"
#include "CellsRig.h"
#include "FakeReply.h"
#include "UnitTests/Coordination/FakeTable.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// The platform's table behind HTTP.
struct FakePlatform : ScriptedEndpoint {
  explicit FakePlatform(asio::io_context &context) : ScriptedEndpoint(context) {
    OnRequest = [this](const std::string &request) { return obey(request); };
  }
  VirtualTime Time;
  FakeTable Table{Time, 1};

private:
  Act obey(const std::string &request) {
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

/// One node's front for operators.
struct Desk {
  Desk(CellsRig &rig, FakePlatform &platform)
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
    REQUIRE(Admin.take(in, reply));
    REQUIRE(Node.until([&] {
      if (fire)
        Rig.fire();
      return reply->Ended;
    }));
    return reply;
  }
  std::shared_ptr<FakeReply> say(const std::string &statement,
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
                                   const std::string &who) {
    return send({"POST",
                 std::string(admin_path::Apply),
                 "",
                 writeDeclarations(wanted),
                 "127.0.0.1",
                 {{std::string(header::CommandId), command},
                  {std::string(header::Operator), who}}});
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

struct Office : CellsRig {
  FakePlatform Platform{Context};
  Desk First{*this, Platform};

  Office() {
    REQUIRE(First.apply(Wanted, "c0", "ann")->Status == 200);
    REQUIRE(First.revision() == 1);
  }
};

} // namespace

TEST_CASE("a bad statement is answered with its column", "[admin]") {
  Office office;
  for (const auto *bad : {"drian replica e1", "drain", "pin a", "show nothing",
                          "show replicas where", " "}) {
    CAPTURE(bad);
    auto reply = office.First.say(bad);
    CHECK(reply->Status == 400);
    CHECK(admin_format::readError(reply->Body).Column > 0);
  }
  auto empty = office.First.say("");
  CHECK(empty->Status == 400);
  CHECK_FALSE(admin_format::readError(empty->Body).Message.empty());
  CHECK(office.First.revision() == 1);
}

TEST_CASE("a change of an operator takes effect once", "[admin]") {
  Office office;
  auto &desk = office.First;
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
    auto reply = desk.say(it.Text, it.Text);
    CAPTURE(reply->Body);
    CHECK(reply->Status == 200);
    CHECK(desk.revision() == ++number);
    // The same command again, as after a lost answer.
    desk.say(it.Text, it.Text);
    CHECK(desk.revision() == number);
    CHECK(desk.Config.inForce()->all<PinEntry>().size() == it.Pins);
    CHECK(desk.Config.inForce()->all<DrainEntry>().size() == it.Drains);
  }
  // So late that another command has undone it since.
  CHECK(desk.say("drain replica e1", "drain replica e1")->Status == 200);
  CHECK(desk.revision() == number);
  for (const auto *none : {"drain replica e9", "undrain replica e1",
                           "unpin a@1", "pin z@1 copies 1"})
    CHECK(desk.say(none, none)->Status == 404);
  CHECK(desk.revision() == number);
}

TEST_CASE("of two operators the second hears of the first", "[admin]") {
  // Without the comparison of versions both would be accepted.
  Office office;
  Desk second(office, office.Platform);
  second.Config.round();
  REQUIRE(second.Node.until([&] { return second.revision() == 1; }));
  auto wanted = office.Wanted;
  wanted.Replicas["e1"].Batch = 5;
  REQUIRE(office.First.apply(wanted, "c1", "ann")->Status == 200);
  wanted.Replicas["e1"].Batch = 6;
  auto reply = second.apply(wanted, "c2", "ben");
  CHECK(reply->Status == 409);
  CHECK(reply->Body.find("ann") != std::string::npos);
  CHECK(reply->Body.find("c1") != std::string::npos);
  CHECK(office.First.Config.inForce()->find<ReplicaConfig>("e1")->Batch == 5);
  // A repeat of the first command is the first command.
  CHECK(office.First.revision() == 2);
}

TEST_CASE("what is exported can be declared again and changes nothing",
          "[admin]") {
  Office office;
  office.First.say("drain replica e1", "d");
  auto text = office.First.exported();
  auto read = checkDeclarations(text, "export");
  REQUIRE(read);
  auto before = office.First.Config.inForce()->catalog();
  auto again = *read;
  again.Number = before.Number;
  CHECK(again == before);
  CHECK(office.First.apply(*read, "again", "ann")->Status == 200);
  CHECK(office.First.revision() == before.Number);
}
