#include "platform/Headers.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

std::string valueOf(const OwnedFields &fields, std::string_view name) {
  std::string out;
  for (const auto &[key, value] : fields)
    if (key == name)
      out.append(out.empty() ? "" : ",").append(value);
  return out;
}

} // namespace

TEST_CASE("the labels of a request are parsed", "[headers]") {
  auto labels = platformLabels().ReadRequest(
      {{"x-attempt-id", "id-1"},
       {"X-Deadline-Ms", "1500"},
       {"X-Key", "secret"},
       {"X-Model", "base/a1"},
       {"X-Token-Count", "1460,80"},
       {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
       {"Last-Event-Id", "12"}});
  CHECK(labels.Id == "id-1");
  CHECK(labels.TimeLeft == std::chrono::milliseconds(1500));
  CHECK(labels.Weights == WeightsRef{"base", "a1"});
  CHECK(labels.PromptTokens == 1460);
  CHECK(labels.MaxOutputTokens == 80);
  REQUIRE(labels.Prompt.size() == 3);
  CHECK(labels.Prompt[0].Id == 0x5c1e07a2);
  CHECK(labels.Prompt[2].Tokens == 250);
  CHECK(labels.ResumeBehind == "12");
  CHECK(labels.Caller == "secret");
}

TEST_CASE("missing or malformed labels are ignored", "[headers]") {
  auto labels = platformLabels().ReadRequest(
      {{"X-Deadline-Ms", "soon"},
       {"X-Token-Count", "many"},
       {"X-Prompt-Prefix", "5c1e07a2:800,zz:1,91bd3f06:410"}});
  CHECK(labels.Id.empty());
  CHECK_FALSE(labels.TimeLeft);
  CHECK_FALSE(labels.Weights);
  CHECK(labels.PromptTokens == 0);
  CHECK(labels.Prompt.size() == 1);
  CHECK(platformLabels().ReadRequest({{"X-Deadline-Ms", "-5"}}).TimeLeft ==
        Span(0));
  CHECK(platformLabels()
            .ReadRequest({{"X-Deadline-Ms", "9223372036854775807"}})
            .TimeLeft == std::chrono::hours(24));
}

TEST_CASE("fields that only the product may set are replaced or dropped",
          "[headers]") {
  ForwardLabels labels;
  labels.TimeLeft = std::chrono::milliseconds(900);
  labels.Incarnation = "i-1";
  labels.Priority = 3;
  labels.Version = 7;
  auto out = platformLabels().Forward({{"Host", "a.example"},
                                       {"X-Attempt-Id", "id-1"},
                                       {"X-Deadline-Ms", "1500"},
                                       {"x-expect-instance", "forged"},
                                       {"X-Request-Priority", "0"},
                                       {"X-Expect-Version", "1"},
                                       {"X-Hold", "h"},
                                       {"X-Pin-Ms", "1"},
                                       {"X-Kv-Backup", "10.0.0.1:1"},
                                       {"Kv-From", "10.0.0.1:1/x"},
                                       {"Kv-Fetch", "10.0.0.1:1"},
                                       {"Connection", "keep-alive"},
                                       {"Transfer-Encoding", "chunked"},
                                       {"X-Other", "kept"}},
                                      labels);
  CHECK(valueOf(out, "Host") == "a.example");
  CHECK(valueOf(out, "X-Attempt-Id") == "id-1");
  CHECK(valueOf(out, "X-Deadline-Ms") == "900");
  CHECK(valueOf(out, "X-Expect-Instance") == "i-1");
  CHECK(valueOf(out, "X-Request-Priority") == "3");
  CHECK(valueOf(out, "X-Expect-Version") == "7");
  CHECK(valueOf(out, "X-Other") == "kept");
  for (const auto *name :
       {"x-expect-instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From",
        "Kv-Fetch", "Connection", "Transfer-Encoding"})
    CHECK(valueOf(out, name).empty());
}

TEST_CASE("the key and workspace fields of a caller are never forwarded",
          "[headers]") {
  ForwardLabels labels;
  LabelFields sent{{"x-key", "secret"},
                   {"X-Key", "second"},
                   {"x-tenant", "forged"},
                   {"X-Tenant", "forged again"}};
  auto withoutWorkspace = platformLabels().Forward(sent, labels);
  for (const auto *name : {"x-key", "X-Key", "x-tenant", "X-Tenant"})
    CHECK(valueOf(withoutWorkspace, name).empty());
  labels.Workspace = "red";
  auto out = platformLabels().Forward(sent, labels);
  CHECK(valueOf(out, "X-Tenant") == "red");
  CHECK(valueOf(out, "x-tenant").empty());
  CHECK(valueOf(out, "X-Key").empty());
  // With two keys it would be undefined which one counts; so none does.
  CHECK(platformLabels().ReadRequest(sent).Caller.empty());
}

TEST_CASE("a request without a valid token count is recognized", "[headers]") {
  auto read = platformLabels().ReadRequest;
  CHECK(read({{"X-Token-Count", "0,80"}}).TellsTokens);
  CHECK(read({{"X-Token-Count", "14"}}).TellsTokens);
  CHECK_FALSE(read({{"X-Token-Count", "many"}}).TellsTokens);
  CHECK_FALSE(read({}).TellsTokens);
}

TEST_CASE("a resumed stream asks for events after the last forwarded one",
          "[headers]") {
  ForwardLabels labels;
  LabelFields sent{{"Last-Event-Id", "5"}};
  CHECK(valueOf(platformLabels().Forward(sent, labels), "Last-Event-Id") ==
        "5");
  labels.ResumeBehind = "9";
  CHECK(valueOf(platformLabels().Forward(sent, labels), "Last-Event-Id") ==
        "9");
}

TEST_CASE("the stream that a caller takes up is parsed", "[headers]") {
  auto read = platformLabels().ReadRequest;
  CHECK(read({{"Resumes", "ef7495f382ac3fab"}}).Resumes == "ef7495f382ac3fab");
  CHECK_FALSE(read({{"Resumes", "ef7495f382ac3fab"}}).MalformedResumes);
  CHECK_FALSE(read({}).MalformedResumes);
  CHECK(read({{"Resumes", ""}}).MalformedResumes);
  CHECK(read({{"Resumes", "two words"}}).MalformedResumes);
  CHECK(read({{"Resumes", std::string(200, 'a')}}).MalformedResumes);
  CHECK(read({{"Resumes", "a"}, {"resumes", "b"}}).MalformedResumes);
}

TEST_CASE("the labels of an answer are parsed", "[headers]") {
  auto read = platformLabels().ReadAnswer;
  auto good = read(200, {{"X-Attempt-Id", "id-1"},
                         {"X-Response-Seal", "s"},
                         {"Content-Type", "text/event-stream; charset=utf-8"}});
  CHECK(good.Id == "id-1");
  CHECK(good.Sealed);
  CHECK(good.Events);
  CHECK_FALSE(good.NotRun);
  CHECK_FALSE(good.Encoded);
  CHECK(read(503, {{"X-Not-Executed", "1"}}).NotRun);
  CHECK_FALSE(read(503, {}).NotRun);
  auto other = read(421, {{"X-Instance-Id", "i-2"}});
  CHECK(other.NotRun);
  CHECK(other.Incarnation == "i-2");
  CHECK(read(200, {{"Content-Encoding", "gzip"}}).Encoded);
}

TEST_CASE("the limit that a replica states is parsed", "[headers]") {
  auto limitOf = [](std::string_view text) {
    return platformLabels()
        .ReadAnswer(200, {{"server-limit", text}})
        .RequestLimit;
  };
  CHECK(limitOf("1.3") == 1.3);
  CHECK(limitOf("120") == 120);
  // A replica that accepts nothing is still asked at times.
  CHECK(limitOf("0") == 0.01);
  for (const auto *text : {"", "-1", "nan", "inf", "1.3 ", "1,3", "many"})
    CHECK_FALSE(limitOf(text));
  CHECK_FALSE(platformLabels().ReadAnswer(200, {}).RequestLimit);
}

TEST_CASE("the rejections that a replica bears are parsed", "[headers]") {
  auto read = [](std::string_view text) {
    return platformLabels()
        .ReadAnswer(503, {{"server-brittle", text}})
        .RejectionLimit;
  };
  CHECK(read("4") == 4);
  CHECK_FALSE(read("-4"));
  CHECK_FALSE(platformLabels().ReadAnswer(503, {}).RejectionLimit);
}

TEST_CASE("the pause that a rejecting replica asks for is parsed",
          "[headers]") {
  using std::chrono::milliseconds;
  auto read = platformLabels().ReadAnswer;
  auto pauseOf = [&read](std::string_view text) {
    return read(503, {{"retry-after", text}}).PauseFor;
  };
  CHECK(pauseOf("3") == milliseconds(3000));
  CHECK(pauseOf("0.25") == milliseconds(250));
  CHECK(pauseOf("0") == Span(0));
  CHECK(pauseOf("1e300") > std::chrono::hours(1));
  for (const auto *text : {"", "-1", "nan", "inf", "3 ", "3s", "1e999",
                           "Fri, 04 Dec 2026 09:00:00 GMT"}) {
    CHECK_FALSE(pauseOf(text));
    CHECK(read(503, {{"Retry-After", text}}).MalformedPause);
  }
  auto several = read(
      503, {{"Retry-After", "x"}, {"Retry-After", "2"}, {"Retry-After", "1"}});
  CHECK(several.PauseFor == milliseconds(2000));
  CHECK(several.MalformedPause);
  CHECK(read(429, {{"Retry-After", "1"}}).PauseFor == milliseconds(1000));
  CHECK_FALSE(read(200, {{"Retry-After", "1"}}).PauseFor);
}

TEST_CASE("a replica's word that it leaves is parsed in any answer",
          "[headers]") {
  auto read = platformLabels().ReadAnswer;
  for (std::uint16_t status : {200, 202, 421, 429, 500, 503})
    CHECK(read(status, {{"server-leaving", "1"}}).Leaving);
  CHECK_FALSE(read(200, {{"Server-Leaving", "0"}}).Leaving);
  CHECK_FALSE(read(200, {}).Leaving);
}

} // namespace hemlockglade::test
