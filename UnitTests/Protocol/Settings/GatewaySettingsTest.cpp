#include "Hemlockglade/Protocol/Settings/GatewaySettings.h"
#include "UnitTests/Protocol/ExampleFile.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

const std::string RequiredKeys =
    "name: entry-1\nfailure_domain: hall-a\n"
    "address: 10.0.0.1\ncaller_address: 10.0.0.1:80\n"
    "registry_address: 10.0.0.2:80\n"
    "failure_domains: [hall-a, hall-b]\n";

} // namespace

TEST_CASE("valid settings of a gateway are read", "[gateway-settings]") {
  auto settings = readGatewaySettings(
      RequiredKeys +
          "stop_bound_s: 2.5\nrepeat_share: 0.25\nhandover_ms: 4000\n"
          "drain_bound_ms: 900\nversion_bound_ms: 800\n"
          "plan_bound_ms: 700\nfirst_start: true\n"
          "metrics_address: \"\"\nadvertised_peer_address: "
          "\"10.0.0.9:8\"\nseeds: [\"10.0.0.3:7\"]\n",
      "f");
  REQUIRE(settings);
  CHECK(settings->Name == "entry-1");
  CHECK(settings->FailureDomains.size() == 2);
  CHECK(settings->FirstStart);
  CHECK(settings->StopBound == std::chrono::milliseconds(2500));
  CHECK(settings->RepeatShare == Approx(0.25));
  CHECK(settings->Handover == std::chrono::seconds(4));
  CHECK(settings->DrainBound == std::chrono::milliseconds(900));
  CHECK(settings->VersionBound == std::chrono::milliseconds(800));
  CHECK(settings->PlanBound == std::chrono::milliseconds(700));
  CHECK(settings->MetricsAddress.empty());
  CHECK(settings->AdvertisedPeerAddress == "10.0.0.9:8");
}

// A platform divides the retry budget of a deployment, so that the share of one
// gateway can be a fraction.
TEST_CASE("the fixed number of retries may be a fraction",
          "[gateway-settings]") {
  auto settings =
      readGatewaySettings(RequiredKeys + "repeat_extra: 35.8333\n", "f");
  REQUIRE(settings);
  CHECK(settings->RepeatExtra == Approx(35.8333));
  CHECK_FALSE(readGatewaySettings(RequiredKeys + "repeat_extra: -0.5\n", "f"));
}

TEST_CASE("all faults of a gateway's settings are reported at once",
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

TEST_CASE("a settings file whose root is not a mapping is rejected",
          "[gateway-settings]") {
  CHECK_FALSE(readGatewaySettings("[]", "f"));
  CHECK_FALSE(readGatewaySettings("name: [", "f"));
  CHECK_FALSE(readGatewaySettings("", "f"));
}

TEST_CASE("decision settings are read and checked, and default if missing",
          "[gateway-settings]") {
  auto settings = readGatewaySettings(
      RequiredKeys + "decisions:\n  backlog_cost: 2\n  fast_half_life_ms: 0\n",
      "f");
  REQUIRE(settings);
  CHECK(settings->Decisions.Route.BacklogCost == Approx(2));
  CHECK(settings->Decisions.Placement.FastHalfLife == Span(0));
  CHECK(settings->Decisions.Placement.MaxRatePerCopy ==
        CellPlacement::Settings{}.MaxRatePerCopy);
  auto wrong = readGatewaySettings(
      RequiredKeys +
          "decisions:\n  backlog_cost: much\n  hold_share: 2\n  odd: 1\n",
      "f");
  REQUIRE_FALSE(wrong);
  CHECK(wrong.error().size() == 3);
  CHECK(wrong.error().front().Key == "decisions.backlog_cost");
  CHECK_FALSE(readGatewaySettings(RequiredKeys + "decisions: [1]\n", "f"));
}

TEST_CASE("requests can't be rejected by their place in a queue that is off",
          "[gateway-settings]") {
  auto wrong = readGatewaySettings(
      RequiredKeys + "decisions:\n  reject_hopeless: true\n", "f");
  REQUIRE_FALSE(wrong);
  CHECK(wrong.error().front().Key == "decisions.reject_hopeless");
  auto settings = readGatewaySettings(
      RequiredKeys +
          "decisions:\n  reject_hopeless: true\n  queue_held: true\n",
      "f");
  REQUIRE(settings);
  CHECK(settings->Decisions.Exchange.QueueHeld);
  CHECK(settings->Decisions.Exchange.RejectHopeless);
}

TEST_CASE("a half-life of replica speeds that forgets or keeps all is refused",
          "[gateway-settings]") {
  auto read = [](std::string_view halfLife) {
    return readGatewaySettings(RequiredKeys +
                                   "decisions:\n  replica_speeds: true\n"
                                   "  speed_half_life_s: " +
                                   std::string(halfLife) + "\n",
                               "f");
  };
  auto settings = read("2.5");
  REQUIRE(settings);
  CHECK(settings->Decisions.Route.UseSpeeds);
  CHECK(settings->Decisions.Route.Speed.HalfLife ==
        std::chrono::milliseconds(2500));
  for (auto wrong : {"0", "-1", "3601", ".nan", ".inf"}) {
    auto refused = read(wrong);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().front().Key == "decisions.speed_half_life_s");
  }
}

TEST_CASE("the decision settings of the example are the defaults",
          "[gateway-settings]") {
  auto text = exampleFile("gateway.yaml");
  auto settings = readGatewaySettings(text, "gateway.yaml");
  REQUIRE(settings);
  const auto &decisions = settings->Decisions;
  const DecisionSettings defaults;
  CHECK(decisions.Route.BacklogCost == Approx(defaults.Route.BacklogCost));
  CHECK(decisions.Route.MaxPrefillBacklog == defaults.Route.MaxPrefillBacklog);
  CHECK(decisions.Route.UseSpeeds == defaults.Route.UseSpeeds);
  CHECK(decisions.Route.Speed.HalfLife == defaults.Route.Speed.HalfLife);
  CHECK(decisions.Placement.Concurrency.InitialPerRate ==
        Approx(defaults.Placement.Concurrency.InitialPerRate));
  CHECK(decisions.Placement.FastHalfLife == defaults.Placement.FastHalfLife);
  CHECK(decisions.Placement.CongestedRatePerCopy ==
        Approx(defaults.Placement.CongestedRatePerCopy));
  CHECK(decisions.Placement.WaitReportTimeout ==
        defaults.Placement.WaitReportTimeout);
  CHECK(decisions.Exchange.CongestedAfter == defaults.Exchange.CongestedAfter);
  CHECK(decisions.Exchange.MinStallTime == defaults.Exchange.MinStallTime);
  CHECK(decisions.Exchange.QueueHeld == defaults.Exchange.QueueHeld);
  CHECK(decisions.Exchange.RejectHopeless == defaults.Exchange.RejectHopeless);
}

TEST_CASE("the memory for endless answers is checked", "[gateway-settings]") {
  auto read = [](const std::string &value) {
    return readGatewaySettings(
        RequiredKeys + "answer_memory_mb: " + value + "\n", "f");
  };
  CHECK(readGatewaySettings(RequiredKeys, "f")->AnswerMemoryMb == 0);
  CHECK(read("0")->AnswerMemoryMb == 0);
  CHECK(read("9")->AnswerMemoryMb == 9);
  for (const auto *wrong : {"8", "1", "-1", "1.5", "nan", "much", "65537",
                            "99999999999999999999"}) {
    CAPTURE(wrong);
    auto settings = read(wrong);
    REQUIRE_FALSE(settings);
    CHECK(settings.error().front().Key == "answer_memory_mb");
  }
  auto large = read("64");
  constexpr std::uint64_t MiB = 1U << 20U;
  CHECK_FALSE(contradictsMemory(*large, 0));
  CHECK_FALSE(contradictsMemory(*large, 128 * MiB));
  auto why = contradictsMemory(*large, 127 * MiB);
  REQUIRE(why);
  CHECK(why->find("answer_memory_mb") != std::string::npos);
}

TEST_CASE("what is held for others is checked against the machine's memory",
          "[gateway-settings]") {
  auto read = [](const std::string &lines) {
    return readGatewaySettings(RequiredKeys + lines, "f");
  };
  constexpr std::uint64_t MiB = 1U << 20U;
  auto none = read("");
  REQUIRE(none);
  CHECK(none->MemoryMb == 0);
  CHECK(none->RequestMemoryMb == 0);
  CHECK(none->UnreadMemoryMb == 0);
  CHECK_FALSE(contradictsMemory(*none, 20 * MiB));
  auto all = read("memory_mb: 120\nrequest_memory_mb: 30\nanswer_memory_mb: "
                  "20\nunread_memory_mb: 10\n");
  REQUIRE(all);
  CHECK(all->MemoryMb == 120);
  // Half of the least that is known.
  CHECK_FALSE(contradictsMemory(*all, 0));
  CHECK_FALSE(contradictsMemory(*all, 4096 * MiB));
  CHECK(contradictsMemory(*all, 119 * MiB));
  auto tooMuch = read("memory_mb: 120\nrequest_memory_mb: 61\n");
  REQUIRE(tooMuch);
  CHECK(contradictsMemory(*tooMuch, 0));
  for (const auto *key : {"memory_mb", "request_memory_mb", "unread_memory_mb"})
    for (const auto *wrong : {"-1", "1.5", "much", "99999999999999999999"}) {
      CAPTURE(key, wrong);
      auto settings = read(std::string(key) + ": " + wrong + "\n");
      REQUIRE_FALSE(settings);
      CHECK(settings.error().front().Key == key);
    }
}

} // namespace hemlockglade::test
