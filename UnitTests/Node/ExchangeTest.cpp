#include "ExchangeRig.h"
#include "UnitTests/Coordination/FakeTable.h"

using namespace hemlockglade;
using namespace hemlockglade::test;

namespace {

const ScriptedAnswer WholeAnswer = answerOf(200, WholeBody);
const ScriptedAnswer UnfinishedAnswer =
    answerOf(200, R"({"choices":[{"text":"ans","finish_reason":null}]})");
const ScriptedAnswer Refused = answerOf(503, "busy");
const ScriptedAnswer CutBeforeHead{"", true};
const ScriptedAnswer CutInHead{"HTTP/1.1 200 OK\r\nContent-Le", true};
const ScriptedAnswer CutInBody{
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nansw", true};
const ScriptedAnswer StreamStart{
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Content-Length: 40\r\n\r\ndata: a\n\n"};

ScriptedAnswer withOtherId(const ScriptedAnswer &answer) {
  auto at = answer.Bytes.find("\r\n") + 2;
  auto bytes = answer.Bytes;
  return {bytes.insert(at, "X-Request-Id: r2\r\n"), answer.Close};
}

auto alwaysRetry = [](const FailedAttempt &it) {
  return it.How != Outcome::Complete && it.Attempts < 3
             ? RetryVerdict::Retry
             : RetryVerdict::AttemptsExhausted;
};

} // namespace

TEST_CASE("each way that attempts end gives its outcome and number of attempts",
          "[exchange]") {
  struct Case {
    std::string Name;
    bool Repeatable;
    std::deque<ScriptedAnswer> Answers;
    int Status;
    std::string Ended;
    std::size_t Attempts;
  };
  std::vector<Case> cases{
      {"whole", false, {WholeAnswer}, 200, "complete", 1},
      {"an error status of the endpoint",
       true,
       {answerOf(500, "broken")},
       500,
       "complete",
       1},
      {"unfinished completion", false, {UnfinishedAnswer}, 502, "unknown", 1},
      {"unfinished completion, repeatable",
       true,
       {UnfinishedAnswer, WholeAnswer},
       200,
       "complete",
       2},
      {"refused once", false, {Refused, WholeAnswer}, 200, "complete", 2},
      {"refused always", false, {Refused, Refused, Refused}, 503, "not-run", 3},
      {"cut before the head", false, {CutBeforeHead}, 502, "unknown", 1},
      {"cut in the head", false, {CutInHead}, 502, "unknown", 1},
      {"cut in the body", false, {CutInBody}, 502, "unknown", 1},
      {"cut before the head, repeatable",
       true,
       {CutBeforeHead, WholeAnswer},
       200,
       "complete",
       2},
      {"cut in the head, repeatable",
       true,
       {CutInHead, WholeAnswer},
       200,
       "complete",
       2},
      {"cut in the body, repeatable",
       true,
       {CutInBody, WholeAnswer},
       200,
       "complete",
       2},
      {"unknown, then refused",
       true,
       {CutInBody, Refused, Refused},
       503,
       "unknown",
       3},
      {"answer with another request's id",
       false,
       {withOtherId(WholeAnswer)},
       502,
       "unknown",
       1},
      {"answer with another request's id, repeatable",
       true,
       {withOtherId(WholeAnswer), WholeAnswer},
       200,
       "complete",
       2}};
  for (auto &it : cases) {
    CAPTURE(it.Name);
    ExchangeRig rig;
    rig.Request.Repeatable = it.Repeatable;
    rig.Engine.Answers = it.Answers;
    rig.run();
    CHECK(rig.Reply->Starts == 1);
    CHECK(rig.Reply->Ended);
    CHECK(rig.Reply->Status == it.Status);
    CHECK(rig.Reply->outcome() == it.Ended);
    CHECK(outcomeName(rig.Ends[0].Result) == it.Ended);
    CHECK(rig.Engine.Requests.size() == it.Attempts);
    CHECK((it.Status != 200 || rig.Reply->Body == WholeBody));
    CHECK(rig.allReleased());
  }
}

TEST_CASE("without the retry policy a request that must not run twice is sent "
          "twice",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Repeatable = false;
  rig.Engine.Answers = {CutInBody, WholeAnswer};
  rig.Hooks->MayRetry = alwaysRetry;
  rig.run();
  CHECK(rig.Engine.Requests.size() == 2);
}

TEST_CASE("an attempt at a port that nobody listens on counts as not run",
          "[exchange]") {
  ExchangeRig rig;
  auto dead = rig.grant();
  dead.Address = Loopback::address(rig.deadPort());
  rig.Admissions = {dead};
  rig.Request.Repeatable = false;
  rig.run();
  CHECK(rig.Reply->Status == 200);
  CHECK(rig.Released.front() == Outcome::NotRun);
}

TEST_CASE("a stream is forwarded whole, with its outcome at its end",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Stream = true;
  rig.Engine.Answers = {StreamStart};
  rig.start();
  REQUIRE(rig.until([&] { return rig.Reply->Body == "data: a\n\n"; }));
  CHECK(rig.Ends.empty());
  CHECK(rig.Registered.size() == 1);
  rig.Engine.send({':' + std::string(14, '-') + "\n\ndata: [DONE]\n\n"});
  REQUIRE(rig.finish());
  CHECK(rig.Reply->Ended);
  CHECK(rig.Reply->Body.find("\"outcome\":\"complete\"") != std::string::npos);
  CHECK(rig.allReleased());
}

TEST_CASE("a stream is not retried after its first byte was forwarded",
          "[exchange]") {
  for (bool policy : {true, false}) {
    CAPTURE(policy);
    ExchangeRig rig;
    rig.Request.Stream = true;
    rig.Engine.Answers = {{StreamStart.Bytes, true}, {StreamStart.Bytes, true}};
    if (!policy)
      rig.Hooks->MayRetry = [n = 0](const FailedAttempt &) mutable {
        return n++ ? RetryVerdict::AttemptsExhausted : RetryVerdict::Retry;
      };
    rig.run();
    auto first = rig.Reply->Body.find("data: a");
    bool doubled =
        rig.Reply->Body.find("data: a", first + 1) != first &&
        rig.Reply->Body.find("data: a", first + 1) != std::string::npos;
    CHECK(doubled == !policy);
    CHECK(rig.Reply->Body.find("\"outcome\":\"unknown\"") != std::string::npos);
  }
}

TEST_CASE("a stream without its final event has the outcome unknown",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Stream = true;
  rig.Request.Repeatable = false;
  rig.Engine.Answers = {answerOf(200, "data: a\n\ndata: torn")};
  rig.run();
  CHECK(rig.Ends[0].Result == Outcome::Unknown);
  CHECK(rig.Reply->Body.find("torn") == std::string::npos);
  CHECK(rig.Reply->Body.find("\"outcome\":\"unknown\"") != std::string::npos);
}

TEST_CASE(
    "a plain service's status does not prove that the request was not run",
    "[exchange]") {
  struct Case {
    int Status;
    std::string Fields;
    Outcome Ended;
    std::size_t Attempts;
  };
  for (const auto &it :
       std::vector<Case>{{200, "", Outcome::Complete, 1},
                         {409, "", Outcome::Complete, 1},
                         {404, "", Outcome::Complete, 1},
                         {503, "", Outcome::Unknown, 1},
                         {429, "", Outcome::Unknown, 1},
                         {503, "X-Outcome: not-run\r\n", Outcome::NotRun, 3},
                         {409, "X-Outcome: not-run\r\n", Outcome::NotRun, 3}}) {
    CAPTURE(it.Status, it.Fields);
    ExchangeRig rig;
    rig.Request.Admit.Adapter.clear();
    rig.Request.Repeatable = false;
    auto answer = answerOf(it.Status, "seat", it.Fields);
    rig.Engine.Answers = {answer, answer, answer};
    rig.run();
    CHECK(rig.Ends[0].Result == it.Ended);
    CHECK(rig.Engine.Requests.size() == it.Attempts);
    CHECK(rig.Reply->Status == it.Status);
  }
}

TEST_CASE("a long answer that breaks off is aborted for its caller",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Repeatable = false;
  rig.Engine.Answers = {{"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" +
                             std::string(600000, 'x'),
                         true}};
  rig.run();
  CHECK(rig.Reply->Aborted);
  CHECK(rig.Ends[0].Result == Outcome::Unknown);
}

TEST_CASE("parts of another request's stream are never forwarded",
          "[exchange]") {
  // Without the request id in the answer it can't be recognized.
  for (bool marked : {true, false}) {
    ExchangeRig rig;
    rig.Request.Stream = true;
    rig.Request.Repeatable = false;
    auto answer = answerOf(200, "data: theirs\n\ndata: [DONE]\n\n");
    rig.Engine.Answers = {marked ? withOtherId(answer) : answer};
    rig.run();
    bool passed = rig.Reply->Body.find("theirs") != std::string::npos;
    CHECK(passed == !marked);
    CHECK((rig.Ends[0].Result == Outcome::Unknown) == marked);
  }
}

TEST_CASE("each result of a claim gives its status and outcome", "[exchange]") {
  struct Case {
    ClaimResult Result;
    int Status;
    std::string ExpectedOutcome;
    std::string Id;
  };
  for (const auto &it :
       std::vector<Case>{{ClaimResult::Claimed, 200, "complete", "r1"},
                         {ClaimResult::Taken, 409, "complete", "r0"},
                         {ClaimResult::OtherBody, 422, "not-run", "r1"},
                         {ClaimResult::StoreUnavailable, 503, "not-run", "r1"},
                         {ClaimResult::Ambiguous, 502, "unknown", "r1"}}) {
    CAPTURE(it.Status);
    ExchangeRig rig;
    rig.Request.IdempotencyKey = "k";
    rig.Request.Repeatable = false;
    rig.ClaimResponse.emplace();
    rig.ClaimResponse->Result = it.Result;
    rig.ClaimResponse->Recorded = Outcome::Complete;
    rig.ClaimResponse->RequestId = "r0";
    rig.run();
    bool claimed = it.Result == ClaimResult::Claimed;
    CHECK(rig.Reply->Status == it.Status);
    CHECK(rig.Reply->outcome() == it.ExpectedOutcome);
    CHECK(rig.Reply->field(header::RequestId) == it.Id);
    CHECK(rig.Reply->field("Retry-After") == (it.Status == 503 ? "5" : ""));
    CHECK(rig.Engine.Requests.size() == (claimed ? 1 : 0));
    CHECK(rig.Recorded.size() == (claimed ? 1 : 0));
    CHECK(rig.allReleased());
  }
}

TEST_CASE("one idempotency key runs once across entries", "[exchange]") {
  // Without the comparison of versions in the table both claims succeed.
  for (bool compares : {true, false}) {
    CAPTURE(compares);
    VirtualTime time;
    FakeTable table(time, 1);
    table.Compares = compares;
    ClaimHooks hooks;
    hooks.WallMs = [] { return 1; };
    hooks.After = [&](Span span, std::function<void()> call) {
      time.after(span, std::move(call));
    };
    std::size_t runs = 0;
    std::vector<int> statuses;
    std::vector<std::unique_ptr<ExchangeRig>> rigs;
    std::vector<std::shared_ptr<ClaimStore>> stores;
    for (int it = 0; it < 2; ++it) {
      stores.push_back(std::make_shared<ClaimStore>(
          ClaimSettings{}, "node-" + std::to_string(it), table.hooks(), hooks));
      auto &rig = *rigs.emplace_back(std::make_unique<ExchangeRig>());
      rig.Request.IdempotencyKey = "k";
      rig.Request.Id = "r" + std::to_string(it);
      rig.Hooks->Claim = [store = stores.back()](const ExchangeRequest &request,
                                                 ClaimStore::OnAnswer done) {
        store->claim({"s", request.IdempotencyKey, request.Body, request.Id},
                     std::move(done));
      };
      rig.start();
      REQUIRE(rig.until([&] { return !rig.Registered.empty(); }));
    }
    time.advance(std::chrono::seconds(1));
    for (auto &rig : rigs) {
      REQUIRE(rig->finish());
      runs += rig->Engine.Requests.size();
      statuses.push_back(rig->Reply->Status);
    }
    CHECK(runs == (compares ? 1 : 2));
    CHECK(std::count(statuses.begin(), statuses.end(), 409) ==
          (compares ? 1 : 0));
  }
}

TEST_CASE("a caller that disconnects while it waits releases its slot",
          "[exchange]") {
  ExchangeRig rig;
  rig.HoldAdmissions = true;
  rig.start();
  rig.Reply->disconnect();
  REQUIRE(rig.Ends.size() == 1);
  CHECK(rig.Ends[0].CallerDisconnected);
  CHECK(rig.Ends[0].Result == Outcome::NotRun);
  CHECK(rig.allReleased());
  // A grant that arrives later has no effect.
  rig.AdmitReplies[0](rig.grant());
  rig.settle();
  CHECK(rig.Registered.empty());
  CHECK(rig.Engine.Requests.empty());
}

TEST_CASE("nothing is sent for a caller that disconnects during its claim",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.IdempotencyKey = "k";
  rig.start();
  REQUIRE(rig.until([&] { return !rig.Claims.empty(); }));
  rig.Reply->disconnect();
  CHECK(rig.Ends[0].Result == Outcome::NotRun);
  CHECK(rig.allReleased());
  CHECK(rig.Recorded.empty());
  ClaimAnswer answer;
  answer.Result = ClaimResult::Claimed;
  rig.Claims[0](answer);
  rig.settle();
  CHECK(rig.Recorded == std::vector{Outcome::NotRun});
  CHECK(rig.Engine.Requests.empty());
  CHECK(rig.Ends.size() == 1);
}

TEST_CASE("the transfer is cancelled when the caller disconnects during it",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Stream = true;
  rig.Request.IdempotencyKey = "k";
  rig.ClaimResponse.emplace().Result = ClaimResult::Claimed;
  rig.Engine.Answers = {StreamStart};
  rig.start();
  REQUIRE(rig.until([&] { return !rig.Reply->Body.empty(); }));
  rig.Reply->disconnect();
  CHECK(rig.Ends[0].CallerDisconnected);
  CHECK(rig.Ends[0].Result == Outcome::Unknown);
  CHECK(rig.Recorded == std::vector{Outcome::Unknown});
  CHECK(rig.allReleased());
  CHECK(rig.until([&] { return rig.Engine.Closed == 1; }));
  CHECK(rig.Ends.size() == 1);
}

TEST_CASE("admission is requested again after the owner is lost",
          "[exchange]") {
  for (const auto *reason : {"owner-lost", "no-owner", "not-owner"}) {
    ExchangeRig rig;
    rig.Admissions = {ExchangeRig::refusal(reason)};
    rig.start();
    REQUIRE(rig.until([&] { return !rig.Timers.empty(); }));
    rig.settle(1);
    CHECK(rig.Reply->Starts == 0);
    CHECK(rig.Released.size() == 1);
    rig.fire();
    REQUIRE(rig.finish());
    CHECK(rig.Reply->Status == 200);
    CHECK(rig.AdmitRequests.size() == 2);
    CHECK(rig.AdmitRequests[1].DeadlineUs <= rig.AdmitRequests[0].DeadlineUs);
    CHECK(rig.allReleased());
  }
}

TEST_CASE("an owner's refusal is forwarded with its Retry-After",
          "[exchange]") {
  ExchangeRig rig;
  rig.Admissions = {ExchangeRig::refusal("queue-full")};
  rig.run();
  CHECK(rig.Reply->Status == 503);
  CHECK(rig.Reply->outcome() == "not-run");
  CHECK(rig.Reply->field("Retry-After") == "2");
  CHECK(rig.Reply->Body.find("queue-full") != std::string::npos);
  CHECK(rig.Engine.Requests.empty());
}

TEST_CASE("past its deadline a request is refused, not sent to an owner again",
          "[exchange]") {
  ExchangeRig rig;
  rig.Request.Deadline = TimerService::now() + std::chrono::milliseconds(200);
  rig.Admissions = {ExchangeRig::refusal("owner-lost")};
  rig.start();
  REQUIRE(rig.until([&] { return !rig.Released.empty(); }));
  while (TimerService::now() < rig.Request.Deadline)
    ;
  rig.fire();
  REQUIRE(rig.Ends.size() == 1);
  CHECK(rig.Ends[0].Reason == "deadline-passed");
  CHECK(rig.Reply->Status == 503);
  CHECK(rig.Reply->outcome() == "not-run");
  CHECK(rig.Reply->field("Retry-After") == "1");
  CHECK(rig.AdmitRequests.size() == 1);
}

TEST_CASE("a request whose owner never answers is refused at its deadline",
          "[exchange]") {
  ExchangeRig rig;
  rig.HoldAdmissions = true;
  rig.start();
  rig.fire();
  REQUIRE(rig.Ends.size() == 1);
  CHECK(rig.Ends[0].Reason == "deadline-passed");
  CHECK(rig.Reply->Status == 503);
  CHECK(rig.Reply->outcome() == "not-run");
  CHECK(rig.allReleased());
}

TEST_CASE("a late grant to an earlier admission request is not used",
          "[exchange]") {
  // Off: the late grant arrives as the answer to the current request.
  for (bool rounds : {true, false}) {
    CAPTURE(rounds);
    ExchangeRig rig;
    ScriptedEndpoint other{rig.Context};
    rig.HoldAdmissions = true;
    rig.start();
    rig.AdmitReplies[0](ExchangeRig::refusal("owner-lost"));
    rig.fire();
    REQUIRE(rig.AdmitRequests.size() == 2);
    auto late = rig.grant(2);
    late.Address = other.address();
    rig.AdmitReplies[rounds ? 0 : 1](late);
    if (rounds)
      rig.AdmitReplies[1](rig.grant());
    REQUIRE(rig.finish());
    CHECK(other.Requests.size() == (rounds ? 0 : 1));
    CHECK(rig.Engine.Requests.size() == (rounds ? 1 : 0));
    CHECK(rig.allReleased());
  }
}

TEST_CASE("nothing is sent under a grant of an owner that has been superseded",
          "[exchange]") {
  for (bool checked : {true, false}) {
    CAPTURE(checked);
    ExchangeRig rig;
    rig.Admissions = {rig.grant(2), rig.grant(3)};
    rig.MinEpoch = checked ? 3 : 0;
    rig.start();
    REQUIRE(rig.until([&] { return !rig.Released.empty(); }));
    CHECK(rig.Engine.Requests.empty() == checked);
    rig.fire();
    REQUIRE(rig.finish());
    auto fence = rig.Engine.Requests.back().find("X-Fencing-Epoch: 3");
    CHECK((fence != std::string::npos) == checked);
    CHECK(rig.Engine.Requests.size() == 1);
    CHECK(rig.allReleased());
  }
}

TEST_CASE("a slow caller pauses the transfer and loses nothing", "[exchange]") {
  constexpr std::size_t Limit = std::size_t{256} * 1024;
  std::string body;
  for (int it = 0; body.size() < 8 * Limit; ++it)
    body += std::to_string(it) + ',';
  ExchangeRig rig;
  rig.Reply->Slow = true;
  rig.Engine.Answers = {answerOf(200, body)};
  rig.start();
  REQUIRE(rig.until([&] { return rig.Reply->Unsent > Limit; }));
  rig.settle();
  CHECK(rig.Ends.empty());
  REQUIRE(rig.until([&] {
    while (rig.Reply->sendOne())
      continue;
    return !rig.Ends.empty();
  }));
  CHECK(rig.Reply->Body == body);
  CHECK(rig.Ends[0].Result == Outcome::Complete);
  CHECK(rig.Reply->MaxUnsent <= 3 * Limit);
}
