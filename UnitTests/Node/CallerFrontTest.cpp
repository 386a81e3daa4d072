#include "Programs/hemlockgladed/CallerFront.h"
#include "UnitTests/Node/FakeReply.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// A CallerFront whose accepted requests are recorded instead of started.
struct CallerFrontRig {
  std::shared_ptr<const CatalogView> InForce;
  std::vector<ExchangeRequest> Started;
  std::unique_ptr<CallerFront> Callers;
  bool CaughtUp = true;

  CallerFrontRig() {
    Catalog catalog;
    catalog.Services["assistant"].Name = "assistant";
    catalog.Services["plain"].Name = "plain";
    catalog.Services["plain"].Kind = ServiceKind::Plain;
    catalog.Adapters["oath"] = {"oath", "assistant", 2, {1, 2}};
    catalog.Adapters["lost"] = {"lost", "nowhere", 1, {1}};
    catalog.Classes["batch"].Name = "batch";
    InForce = std::make_shared<CatalogView>(CatalogView::of(catalog));
    CallerFrontSettings settings;
    settings.Node = "n1";
    settings.Incarnation = "0123456789";
    settings.MaxPerCaller = 2;
    CallerFrontHooks hooks;
    hooks.InForce = [this] { return InForce; };
    hooks.CaughtUp = [this] { return CaughtUp; };
    hooks.Begin = [this](ExchangeRequest request,
                         const std::shared_ptr<HttpReply> &) {
      Started.push_back(std::move(request));
    };
    Callers = std::make_unique<CallerFront>(settings, hooks);
  }
  std::shared_ptr<FakeReply> send(HttpIncoming incoming) {
    auto reply = std::make_shared<FakeReply>();
    CHECK(Callers->handle(incoming, reply));
    return reply;
  }
};

HttpIncoming completion(const std::string &model, HttpFields fields = {}) {
  return {"POST",      "/v1/completions",
          "",          R"({"prompt":"x","model":")" + model + "\"}",
          "127.0.0.1", std::move(fields)};
}

HttpIncoming call(const std::string &method, const std::string &path) {
  return {method, path, "q=1", "", "127.0.0.1", {}};
}

} // namespace

TEST_CASE(
    "each invalid request of a caller is refused with its status and type",
    "[caller]") {
  struct Case {
    HttpIncoming In;
    int Status;
    std::string Type;
  };
  auto broken = completion("oath");
  broken.Body = "{";
  auto noModel = completion("oath");
  noModel.Body = R"({"prompt":"x"})";
  auto get = completion("oath");
  get.Method = "GET";
  std::vector<Case> cases{
      {get, 405, "method_not_allowed"},
      {broken, 400, "invalid_request"},
      {noModel, 400, "invalid_request"},
      {completion(""), 400, "invalid_request"},
      {completion("nobody"), 404, "adapter_not_found"},
      {completion("nobody@1"), 404, "adapter_not_found"},
      {completion("oath@3"), 404, "version_not_found"},
      {completion("lost"), 404, "service_not_found"},
      {call("GET", "/services/none/x"), 404, "service_not_found"},
      {call("GET", "/services/assistant/x"), 404, "service_not_found"},
      {call("GET", "/services/"), 404, "service_not_found"},
      {completion("oath", {{"X-Service-Class", "gold"}}), 400,
       "class_not_found"},
      {completion("oath", {{"Idempotency-Key", std::string(257, 'k')}}), 400,
       "invalid_key"}};
  for (const auto *bad :
       {"0", "-1", "x", "1x", "", " 1", "1.5", "99999999999999999999"})
    cases.push_back({completion("oath", {{"X-Deadline-Ms", bad}}), 400,
                     "invalid_deadline"});
  CallerFrontRig rig;
  for (const auto &it : cases) {
    CAPTURE(it.In.Method, it.In.Path, it.In.Body, it.Type);
    auto reply = rig.send(it.In);
    CHECK(reply->Starts == 1);
    CHECK(reply->Status == it.Status);
    CHECK(reply->outcome() == "not-run");
    CHECK(reply->Body.find(it.Type) != std::string::npos);
  }
  CHECK(rig.Started.empty());
  // Other paths are not handled; a valid request is started.
  auto other = call("GET", "/metrics");
  CHECK_FALSE(rig.Callers->handle(other, nullptr));
  rig.send(completion("oath"));
  REQUIRE(rig.Started.size() == 1);
  CHECK(rig.Started[0].Admit.Adapter == "oath@2");
  CHECK(rig.Started[0].Repeatable);
}

TEST_CASE("a caller over its limit of running requests gets 429", "[caller]") {
  CallerFrontRig rig;
  rig.send(completion("oath"));
  rig.send(completion("oath"));
  auto reply = rig.send(completion("oath"));
  CHECK(reply->Status == 429);
  CHECK(reply->outcome() == "not-run");
  CHECK(reply->field("Retry-After") == "1");
  auto other = completion("oath");
  other.Remote = "127.0.0.2";
  CHECK(rig.send(other)->Starts == 0);
  // A slot is released with its request, and also when the request is refused.
  rig.Started.erase(rig.Started.begin());
  rig.send(completion("oath", {{"X-Deadline-Ms", "x"}}));
  CHECK(rig.send(completion("oath"))->Starts == 0);
  CHECK(rig.send(completion("oath"))->Status == 429);
}

TEST_CASE("a requested deadline is applied up to the maximum", "[caller]") {
  struct Case {
    std::string Ms;
    Span Expected;
  };
  for (const auto &it :
       std::vector<Case>{{"1000", std::chrono::seconds(1)},
                         {"600001", std::chrono::minutes(10)},
                         {"9223372036854775", std::chrono::minutes(10)},
                         {"9223372036854775807", std::chrono::minutes(10)}}) {
    CAPTURE(it.Ms);
    CallerFrontRig rig;
    auto before = TimerService::now();
    rig.send(completion("oath", {{"X-Deadline-Ms", it.Ms}}));
    REQUIRE(rig.Started.size() == 1);
    CHECK(rig.Started[0].Deadline >= before + it.Expected);
    CHECK(rig.Started[0].Deadline <= TimerService::now() + it.Expected);
  }
}

TEST_CASE("safe methods, completions and the header decide what is repeatable",
          "[caller]") {
  struct Case {
    HttpIncoming In;
    HttpFields More;
    bool Repeatable;
  };
  for (const auto &it : std::vector<Case>{
           {completion("oath"), {}, true},
           {completion("oath"), {{"X-Repeatable", "no"}}, false},
           {completion("oath"), {{"Idempotency-Key", "k"}}, false},
           {call("GET", "/services/plain/x"), {}, true},
           {call("POST", "/services/plain/x"), {}, false},
           {call("POST", "/services/plain"), {{"X-Repeatable", "yes"}}, true},
           {call("GET", "/services/plain/x"),
            {{"X-Repeatable", "no"}},
            false}}) {
    CAPTURE(it.In.Method, it.In.Path);
    CallerFrontRig rig;
    auto in = it.In;
    in.Fields = it.More;
    rig.send(in);
    REQUIRE(rig.Started.size() == 1);
    CHECK(rig.Started[0].Repeatable == it.Repeatable);
  }
}

TEST_CASE("a node without a configuration answers callers with 503",
          "[caller]") {
  CallerFrontRig rig;
  rig.CaughtUp = false;
  auto reply = rig.send(completion("oath"));
  CHECK(reply->Status == 503);
  CHECK(reply->outcome() == "not-run");
  CHECK(reply->field("Retry-After") == "1");
  CHECK(rig.Started.empty());
  rig.CaughtUp = true;
  rig.send(completion("oath"));
  CHECK(rig.Started.size() == 1);
}
