#pragma once

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include "UnitTests/Node/Gateway/ScriptedReplica.h"
#include "UnitTests/Transport/Http1/RawPeer.h"

#include <algorithm>
#include <asio/post.hpp>
#include <iostream>
#include <unistd.h>

namespace hemlockglade::test {

using std::chrono::milliseconds;

/// An in-memory platform behind the product's hooks.
struct GatewayPlatform {
  explicit GatewayPlatform(asio::io_context &context) : Context(context) {}

  /// Operators declare a plan with one route to the service `s`.
  void declare(std::uint64_t version, const std::string &prefix,
               RouteKind kind = RouteKind::RunOnce,
               std::uint32_t maxAttempts = 1) {
    Route route;
    route.Kind = kind;
    route.MaxAttempts = maxAttempts;
    route.Name = "r" + std::to_string(version);
    route.Host = "a.example";
    route.Prefix = prefix;
    route.Targets = {{"s", 1}};
    route.Timeout = milliseconds(2000);
    route.Resumable = kind == RouteKind::Stream;
    RoutePlan plan(version, {route}, {ServiceSpec{"s", "/", 10, Engine}}, {},
                   Workspaces);
    plan.Source = prefix + std::to_string(version);
    Declared.Plan = std::make_shared<const RoutePlan>(std::move(plan));
    Known[Declared.Plan->Source] = Declared.Plan;
    ++Declared.Position;
    tellWaiting();
  }

  /// Operators declare a version of weights.
  void name(const WeightsRef &weights, std::uint64_t version) {
    Declared.Versions.push_back({weights, version});
    ++Declared.Position;
    tellWaiting();
  }

  /// Answers polls that wait for declarations, unless `Deaf`.
  void tellWaiting() {
    if (Deaf)
      return;
    for (const auto &wait : std::exchange(Waiting, {}))
      answer(wait, Declared);
  }

  /// The registry refuses this node from now on.
  void goAway() {
    Away = true;
    for (const auto &wait : std::exchange(Waiting, {}))
      fail(wait);
  }

  void registerReplica(const std::string &address) {
    Replicas.Present.clear();
    addReplica(address);
  }

  /// Registers one more replica, `i-1`, `i-2` and so on.
  void addReplica(const std::string &address) {
    ReplicaRecord record;
    record.Incarnation =
        ReplicaIncarnation("i-" + std::to_string(Replicas.Present.size() + 1));
    record.Service = "s";
    record.Address = address;
    record.FailureDomain = "hall-a";
    record.Slots = 4;
    record.Source = address;
    record.Held = Held;
    record.SoftwareVersion = Software;
    Replicas.Present.push_back(record);
  }

  /// Removes a replica's entry.
  void removeReplica(const std::string &id) {
    std::erase_if(Replicas.Present,
                  [&id](const auto &it) { return it.Incarnation.id() == id; });
    Replicas.Removed.push_back(id);
  }

  /// The next poll for replicas fails, so that all of them must be read again.
  void loseHistory() {
    Replicas.Removed.clear();
    HistoryLost = true;
  }

  template <typename Done, typename T> void answer(Done done, T value) {
    asio::post(Context, [done, value] { done(value); });
  }

  PlatformPort port() {
    PlatformPort out;
    out.Registry.ReadOperator = [this](auto done) {
      if (Away)
        return fail(done);
      answer(done, Declared);
    };
    out.Registry.WatchOperator = [this](std::uint64_t, Span wait, auto done) {
      if (Away)
        return fail(done);
      if (wait == Span(0)) {
        ++LooksAtOnce;
        return answer(done, Declared);
      }
      Waiting.push_back(done);
    };
    out.Registry.ReadReplicas = [this](auto done) {
      if (Away)
        return fail(done);
      auto all = Replicas;
      all.Complete = true;
      answer(done, all);
    };
    out.Registry.WatchReplicas = [this](std::uint64_t, auto done) {
      if (Away)
        return fail(done);
      if (std::exchange(HistoryLost, false))
        return fail(done, RegistryError::HistoryLost);
      answer(done, Replicas);
    };
    out.Registry.ParsePlan = [this](std::string_view source) {
      auto it = Known.find(std::string(source));
      return it == Known.end() ? nullptr : it->second;
    };
    out.Registry.ParseReplica = [this](std::string_view incarnation,
                                       std::string_view source) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation(std::string(incarnation));
      record.Service = "s";
      record.Address = source;
      record.FailureDomain = "hall-a";
      record.Slots = 4;
      record.Held = Held;
      record.SoftwareVersion = Software;
      return std::optional(record);
    };
    out.Table.Get = [this](const std::string &key, auto done) {
      asio::post(Context, [this, key, done] {
        if (!HasTable)
          return done(tl::unexpected(TableError::NotSent));
        auto it = Rows.find(key);
        done(it == Rows.end() ? std::nullopt : std::optional(it->second));
      });
    };
    out.Table.Commit = [this](const TableTransaction &it, auto done) {
      asio::post(Context, [this, write = it.Writes.front(), done] {
        if (!HasTable)
          return done(tl::unexpected(TableError::NotSent));
        auto &row = Rows[write.Key];
        if (row.Version != write.ExpectedVersion)
          return done(tl::unexpected(TableError::Conflict));
        row = {write.Key, ++RowVersion, *write.Value};
        done(row.Version);
      });
    };
    out.Labels.ReadRequest = [](const LabelFields &fields) {
      RequestLabels labels;
      for (const auto &[name, value] : fields)
        if (sameFieldName(name, "Id"))
          labels.Id = value;
        else if (sameFieldName(name, "Key"))
          labels.Caller = value;
        else if (sameFieldName(name, "Behind"))
          labels.ResumeBehind = value;
        else if (sameFieldName(name, "Resumes"))
          labels.Resumes = value;
        else if (sameFieldName(name, "Weights"))
          labels.Weights = WeightsRef::parse(value);
        else if (sameFieldName(name, "Parts"))
          for (auto digit : value)
            labels.Prompt.push_back(
                {static_cast<std::uint64_t>(digit - '0'), 10});
      return labels;
    };
    out.Labels.Forward = [](const LabelFields &fields,
                            const ForwardLabels &labels) {
      OwnedFields all;
      for (const auto &[name, value] : fields)
        if (!isConnectionField(name) && !sameFieldName(name, "Key"))
          all.emplace_back(name, value);
      if (!labels.Workspace.empty())
        all.emplace_back("Space", labels.Workspace);
      return all;
    };
    out.Labels.ReadAnswer = [](std::uint16_t, const LabelFields &fields) {
      AnswerLabels labels;
      labels.Sealed = true;
      for (const auto &[name, value] : fields)
        if (sameFieldName(name, "Id"))
          labels.Id = value;
        else if (sameFieldName(name, "Content-Type"))
          labels.Events = value == "text/event-stream";
        else if (sameFieldName(name, "Limit"))
          labels.RequestLimit = std::stod(std::string(value));
        else if (sameFieldName(name, "Brittle"))
          labels.RejectionLimit = std::stod(std::string(value));
        else if (sameFieldName(name, "Not-Run"))
          labels.NotRun = true;
        else if (sameFieldName(name, "Pause-Ms"))
          labels.PauseFor = milliseconds(std::stoi(std::string(value)));
        else if (sameFieldName(name, "Leaving"))
          labels.Leaving = true;
        else if (sameFieldName(name, "Answered-By"))
          labels.Incarnation = value;
      return labels;
    };
    out.Labels.OwnAnswer = [](std::string_view) { return OwnedFields{}; };
    out.Directory.Read = [](std::string_view target) {
      return std::optional(AddressQuery{std::string(target.substr(1))});
    };
    out.Directory.Write = [](const std::vector<std::string> &addresses, Span) {
      std::string all;
      for (const auto &it : addresses)
        all.append("<").append(it).append(">");
      return all;
    };
    out.Directory.AsksReadiness = [](std::string_view) { return true; };
    out.Tidy = [] {};
    out.Calls = [] { return RegistryCalls{}; };
    return out;
  }

  template <typename Done>
  void fail(Done done, RegistryError how = RegistryError::Unavailable) {
    asio::post(Context, [done, how] { done(tl::unexpected(how)); });
  }

  asio::io_context &Context;
  OperatorChanges Declared;
  ReplicaChanges Replicas;
  std::map<std::string, std::shared_ptr<const RoutePlan>> Known;
  std::vector<RegistryCallback<OperatorChanges>> Waiting;
  /// Workspaces of plans that are declared afterwards.
  WorkspaceDirectory Workspaces;
  /// The service's engines; none if it is a plain service.
  std::optional<EngineSpec> Engine;
  /// Weights held by replicas that are registered afterwards.
  HeldWeights Held;
  /// Software version of replicas that are registered afterwards.
  std::string Software = "v1";
  bool Away = false;
  /// Polls that wait for declarations are not answered.
  bool Deaf = false;
  /// Number of polls for declarations that did not wait.
  int LooksAtOnce = 0;
  bool HistoryLost = false;
  /// Whether the table answers, and what it holds.
  bool HasTable = false;
  std::map<std::string, TableRow> Rows;
  std::uint64_t RowVersion = 0;
};

struct GatewayFixture : Loopback {
  GatewayFixture()
      : Platform(Context), Replica(Context),
        Log(
            {"n"}, [this](std::string_view line) { Lines.emplace_back(line); },
            [] { return std::chrono::microseconds(0); }) {
    auto ports = freePorts(4);
    Settings.Name = "entry-1";
    Settings.FailureDomain = "hall-a";
    Settings.Address = "127.0.0.1";
    Settings.PeerPort = ports[0];
    Settings.CallerAddress = address(ports[1]);
    Settings.DirectoryAddress = address(ports[2]);
    Settings.ReadinessAddress = address(ports[3]);
    Settings.RegistryAddress = address(1);
    Settings.FailureDomains = {"hall-a"};
    Settings.StopBound = milliseconds(1500);
  }

  /// Prints what the nodes logged last, if a check has just failed.
  ~GatewayFixture() {
    constexpr std::size_t MaxPrinted = 60;
    if (Catch::getResultCapture().lastAssertionPassed())
      return;
    for (auto n = Lines.size() - std::min(Lines.size(), MaxPrinted);
         n < Lines.size(); ++n)
      std::cerr << Lines[n];
  }
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  /// Returns ports that are free now, and stay so: connections of other
  /// processes get theirs from above 32768.
  std::vector<std::uint16_t> freePorts(std::size_t n) {
    constexpr int First = 16000;
    constexpr int Ports = 16000;
    static int Next = static_cast<int>(::getpid()) * 61;
    std::vector<std::uint16_t> out;
    while (out.size() < n) {
      auto port = static_cast<std::uint16_t>(First + Next++ % Ports);
      asio::ip::tcp::acceptor held(Context);
      asio::error_code ec;
      held.open(asio::ip::tcp::v4(), ec);
      held.bind(localhost(port), ec);
      if (!ec)
        out.push_back(port);
    }
    return out;
  }

  void start() {
    Node = std::make_unique<Gateway>(Context, Settings, Platform.port(), Log);
    Node->onStopped([this] { Stopped = true; });
    Node->start();
  }

  bool untilReady() {
    return until([this] { return Node->ready(); });
  }

  /// Sends a request on a new connection and returns what comes back. Each
  /// digit of `parts` is a part of its prompt.
  std::string ask(const std::string &to, const std::string &path,
                  const std::string &id = "r1", const std::string &key = "",
                  const std::string &parts = "") {
    RawPeer peer(Context);
    peer.connect(parseEndpoint(to).port());
    peer.send("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nId: " + id +
              (key.empty() ? "" : "\r\nKey: " + key) +
              (parts.empty() ? "" : "\r\nParts: " + parts) + "\r\n\r\n");
    until([&peer] {
      return peer.Ended || peer.Got.find("\r\n\r\n") != std::string::npos;
    });
    settle();
    return peer.Got;
  }

  std::vector<std::string> Lines;
  GatewayPlatform Platform;
  ScriptedReplica Replica;
  EventLog Log;
  GatewaySettings Settings;
  std::unique_ptr<Gateway> Node;
  bool Stopped = false;
};

/// A second node, with a registry of its own that may be unreachable.
struct SecondNode {
  explicit SecondNode(GatewayFixture &first)
      : Platform(first.Context), Settings(first.Settings) {
    auto ports = first.freePorts(3);
    Settings.Name = "entry-2";
    // Peers' ports are the same on all hosts; the second host is 127.0.0.2.
    Settings.Address = "127.0.0.2";
    Settings.Seeds = {"127.0.0.1:1"};
    Settings.CallerAddress = Loopback::address(ports[0]);
    Settings.DirectoryAddress = Loopback::address(ports[1]);
    Settings.ReadinessAddress = Loopback::address(ports[2]);
  }

  void start(GatewayFixture &first) {
    Node = std::make_unique<Gateway>(first.Context, Settings, Platform.port(),
                                     first.Log);
    Node->start();
    REQUIRE(first.until([this] { return Node->ready(); }));
  }

  GatewayPlatform Platform;
  GatewaySettings Settings;
  std::unique_ptr<Gateway> Node;
};

} // namespace hemlockglade::test
