#include "platform/Documents.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "platform/Base64.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hemlockglade::test {

namespace {

using namespace platform_document;
using std::chrono::milliseconds;

const std::string Plan = R"({"version":7,"unknown":1,"routes":[
 {"name":"r1","host":"a.example","prefix":"/x/","type":"streaming",
  "timeout_ms":15000,"target_latency_ms":1000,"priority":1,
  "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300},
 {"name":"r2","host":"a.example","prefix":"/y/","type":"safe","service":"s2"},
 {"name":"r3","host":"a.example","prefix":"/z/","type":"new","service":"s2"}],
 "services":[{"name":"s1","health_path":"/h","max_connections":360,
  "engine":{"slots":64,"kv_capacity_tokens":132765,"weights_mb":66600.0,
   "adapter_slots":20,"loads_per_s":2.8,
   "models":[{"name":"m","weights_mb":65099.99,"load_time_s":5.3,
              "disk_load_s":2.1,"warmup_s":1.1,
              "adapters":3000,"adapter_size_mb":12.0}]}},
  {"name":"s2","health_path":"/h","max_connections":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

} // namespace

TEST_CASE("a plan is parsed", "[documents]") {
  auto plan = readPlan(Plan);
  REQUIRE(plan);
  CHECK(plan->version() == 7);
  const auto *route = plan->find("a.example", "/x/1");
  REQUIRE(route);
  CHECK(route->Kind == RouteKind::Stream);
  CHECK(route->Resumable);
  CHECK(route->Timeout == milliseconds(15000));
  CHECK(route->TargetLatency == milliseconds(1000));
  CHECK(route->TargetGap == milliseconds(300));
  CHECK(route->MaxAttempts == 2);
  CHECK(route->Priority == 1);
  REQUIRE(route->Targets.size() == 2);
  CHECK(route->Targets[0].Weight == 90);
  CHECK(plan->find("a.example", "/y/")->Kind == RouteKind::Repeatable);
  CHECK(plan->find("a.example", "/z/")->Kind == RouteKind::RunOnce);
  const auto *service = plan->service("s1");
  REQUIRE(service);
  REQUIRE(service->Engine);
  CHECK(service->Engine->AdapterSlots == 20);
  const auto &model = service->Engine->Models[0];
  CHECK(model.LoadTime == milliseconds(5300));
  CHECK(model.LoadTimeFromDisk == milliseconds(2100));
  CHECK(model.LoadTimeFromMemory == milliseconds(1100));
  CHECK_FALSE(plan->service("s2")->Engine);
  CHECK(plan->limits().IdleTimeout == milliseconds(15000));
}

TEST_CASE("a malformed plan is refused with an error text", "[documents]") {
  auto text = GENERATE(
      as<std::string>{}, "", "[]", "{}", R"({"version":"x","routes":[]})",
      R"({"version":1,"routes":[{"host":"a"}],"services":[]})",
      R"({"version":1,"routes":[{"host":"a","prefix":"/","split":[]}],)"
      R"("services":[]})",
      R"({"version":1,"routes":{},"services":[{"name":3}]})");
  auto plan = readPlan(text);
  CAPTURE(text);
  REQUIRE_FALSE(plan);
  CHECK_FALSE(plan.error().empty());
}

namespace {

/// Returns a plan with one route and this list of workspaces.
std::string planWith(const std::string &workspaces) {
  return R"({"version":1,"services":[],"routes":[{"host":"a","prefix":"/",)"
         R"("service":"s","public":true}],"tenants":)" +
         workspaces + "}";
}

} // namespace

TEST_CASE("the workspaces of a plan are parsed", "[documents]") {
  auto plan = readPlan(planWith(
      R"([{"name":"red","api_keys":["k1","k2"],"priority":1,"unit":"token",)"
      R"("plain_tokens":200,"rate_per_s":187347,"burst":5.5},)"
      R"({"name":"blue","api_keys":["k3"],"rate_per_s":3},)"
      R"({"name":"green","api_keys":[],"rate_per_s":0,"burst":9}])"));
  REQUIRE(plan);
  CHECK(plan->routes()[0].Public);
  const auto &all = plan->workspaces();
  CHECK(all.required());
  CHECK(all.Faults.empty());
  const auto *red = all.find("k2");
  REQUIRE(red);
  CHECK(red->Name == "red");
  CHECK(red->Priority == 1);
  CHECK(red->Limit == WorkspaceLimit{LimitUnit::Tokens, 187347, 5.5, 200});
  const auto *blue = all.find("k3");
  REQUIRE(blue);
  CHECK_FALSE(blue->Priority);
  CHECK(blue->Limit == WorkspaceLimit{LimitUnit::Requests, 3, 0, 0});
  CHECK_FALSE(all.all()[2].Limit);
  CHECK_FALSE(readPlan(Plan)->workspaces().required());
}

TEST_CASE("a malformed workspace does not affect the others", "[documents]") {
  struct Wrong {
    std::string Text;
    bool HasKey;
    bool HasLimit;
  };
  const std::string Keys = R"("api_keys":["sekret-1"])";
  auto wrong = GENERATE_COPY(values<Wrong>({
      {R"({"name":"red","rate_per_s":-1,)" + Keys + "}", true, false},
      {R"({"name":"red","rate_per_s":1e300,)" + Keys + "}", true, false},
      {R"({"name":"red","rate_per_s":"9",)" + Keys + "}", true, false},
      {R"({"name":"red","rate_per_s":9,"burst":[],)" + Keys + "}", true, false},
      {R"({"name":"red","rate_per_s":9,"unit":"ton",)" + Keys + "}", true,
       false},
      {R"({"name":"red","rate_per_s":9,"unit":7,)" + Keys + "}", true, false},
      {R"({"name":"red","rate_per_s":9,"priority":-1,)" + Keys + "}", true,
       true},
      {R"({"name":"red","rate_per_s":9,"api_keys":["","sekret-1",7,"a b"]})",
       true, true},
      {R"({"name":"red","rate_per_s":9,"api_keys":"sekret-1"})", false, false},
      {R"({"name":"red","api_keys":[")" + std::string(300, 'k') + R"("]})",
       false, false},
      {R"({"name":"","rate_per_s":9,)" + Keys + "}", false, false},
      {R"({"name":"blue","rate_per_s":9,)" + Keys + "}", false, false},
      {R"({"rate_per_s":9,)" + Keys + "}", false, false},
      {R"(["sekret-1"])", false, false},
      {R"("sekret-1")", false, false},
  }));
  CAPTURE(wrong.Text);
  auto plan = readPlan(
      planWith(R"([{"name":"blue","api_keys":["k3"],"rate_per_s":3},)" +
               wrong.Text + "]"));
  REQUIRE(plan);
  const auto &all = plan->workspaces();
  REQUIRE(all.find("k3"));
  CHECK(all.find("k3")->Limit);
  const auto *red = all.find("sekret-1");
  CHECK((red != nullptr) == wrong.HasKey);
  if (red)
    CHECK(red->Limit.has_value() == wrong.HasLimit);
  for (const auto &it : all.Faults)
    CHECK(it.find("sekret") == std::string::npos);
  CHECK_FALSE(all.Faults.empty());
}

TEST_CASE("the error for a plan that is not JSON does not quote it",
          "[documents]") {
  auto plan = readPlan(
      R"({"tenants":[{"name":"red","api_keys":["sekret-1" "sekret-2"]}]})");
  REQUIRE_FALSE(plan);
  CHECK(plan.error().find("sekret") == std::string::npos);
  // The same holds for a plan whose workspaces are not a list.
  auto list = readPlan(planWith(R"({"red":"sekret-1"})"));
  REQUIRE_FALSE(list);
  CHECK(list.error().find("sekret") == std::string::npos);
}

TEST_CASE(
    "no damage to workspaces breaks the reader or puts a key into an error",
    "[documents]") {
  const std::string ValidPlan = planWith(
      R"([{"name":"red","api_keys":["sekret-1","sekret-2"],"priority":1,)"
      R"("unit":"token","plain_tokens":200,"rate_per_s":9,"burst":9}])");
  bool passed = rc::check("any damage to a plan", [&ValidPlan] {
    auto text = ValidPlan;
    auto changes = *rc::gen::inRange(1, 8);
    for (int it = 0; it < changes; ++it) {
      auto at = static_cast<std::size_t>(
          *rc::gen::inRange<int>(0, static_cast<int>(text.size())));
      if (*rc::gen::arbitrary<bool>())
        text[at] = *rc::gen::element('"', ',', '[', ']', '{', '}', '-', '0',
                                     'e', ' ', '\\', '\x80');
      else
        text.erase(at, 1);
    }
    auto plan = readPlan(text);
    if (!plan) {
      RC_ASSERT(plan.error().find("sekret") == std::string::npos);
      return;
    }
    for (const auto &it : plan->workspaces().Faults)
      RC_ASSERT(it.find("sekret") == std::string::npos);
  });
  CHECK(passed);
}

TEST_CASE("a replica's entry is parsed", "[documents]") {
  auto replica = readReplica(
      "i-1",
      R"({"service":"s1","address":"10.0.0.1:80","zone":"hall-a",)"
      R"("version":"v1","slots":64,"state":"draining","remaining_ms":1800,)"
      R"("cold_remaining_ms":10,"sequence":4,"models":[{"name":"m",)"
      R"("version":2,"adapters":["a1@3","a2"]}]})");
  REQUIRE(replica);
  CHECK(replica->Incarnation.text() == "i-1");
  CHECK(replica->Draining);
  CHECK(replica->TerminatesIn == milliseconds(1800));
  CHECK(replica->Held.at({"m", ""}) == 2);
  CHECK(replica->Held.at({"m", "a1"}) == 3);
  CHECK(replica->Held.at({"m", "a2"}) == 0);
  CHECK_FALSE(readReplica("i-1", R"({"service":"s1"})"));
}

TEST_CASE(
    "the software version of a replica is parsed where it can be compared",
    "[documents]") {
  auto versionOf = [](const std::string &field) {
    auto replica = platform_document::readReplica(
        "i-1",
        R"({"service":"s","address":"10.0.0.1:1","zone":"a","slots":1,)" +
            field + R"("state":"ready"})");
    REQUIRE(replica);
    return replica->SoftwareVersion;
  };
  CHECK(versionOf(R"("version":"v1.1",)") == "v1.1");
  CHECK(versionOf(R"("version":2,)") == "2");
  CHECK(versionOf("").empty());
  CHECK(versionOf(R"("version":["v1"],)").empty());
  CHECK(versionOf(R"("version":"",)").empty());
}

TEST_CASE("a report and a version are parsed", "[documents]") {
  auto report = readReport(
      R"({"stage":"combined","models":[{"name":"m","version":1,)"
      R"("adapters":["a1@1"]}],"pending":["m/a7@2","odd"],"busy":true,)"
      R"("available":{"resident":["m"],"cached_on_disk":["m","n"]},)"
      R"("sequence":9})");
  REQUIRE(report);
  CHECK(report->Local.InMemory == std::set<std::string>{"m"});
  CHECK(report->Local.OnDisk == std::set<std::string>{"m", "n"});
  CHECK(report->OrderCount == 9);
  CHECK(report->Busy);
  CHECK(report->Pending.size() == 1);
  CHECK(report->Pending.at({"m", "a7"}) == 2);
  auto version = readVersion(R"({"model":"m","adapter":"a1","version":4})");
  REQUIRE(version);
  CHECK(version->Weights == WeightsRef{"m", "a1"});
  CHECK(version->Version == 4);
  CHECK_FALSE(readVersion(R"({"model":"m"})"));
}

TEST_CASE("an order is encoded", "[documents]") {
  EngineOrder order;
  order.Kind = OrderKind::Load;
  order.Weights = {"m", "a1"};
  order.Version = 4;
  order.ExpectedCount = 2;
  order.Holder = "node-7";
  order.Fence = 41;
  auto node = parseJson(writeOrder(order));
  CHECK(node == parseJson(R"({"operation":"loading","model":"m",
    "adapter":"a1","version":4,"if_revision":2,"holder":"node-7",
    "fencing_token":41})"));
  order.Kind = OrderKind::Unload;
  order.Weights.Adapter.clear();
  order.Version = 0;
  node = parseJson(writeOrder(order));
  CHECK(node["operation"] == "unloading");
  CHECK_FALSE(node.contains("adapter"));
  CHECK_FALSE(node.contains("version"));
}

TEST_CASE("an address answer is encoded", "[documents]") {
  auto node = parseJson(writeAddresses({"10.0.0.1:8"}, milliseconds(1500)));
  CHECK(node["addresses"][0] == "10.0.0.1:8");
  CHECK(node["ttl_s"] == 1.5);
}

TEST_CASE("arbitrary text is parsed or refused without an exception",
          "[documents]") {
  REQUIRE(rc::check([] {
    auto text = *rc::gen::arbitrary<std::string>();
    readPlan(text);
    readReplica("i", text);
    readReport(text);
    readVersion(text);
  }));
  REQUIRE(rc::check([] {
    // A plan with one byte changed.
    auto text = Plan;
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    readPlan(text);
  }));
}

TEST_CASE("base64 is encoded and decoded", "[documents]") {
  CHECK(toBase64("").empty());
  CHECK(toBase64("node-1") == "bm9kZS0x");
  CHECK(toBase64("a") == "YQ==");
  CHECK(fromBase64("YQ==") == "a");
  CHECK_FALSE(fromBase64("Y*=="));
  REQUIRE(rc::check([] {
    auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(fromBase64(toBase64(bytes)) == bytes);
  }));
}

namespace {

const std::string Entry =
    R"({"service":"s1","address":"10.0.0.1:80","zone":"hall-a","version":"v1",)"
    R"("slots":64,"state":"ready","cold_remaining_ms":0,"sequence":4,)"
    R"("born":1733184000123,"stage":"combined",)"
    R"("models":[{"name":"m","version":2,"adapters":["a1@3"]}],)"
    R"("available":{"resident":[],"cached_on_disk":["m"]}})";

/// Returns the entry with one field replaced, or removed if `value` is empty.
std::string withField(const std::string &field, const std::string &value) {
  auto node = parseJson(Entry);
  if (value.empty())
    node.erase(field);
  else
    node[field] = parseJson(value);
  return writeJson(node);
}

} // namespace

TEST_CASE("an incarnation is identified by the replica's id and start time",
          "[documents][life]") {
  auto replica = readReplica("i-1", Entry);
  REQUIRE(replica);
  CHECK(replica->Incarnation == ReplicaIncarnation("i-1", 1733184000123));
  CHECK(readReplica("i-1", withField("born", ""))->Incarnation ==
        ReplicaIncarnation("i-1"));
  auto report = readReport(R"({"sequence":1,"models":[],"born":17})");
  REQUIRE(report);
  CHECK(report->StartedAtMs == 17);
}

TEST_CASE("an entry that does not describe a replica is refused",
          "[documents][foreign]") {
  auto text = GENERATE(
      as<std::string>{}, "", "null", "7", "[]", "{}", "\xff\xfe",
      "{\"a\":", withField("service", ""), withField("service", "3"),
      withField("service", R"("a b")"), withField("address", ""),
      withField("address", R"("10.0.0.1")"),
      withField("address", R"("nowhere:80")"),
      withField("address", R"("10.0.0.1:99999")"), withField("address", "[]"),
      withField("zone", ""), withField("zone", "null"),
      withField("slots", R"("64")"), withField("slots", "-1"),
      withField("slots", "1.5"), withField("slots", ""), withField("state", ""),
      withField("state", R"("retired")"), withField("state", "true"),
      withField("born", R"("1733184000123")"), withField("born", "17.5"),
      withField("born", "-4"), withField("born", "null"),
      withField("models", "{\"a\":1}"), withField("models", R"([{"name":7}])"),
      withField("models", R"([{"name":"m","version":"2"}])"),
      withField("models", R"([{"name":"m","adapters":[3]}])"),
      withField("remaining_ms", R"("soon")"), std::string(70'000, '['),
      "\"" + std::string(70'000, 'x') + "\"");
  CAPTURE(text.substr(0, 300));
  auto replica = readReplica("i-1", text);
  REQUIRE_FALSE(replica);
  CHECK_FALSE(replica.error().empty());
}

// Casts of numbers beyond a type's range have no defined result.
TEST_CASE("numbers beyond their range are taken as the nearest one within",
          "[documents][foreign]") {
  auto entry = [](const std::string &remaining) {
    return platform_document::readReplica(
        "i-1", R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
               R"("state":"draining","remaining_ms":)" +
                   remaining + "}");
  };
  CHECK(entry("1500.5")->TerminatesIn == std::chrono::microseconds(1'500'500));
  CHECK(entry("-7")->TerminatesIn == Span(0));
  for (const auto *it : {"1e300", "18446744073709551616", "9e18"})
    CHECK(entry(it)->TerminatesIn == std::chrono::hours(24 * 365));
  CHECK_FALSE(entry(R"("soon")"));
  auto plan = [](const std::string &attempts) {
    return platform_document::readPlan(
        R"({"version":1,"services":[{"name":"s"}],"routes":[{"host":"h",)"
        R"("prefix":"/","service":"s","max_attempts":)" +
        attempts + "}]}");
  };
  CHECK(plan("1e300")->routes().front().MaxAttempts == 4'294'967'295U);
  CHECK(plan("-3")->routes().front().MaxAttempts == 1);
}

TEST_CASE("an entry under a malformed key is refused", "[documents][foreign]") {
  auto key = GENERATE(as<std::string>{}, "", "a b", "a\r\nX: 1", "\xc3\xa4",
                      std::string(201, 'x'));
  CHECK_FALSE(readReplica(key, Entry));
}

TEST_CASE("damaged documents are parsed or refused without an exception",
          "[documents][fuzz]") {
  const std::string Report =
      R"({"stage":"combined","models":[{"name":"m","version":1,"adapters":)"
      R"(["a1@1"]}],"pending":["m/a7@2"],"busy":true,"available":{"resident":)"
      R"(["m"],"cached_on_disk":["m"]},"sequence":9,"born":5})";
  const std::string Version = R"({"model":"m","adapter":"a1","version":4})";
  const std::vector<std::string> texts{Plan, Entry, Report, Version};
  bool passed = rc::check([&texts] {
    auto text = texts[*rc::gen::inRange<std::size_t>(0, texts.size())];
    auto changes = *rc::gen::inRange(1, 6);
    for (int it = 0; it < changes && !text.empty(); ++it) {
      auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, *rc::gen::inRange<std::size_t>(1, 12));
        break;
      case 2:
        text.insert(at,
                    text.substr(*rc::gen::inRange<std::size_t>(0, at + 1), 12));
        break;
      default:
        text.insert(at, *rc::gen::element<std::string>(
                            "null", "-1", "1e99", "\"\"", "[", "}", "1.5"));
      }
    }
    if (auto replica = readReplica("i-1", text))
      RC_ASSERT(!replica->Service.empty() && !replica->Address.empty());
    static_cast<void>(readPlan(text));
    static_cast<void>(readReport(text));
    static_cast<void>(readVersion(text));
  });
  CHECK(passed);
}

} // namespace hemlockglade::test
