#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace hemlockglade::test {

/// Faults injected into the simulation to show that its checks detect them.
enum class InjectedFault {
  None,
  /// The end of a request is reported while the engine still runs it.
  EarlyFinish,
  /// The core is given one slot, or one place in the batch, too many.
  ExtraSlot,
  ExtraBatch,
  /// Load orders are answered before they are carried out.
  EarlyLoadDone,
  /// The core does not receive the pins.
  NoPins,
  /// The core is not notified that the lease became doubtful.
  NoDoubtfulLease,
  /// The core receives no ticks.
  NoTicks,
  /// One request arrives under two keys.
  DuplicateRequest,
};

/// Simulates engines, callers and a weight store around one core. They carry
/// out its actions late, twice, or without an answer, and check each action
/// against the true state of the engines.
class CoreSimulation {
public:
  struct Options {
    std::uint64_t Seed = 1;
    std::uint32_t Replicas = 3;
    std::uint32_t Slots = 2;
    std::uint32_t Batch = 3;
    std::uint32_t Adapters = 8;
    /// Percentage of answers that fail, are lost, or arrive twice.
    std::uint32_t Faults = 15;
    InjectedFault Fault = InjectedFault::None;
  };

  explicit CoreSimulation(const Options &options,
                          const CellCoreSettings &settings = {})
      : Config(options), Core(settings), Random(options.Seed) {
    for (ReplicaKey it = 1; it <= options.Replicas; ++it) {
      Engines[it].Incarnation = it;
      Engines[it].KnownIncarnation = it;
      send(ReplicaAdded{
          it, it % 2 + 1,
          options.Slots + (options.Fault == InjectedFault::ExtraSlot),
          options.Batch + (options.Fault == InjectedFault::ExtraBatch)});
    }
    send(LeaseChanged{LeaseMode::Held});
    Pins[1] = 1;
    if (options.Fault != InjectedFault::NoPins)
      send(PinChanged{1, 0, 1});
  }

  /// Runs `steps` random events, then lets all work complete.
  void run(std::uint32_t steps) {
    for (std::uint32_t it = 0; it < steps; ++it) {
      step();
      advance(std::chrono::milliseconds(random(120)));
    }
    Completing = true;
    Mode = LeaseMode::Held;
    send(LeaseChanged{Mode});
    for (std::uint32_t it = 0; it < 100; ++it)
      advance(std::chrono::milliseconds(1000));
    for (const auto &[request, state] : Requests) {
      if (state.Answers == 0 && !state.Abandoned)
        addViolation("request without an answer");
    }
    if (Core.waiting() != 0 || Core.running() != 0)
      addViolation("requests remain in the core");
  }

  const std::set<std::string> &violations() const { return Violations; }
  std::uint64_t hash() const { return Hash; }
  std::uint32_t admitted() const { return Admitted; }
  std::uint32_t evicted() const { return Evicted; }

private:
  struct Engine {
    std::uint64_t Incarnation = 0;
    std::uint64_t KnownIncarnation = 0;
    std::set<AdapterKey> Loaded;
    std::map<AdapterKey, std::uint32_t> Running;
    std::uint32_t Total = 0;
  };
  struct Request {
    AdapterKey Adapter = NoAdapter;
    ReplicaKey Replica = 0;
    std::uint32_t Answers = 0;
    bool Abandoned = false;
    bool Finished = false;
  };

  std::uint32_t random(std::uint32_t below) {
    return static_cast<std::uint32_t>(Random() % below);
  }
  bool isFaulty() { return !Completing && random(100) < Config.Faults; }
  void addViolation(const std::string &message) { Violations.insert(message); }
  Span ms(std::uint32_t from, std::uint32_t to) {
    return std::chrono::milliseconds(from + random(to - from));
  }

  void advance(Span span) {
    Time.advance(span);
    if (Config.Fault != InjectedFault::NoTicks)
      send(Tick{});
  }

  void send(const Event &event) {
    std::vector<Action> actions;
    Core.handle(event, Time.now(), actions);
    for (const auto &it : actions)
      std::visit([this](const auto &action) { apply(action); }, it);
  }
  /// Delivers an answer late, sometimes twice, sometimes never.
  void answer(const Event &event, bool mayBeLost) {
    if (mayBeLost && isFaulty())
      return;
    Time.after(ms(1, 40), [this, event] { send(event); });
    if (isFaulty())
      Time.after(ms(40, 4000), [this, event] { send(event); });
  }

  void mix(std::uint64_t value) { Hash = (Hash ^ value) * 0x100000001B3ULL; }

  void apply(const Admit &action) {
    mix(action.Request * 64 + action.Replica * 8 + 1);
    auto &request = Requests[action.Request];
    auto &engine = Engines[action.Replica];
    ++Admitted;
    if (++request.Answers != 1)
      addViolation("two answers");
    bool isKnown = engine.KnownIncarnation == engine.Incarnation;
    if (request.Adapter != NoAdapter && isKnown &&
        !engine.Loaded.contains(request.Adapter))
      addViolation("admitted where the adapter is not loaded");
    if (engine.Total >= Config.Batch)
      addViolation("batch exceeded");
    if (Config.Fault == InjectedFault::DuplicateRequest &&
        !Served.insert(action.Request / 2).second)
      addViolation("two answers");
    request.Replica = action.Replica;
    ++engine.Total;
    ++engine.Running[request.Adapter];
    Span duration = ms(20, 1500);
    if (Config.Fault == InjectedFault::EarlyFinish)
      Time.after(duration / 4,
                 [this, key = action.Request] { send(RequestFinished{key}); });
    Time.after(duration, [this, key = action.Request] { finish(key); });
  }

  void finish(RequestKey key) {
    auto &request = Requests[key];
    if (request.Finished)
      return;
    request.Finished = true;
    auto &engine = Engines[request.Replica];
    --engine.Total;
    --engine.Running[request.Adapter];
    send(RequestFinished{key});
    if (isFaulty())
      Time.after(ms(1, 500), [this, key] { send(RequestFinished{key}); });
  }

  void apply(const Refuse &action) {
    mix(action.Request * 64 + 2);
    if (++Requests[action.Request].Answers != 1)
      addViolation("two answers");
    if (action.RetryAfter <= Span{})
      addViolation("refused without a Retry-After");
  }

  void apply(const Load &action) {
    mix(action.Adapter * 64 + action.Replica * 8 + 3);
    LoadDone done{action.Replica, action.Adapter, action.Order};
    if (Config.Fault == InjectedFault::EarlyLoadDone)
      Time.after(ms(1, 5), [this, done] { send(done); });
    auto incarnation = Engines[action.Replica].Incarnation;
    Time.after(ms(100, 500), [this, done, incarnation] {
      auto &engine = Engines[done.Replica];
      bool isSameIncarnation = engine.Incarnation == incarnation;
      if (!isSameIncarnation || isFaulty())
        return answer(
            LoadFailed{done.Replica, done.Adapter, done.Order, random(2) == 0},
            false);
      engine.Loaded.insert(done.Adapter);
      if (engine.Loaded.size() > Config.Slots)
        addViolation("slots exceeded");
      if (isFaulty())
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
      addViolation("evicted without a certain lease");
    if (engine.Running[action.Adapter] != 0)
      addViolation("evicted while serving");
    std::size_t possibleCopies = 0;
    // Adapters that an engine lost in a restart still count until the core has
    // received its new incarnation.
    for (const auto &[key, it] : Engines)
      possibleCopies += it.Loaded.contains(action.Adapter) ||
                        it.KnownIncarnation != it.Incarnation;
    if (Pins.contains(action.Adapter) &&
        possibleCopies <= Pins[action.Adapter] &&
        engine.Loaded.contains(action.Adapter))
      addViolation("evicted a pinned adapter");
    EvictDone done{action.Replica, action.Adapter, false, action.Order};
    Time.after(ms(1, 60), [this, done]() mutable {
      if (isFaulty()) {
        done.Refused = true;
        return answer(done, true);
      }
      Engines[done.Replica].Loaded.erase(done.Adapter);
      done.Unknown = isFaulty();
      answer(done, true);
    });
  }

  void apply(const CancelLoad &action) {
    mix(action.Adapter * 64 + action.Replica * 8 + 5);
  }

  void step() {
    auto choice = random(100);
    auto replica = 1 + random(Config.Replicas);
    if (choice < 70)
      return arrive();
    if (choice < 80)
      return report(replica);
    if (choice < 83 && Config.Faults != 0)
      return restart(replica);
    if (choice < 86)
      return changeLease();
    if (choice < 88)
      return send(ReplicaReportMissed{replica});
    if (choice < 91)
      return send(ReplicaDraining{replica, random(3) == 0});
    if (choice < 93)
      return send(OperatorLoad{replica, 1 + random(Config.Adapters)});
    if (choice < 95)
      return send(LoadLimitChanged{1 + random(2), 1.0 + random(5)});
    abandonRequest();
  }

  void arrive() {
    RequestArrived event;
    event.Request = LastRequest += 2;
    // Half of the requests are for the first two adapters.
    event.Adapter = random(2) ? 1 + random(Config.Adapters) : 1 + random(2);
    event.Priority = static_cast<std::uint8_t>(random(3));
    event.Deadline = Time.now() + ms(100, 8000);
    event.PrefixHash = random(4);
    event.PromptTokens = random(4000);
    event.Caller = random(5);
    event.Retry = random(10) == 0;
    event.QueueLimit = random(20) == 0 ? 2 : 0;
    Requests[event.Request].Adapter = event.Adapter;
    send(event);
    if (isFaulty())
      send(event);
    if (Config.Fault != InjectedFault::DuplicateRequest)
      return;
    ++event.Request;
    Requests[event.Request].Adapter = event.Adapter;
    send(event);
  }

  /// A caller disconnects before its request is answered.
  void abandonRequest() {
    if (LastRequest == 0)
      return;
    RequestKey key =
        2 * (1 + random(static_cast<std::uint32_t>(LastRequest / 2)));
    auto &request = Requests[key];
    if (request.Answers == 0) {
      request.Abandoned = true;
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
      it.KnownIncarnation = std::max(it.KnownIncarnation, event.Incarnation);
      send(event);
    });
  }

  /// The restarted engine has no adapters, and its running requests have ended.
  void restart(ReplicaKey key) {
    auto &engine = Engines[key];
    engine.Incarnation += 100;
    engine.Loaded.clear();
    for (auto &[request, state] : Requests) {
      if (state.Replica == key && state.Answers == 1 && !state.Finished)
        finish(request);
    }
    Time.after(ms(1, 300), [this, key] { report(key); });
  }

  void changeLease() {
    static constexpr LeaseMode Modes[] = {LeaseMode::Doubtful, LeaseMode::Held,
                                          LeaseMode::Held};
    Mode = Modes[random(3)];
    if (Config.Fault == InjectedFault::NoDoubtfulLease)
      return;
    send(LeaseChanged{Mode});
  }

  Options Config;
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
  bool Completing = false;
  std::set<std::string> Violations;
};

} // namespace hemlockglade::test
