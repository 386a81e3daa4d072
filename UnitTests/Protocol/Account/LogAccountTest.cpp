#include "Hemlockglade/Protocol/Account/LogAccount.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace hemlockglade::test {

namespace {

void addLine(LogAccount &account, double at, const std::string &fields) {
  auto line = readLogLine(std::to_string(at) +
                          " entry-1 {\"at_ms\":1,\"node\":" + "\"entry-1\"," +
                          fields + "}");
  REQUIRE(line);
  account.add(*line);
}

std::string loadFields(const std::string &weights, const std::string &replica,
                       const std::string &answer = "accepted") {
  return R"("event":"order","kind":"load","version":2,"reason":"demand",)"
         R"("weights":")" +
         weights + R"(","replica":")" + replica + R"(","answer":")" + answer +
         "\"";
}

} // namespace

TEST_CASE("a log line is read with and without a collector's prefix",
          "[account]") {
  auto plain = readLogLine(R"({"at_ms":2500,"node":"n","event":"start"})");
  REQUIRE(plain);
  CHECK(plain->AtSeconds == Approx(2.5));
  CHECK_FALSE(plain->Collected);
  auto collected =
      readLogLine(R"(  -3.25 n {"at_ms":2500,"node":"n","event":"start"})");
  REQUIRE(collected);
  CHECK(collected->AtSeconds == Approx(-3.25));
  CHECK(collected->Collected);
  for (const auto *it : {"", "no JSON", "{", "[1]", "{}", R"({"node":"n"})",
                         R"({"node":7,"event":"start"})"})
    CHECK_FALSE(readLogLine(it));
}

TEST_CASE("loads are counted by where the weights had been loaded before",
          "[account]") {
  LogAccount account({});
  addLine(account, 1, loadFields("m/a1", "i-1"));
  addLine(account, 2, loadFields("m/a1", "i-1"));
  addLine(account, 3, loadFields("m/a1", "i-2"));
  addLine(account, 4, loadFields("m/a2", "i-1"));
  addLine(account, 4, loadFields("m/a3", "i-1", "conflict"));
  const auto &n = account.loads().at("demand");
  CHECK(n.All == 4);
  CHECK(n.First == 2);
  CHECK(n.SameReplica == 1);
  CHECK(n.OtherReplica == 1);
}

TEST_CASE("requests are counted by wait reason, result and window",
          "[account]") {
  LogAccount account({});
  addLine(account, 2.5,
          R"("event":"send","request":"r1","route":"w",)"
          R"("wait":"engine reads","waited_ms":400.5)");
  addLine(account, 2.6, R"("event":"repeat","request":"r1","why":"slow")");
  addLine(account, 2.7,
          R"("event":"send","request":"r1","route":"w",)"
          R"("wait":"","waited_ms":700)");
  addLine(account, 3.1,
          R"("event":"end","request":"r1","status":200,)"
          R"("result":"complete","took_ms":1000)");
  addLine(account, 9,
          R"("event":"end","request":"r2","status":503,)"
          R"("result":"held too long","wait":"weights missing",)"
          R"("took_ms":1500)");
  CHECK(account.waits().at("engine reads").Ms == std::vector<double>{400.5});
  CHECK(account.attempts().at("slow") == 1);
  CHECK(account.attempts().at("complete") == 1);
  CHECK(account.refusals().at(
            "held too long, after waiting for: weights missing") == 1);
  const auto &served = account.windows().at({"w", 1});
  CHECK(served.Complete == 1);
  CHECK(served.HeldLong == 1);
  CHECK(account.windows().at({"never sent", 3}).Refused == 1);
  std::ostringstream out;
  account.print(out);
  CHECK(out.str().find("engine reads") != std::string::npos);
}

TEST_CASE("keys of requests under which several replicas ended are printed",
          "[account]") {
  LogAccount account({});
  for (int n = 0; n < 3; ++n)
    addLine(account, n, R"("event":"ended-under","key":"k1","replica":"i-1")");
  addLine(account, 4, R"("event":"ended-under","key":"k2","replica":"i-1")");
  addLine(account, 4, R"("event":"request-barred","key":"k1","ends":3)");
  CHECK(account.replicaEnds().at("k1") == 3);
  CHECK(account.barredKeys() == std::set<std::string>{"k1"});
  std::ostringstream out;
  account.print(out);
  CHECK(out.str().find("3  k1, barred") != std::string::npos);
  CHECK(out.str().find("k2") == std::string::npos);
}

} // namespace hemlockglade::test
