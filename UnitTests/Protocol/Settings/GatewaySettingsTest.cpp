#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"
#include "UnitTests/Protocol/ExampleFile.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

const std::string Least = "name: entry-1\nfailure_domain: hall-a\n"
                          "address: 10.0.0.1\ncaller_address: 10.0.0.1:80\n"
                          "registry_address: 10.0.0.2:80\n"
                          "failure_domains: [hall-a, hall-b]\n";

} // namespace

TEST_CASE("a gateway's settings are read", "[gateway-settings]") {
  auto settings = readGatewaySettings(
      Least + "stop_bound_s: 2.5\nrepeat_share: 0.25\nhandover_ms: 4000\n"
              "drain_bound_ms: 900\nversion_bound_ms: 800\n"
              "plan_bound_ms: 700\n"
              "metrics_address: \"\"\nseeds: [\"10.0.0.3:7\"]\n",
      "f");
  REQUIRE(settings);
  CHECK(settings->Name == "entry-1");
  CHECK(settings->FailureDomains.size() == 2);
  CHECK(settings->StopBound == std::chrono::milliseconds(2500));
  CHECK(settings->RepeatShare == Approx(0.25));
  CHECK(settings->Handover == std::chrono::seconds(4));
  CHECK(settings->DrainBound == std::chrono::milliseconds(900));
  CHECK(settings->VersionBound == std::chrono::milliseconds(800));
  CHECK(settings->PlanBound == std::chrono::milliseconds(700));
  CHECK(settings->MetricsAddress.empty());
}

// A platform shares a deployment's budget out, and names a part of a number.
TEST_CASE("a number of repeats need not be whole", "[gateway-settings]") {
  auto settings = readGatewaySettings(Least + "repeat_extra: 35.8333\n", "f");
  REQUIRE(settings);
  CHECK(settings->RepeatExtra == Approx(35.8333));
  CHECK_FALSE(readGatewaySettings(Least + "repeat_extra: -0.5\n", "f"));
}

TEST_CASE("faults of a gateway's settings are told all at once",
          "[gateway-settings]") {
  auto settings = readGatewaySettings(
      "name: entry-1\nfailure_domain: \"a b\"\naddress: here\n"
      "caller_address: 10.0.0.1\nregistry_address: 10.0.0.2:80\n"
      "failure_domains: [hall-a]\nrepeat_share: much\nstop_bound_s: 1000\n"
      "unknown: 1\n",
      "f");
  REQUIRE_FALSE(settings);
  CHECK(settings.error().size() == 6);
  CHECK(settings.error().front().Line == 2);
}

TEST_CASE("a settings file that is no mapping is refused",
          "[gateway-settings]") {
  CHECK_FALSE(readGatewaySettings("[]", "f"));
  CHECK_FALSE(readGatewaySettings("name: [", "f"));
  CHECK_FALSE(readGatewaySettings("", "f"));
}

TEST_CASE("decisions are read, checked, and otherwise the defaults",
          "[gateway-settings]") {
  auto settings = readGatewaySettings(
      Least + "decisions:\n  backlog_cost: 2\n  fast_half_life_ms: 0\n", "f");
  REQUIRE(settings);
  CHECK(settings->Decisions.Route.BacklogCost == Approx(2));
  CHECK(settings->Decisions.Desk.FastHalfLife == Span(0));
  CHECK(settings->Decisions.Desk.RatePerCopy ==
        CellPlacement::Settings{}.RatePerCopy);
  auto wrong = readGatewaySettings(
      Least + "decisions:\n  backlog_cost: much\n  hold_share: 2\n  odd: 1\n",
      "f");
  REQUIRE_FALSE(wrong);
  CHECK(wrong.error().size() == 3);
  CHECK(wrong.error().front().Key == "decisions.backlog_cost");
  CHECK_FALSE(readGatewaySettings(Least + "decisions: [1]\n", "f"));
}

TEST_CASE("the example's decisions are the defaults", "[gateway-settings]") {
  auto text = exampleFile("gateway.yaml");
  auto settings = readGatewaySettings(text, "gateway.yaml");
  REQUIRE(settings);
  const auto &now = settings->Decisions;
  const DecisionSettings defaults;
  CHECK(now.Route.BacklogCost == Approx(defaults.Route.BacklogCost));
  CHECK(now.Route.PaceBacklog == defaults.Route.PaceBacklog);
  CHECK(now.Desk.Concurrency.FirstPerRate ==
        Approx(defaults.Desk.Concurrency.FirstPerRate));
  CHECK(now.Desk.FastHalfLife == defaults.Desk.FastHalfLife);
  CHECK(now.Desk.PressedRatePerCopy ==
        Approx(defaults.Desk.PressedRatePerCopy));
  CHECK(now.Desk.WantLasts == defaults.Desk.WantLasts);
  CHECK(now.Exchange.CongestedAfter == defaults.Exchange.CongestedAfter);
  CHECK(now.Exchange.MinStallTime == defaults.Exchange.MinStallTime);
}

} // namespace hemlockglade::test
