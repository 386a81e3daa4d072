#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "UnitTests/Node/Gateway/ScriptedReplica.h"
#include "UnitTests/Transport/Http1/RawPeer.h"

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;
using Then = ScriptedReplica::Then;

std::string_view valueOf(const LabelFields &fields, std::string_view name) {
  for (const auto &[key, value] : fields)
    if (sameFieldName(key, name))
      return value;
  return {};
}

/// Labels under names of the test's own.
LabelHooks testLabels() {
  LabelHooks hooks;
  hooks.ReadRequest = [](const LabelFields &fields) {
    RequestLabels out;
    out.Id = valueOf(fields, "Id");
    out.TimeLeft = milliseconds(2000);
    out.ResumeBehind = valueOf(fields, "Behind");
    if (auto weights = valueOf(fields, "Weights"); !weights.empty())
      out.Weights = WeightsRef::parse(weights);
    return out;
  };
  hooks.Forward = [](const LabelFields &fields, const ForwardLabels &labels) {
    OwnedFields out;
    for (const auto &[name, value] : fields)
      if (!isConnectionField(name) && !sameFieldName(name, "Behind"))
        out.emplace_back(name, value);
    out.emplace_back("Meant-For", labels.Incarnation);
    if (!labels.ResumeBehind.empty())
      out.emplace_back("Behind", labels.ResumeBehind);
    return out;
  };
  hooks.ReadAnswer = [](std::uint16_t, const LabelFields &fields) {
    AnswerLabels out;
    out.Id = valueOf(fields, "Id");
    out.Sealed = !valueOf(fields, "Seal").empty();
    out.NotRun = !valueOf(fields, "Not-Run").empty();
    out.Events = valueOf(fields, "Content-Type") == "text/event-stream";
    return out;
  };
  hooks.OwnAnswer = [](std::string_view id) {
    return OwnedFields{{"Id", std::string(id)}};
  };
  return hooks;
}

std::string answer(int status, const std::string &body,
                   const std::string &fields = "Id: r1\r\nSeal: s\r\n") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

std::string event(int n) {
  return "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: first\r\nContent-Type: "
    "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

const WeightsRef Adapter{"m", "a1"};

struct ExchangeFixture : Loopback {
  ExchangeFixture()
      : Log(
            {"n"}, [this](std::string_view line) { Lines.emplace_back(line); },
            [] { return std::chrono::microseconds(0); }),
        View([] {
          ReplicaView::Settings out;
          out.FailureDomain = "hall-a";
          return out;
        }()),
        Budget({}),
        Pool(Context, HttpPool::Settings{}), Shared{Context,
                                                    View,
                                                    Budget,
                                                    Pool,
                                                    Log,
                                                    testLabels(),
                                                    {},
                                                    {},
                                                    {},
                                                    {},
                                                    {},
                                                    {},
                                                    [this](const auto &it) {
                                                      Outcome = it.outcome();
                                                      Ended = true;
                                                    },
                                                    crashHooks(),
                                                    limitHooks()},
        First(Context), Second(Context), Peer(Context) {
    Budget.setTrafficShare(1);
    Way.Name = "r";
    Way.Targets = {{"s", 1}};
    Way.Timeout = milliseconds(2000);
    Way.TargetLatency = milliseconds(500);
    CallerHooks hooks;
    hooks.Bounds = [] { return CallerBounds{}; };
    hooks.Closing = [] { return false; };
    hooks.OnRequest = [this](CallerRequest request, auto reply) {
      LabelFields fields;
      for (const auto &it : request.Head.Fields)
        fields.emplace_back(it.Name, it.Value);
      auto labels = Shared.Labels.ReadRequest(fields);
      Plan = std::make_shared<const RoutePlan>(
          1, std::vector{Way},
          std::vector{ServiceSpec{"s", "/", 10,
                                  Generates ? std::optional(EngineSpec{})
                                            : std::nullopt}},
          CallerLimits{});
      View.setPlan(Plan);
      CallerAccess access;
      access.MatchedRoute = &Plan->routes()[0];
      access.CallerWorkspace = Space ? &*Space : nullptr;
      Exchange = std::make_shared<GatewayExchange>(
          Shared, Setup, Plan, access, std::move(request), std::move(labels),
          std::move(reply));
      Exchange->start();
    };
    Server = std::make_unique<CallerServer>(Context, localhost(0), 10,
                                            std::move(hooks));
    Peer.connect(Server->port());
  }

  CrashHooks crashHooks() {
    CrashHooks hooks;
    hooks.BarredFor = [this](const RequestKey &) { return BarredFor; };
    hooks.OnSent = [](const RequestKey &) {};
    hooks.OnBroken = [this](const ReplicaRecord &replica, const RequestKey &,
                            Instant, std::optional<Instant>) {
      BrokenAt.push_back(replica.Incarnation.text());
    };
    hooks.OnGivenUp = [this](const ReplicaRecord &replica, const RequestKey &,
                             Instant, std::optional<Instant>) {
      GivenUpAt.push_back(replica.Incarnation.text());
    };
    hooks.OnReplaced = [](const ReplicaIncarnation &) {};
    hooks.OnServed = [this](const RequestKey &) { ++Served; };
    return hooks;
  }

  LimitHooks limitHooks() {
    LimitHooks hooks;
    hooks.Reserve = [this](const Workspace &, double units, auto decided) {
      Booked += units;
      Decide = decided;
      if (Decides)
        decided(*Decides, milliseconds(1500));
    };
    hooks.Charge = [this](const Workspace &, double units) { Booked += units; };
    hooks.Release = [this](const Workspace &, double units) {
      Booked -= units;
    };
    return hooks;
  }

  /// The caller's workspace has a limit, counted in tokens.
  void limit() {
    Space = Workspace{"red", 3, WorkspaceLimit{LimitUnit::Tokens, 1, 1, 200}};
  }

  /// Registers the replicas; the first is the nearer one.
  void present(bool both = true) {
    std::vector<ReplicaRecord> records;
    for (auto *it : {&First, &Second}) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation(it == &First ? "i-1" : "i-2");
      record.Service = "s";
      record.Address = it->address();
      record.FailureDomain = it == &First ? "hall-a" : "hall-b";
      record.Slots = 8;
      if (it == &First || both)
        records.push_back(record);
    }
    View.onRegistry({true, records, {}, 1}, false, TimerService::now());
  }

  void ask(const std::string &more = "") {
    Peer.send("POST /x/y?z=1 HTTP/1.1\r\nHost: a\r\nId: r1\r\n" + more +
              "Content-Length: 2\r\n\r\nhi");
  }

  /// Only the first replica has the adapter, in a version that was replaced so
  /// long ago that a request has to begin on it within 1.75 s, if at all.
  void replaceWeights() {
    Generates = true;
    auto now = TimerService::now();
    View.onResidency("i-1", {{Adapter, {1, now}}}, now);
    View.onVersion({Adapter, 2, now - milliseconds(2450)});
    Shared.OnDemand = [](auto &&...) {};
    Shared.OnSent = [](auto &&...) {};
    Shared.OnDone = [](auto &&...) {};
  }

  bool untilEnd() {
    return until([this] { return Ended; });
  }
  bool untilGot(const std::string &text) {
    return until(
        [this, &text] { return Peer.Got.find(text) != std::string::npos; });
  }
  bool has(const std::string &text) const {
    return Peer.Got.find(text) != std::string::npos;
  }

  std::optional<Workspace> Space;
  /// What the limit says at once; none if it says later, by `Decide`.
  std::optional<QuotaService::Verdict> Decides = QuotaService::Verdict::Allowed;
  QuotaService::OnDecided Decide;
  /// Units booked, less those given back.
  double Booked = 0;
  std::vector<std::string> Lines;
  EventLog Log;
  ReplicaView View;
  SharedRetryBudget Budget;
  HttpPool Pool;
  ExchangeContext Shared;
  ExchangeSettings Setup;
  Route Way;
  std::shared_ptr<const RoutePlan> Plan;
  ScriptedReplica First;
  ScriptedReplica Second;
  RawPeer Peer;
  std::unique_ptr<CallerServer> Server;
  std::shared_ptr<GatewayExchange> Exchange;
  /// Whether the service runs models.
  bool Generates = false;
  bool Ended = false;
  std::string Outcome;
  std::optional<Span> BarredFor;
  std::vector<std::string> BrokenAt;
  std::vector<std::string> GivenUpAt;
  int Served = 0;
};

} // namespace

TEST_CASE("request and answer are passed on unchanged", "[gateway]") {
  ExchangeFixture it;
  it.present();
  it.First.Script = {{answer(200, "hello", "Id: r1\r\nSeal: s\r\nX: 1\r\n")}};
  it.ask();
  REQUIRE(it.untilGot("hello"));
  CHECK(it.has("HTTP/1.1 200"));
  CHECK(it.has("Seal: s"));
  CHECK(it.has("X: 1"));
  REQUIRE(it.First.Requests.size() == 1);
  const auto &sent = it.First.Requests[0];
  CHECK(sent.Head.Method == "POST");
  CHECK(sent.Head.Target == "/x/y?z=1");
  CHECK(sent.Body == "hi");
  CHECK(*findField(sent.Head.Fields, "Meant-For") == "i-1");
}

TEST_CASE("what must not run twice is not sent again", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.Way.MaxAttempts = 3;
  it.present();
  auto step = GENERATE(
      as<ScriptedReplica::Step>{}, ScriptedReplica::Step{"", Then::Close},
      ScriptedReplica::Step{"", Then::Reset},
      ScriptedReplica::Step{"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: "
                            "s\r\nContent-Length: 9\r\n\r\nhal",
                            Then::Close},
      ScriptedReplica::Step{"nonsense\r\n\r\n", Then::Keep},
      ScriptedReplica::Step{answer(200, "x", "Id: r1\r\n"), Then::Keep},
      ScriptedReplica::Step{answer(503, "x"), Then::Keep},
      ScriptedReplica::Step{answer(429, "x", "Id: r1\r\n"), Then::Keep});
  it.First.Script = {step};
  it.ask();
  REQUIRE(it.untilGot("HTTP/1.1 502"));
  CHECK_FALSE(it.has("Seal"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("what may run again is sent to another replica", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Repeatable;
  it.Way.MaxAttempts = 2;
  it.present();
  it.First.Script = {{"", Then::Reset}};
  it.Second.Script = {{answer(200, "hello")}};
  it.ask();
  REQUIRE(it.untilGot("hello"));
  CHECK(it.Second.Requests.size() == 1);
}

TEST_CASE("attempts are bounded by the route", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Repeatable;
  it.Way.MaxAttempts = 1;
  it.present();
  it.First.Script = {{"", Then::Reset}};
  it.ask();
  REQUIRE(it.untilGot("HTTP/1.1 502"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a request that was shed goes elsewhere whatever it is",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.present();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = {{shed}, {shed}, {shed}};
  SECTION("to one that takes it") {
    it.Second.Script = {{answer(200, "hello")}};
    it.ask();
    CHECK(it.untilGot("hello"));
  }
  SECTION("and is refused with a time to come back if none does") {
    it.Setup.MaxHoldShare = 0.05;
    it.Second.Script = {{shed}, {shed}, {shed}};
    it.ask();
    REQUIRE(it.untilGot("HTTP/1.1 503"));
    CHECK(it.has("Retry-After: 0."));
  }
}

TEST_CASE("replicas that shed a request are asked again while it is held",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.present();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = {{shed}, {answer(200, "hello")}};
  it.Second.Script = {{shed}, {answer(200, "hello")}};
  it.ask();
  REQUIRE(it.untilGot("hello"));
  CHECK(it.First.Requests.size() + it.Second.Requests.size() == 3);
}

TEST_CASE("replicas that go on shedding a request are asked ever less often",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.present();
  auto shed = answer(503, "", "Not-Run: 1\r\n");
  it.First.Script = std::vector<ScriptedReplica::Step>(100, {shed});
  it.Second.Script = it.First.Script;
  it.ask();
  REQUIRE(it.untilGot("HTTP/1.1 503"));
  // Held for 0.9 s: after 50, 100, 200 and 400 ms.
  CHECK(it.First.Requests.size() + it.Second.Requests.size() <= 10);
}

TEST_CASE("a replica that can't be reached costs no attempt", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.present();
  it.First.stop();
  it.Second.Script = {{answer(200, "hello")}};
  it.ask();
  CHECK(it.untilGot("hello"));
}

TEST_CASE("a request that was sent is never said not to have run",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.Way.Timeout = milliseconds(150);
  it.present();
  it.ask();
  REQUIRE(it.untilEnd());
  REQUIRE(it.untilGot("HTTP/1.1 504"));
  CHECK(it.until([&] { return it.First.Ended == 1; }));
}

TEST_CASE("a request without a replica is refused in time", "[gateway]") {
  ExchangeFixture it;
  it.Way.Timeout = milliseconds(300);
  it.ask();
  REQUIRE(it.untilGot("HTTP/1.1 503"));
  CHECK(it.has("Retry-After"));
}

TEST_CASE("a failure of the replica's own is passed on with its signature",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Repeatable;
  it.Way.MaxAttempts = 2;
  it.present();
  it.First.Script = {{answer(500, "sorry")}};
  it.ask();
  REQUIRE(it.untilGot("sorry"));
  CHECK(it.has("HTTP/1.1 500"));
  CHECK(it.has("Seal: s"));
}

TEST_CASE("an answer to another request is passed over", "[gateway]") {
  ExchangeFixture it;
  it.present();
  it.First.Script = {
      {answer(200, "stray", "Id: other\r\nSeal: s\r\n") + answer(200, "mine")}};
  it.ask();
  REQUIRE(it.untilGot("mine"));
  CHECK_FALSE(it.has("stray"));
}

TEST_CASE("a caller who leaves ends the run", "[gateway]") {
  ExchangeFixture it;
  it.present();
  it.ask();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.Peer.close();
  CHECK(it.until([&] { return it.First.Ended == 1; }));
  CHECK(it.Outcome == "caller left");
}

TEST_CASE("events are passed on whole", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.present();
  it.First.Script = {{StreamHead + chunk(event(1)) + chunk("id: 2\nda")}};
  it.ask();
  REQUIRE(it.untilGot(event(1)));
  it.settle();
  CHECK_FALSE(it.has("id: 2"));
}

TEST_CASE("a whole stream ends as complete", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.present();
  it.First.Script = {
      {StreamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}};
  it.ask();
  REQUIRE(it.untilGot("\r\n0\r\n\r\n"));
  CHECK(it.Outcome == "complete");
}

TEST_CASE("a broken stream goes on elsewhere behind its last whole event",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.present();
  it.First.Script = {
      {StreamHead + chunk(event(1)) + chunk(event(2)) + chunk("id: 3\n"),
       Then::Reset}};
  auto rest = StreamHead;
  rest.replace(rest.find("first"), 5, "other");
  it.Second.Script = {{rest + chunk(event(3)) + "0\r\n\r\n"}};
  it.ask();
  REQUIRE(it.untilGot("\r\n0\r\n\r\n"));
  REQUIRE(it.Second.Requests.size() == 1);
  CHECK(*findField(it.Second.Requests[0].Head.Fields, "Behind") == "2");
  CHECK(it.has("Seal: first"));
  CHECK_FALSE(it.has("Seal: other"));
  auto at = it.Peer.Got.find(event(2));
  CHECK(it.Peer.Got.find(event(2), at + 1) == std::string::npos);
  CHECK(it.has(event(3)));
}

TEST_CASE("a broken stream that can't go on does not look complete",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.MaxAttempts = 2;
  it.present();
  auto then = GENERATE(Then::Reset, Then::Close);
  it.First.Script = {{StreamHead + chunk(event(1)), then}};
  it.ask();
  REQUIRE(it.until([&] { return it.Peer.Ended; }));
  CHECK_FALSE(it.has("\r\n0\r\n\r\n"));
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("a stream that stalls goes on elsewhere", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.Way.TargetGap = milliseconds(20);
  it.Setup.MinStallTime = milliseconds(100);
  it.Way.TargetLatency = milliseconds(100);
  it.present();
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.Second.Script = {{StreamHead + chunk(event(2)) + "0\r\n\r\n"}};
  it.ask();
  REQUIRE(it.untilGot("\r\n0\r\n\r\n"));
  CHECK(it.First.Ended == 1);
}

TEST_CASE("a request that is cut by a stop is answered by what is known",
          "[gateway]") {
  ExchangeFixture it;
  SECTION("not run, if it was sent nowhere") {
    it.ask();
    REQUIRE(it.until([&] { return it.Exchange != nullptr; }));
    it.Exchange->abort();
    CHECK(it.untilGot("HTTP/1.1 503"));
  }
  SECTION("unknown, if it was sent") {
    it.present();
    it.ask();
    REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
    it.Exchange->abort();
    CHECK(it.untilGot("HTTP/1.1 502"));
  }
}

TEST_CASE("a repeat does not hold a request beyond what a stop allows",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.present(false);
  it.First.Script = {{""}};
  it.ask();
  REQUIRE(it.until([&] { return it.First.Requests.size() == 1; }));
  it.Exchange->holdAtMost(milliseconds(100));
  auto from = TimerService::now();
  // Nobody else is there to send it to.
  it.First.crash();
  REQUIRE(it.untilEnd());
  CHECK(TimerService::now() - from < milliseconds(600));
}

TEST_CASE("what ran at a replica that has started anew goes on elsewhere",
          "[gateway][life]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.Way.TargetGap = milliseconds(300);
  it.Setup.RestartGrace = milliseconds(60);
  it.present();
  it.First.Script = {{StreamHead + chunk(event(0))}};
  it.Second.Script = {{StreamHead + chunk(event(1)) + chunk("")}};
  it.ask();
  REQUIRE(it.untilGot("data: 0"));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilEnd());
  CHECK(it.Outcome == "complete");
  CHECK(*findField(it.Second.Requests[0].Head.Fields, "Behind") == "0");
}

TEST_CASE("what may have run at a replica that has started anew is answered "
          "soon",
          "[gateway][life]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.Setup.RestartGrace = milliseconds(60);
  it.present();
  it.ask();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilGot("HTTP/1.1 502"));
  CHECK(it.Outcome == "replica started anew");
  CHECK(it.Second.Requests.empty());
}

TEST_CASE("news of a restart that come again and again give no new time",
          "[gateway][life]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::RunOnce;
  it.Setup.RestartGrace = milliseconds(60);
  it.present();
  it.ask();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  TimerService timers(it.Context);
  auto telling = timers.every(milliseconds(20), [&it](Instant) {
    it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  });
  auto from = TimerService::now();
  REQUIRE(it.untilGot("HTTP/1.1 502"));
  CHECK(TimerService::now() - from < milliseconds(1000));
}

TEST_CASE("a request that already runs at the new start is left alone",
          "[gateway][life]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Setup.RestartGrace = milliseconds(60);
  it.present();
  it.First.Script = {{StreamHead + chunk(event(0))}};
  it.ask();
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.Exchange->onRestarted(ReplicaIncarnation("i-1"));
  REQUIRE(it.untilGot("data: 0"));
  bool passed = false;
  asio::steady_timer timer(it.Context, 3 * it.Setup.RestartGrace);
  timer.async_wait([&passed](asio::error_code) { passed = true; });
  REQUIRE(it.until([&passed] { return passed; }));
  CHECK_FALSE(it.Ended);
}

TEST_CASE("a request that would begin on replaced weights goes on elsewhere",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.present();
  it.replaceWeights();
  it.Second.Script = {{StreamHead + chunk(event(0)) + chunk("")}};
  it.ask("Weights: m/a1\r\n");
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.View.onResidency("i-2", {{Adapter, {2, Instant{}}}}, TimerService::now());
  REQUIRE(it.untilEnd());
  CHECK(it.Outcome == "complete");
  CHECK(it.Second.Requests.size() == 1);
}

TEST_CASE("an engine that takes the newest weights gets back the request that "
          "waited there for the ones before",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 2;
  it.Setup.MinStallTime = std::chrono::seconds(5);
  it.present(false);
  it.replaceWeights();
  it.First.Script = {{}, {StreamHead + chunk(event(0)) + chunk("")}};
  it.ask("Weights: m/a1\r\n");
  REQUIRE(it.until([&it] { return it.First.Requests.size() == 1; }));
  it.View.onResidency("i-1", {{Adapter, {2, Instant{}}}}, TimerService::now());
  REQUIRE(it.untilEnd());
  CHECK(it.Outcome == "complete");
  CHECK(it.First.Requests.size() == 2);
}

TEST_CASE("a slow request that may not be repeated is still ended before it "
          "begins on replaced weights",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.Way.Resumable = true;
  it.Way.MaxAttempts = 1;
  it.Way.TargetLatency = milliseconds(100);
  it.Setup.MinStallTime = milliseconds(100);
  it.present();
  it.replaceWeights();
  it.ask("Weights: m/a1\r\n");
  REQUIRE(it.untilEnd());
  CHECK(it.Outcome == "would begin on replaced weights");
}

TEST_CASE("a barred request is refused at once with when to come back",
          "[gateway]") {
  ExchangeFixture it;
  it.present();
  it.BarredFor = std::chrono::seconds(90);
  it.ask();
  REQUIRE(it.untilGot("HTTP/1.1 503"));
  CHECK(it.has("Retry-After: 90"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a request that is barred while it is held is refused", "[gateway]") {
  ExchangeFixture it;
  // No replica is known, so that it waits.
  it.ask();
  REQUIRE(it.until([&] { return it.Exchange && it.Exchange->waiting(); }));
  it.BarredFor = std::chrono::seconds(90);
  it.present();
  it.Exchange->wake();
  REQUIRE(it.untilGot("HTTP/1.1 503"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a request that is barred while it waits at a replica is taken back",
          "[gateway]") {
  ExchangeFixture it;
  it.present(false);
  it.ask();
  REQUIRE(it.until([&] { return !it.First.Requests.empty(); }));
  it.BarredFor = std::chrono::seconds(90);
  it.Exchange->onBarred();
  // It may have begun there.
  REQUIRE(it.untilGot("HTTP/1.1 502"));
  CHECK(it.until([&] { return it.First.Ended == 1; }));
}

TEST_CASE("a stream that runs well goes on though its request is barred",
          "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Stream;
  it.present(false);
  it.First.Script = {{StreamHead + chunk(event(1))}};
  it.ask();
  REQUIRE(it.untilGot("data: 1"));
  it.BarredFor = std::chrono::seconds(90);
  it.Exchange->onBarred();
  it.settle();
  CHECK_FALSE(it.Ended);
}

TEST_CASE("broken attempts and whole answers are told of", "[gateway]") {
  ExchangeFixture it;
  it.Way.Kind = RouteKind::Repeatable;
  it.Way.MaxAttempts = 2;
  it.present();
  it.First.Script = {{"", Then::Reset}};
  it.Second.Script = {{answer(500, "failed")}};
  it.ask();
  REQUIRE(it.untilGot("failed"));
  CHECK(it.BrokenAt == std::vector<std::string>{"i-1"});
  // The replica may have failed it before it began to run it.
  CHECK(it.Served == 0);
}

TEST_CASE("only an answer that shows a whole run clears a request",
          "[gateway]") {
  ExchangeFixture it;
  it.present(false);
  auto [step, served] = GENERATE(table<ScriptedReplica::Step, int>(
      {{{answer(200, "hello")}, 1},
       {{answer(500, "failed")}, 0},
       {{answer(504, "out of time in the queue")}, 0},
       {{StreamHead + chunk(event(1)) + "0\r\n\r\n"}, 1},
       {{StreamHead + "0\r\n\r\n"}, 0}}));
  it.First.Script = {step};
  it.ask();
  REQUIRE(it.untilEnd());
  CHECK(it.Served == served);
}

TEST_CASE("a request beyond its workspace's limit is refused at once",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.present();
  it.Decides = QuotaService::Verdict::Limited;
  it.ask();
  REQUIRE(it.untilGot("limit"));
  CHECK(it.has(" 429 "));
  CHECK(it.has("Retry-After: 1.50"));
  CHECK(it.First.Requests.empty());
}

TEST_CASE("a request waits for its limit, and runs once it may",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.present();
  it.Decides = std::nullopt;
  it.First.Script = {{answer(200, "hello")}};
  it.ask();
  REQUIRE(it.until([&] { return it.Decide != nullptr; }));
  it.settle();
  CHECK(it.First.Requests.empty());
  it.Decide(QuotaService::Verdict::Allowed, Span(0));
  REQUIRE(it.untilGot("hello"));
  CHECK(it.Booked == 200);
}

TEST_CASE("a caller who leaves before its limit answers has nothing booked",
          "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.present();
  it.Decides = std::nullopt;
  it.ask();
  REQUIRE(it.until([&] { return it.Decide != nullptr; }));
  it.Peer.close();
  REQUIRE(it.untilEnd());
  it.Decide(QuotaService::Verdict::Allowed, Span(0));
  CHECK(it.Booked == 0);
  CHECK(it.First.Requests.empty());
}

TEST_CASE("what no replica ran is given back", "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.present(false);
  it.First.Answer = [](const auto &) {
    return ScriptedReplica::Step{answer(503, "", "Not-Run: 1\r\n")};
  };
  it.ask();
  REQUIRE(it.untilEnd());
  CHECK_FALSE(it.First.Requests.empty());
  CHECK(it.Booked == 0);
}

TEST_CASE("each run counts, and each only once", "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.Way.Kind = RouteKind::Repeatable;
  it.Way.MaxAttempts = 2;
  it.present();
  SECTION("after one that may have run") {
    it.First.Script = {{"", ScriptedReplica::Then::Reset}};
    it.Second.Script = {{answer(200, "hello")}};
    it.ask();
    REQUIRE(it.untilGot("hello"));
    CHECK(it.Booked == 400);
  }
  SECTION("after one that surely did not") {
    it.First.Script = {{answer(503, "", "Not-Run: 1\r\n")}};
    it.Second.Script = {{answer(200, "hello")}};
    it.First.Answer = nullptr;
    it.ask();
    REQUIRE(it.untilGot("hello"));
    CHECK(it.Booked == 200);
  }
}

TEST_CASE("a workspace's rank goes before its route's", "[exchange][limit]") {
  ExchangeFixture it;
  it.limit();
  it.Way.Priority = 1;
  it.present();
  it.First.Script = {{answer(200, "hello")}};
  it.ask();
  REQUIRE(it.untilGot("hello"));
  CHECK(it.Exchange->rank() == 3);
}

} // namespace hemlockglade::test
