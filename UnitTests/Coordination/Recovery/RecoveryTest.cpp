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

/// What a test may switch off, outside the product.
struct RecoverySwitches {
  /// Entries obey a refusal of their register.
  bool ObeyRefusal = true;
  /// The owner waits for OnRecovered.
  bool WaitForRecovered = true;
  /// Ends that come before their request's answer are passed on.
  bool PassEarlyEnds = true;
};

/// Entries that run requests, and owners that follow each other, with
/// messages that are late and overtake each other.
class RecoveryBench {
public:
  RecoveryBench(std::uint64_t seed, RecoverySwitches switches = {})
      : Switches(switches), Random(seed), Entries(3) {
    for (std::size_t it = 0; it < Entries.size(); ++it)
      Nodes.push_back({"entry-" + std::to_string(it), "p.1"});
    for (Epoch epoch = 1; epoch <= 3; ++epoch)
      Owners.push_back(makeOwner(epoch));
  }

  /// An owner admits a request of an entry; the entry learns of it later.
  void admit() {
    auto entry = Random() % Entries.size();
    auto id = std::to_string(++Requests);
    auto epoch = Current;
    auto &owner = *Owners[epoch - 1];
    owner.Known.insert(id);
    after(1500ms, [this, entry, id, epoch, &owner] {
      RegisteredRequest request{id, Cell, "assistant-1", "a@1", epoch};
      bool may = Entries[entry].add(request);
      if (!may && Switches.ObeyRefusal) {
        owner.Known.erase(id);
        return;
      }
      Running.insert(id);
      Time.after(any(6000ms), [this, entry, id] { finish(entry, id); });
      check();
    });
  }

  /// The next owner takes over.
  void takeOver() {
    if (Current >= Owners.size())
      return;
    auto &owner = *Owners[Current++];
    owner.Keeper->begin(Cell, Current, Nodes, true, Time.now());
    tick(Current);
  }

  void run(Span span) {
    for (Span it{}; it < span; it += 100ms) {
      Time.advance(100ms);
      check();
    }
  }

  bool recovered() const {
    return Current == 1 || Owners[Current - 1]->Recovered ||
           !Switches.WaitForRecovered;
  }

  /// The owner, once recovered, must know all that runs.
  void check() {
    if (!recovered())
      return;
    for (const auto &id : Running) {
      if (!Owners[Current - 1]->Known.contains(id))
        Broken = "runs unknown to its owner: " + id;
    }
  }

  /// When nothing runs, the last owner must count nothing as running.
  void checkQuiet() {
    if (!Owners[Current - 1]->Known.empty())
      Broken = "counted though it has ended";
  }

  std::string Broken;
  VirtualTime Time;

private:
  struct Owner {
    std::unique_ptr<RecoveryCoordinator> Keeper;
    std::set<std::string> Known;
    bool Recovered = false;
  };

  std::unique_ptr<Owner> makeOwner(Epoch epoch) {
    auto out = std::make_unique<Owner>();
    auto *owner = out.get();
    RecoveryHooks hooks;
    hooks.Ask = [this, epoch, owner](const RecoveryNode &node,
                                     const std::string &, Epoch) {
      after(1500ms, [this, epoch, owner, node] {
        auto entry = static_cast<std::size_t>(node.Name.back() - '0');
        auto answer = Entries[entry].answer(Cell, epoch);
        after(1500ms, [owner, node, epoch, answer] {
          owner->Keeper->onAnswer(node, Cell, epoch, answer);
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
    out->Keeper =
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
          owner->Keeper->onFinished(Nodes[entry], Cell, id);
      });
    }
  }

  void tick(Epoch epoch) {
    Owners[epoch - 1]->Keeper->tick(Time.now());
    if (Time.now() < 1100s)
      Time.after(500ms, [this, epoch] { tick(epoch); });
  }

  Span any(Span most) {
    return Span(static_cast<std::int64_t>(Random() % most.count()) + 1);
  }

  void after(Span most, std::function<void()> call) {
    Time.after(any(most), std::move(call));
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

/// Plays a schedule of waits: an admission after each, a takeover after some.
std::string play(RecoveryBench &bench, const std::vector<int> &waits) {
  for (auto wait : waits) {
    bench.run(std::chrono::milliseconds(wait));
    if (wait % 5 == 0)
      bench.takeOver();
    else
      bench.admit();
  }
  bench.run(30s);
  bench.checkQuiet();
  if (!bench.recovered())
    bench.Broken = "never recovered";
  return bench.Broken;
}

int broken(RecoverySwitches switches) {
  int out = 0;
  for (int seed = 1; seed <= 100; ++seed) {
    RecoveryBench bench(seed, switches);
    std::mt19937_64 random(seed);
    std::vector<int> waits(20);
    for (auto &it : waits)
      it = static_cast<int>(random() % 1000);
    out += !play(bench, waits).empty();
  }
  return out;
}

/// A keeper that notes its calls.
struct Noted {
  std::vector<std::string> Calls;
  RecoveryCoordinator Keeper;

  explicit Noted(const RecoverySettings &settings = {})
      : Keeper(settings, hooks()) {}

  RecoveryHooks hooks() {
    RecoveryHooks hooks;
    hooks.Ask = [this](const RecoveryNode &node, const auto &, Epoch) {
      Calls.push_back("ask " + node.Name);
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

  std::vector<std::string> take() { return std::exchange(Calls, {}); }
};

using Names = std::vector<std::string>;
const RecoveryNode A{"a", "x.1"};
const RecoveryNode B{"b", "y.1"};
const RegisteredRequest One{"1", Cell, "r", "a@1", 4};

} // namespace

TEST_CASE("a recovered owner knows all that runs", "[recovery]") {
  REQUIRE(checkMany("recovery schedules", Schedules, [] {
    auto waits = *rc::gen::container<std::vector<int>>(anyIn(0, 1000));
    RecoveryBench bench(*rc::gen::arbitrary<std::uint64_t>());
    auto broken = play(bench, waits);
    if (!broken.empty())
      RC_FAIL(broken);
  }));
}

TEST_CASE("switching a mechanism of recovery off breaks it", "[recovery]") {
  REQUIRE(broken({}) == 0);
  RecoverySwitches off;
  SECTION("entries that begin what an earlier owner admitted") {
    off.ObeyRefusal = false;
  }
  SECTION("an owner that does not wait") { off.WaitForRecovered = false; }
  SECTION("ends that are lost before the answer") { off.PassEarlyEnds = false; }
  REQUIRE(broken(off) > 0);
}

TEST_CASE("silent nodes are waited out, longer before unfenced engines",
          "[recovery]") {
  bool checked = GENERATE(true, false);
  RecoverySettings settings;
  Noted noted(settings);
  auto &keeper = noted.Keeper;
  keeper.begin(Cell, 5, {A, B}, checked, 0s);
  REQUIRE(noted.take() == Names{"ask a", "ask b"});
  REQUIRE(keeper.mode(Cell, LeaseMode::Held) == LeaseMode::Recovering);
  REQUIRE(keeper.mode(Cell, LeaseMode::Doubtful) == LeaseMode::Doubtful);
  REQUIRE(keeper.onAnswer(A, Cell, 5, {false, 5, {One}}));
  REQUIRE(noted.take() == Names{"adopt 1"});
  keeper.tick(1s);
  REQUIRE(noted.take() == Names{"ask b"});
  REQUIRE(keeper.waitingFor(Cell) == Names{"b"});
  Span wait = checked ? settings.SilentWait : settings.UnfencedWait;
  keeper.tick(wait - 1us);
  REQUIRE_FALSE(keeper.recovered(Cell));
  noted.take();
  keeper.tick(wait);
  REQUIRE(noted.take() == Names{"recovered"});
  REQUIRE(keeper.waitedOut() == 1);
  REQUIRE(keeper.mode(Cell, LeaseMode::Held) == LeaseMode::Held);
  // What the silent node names after all still counts.
  REQUIRE(keeper.onAnswer(B, Cell, 5, {false, 5, {{"2", Cell, "r", "", 3}}}));
  REQUIRE(noted.take() == Names{"adopt 2"});
}

TEST_CASE("only answers for the own epoch count", "[recovery]") {
  Noted noted;
  auto &keeper = noted.Keeper;
  keeper.begin(Cell, 5, {A}, true, 0s);
  REQUIRE_FALSE(keeper.onAnswer(A, Cell, 4, {false, 4, {One}}));
  REQUIRE_FALSE(keeper.onAnswer(A, "other", 5, {}));
  keeper.begin(Cell, 4, {}, true, 0s);
  REQUIRE_FALSE(keeper.recovered(Cell));
  SECTION("a node that has answered a later owner stops the recovery") {
    REQUIRE_FALSE(keeper.onAnswer(A, Cell, 5, {true, 6, {}}));
    keeper.tick(60s);
    REQUIRE_FALSE(keeper.recovered(Cell));
  }
  SECTION("another process of the same name does not speak for the first") {
    REQUIRE(keeper.onAnswer({"a", "z.1"}, Cell, 5, {false, 5, {}}));
    REQUIRE_FALSE(keeper.recovered(Cell));
    // Its own later lease does.
    REQUIRE(keeper.onAnswer({"a", "x.2"}, Cell, 5, {false, 5, {}}));
    REQUIRE(keeper.recovered(Cell));
  }
  SECTION("a cell that was lost is forgotten") {
    keeper.end(Cell);
    REQUIRE_FALSE(keeper.onAnswer(A, Cell, 5, {}));
  }
}

TEST_CASE("adopted requests end once, in any order", "[recovery]") {
  Noted noted;
  auto &keeper = noted.Keeper;
  keeper.begin(Cell, 5, {A}, true, 0s);
  noted.take();
  SECTION("the end comes first") {
    keeper.onFinished(A, Cell, "1");
    keeper.onAnswer(A, Cell, 5, {false, 5, {One}});
    REQUIRE(noted.take() == Names{"recovered"});
  }
  SECTION("an answer comes twice") {
    keeper.onAnswer(A, Cell, 5, {false, 5, {One}});
    keeper.onFinished(A, Cell, "1");
    keeper.onFinished(A, Cell, "1");
    keeper.onAnswer(A, Cell, 5, {false, 5, {One}});
    REQUIRE(noted.take() == Names{"adopt 1", "recovered", "finish 1"});
  }
  SECTION("what we admitted ourselves is not adopted") {
    keeper.onAnswer(A, Cell, 5, {false, 5, {{"2", Cell, "r", "", 5}}});
    REQUIRE(noted.take() == Names{"recovered"});
  }
  SECTION("the node is lost: after its wait its requests are over") {
    keeper.onAnswer(A, Cell, 5, {false, 5, {One}});
    keeper.setNodes({}, 20s);
    keeper.tick(30s);
    REQUIRE(noted.take() == Names{"adopt 1", "recovered"});
    keeper.tick(31s);
    REQUIRE(noted.take() == Names{"finish 1"});
  }
  SECTION("a node that comes later is asked too") {
    keeper.setNodes({A, B}, 1s);
    REQUIRE(noted.take() == Names{"ask b"});
    REQUIRE(keeper.waitingFor(Cell) == Names{"a", "b"});
  }
}

TEST_CASE("the register answers by cell and refuses old epochs", "[recovery]") {
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
