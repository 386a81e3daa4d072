#include "Programs/hemlockgladed/CallerFront.h"
#include "UnitTests/Node/FakeReply.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

/// The front of a node, with what it would have begun.
struct Front {
  std::shared_ptr<const CatalogView> InForce;
  std::vector<ExchangeRequest> Begun;
  std::unique_ptr<CallerFront> Callers;
  bool CaughtUp = true;

  Front() {
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
      Begun.push_back(std::move(request));
    };
    Callers = std::make_unique<CallerFront>(settings, hooks);
  }
  std::shared_ptr<FakeReply> send(HttpIncoming incoming) {
    auto reply = std::make_shared<FakeReply>();
    CHECK(Callers->take(incoming, reply));
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

TEST_CASE("each bad input of a caller has its status and its reason",
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
  Front front;
  for (const auto &it : cases) {
    CAPTURE(it.In.Method, it.In.Path, it.In.Body, it.Type);
    auto reply = front.send(it.In);
    CHECK(reply->Begun == 1);
    CHECK(reply->Status == it.Status);
    CHECK(reply->outcome() == "not-run");
    CHECK(reply->Body.find(it.Type) != std::string::npos);
  }
  CHECK(front.Begun.empty());
  // Other paths are left to others; good input begins.
  auto other = call("GET", "/metrics");
  CHECK_FALSE(front.Callers->take(other, nullptr));
  front.send(completion("oath"));
  REQUIRE(front.Begun.size() == 1);
  CHECK(front.Begun[0].Admit.Adapter == "oath@2");
  CHECK(front.Begun[0].Repeatable);
}

TEST_CASE("a caller has its places and no more", "[caller]") {
  Front front;
  front.send(completion("oath"));
  front.send(completion("oath"));
  auto reply = front.send(completion("oath"));
  CHECK(reply->Status == 429);
  CHECK(reply->outcome() == "not-run");
  CHECK(reply->field("Retry-After") == "1");
  auto other = completion("oath");
  other.Remote = "127.0.0.2";
  CHECK(front.send(other)->Begun == 0);
  // A place is free again with the end of its request, also a refused one's.
  front.Begun.erase(front.Begun.begin());
  front.send(completion("oath", {{"X-Deadline-Ms", "x"}}));
  CHECK(front.send(completion("oath"))->Begun == 0);
  CHECK(front.send(completion("oath"))->Status == 429);
}

TEST_CASE("deadlines are those asked for, within the bound", "[caller]") {
  struct Case {
    std::string Ms;
    Span Most;
  };
  for (const auto &it :
       std::vector<Case>{{"1000", std::chrono::seconds(1)},
                         {"600001", std::chrono::minutes(10)},
                         {"9223372036854775", std::chrono::minutes(10)},
                         {"9223372036854775807", std::chrono::minutes(10)}}) {
    CAPTURE(it.Ms);
    Front front;
    auto before = TimerService::now();
    front.send(completion("oath", {{"X-Deadline-Ms", it.Ms}}));
    REQUIRE(front.Begun.size() == 1);
    CHECK(front.Begun[0].Deadline >= before + it.Most);
    CHECK(front.Begun[0].Deadline <= TimerService::now() + it.Most);
  }
}

TEST_CASE("what may run twice", "[caller]") {
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
    Front front;
    auto in = it.In;
    in.Fields = it.More;
    front.send(in);
    REQUIRE(front.Begun.size() == 1);
    CHECK(front.Begun[0].Repeatable == it.Repeatable);
  }
}

TEST_CASE("a node that has just started sends callers elsewhere", "[caller]") {
  Front front;
  front.CaughtUp = false;
  auto reply = front.send(completion("oath"));
  CHECK(reply->Status == 503);
  CHECK(reply->outcome() == "not-run");
  CHECK(reply->field("Retry-After") == "1");
  CHECK(front.Begun.empty());
  front.CaughtUp = true;
  front.send(completion("oath"));
  CHECK(front.Begun.size() == 1);
}
