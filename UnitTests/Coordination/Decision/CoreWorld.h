#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace hemlockglade::test {

/// Faults put into the world on purpose, to show that the checks notice.
enum class Mutant {
  None,
  /// Ends of requests are told while the engine still runs them.
  EarlyFinish,
  /// The core is told of one slot, or place in the batch, too many.
  ExtraSlot,
  ExtraBatch,
  /// Load orders are called done before they are.
  EarlyLoadDone,
  /// The core is not told of the pins.
  NoPins,
  /// The core is not told that the lease became doubtful.
  NoDoubt,
  /// The core is not told the time.
  NoTicks,
  /// One request comes in under two numbers.
  Doubled,
};

/// Engines, callers and a weight store round one core: they carry out its
/// actions late, doubled, or without an answer, and check each of them against
/// what is true on the engines.
class CoreWorld {
public:
  struct Shape {
    std::uint64_t Seed = 1;
    std::uint32_t Replicas = 3;
    std::uint32_t Slots = 2;
    std::uint32_t Batch = 3;
    std::uint32_t Adapters = 8;
    /// Percent of answers that fail, are lost, or come twice.
    std::uint32_t Faults = 15;
    Mutant Fault = Mutant::None;
  };

  explicit CoreWorld(const Shape &shape, const CellCoreSettings &settings = {})
      : Form(shape), Core(settings), Random(shape.Seed) {
    for (ReplicaKey it = 1; it <= shape.Replicas; ++it) {
      Engines[it].Incarnation = it;
      Engines[it].Known = it;
      send(ReplicaAdded{it, it % 2 + 1,
                        shape.Slots + (shape.Fault == Mutant::ExtraSlot),
                        shape.Batch + (shape.Fault == Mutant::ExtraBatch)});
    }
    send(LeaseChanged{LeaseMode::Held});
    Pins[1] = 1;
    if (shape.Fault != Mutant::NoPins)
      send(PinChanged{1, 0, 1});
  }

  /// Runs `steps` random events, then lets everything come to its end.
  void run(std::uint32_t steps) {
    for (std::uint32_t it = 0; it < steps; ++it) {
      step();
      pass(std::chrono::milliseconds(random(120)));
    }
    Ending = true;
    Mode = LeaseMode::Held;
    send(LeaseChanged{Mode});
    for (std::uint32_t it = 0; it < 100; ++it)
      pass(std::chrono::milliseconds(1000));
    for (const auto &[request, state] : Requests) {
      if (state.Answers == 0 && !state.Gone)
        fail("request without an answer");
    }
    if (Core.waiting() != 0 || Core.running() != 0)
      fail("something is left in the core");
  }

  const std::set<std::string> &broken() const { return Broken; }
  std::uint64_t hash() const { return Hash; }
  std::uint32_t admitted() const { return Admitted; }
  std::uint32_t evicted() const { return Evicted; }

private:
  struct Engine {
    std::uint64_t Incarnation = 0;
    std::uint64_t Known = 0;
    std::set<AdapterKey> Loaded;
    std::map<AdapterKey, std::uint32_t> Running;
    std::uint32_t Total = 0;
  };
  struct Request {
    AdapterKey Adapter = NoAdapter;
    ReplicaKey Replica = 0;
    std::uint32_t Answers = 0;
    bool Gone = false;
    bool Over = false;
  };

  std::uint32_t random(std::uint32_t below) {
    return static_cast<std::uint32_t>(Random() % below);
  }
  bool faulty() { return !Ending && random(100) < Form.Faults; }
  void fail(const std::string &what) { Broken.insert(what); }
  Span ms(std::uint32_t from, std::uint32_t to) {
    return std::chrono::milliseconds(from + random(to - from));
  }

  void pass(Span span) {
    Time.advance(span);
    if (Form.Fault != Mutant::NoTicks)
      send(Tick{});
  }

  void send(const Event &event) {
    std::vector<Action> actions;
    Core.handle(event, Time.now(), actions);
    for (const auto &it : actions)
      std::visit([this](const auto &action) { apply(action); }, it);
  }
  /// An answer on its way: late, sometimes twice, sometimes never.
  void answer(const Event &event, bool mayBeLost) {
    if (mayBeLost && faulty())
      return;
    Time.after(ms(1, 40), [this, event] { send(event); });
    if (faulty())
      Time.after(ms(40, 4000), [this, event] { send(event); });
  }

  void mix(std::uint64_t value) { Hash = (Hash ^ value) * 0x100000001B3ULL; }

  void apply(const Admit &action) {
    mix(action.Request * 64 + action.Replica * 8 + 1);
    auto &request = Requests[action.Request];
    auto &engine = Engines[action.Replica];
    ++Admitted;
    if (++request.Answers != 1)
      fail("two answers");
    bool known = engine.Known == engine.Incarnation;
    if (request.Adapter != NoAdapter && known &&
        !engine.Loaded.contains(request.Adapter))
      fail("admitted where the adapter is not loaded");
    if (engine.Total >= Form.Batch)
      fail("batch exceeded");
    if (Form.Fault == Mutant::Doubled &&
        !Served.insert(action.Request / 2).second)
      fail("two answers");
    request.Replica = action.Replica;
    ++engine.Total;
    ++engine.Running[request.Adapter];
    Span takes = ms(20, 1500);
    if (Form.Fault == Mutant::EarlyFinish)
      Time.after(takes / 4,
                 [this, key = action.Request] { send(RequestFinished{key}); });
    Time.after(takes, [this, key = action.Request] { finish(key); });
  }

  void finish(RequestKey key) {
    auto &request = Requests[key];
    if (request.Over)
      return;
    request.Over = true;
    auto &engine = Engines[request.Replica];
    --engine.Total;
    --engine.Running[request.Adapter];
    send(RequestFinished{key});
    if (faulty())
      Time.after(ms(1, 500), [this, key] { send(RequestFinished{key}); });
  }

  void apply(const Refuse &action) {
    mix(action.Request * 64 + 2);
    if (++Requests[action.Request].Answers != 1)
      fail("two answers");
    if (action.RetryAfter <= Span{})
      fail("refused without a time to come back");
  }

  void apply(const Load &action) {
    mix(action.Adapter * 64 + action.Replica * 8 + 3);
    LoadDone done{action.Replica, action.Adapter, action.Order};
    if (Form.Fault == Mutant::EarlyLoadDone)
      Time.after(ms(1, 5), [this, done] { send(done); });
    auto incarnation = Engines[action.Replica].Incarnation;
    Time.after(ms(100, 500), [this, done, incarnation] {
      auto &engine = Engines[done.Replica];
      bool same = engine.Incarnation == incarnation;
      if (!same || faulty())
        return answer(
            LoadFailed{done.Replica, done.Adapter, done.Order, random(2) == 0},
            false);
      engine.Loaded.insert(done.Adapter);
      if (engine.Loaded.size() > Form.Slots)
        fail("slots exceeded");
      if (faulty())
        return answer(LoadFailed{done.Replica, done.Adapter, done.Order, true},
                      false);
      answer(done, true);
    });
  }

  void apply(const Evict &action) {
    mix(action.Adapter * 64 + action.Replica * 8 + 4);
    ++Evicted;
    auto &engine = Engines[action.Replica];
    if (Mode != LeaseMode::Held)
      fail("evicted without a certain lease");
    if (engine.Running[action.Adapter] != 0)
      fail("evicted while serving");
    std::size_t copies = 0;
    // What an engine lost in a restart still counts until the core knows.
    for (const auto &[key, it] : Engines)
      copies +=
          it.Loaded.contains(action.Adapter) || it.Known != it.Incarnation;
    if (Pins.contains(action.Adapter) && copies <= Pins[action.Adapter] &&
        engine.Loaded.contains(action.Adapter))
      fail("evicted a pinned adapter");
    EvictDone done{action.Replica, action.Adapter, false, action.Order};
    Time.after(ms(1, 60), [this, done]() mutable {
      if (faulty()) {
        done.Refused = true;
        return answer(done, true);
      }
      Engines[done.Replica].Loaded.erase(done.Adapter);
      done.Unknown = faulty();
      answer(done, true);
    });
  }

  void apply(const CancelLoad &action) {
    mix(action.Adapter * 64 + action.Replica * 8 + 5);
  }

  void step() {
    auto what = random(100);
    auto replica = 1 + random(Form.Replicas);
    if (what < 70)
      return arrive();
    if (what < 80)
      return report(replica);
    if (what < 83 && Form.Faults != 0)
      return restart(replica);
    if (what < 86)
      return lease();
    if (what < 88)
      return send(ReplicaSilent{replica});
    if (what < 91)
      return send(ReplicaDraining{replica, random(3) == 0});
    if (what < 93)
      return send(OperatorLoad{replica, 1 + random(Form.Adapters)});
    if (what < 95)
      return send(LoadLimitChanged{1 + random(2), 1.0 + random(5)});
    leave();
  }

  void arrive() {
    RequestArrived event;
    event.Request = LastRequest += 2;
    // Half of the traffic goes to the first few adapters.
    event.Adapter = random(2) ? 1 + random(Form.Adapters) : 1 + random(2);
    event.Priority = static_cast<std::uint8_t>(random(3));
    event.Deadline = Time.now() + ms(100, 8000);
    event.PrefixHash = random(4);
    event.PromptTokens = random(4000);
    event.Caller = random(5);
    event.Retry = random(10) == 0;
    event.QueueLimit = random(20) == 0 ? 2 : 0;
    Requests[event.Request].Adapter = event.Adapter;
    send(event);
    if (faulty())
      send(event);
    if (Form.Fault != Mutant::Doubled)
      return;
    ++event.Request;
    Requests[event.Request].Adapter = event.Adapter;
    send(event);
  }

  /// A caller that goes away; what runs for it ends.
  void leave() {
    if (LastRequest == 0)
      return;
    RequestKey key =
        2 * (1 + random(static_cast<std::uint32_t>(LastRequest / 2)));
    auto &request = Requests[key];
    if (request.Answers == 0) {
      request.Gone = true;
      send(RequestFinished{key});
    }
  }

  void report(ReplicaKey key) {
    auto &engine = Engines[key];
    ReplicaReport event;
    event.Replica = key;
    event.Incarnation = engine.Incarnation;
    event.TakenAt = Time.now();
    event.Running = engine.Total;
    for (AdapterKey it : engine.Loaded)
      event.Resident.push_back({it, engine.Running[it]});
    Time.after(ms(0, 800), [this, event] {
      auto &it = Engines[event.Replica];
      it.Known = std::max(it.Known, event.Incarnation);
      send(event);
    });
  }

  /// Nothing that the engine had loaded or ran outlives it.
  void restart(ReplicaKey key) {
    auto &engine = Engines[key];
    engine.Incarnation += 100;
    engine.Loaded.clear();
    for (auto &[request, state] : Requests) {
      if (state.Replica == key && state.Answers == 1 && !state.Over)
        finish(request);
    }
    Time.after(ms(1, 300), [this, key] { report(key); });
  }

  void lease() {
    static constexpr LeaseMode Modes[] = {LeaseMode::Doubtful, LeaseMode::Held,
                                          LeaseMode::Held};
    Mode = Modes[random(3)];
    if (Form.Fault == Mutant::NoDoubt)
      return;
    send(LeaseChanged{Mode});
  }

  Shape Form;
  VirtualTime Time;
  CellCore Core;
  std::mt19937_64 Random;
  LeaseMode Mode = LeaseMode::Held;
  std::map<ReplicaKey, Engine> Engines;
  std::map<RequestKey, Request> Requests;
  std::set<RequestKey> Served;
  std::map<AdapterKey, std::uint32_t> Pins;
  RequestKey LastRequest = 0;
  std::uint64_t Hash = 0xCBF29CE484222325ULL;
  std::uint32_t Admitted = 0;
  std::uint32_t Evicted = 0;
  bool Ending = false;
  std::set<std::string> Broken;
};

} // namespace hemlockglade::test
