#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <random>

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 3000;
const std::string Cell = "assistant/0";

/// Conditions that recovery relies on and that a test can disable.
struct RecoverySwitches {
  /// Entries don't run a request that RunningRequests refuses.
  bool ObeyRefusal = true;
  /// The owner waits for OnRecovered.
  bool WaitForRecovered = true;
  /// Ends of requests are passed on to the coordinator also when they come
  /// before the answer that lists the request.
  bool PassEarlyEnds = true;
};

/// Simulates entries that run requests, and owners that succeed each other,
/// with messages that are delayed and reordered.
class RecoverySimulation {
public:
  RecoverySimulation(std::uint64_t seed, RecoverySwitches switches = {})
      : Switches(switches), Random(seed), Entries(3) {
    for (std::size_t it = 0; it < Entries.size(); ++it)
      Nodes.push_back({"entry-" + std::to_string(it), "p.1"});
    for (Epoch epoch = 1; epoch <= 3; ++epoch)
      Owners.push_back(makeOwner(epoch));
  }

  /// Admits a request of an entry; the entry receives the admission later.
  void admit() {
    auto entry = Random() % Entries.size();
    auto id = std::to_string(++Requests);
    auto epoch = Current;
    auto &owner = *Owners[epoch - 1];
    owner.Known.insert(id);
    after(1500ms, [this, entry, id, epoch, &owner] {
      RegisteredRequest request{id, Cell, "assistant-1", "a@1", epoch};
      bool accepted = Entries[entry].add(request);
      if (!accepted && Switches.ObeyRefusal) {
        owner.Known.erase(id);
        return;
      }
      Running.insert(id);
      Time.after(randomSpan(6000ms), [this, entry, id] { finish(entry, id); });
      check();
    });
  }

  /// Makes the next owner take over the cell.
  void takeOver() {
    if (Current >= Owners.size())
      return;
    auto &owner = *Owners[Current++];
    owner.Coordinator->begin(Cell, Current, Nodes, true, Time.now());
    tick(Current);
  }

  void run(Span span) {
    for (Span it{}; it < span; it += 100ms) {
      Time.advance(100ms);
      check();
    }
  }

  bool isRecovered() const {
    return Current == 1 || Owners[Current - 1]->Recovered ||
           !Switches.WaitForRecovered;
  }

  /// Checks that the current owner, once recovered, knows all running requests.
  void check() {
    if (!isRecovered())
      return;
    for (const auto &id : Running) {
      if (!Owners[Current - 1]->Known.contains(id))
        Violation = "runs unknown to its owner: " + id;
    }
  }

  /// Checks, when no request runs, that the last owner counts none as running.
  void checkNothingRuns() {
    if (!Owners[Current - 1]->Known.empty())
      Violation = "counted though it has ended";
  }

  std::string Violation;
  VirtualTime Time;

private:
  struct Owner {
    std::unique_ptr<RecoveryCoordinator> Coordinator;
    std::set<std::string> Known;
    bool Recovered = false;
  };

  std::unique_ptr<Owner> makeOwner(Epoch epoch) {
    auto out = std::make_unique<Owner>();
    auto *owner = out.get();
    RecoveryHooks hooks;
    hooks.Query = [this, epoch, owner](const RecoveryNode &node,
                                       const std::string &, Epoch) {
      after(1500ms, [this, epoch, owner, node] {
        auto entry = static_cast<std::size_t>(node.Name.back() - '0');
        auto answer = Entries[entry].answer(Cell, epoch);
        after(1500ms, [owner, node, epoch, answer] {
          owner->Coordinator->onAnswer(node, Cell, epoch, answer);
        });
      });
    };
    hooks.OnAdopted = [owner](const RecoveryNode &, const auto &request) {
      owner->Known.insert(request.Id);
    };
    hooks.OnFinished = [owner](const auto &request) {
      owner->Known.erase(request.Id);
    };
    hooks.OnRecovered = [owner](const std::string &, Epoch) {
      owner->Recovered = true;
    };
    out->Coordinator =
        std::make_unique<RecoveryCoordinator>(RecoverySettings{}, hooks);
    return out;
  }

  void finish(std::size_t entry, const std::string &id) {
    Running.erase(id);
    Entries[entry].remove(Cell, id);
    for (auto &owner : Owners) {
      after(1500ms, [this, entry, id, &owner] {
        bool known = owner->Known.erase(id);
        if (known || Switches.PassEarlyEnds)
          owner->Coordinator->onFinished(Nodes[entry], Cell, id);
      });
    }
  }

  void tick(Epoch epoch) {
    Owners[epoch - 1]->Coordinator->tick(Time.now());
    if (Time.now() < 1100s)
      Time.after(500ms, [this, epoch] { tick(epoch); });
  }

  Span randomSpan(Span max) {
    return Span(static_cast<std::int64_t>(Random() % max.count()) + 1);
  }

  void after(Span max, std::function<void()> call) {
    Time.after(randomSpan(max), std::move(call));
  }

  RecoverySwitches Switches;
  std::mt19937_64 Random;
  std::vector<RunningRequests> Entries;
  std::vector<RecoveryNode> Nodes;
  std::vector<std::unique_ptr<Owner>> Owners;
  std::set<std::string> Running;
  Epoch Current = 1;
  int Requests = 0;
};

/// Runs a schedule of waits in ms: a takeover after each that is a multiple of
/// five, an admission after each other. Returns the violation, empty if none.
std::string runSchedule(RecoverySimulation &simulation,
                        const std::vector<int> &waits) {
  for (auto wait : waits) {
    simulation.run(std::chrono::milliseconds(wait));
    if (wait % 5 == 0)
      simulation.takeOver();
    else
      simulation.admit();
  }
  simulation.run(30s);
  simulation.checkNothingRuns();
  if (!simulation.isRecovered())
    simulation.Violation = "never recovered";
  return simulation.Violation;
}

int countViolations(RecoverySwitches switches) {
  int out = 0;
  for (int seed = 1; seed <= 100; ++seed) {
    RecoverySimulation simulation(seed, switches);
    std::mt19937_64 random(seed);
    std::vector<int> waits(20);
    for (auto &it : waits)
      it = static_cast<int>(random() % 1000);
    out += !runSchedule(simulation, waits).empty();
  }
  return out;
}

/// A coordinator that records the calls of its hooks.
struct RecordingCoordinator {
  std::vector<std::string> Calls;
  RecoveryCoordinator Coordinator;

  explicit RecordingCoordinator(const RecoverySettings &settings = {})
      : Coordinator(settings, hooks()) {}

  RecoveryHooks hooks() {
    RecoveryHooks hooks;
    hooks.Query = [this](const RecoveryNode &node, const auto &, Epoch) {
      Calls.push_back("query " + node.Name);
    };
    hooks.OnAdopted = [this](const auto &, const RegisteredRequest &request) {
      Calls.push_back("adopt " + request.Id);
    };
    hooks.OnFinished = [this](const RegisteredRequest &request) {
      Calls.push_back("finish " + request.Id);
    };
    hooks.OnRecovered = [this](const auto &, Epoch) {
      Calls.emplace_back("recovered");
    };
    return hooks;
  }

  std::vector<std::string> takeCalls() { return std::exchange(Calls, {}); }
};

using Names = std::vector<std::string>;
const RecoveryNode A{"a", "x.1"};
const RecoveryNode B{"b", "y.1"};
const RegisteredRequest One{"1", Cell, "r", "a@1", 4};

} // namespace

TEST_CASE("a recovered owner knows all running requests", "[recovery]") {
  REQUIRE(checkMany("recovery schedules", Schedules, [] {
    auto waits = *rc::gen::container<std::vector<int>>(anyIn(0, 1000));
    RecoverySimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
    auto violation = runSchedule(simulation, waits);
    if (!violation.empty())
      RC_FAIL(violation);
  }));
}

TEST_CASE("disabling a condition of recovery causes violations", "[recovery]") {
  REQUIRE(countViolations({}) == 0);
  RecoverySwitches switches;
  SECTION("entries begin requests that an earlier owner admitted") {
    switches.ObeyRefusal = false;
  }
  SECTION("the owner does not wait for the recovery") {
    switches.WaitForRecovered = false;
  }
  SECTION("ends that come before the answer are lost") {
    switches.PassEarlyEnds = false;
  }
  REQUIRE(countViolations(switches) > 0);
}

TEST_CASE("nodes that don't answer time out, later if engines are unfenced",
          "[recovery]") {
  bool checked = GENERATE(true, false);
  RecoverySettings settings;
  RecordingCoordinator recording(settings);
  auto &coordinator = recording.Coordinator;
  coordinator.begin(Cell, 5, {A, B}, checked, 0s);
  REQUIRE(recording.takeCalls() == Names{"query a", "query b"});
  REQUIRE(coordinator.mode(Cell, LeaseMode::Held) == LeaseMode::Recovering);
  REQUIRE(coordinator.mode(Cell, LeaseMode::Doubtful) == LeaseMode::Doubtful);
  REQUIRE(coordinator.onAnswer(A, Cell, 5, {false, 5, {One}}));
  REQUIRE(recording.takeCalls() == Names{"adopt 1"});
  coordinator.tick(1s);
  REQUIRE(recording.takeCalls() == Names{"query b"});
  REQUIRE(coordinator.unresolvedNodes(Cell) == Names{"b"});
  Span wait = checked ? settings.SilentWait : settings.UnfencedWait;
  coordinator.tick(wait - 1us);
  REQUIRE_FALSE(coordinator.isRecovered(Cell));
  recording.takeCalls();
  coordinator.tick(wait);
  REQUIRE(recording.takeCalls() == Names{"recovered"});
  REQUIRE(coordinator.timedOutNodes() == 1);
  REQUIRE(coordinator.mode(Cell, LeaseMode::Held) == LeaseMode::Held);
  // Requests in an answer that comes after the timeout are still adopted.
  REQUIRE(
      coordinator.onAnswer(B, Cell, 5, {false, 5, {{"2", Cell, "r", "", 3}}}));
  REQUIRE(recording.takeCalls() == Names{"adopt 2"});
}

TEST_CASE("only answers for the owner's epoch are accepted", "[recovery]") {
  RecordingCoordinator recording;
  auto &coordinator = recording.Coordinator;
  coordinator.begin(Cell, 5, {A}, true, 0s);
  REQUIRE_FALSE(coordinator.onAnswer(A, Cell, 4, {false, 4, {One}}));
  REQUIRE_FALSE(coordinator.onAnswer(A, "other", 5, {}));
  coordinator.begin(Cell, 4, {}, true, 0s);
  REQUIRE_FALSE(coordinator.isRecovered(Cell));
  SECTION("a node that has answered a later owner stops the recovery") {
    REQUIRE_FALSE(coordinator.onAnswer(A, Cell, 5, {true, 6, {}}));
    coordinator.tick(60s);
    REQUIRE_FALSE(coordinator.isRecovered(Cell));
  }
  SECTION("an answer of another process of the same name does not count") {
    REQUIRE(coordinator.onAnswer({"a", "z.1"}, Cell, 5, {false, 5, {}}));
    REQUIRE_FALSE(coordinator.isRecovered(Cell));
    // An answer of the same process under a later lease counts.
    REQUIRE(coordinator.onAnswer({"a", "x.2"}, Cell, 5, {false, 5, {}}));
    REQUIRE(coordinator.isRecovered(Cell));
  }
  SECTION("answers for a cell that was lost are rejected") {
    coordinator.end(Cell);
    REQUIRE_FALSE(coordinator.onAnswer(A, Cell, 5, {}));
  }
}

TEST_CASE("adopted requests end once in any order of messages", "[recovery]") {
  RecordingCoordinator recording;
  auto &coordinator = recording.Coordinator;
  coordinator.begin(Cell, 5, {A}, true, 0s);
  recording.takeCalls();
  SECTION("the end comes before the answer") {
    coordinator.onFinished(A, Cell, "1");
    coordinator.onAnswer(A, Cell, 5, {false, 5, {One}});
    REQUIRE(recording.takeCalls() == Names{"recovered"});
  }
  SECTION("an answer comes twice") {
    coordinator.onAnswer(A, Cell, 5, {false, 5, {One}});
    coordinator.onFinished(A, Cell, "1");
    coordinator.onFinished(A, Cell, "1");
    coordinator.onAnswer(A, Cell, 5, {false, 5, {One}});
    REQUIRE(recording.takeCalls() == Names{"adopt 1", "recovered", "finish 1"});
  }
  SECTION("requests that this owner admitted are not adopted") {
    coordinator.onAnswer(A, Cell, 5, {false, 5, {{"2", Cell, "r", "", 5}}});
    REQUIRE(recording.takeCalls() == Names{"recovered"});
  }
  SECTION("requests of an absent node end after its wait") {
    coordinator.onAnswer(A, Cell, 5, {false, 5, {One}});
    coordinator.setNodes({}, 20s);
    coordinator.tick(30s);
    REQUIRE(recording.takeCalls() == Names{"adopt 1", "recovered"});
    coordinator.tick(31s);
    REQUIRE(recording.takeCalls() == Names{"finish 1"});
  }
  SECTION("a node that joins later is queried too") {
    coordinator.setNodes({A, B}, 1s);
    REQUIRE(recording.takeCalls() == Names{"query b"});
    REQUIRE(coordinator.unresolvedNodes(Cell) == Names{"a", "b"});
  }
}

TEST_CASE("running requests are listed by cell and old epochs are refused",
          "[recovery]") {
  RunningRequests running;
  REQUIRE(running.add({"1", Cell, "r", "a@1", 3}));
  REQUIRE(running.add({"2", "other", "r", "", 9}));
  REQUIRE(running.answer(Cell, 4).Requests.size() == 1);
  REQUIRE_FALSE(running.add({"3", Cell, "r", "", 3}));
  REQUIRE(running.add({"3", Cell, "r", "", 4}));
  auto old = running.answer(Cell, 3);
  REQUIRE(old.Refused);
  REQUIRE(old.Promised == 4);
  REQUIRE(old.Requests.empty());
  REQUIRE(running.size() == 3);
  running.remove(Cell, "1");
  running.remove(Cell, "1");
  REQUIRE(running.answer(Cell, 4).Requests.size() == 1);
  REQUIRE(running.answer("other", 1).Requests.size() == 1);
}
