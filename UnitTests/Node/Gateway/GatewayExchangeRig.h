#pragma once

#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "UnitTests/Node/Gateway/ScriptedReplica.h"
#include "UnitTests/Transport/Http1/RawPeer.h"

#include <deque>

namespace hemlockglade::test {

using std::chrono::milliseconds;
using Then = ScriptedReplica::Then;

inline std::string_view valueOf(const LabelFields &fields,
                                std::string_view name) {
  for (const auto &[key, value] : fields)
    if (sameFieldName(key, name))
      return value;
  return {};
}

/// Label hooks with field names that only this test uses.
inline LabelHooks testLabels() {
  LabelHooks hooks;
  hooks.ReadRequest = [](const LabelFields &fields) {
    RequestLabels out;
    out.Id = valueOf(fields, "Id");
    out.TimeLeft = milliseconds(2000);
    out.ResumeBehind = valueOf(fields, "Behind");
    out.Resumes = valueOf(fields, "Resumes");
    out.MalformedResumes = out.Resumes == "malformed";
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

inline std::string answer(int status, const std::string &body,
                          const std::string &fields = "Id: r1\r\nSeal: s\r\n") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

inline std::string event(int n) {
  return "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) + "\n\n";
}

inline const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: first\r\nContent-Type: "
    "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline const WeightsRef Adapter{"m", "a1"};

/// An exchange between a caller and two scripted replicas.
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
    Budget.setFixedShare(1, Instant::min() / 2);
    TestRoute.Name = "r";
    TestRoute.Targets = {{"s", 1}};
    TestRoute.Timeout = milliseconds(2000);
    TestRoute.TargetLatency = milliseconds(500);
    CallerHooks hooks;
    hooks.Bounds = [] { return CallerBounds{}; };
    hooks.Closing = [] { return false; };
    hooks.OnRequest = [this](CallerRequest request, auto reply) {
      LabelFields fields;
      for (const auto &it : request.Head.Fields)
        fields.emplace_back(it.Name, it.Value);
      auto labels = Shared.Labels.ReadRequest(fields);
      Plan = std::make_shared<const RoutePlan>(
          1, std::vector{TestRoute},
          std::vector{ServiceSpec{"s", "/", 10,
                                  RunsEngine ? std::optional(EngineSpec{})
                                             : std::nullopt}},
          CallerLimits{});
      View.setPlan(Plan);
      CallerAccess access;
      access.MatchedRoute = &Plan->routes()[0];
      if (TestWorkspace)
        access.CallerWorkspace = &Workspaces.emplace_back(*TestWorkspace);
      Exchange = std::make_shared<GatewayExchange>(
          Shared, Settings, Plan, access, std::move(request), std::move(labels),
          std::move(reply));
      Exchange->start();
    };
    Server = std::make_unique<CallerServer>(Context, localhost(0), 10,
                                            std::move(hooks));
    Peer.connect(Server->port());
  }

  CrashHooks crashHooks() {
    CrashHooks hooks;
    hooks.BarredFor = [this](const CrashSubject &) { return BarredFor; };
    hooks.OnSent = [](const CrashSubject &) {};
    hooks.OnBroken = [this](const ReplicaRecord &replica, const CrashSubject &,
                            const AttemptProgress &) {
      BrokenReplicas.push_back(replica.Incarnation.text());
    };
    hooks.OnAbandoned = [this](const ReplicaRecord &replica,
                               const CrashSubject &, const AttemptProgress &) {
      GivenUpReplicas.push_back(replica.Incarnation.text());
    };
    hooks.OnRestarted = [](const ReplicaIncarnation &) {};
    hooks.OnServed = [this](const CrashSubject &) { ++ServedCount; };
    hooks.OnWentOn = [this](const CrashSubject &) { ++WentOnCount; };
    return hooks;
  }

  LimitHooks limitHooks() {
    LimitHooks hooks;
    hooks.Reserve = [this](const Workspace &, double units, auto decided) {
      ReservedUnits += units;
      PendingDecision = decided;
      if (ImmediateVerdict)
        decided({0, *ImmediateVerdict, milliseconds(1500), Span(0)});
    };
    hooks.Charge = [this](const Workspace &, double units) {
      ReservedUnits += units;
    };
    hooks.Release = [this](const Workspace &, double units) {
      ReservedUnits -= units;
    };
    return hooks;
  }

  /// Gives the caller's workspace a limit that is counted in tokens.
  void setLimit() {
    TestWorkspace =
        Workspace{"red", 3, WorkspaceLimit{LimitUnit::Tokens, 1, 1, 200}};
  }

  /// Registers the replicas. The first one is in the node's failure domain.
  void registerReplicas(bool both = true) {
    std::vector<ReplicaRecord> records;
    for (auto *it : {&First, &Second}) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation(it == &First ? "i-1" : "i-2");
      record.Service = "s";
      record.Address = it->address();
      record.FailureDomain = it == &First ? "hall-a" : "hall-b";
      record.SoftwareVersion = it == &First ? "v1" : SecondSoftware;
      record.Slots = 8;
      if (it == &First || both)
        records.push_back(record);
    }
    View.onRegistry({true, records, {}, 1}, false, TimerService::now());
  }

  void sendRequest(const std::string &extraFields = "") {
    Peer.send("POST /x/y?z=1 HTTP/1.1\r\nHost: a\r\nId: r1\r\n" + extraFields +
              "Content-Length: 2\r\n\r\nhi");
  }

  /// Sends a request whose retry waits for a replica. The budget has one retry
  /// in each window of 400 ms.
  void holdRetry() {
    SharedRetryBudget::Settings oneRetry;
    oneRetry.RetriesPerRequest = 0;
    oneRetry.FixedRetries = 1;
    oneRetry.UsedFixedShare = 1;
    oneRetry.Window = milliseconds(400);
    oneRetry.MaxArrivalDelay = Span(0);
    Budget.setBounds(oneRetry);
    TestRoute.Kind = RouteKind::Repeatable;
    TestRoute.MaxAttempts = 2;
    registerReplicas(false);
    First.Script = {{"", Then::Reset}};
    sendRequest();
    REQUIRE(until([this] { return Exchange && Exchange->waiting(); }));
  }

  /// Gives only the first replica the adapter, in a version that was replaced
  /// so long ago that a request must begin on it within 1.75 s, or not at all.
  void replaceWeights() {
    RunsEngine = true;
    auto now = TimerService::now();
    View.onResidency("i-1", {{Adapter, {1, now}}}, now);
    View.onVersion({Adapter, 2, now - milliseconds(2450)});
    Shared.OnDemand = [](auto &&...) {};
    Shared.OnSent = [](auto &&...) {};
    Shared.OnDone = [](auto &&...) {};
  }

  bool untilEnded() {
    return until([this] { return Ended; });
  }
  bool untilReceived(const std::string &text) {
    return until(
        [this, &text] { return Peer.Got.find(text) != std::string::npos; });
  }
  bool received(const std::string &text) const {
    return Peer.Got.find(text) != std::string::npos;
  }

  std::optional<Workspace> TestWorkspace;
  /// The workspace of each request that has one.
  std::deque<Workspace> Workspaces;
  /// Verdict of the limit given at once; none if the test gives it later with
  /// `PendingDecision`.
  std::optional<QuotaService::Verdict> ImmediateVerdict =
      QuotaService::Verdict::Allowed;
  QuotaService::OnDecided PendingDecision;
  /// Units reserved or charged, less those released.
  double ReservedUnits = 0;
  std::vector<std::string> Lines;
  EventLog Log;
  ReplicaView View;
  SharedRetryBudget Budget;
  HttpPool Pool;
  ExchangeContext Shared;
  ExchangeSettings Settings;
  Route TestRoute;
  std::shared_ptr<const RoutePlan> Plan;
  ScriptedReplica First;
  ScriptedReplica Second;
  RawPeer Peer;
  std::unique_ptr<CallerServer> Server;
  std::shared_ptr<GatewayExchange> Exchange;
  /// Whether the service's replicas are engines.
  bool RunsEngine = false;
  /// Software version of the second replica; the first one has `v1`.
  std::string SecondSoftware = "v1";
  bool Ended = false;
  std::string Outcome;
  std::optional<Span> BarredFor;
  std::vector<std::string> BrokenReplicas;
  std::vector<std::string> GivenUpReplicas;
  int ServedCount = 0;
  int WentOnCount = 0;
};

} // namespace hemlockglade::test
