// Requests that wait for an engine in the queue of held requests.

#include "UnitTests/Node/Gateway/GatewayExchangeRig.h"

#include <thread>

namespace hemlockglade::test {

namespace {

/// Several exchanges that need an adapter which only the first engine has.
struct HeldFixture : ExchangeFixture {
  HeldFixture()
      : Held([this] {
          HeldRequests::Settings out;
          out.MinSends = 1.5;
          out.Copies = [this](const auto &service, const auto &weights,
                              Instant now) {
            return View.copiesReadyAt(service, weights, now);
          };
          return out;
        }()) {
    RunsEngine = true;
    TestRoute.Kind = RouteKind::Stream;
    TestRoute.MaxAttempts = 2;
    Shared.Held = &Held;
    Shared.OnDemand = [](auto &&...) {};
    Shared.OnCongested = [](auto &&...) {};
    Shared.OnSent = [](auto &&...) {};
    Shared.OnDone = [](auto &&...) {};
    Shared.OnEnd = [this](const GatewayExchange &it) {
      Outcomes.emplace_back(it.outcome());
    };
    auto read = Shared.Labels.ReadRequest;
    Shared.Labels.ReadRequest = [read](const LabelFields &fields) {
      auto out = read(fields);
      out.PromptTokens = 100;
      if (auto tokens = valueOf(fields, "Tokens"); !tokens.empty())
        out.PromptTokens =
            static_cast<std::uint32_t>(std::stoul(std::string(tokens)));
      return out;
    };
    First.Answer = [](const ScriptedReplica::Request &request) {
      const auto *id = findField(request.Head.Fields, "Id");
      return ScriptedReplica::Step{
          answer(200, "done", "Id: " + *id + "\r\nSeal: s\r\n")};
    };
    registerReplicas();
    auto now = TimerService::now();
    View.onResidency("i-1", {{Adapter, {1, now}}}, now);
  }

  /// Keeps the engine reading for a time: 57.5 us for each token.
  void keepReading(std::uint32_t tokens) {
    View.onSentElsewhere("i-1", tokens, TimerService::now());
  }

  /// Sends a request of a workspace, and waits until it is held or has ended.
  RawPeer &request(const std::string &id, const std::string &workspace,
                   std::uint32_t rank, std::uint32_t tokens = 100,
                   bool hasLimit = false) {
    TestWorkspace = Workspace{};
    TestWorkspace->Name = workspace;
    TestWorkspace->Priority = rank;
    if (hasLimit)
      TestWorkspace->Limit = WorkspaceLimit{LimitUnit::Tokens, 1, 1, 200};
    auto &peer = *Peers.emplace_back(std::make_unique<RawPeer>(Context));
    peer.connect(Server->port());
    Exchange = nullptr;
    peer.send("POST /x HTTP/1.1\r\nHost: a\r\nId: " + id +
              "\r\nWeights: m/a1\r\nTokens: " + std::to_string(tokens) +
              "\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE(until([this] { return Exchange != nullptr; }));
    Kept.push_back(Exchange);
    return peer;
  }

  bool untilReceivedBy(const RawPeer &peer, const std::string &text) {
    return until([&] { return peer.Got.find(text) != std::string::npos; });
  }

  bool untilSent(std::size_t count) {
    return until([&] { return First.Requests.size() >= count; });
  }

  std::string sentIds() const {
    std::string out;
    for (const auto &it : First.Requests)
      out += *findField(it.Head.Fields, "Id") + " ";
    return out;
  }

  std::size_t logged(const std::string &event) const {
    return static_cast<std::size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const auto &it) {
          return it.find("\"" + event + "\"") != std::string::npos;
        }));
  }

  HeldRequests Held;
  std::vector<std::unique_ptr<RawPeer>> Peers;
  std::vector<std::shared_ptr<GatewayExchange>> Kept;
  std::vector<std::string> Outcomes;
};

} // namespace

TEST_CASE("held requests are sent by urgency, then in turns by workspace",
          "[held]") {
  HeldFixture it;
  it.keepReading(6000);
  it.request("big-1", "big", 2);
  it.request("big-2", "big", 2);
  it.request("big-3", "big", 2);
  it.request("small", "small", 2);
  it.request("urgent", "big", 0);
  CHECK(it.Held.size() == 5);
  CHECK(it.First.Requests.empty());
  REQUIRE(it.untilSent(5));
  CHECK(it.sentIds() == "urgent big-1 small big-2 big-3 ");
  REQUIRE(it.until([&] { return it.Outcomes.size() == 5; }));
  CHECK(it.Held.size() == 0);
}

TEST_CASE("a request that comes as the engine is free does not overtake held "
          "ones",
          "[held]") {
  HeldFixture it;
  it.keepReading(4000);
  it.request("first", "a", 1);
  REQUIRE(it.Held.size() == 1);
  // Waits until its quota is decided.
  it.ImmediateVerdict.reset();
  it.request("second", "b", 1, 100, true);
  REQUIRE(it.PendingDecision);
  REQUIRE(it.Held.size() == 1);
  // The engine is free before the timer of the first can run.
  std::this_thread::sleep_for(milliseconds(300));
  it.PendingDecision({0, QuotaService::Verdict::Allowed, Span(0), Span(0)});
  REQUIRE(it.untilSent(2));
  CHECK(it.sentIds() == "first second ");
}

TEST_CASE("a held request whose caller leaves makes way for the others",
          "[held]") {
  HeldFixture it;
  it.keepReading(4000);
  auto &first = it.request("first", "a", 0);
  it.request("second", "a", 1);
  REQUIRE(it.Held.size() == 2);
  first.close();
  REQUIRE(it.until([&] { return it.Held.size() == 1; }));
  REQUIRE(it.untilSent(1));
  CHECK(it.sentIds() == "second ");
}

TEST_CASE("a request that waits for weights which no engine has is not queued",
          "[held]") {
  HeldFixture it;
  it.keepReading(4000);
  it.request("first", "a", 0);
  it.request("second", "a", 0);
  REQUIRE(it.Held.size() == 2);
  auto now = TimerService::now();
  it.View.onResidency("i-1", {}, now);
  REQUIRE(it.until([&] { return it.Held.size() == 0; }));
  // They join again while the weights are loaded.
  now = TimerService::now();
  it.View.onResidency("i-1", {{Adapter, {1, now + milliseconds(100)}}}, now);
  REQUIRE(it.untilSent(2));
  CHECK(it.sentIds() == "first second ");
}

TEST_CASE("a request that can't be sent before its hold time ends is rejected "
          "at once, and never sent",
          "[held]") {
  HeldFixture it;
  it.Settings.RejectHopeless = GENERATE(true, false);
  // Shows a rate of some 700 tokens a second.
  it.keepReading(5000);
  it.request("one", "a", 0);
  it.request("two", "a", 0);
  REQUIRE(it.untilSent(2));
  it.keepReading(20'000);
  it.request("large", "a", 0, 5000);
  auto sentAt = TimerService::now();
  auto &peer = it.request("last", "a", 0);
  REQUIRE(it.untilReceivedBy(peer, "HTTP/1.1 503"));
  auto took = TimerService::now() - sentAt;
  CHECK(it.sentIds().find("last") == std::string::npos);
  CHECK(peer.Got.find("Retry-After: ") != std::string::npos);
  if (it.Settings.RejectHopeless) {
    CHECK(took < milliseconds(300));
    CHECK(it.logged("hopeless") == 1);
    CHECK(it.Exchange->hopeless());
    // 5000 tokens take some 7 s; the limit of 5 s is prolonged by up to a half.
    auto at = peer.Got.find("Retry-After: ") + 13;
    auto retryAfter = std::stod(peer.Got.substr(at));
    CHECK(retryAfter >= 5);
    CHECK(retryAfter <= 7.5);
  } else {
    CHECK(took > milliseconds(500));
    CHECK(it.logged("hopeless") == 0);
  }
}

TEST_CASE("nothing is rejected as hopeless while a rate is not known",
          "[held]") {
  HeldFixture it;
  it.Settings.RejectHopeless = true;
  it.keepReading(5000);
  it.request("large", "a", 0, 100'000);
  it.request("next", "a", 0);
  CHECK(it.Held.size() == 2);
  REQUIRE(it.untilSent(1));
  CHECK(it.logged("hopeless") == 0);
}

} // namespace hemlockglade::test
