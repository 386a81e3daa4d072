// What nodes tell each other of streams that have not begun.

#include "Programs/hemlockgladed/Gateway/StreamOriginService.h"

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "UnitTests/Transport/Loopback.h"

#include <asio/steady_timer.hpp>
#include <random>

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

constexpr StreamKey Key = 17;
const std::string Sender = "a0";

/// The service of one node with a network of its own. While it is paused, what
/// others send to it waits.
struct StreamNode {
  std::unique_ptr<PeerNet> Net;
  std::unique_ptr<StreamOriginService> Service;
  bool IsPaused = false;
  std::vector<std::function<void()>> Waiting;

  void accept(const std::shared_ptr<PeerStream> &stream) {
    if (stream->path() == peer_path::StreamsBegun)
      Service->onTeller(stream);
    else if (stream->path() == peer_path::StreamOrigin)
      Service->onAsker(stream);
    else if (stream->path() == peer_path::StreamWithdrawn)
      Service->onWithdrawer(stream);
    stream->OnMessage = [this,
                         receive = stream->OnMessage](std::string_view text) {
      if (!IsPaused)
        return receive(text);
      Waiting.emplace_back(
          [receive, text = std::string(text)] { receive(text); });
    };
  }

  void wake() {
    IsPaused = false;
    for (const auto &it : std::exchange(Waiting, {}))
      it();
  }
};

/// Nodes of three failure domains, of which the first sends a stream's request.
struct StreamNodes : Loopback {
  StreamNodes()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }) {
    for (const std::string name : {"a0", "b0", "c0", "a1", "b1", "c1"}) {
      InService.insert(name);
      addNode(name);
    }
  }

  ~StreamNodes() {
    for (auto &[name, node] : Nodes)
      node.Service.reset();
    Nodes.clear();
    // An exception here means that the test has failed before.
    try {
      settle();
    } catch (const std::exception &) {
    }
  }
  StreamNodes(const StreamNodes &) = delete;
  StreamNodes &operator=(const StreamNodes &) = delete;

  void addNode(const std::string &name) {
    auto &node = Nodes[name];
    node.Net = std::make_unique<PeerNet>(
        Context, "127.0.0.1", 0,
        [&node](const auto &stream) { node.accept(stream); });
    StreamOriginService::Settings settings;
    settings.Node = name;
    settings.FailureDomain = name.substr(0, 1);
    settings.FlushDelay = Span(0);
    settings.WithdrawTimeout = milliseconds(30);
    settings.AskTimeout = milliseconds(500);
    StreamOriginService::Hooks hooks;
    hooks.Nodes = [this] { return inService(); };
    hooks.PeerAddress = [this](const EntryCandidate &it) {
      return address(Nodes.at(it.Node).Net->port());
    };
    hooks.After = [this](Span delay, std::function<void()> call) {
      auto timer = std::make_shared<asio::steady_timer>(Context, delay);
      timer->async_wait(
          [timer, call = std::move(call)](asio::error_code) { call(); });
    };
    hooks.JoinedPosition = [] { return std::uint64_t{1}; };
    node.Service = std::make_unique<StreamOriginService>(
        settings, std::move(hooks), Traffic, Log);
    node.Service->attach(*node.Net);
  }

  std::vector<DomainEntries> inService() const {
    std::vector<DomainEntries> out{{"a", {}}, {"b", {}}, {"c", {}}};
    for (auto &domain : out)
      for (const auto &it : InService)
        if (it.starts_with(domain.FailureDomain))
          domain.Entries.push_back({it, "", {}, "", {}});
    return out;
  }

  void pass(Span span) {
    auto end = TimerService::now() + span;
    while (TimerService::now() < end) {
      Context.restart();
      Context.run_for(milliseconds(1));
    }
  }

  /// Sends an attempt to a replica of this version, or of the one before if
  /// that can't be withdrawn. Returns which of them.
  std::string send(const std::string &version) {
    auto &service = *Nodes.at(Sender).Service;
    auto chosen = version;
    if (Told.Origin && Told.Origin->SoftwareVersion != version) {
      auto before = Told.Origin->SoftwareVersion;
      std::optional<bool> isConfirmed;
      service.withdraw(Key, Told, [&](bool it) { isConfirmed = it; });
      REQUIRE(until([&] { return isConfirmed.has_value(); }));
      chosen = *isConfirmed ? version : before;
    }
    service.tell(Key, {"s", chosen}, Told);
    pass(milliseconds(4));
    return chosen;
  }

  /// Returns the version that a node finds for the stream; empty if none.
  std::string find(const std::string &name) {
    std::optional<std::string> version;
    Nodes.at(name).Service->find(Key, [&](const auto &finding) {
      version = finding.Origin ? finding.Origin->SoftwareVersion : "";
    });
    REQUIRE(until([&] { return version.has_value(); }));
    return *version;
  }

  EventLog Log;
  PeerTraffic Traffic;
  std::map<std::string, StreamNode> Nodes;
  std::set<std::string> InService;
  ToldStream Told;
};

} // namespace

// Streams went on at another software version than the one that began them,
// after nodes had joined between two sendings.
TEST_CASE("no node holds the software version of an earlier sending after "
          "nodes have joined",
          "[stream-version]") {
  StreamNodes it;
  it.InService = {Sender, "b0"};
  REQUIRE(it.send("v1") == "v1");
  it.InService = {Sender, "b0", "c0", "a1", "b1", "c1"};
  REQUIRE(it.send("v2") == "v2");
  it.InService.erase(Sender);
  for (const auto *name : {"b0", "c0", "a1", "b1", "c1"})
    CHECK(it.find(name) == "v2");
}

TEST_CASE("a stream keeps its software version while a node that was told of "
          "it does not answer",
          "[stream-version]") {
  StreamNodes it;
  it.InService = {Sender, "b0", "c0"};
  REQUIRE(it.send("v1") == "v1");
  it.Nodes.at("c0").IsPaused = true;
  CHECK(it.send("v2") == "v1");
  it.Nodes.at("c0").wake();
  it.pass(milliseconds(20));
  it.InService.erase(Sender);
  CHECK(it.find("b0") == "v1");
  CHECK(it.find("c0") == "v1");
}

// Pauses delay what is told, in any order with changes of the nodes in service.
TEST_CASE("nodes know the software version that begins a stream, or none",
          "[stream-version]") {
  constexpr std::uint32_t Seeds = 60;
  constexpr int Sendings = 4;
  int known = 0;
  for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto oneOf = [&random](std::uint32_t n) { return random() % n == 0; };
    StreamNodes it;
    std::string begins;
    for (int n = 0; n < Sendings; ++n) {
      it.InService = {Sender};
      for (auto &[name, node] : it.Nodes) {
        if (!oneOf(3))
          it.InService.insert(name);
        if (name != Sender && node.IsPaused && oneOf(2))
          node.wake();
        else if (name != Sender)
          node.IsPaused = oneOf(6);
      }
      begins = it.send("v" + std::to_string(random() % 3));
    }
    for (auto &[name, node] : it.Nodes)
      node.wake();
    it.pass(milliseconds(10));
    it.InService.clear();
    for (const auto &[name, node] : it.Nodes)
      if (name != Sender)
        it.InService.insert(name);
    for (const auto &name : it.InService) {
      auto version = it.find(name);
      CHECK((version.empty() || version == begins));
      known += version.empty() ? 0 : 1;
    }
  }
  // Holders that answer know what begins a stream.
  CHECK(known > static_cast<int>(Seeds));
}

} // namespace hemlockglade::test
