#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <random>

namespace hemlockglade::test {

/// Members on virtual time with a network that loses and delays messages and
/// can be partitioned.
class MemberWorld {
public:
  struct Node {
    std::shared_ptr<Membership> Member;
    MemberRecord Record;
    bool Up = true;
    /// The process is paused: it does nothing, and what is sent to it waits.
    bool Paused = false;
    Revision InForce = 0;
    std::uint64_t Bytes = 0;
    std::uint64_t MaxRoundBytes = 0;
    std::uint64_t RoundBytes = 0;
    /// Destroyed when the node restarts, so that callbacks of the earlier
    /// process have no effect.
    std::shared_ptr<bool> ProcessToken = std::make_shared<bool>(true);
    /// State that OnMember last reported for each other node.
    std::map<std::string, MemberState> LastReported;
  };

  explicit MemberWorld(std::uint64_t seed) : Random(seed) {}

  VirtualTime Time;
  std::mt19937_64 Random;
  MembershipSettings Settings;
  std::map<std::string, Node> Nodes;
  double Loss = 0;
  Span MaxDelay = std::chrono::milliseconds(3);
  /// Whether messages between two regions are delivered; null if all are.
  std::function<bool(const std::string &, const std::string &)> Joined;
  /// Changes messages in transit, to disable a mechanism.
  std::function<void(MemberMessage &)> Rewrite;
  /// Faults found: members that became dead without having been suspect.
  std::vector<std::string> Faults;
  /// Newest revision that a node's peers reported to it, by node.
  std::map<std::string, Revision> Heard;
  /// Size of a message on the wire, in bytes.
  std::function<std::size_t(const MemberMessage &)> SizeOf =
      [](const MemberMessage &it) { return wireSize(it); };

  static std::string name(std::size_t number) {
    return "entry-" + std::to_string(number);
  }

  Node &start(std::size_t number, const std::string &region = "tunis-north",
              std::optional<std::uint64_t> incarnation = std::nullopt) {
    auto &node = Nodes[name(number)];
    node = {};
    node.Record.Name = name(number);
    node.Record.Incarnation =
        incarnation.value_or(static_cast<std::uint64_t>(Time.now().count()));
    node.Record.CallerAddress = "10.0.0.1:" + std::to_string(number);
    node.Record.PeerAddress = name(number);
    node.Record.FailureDomain = "hall-" + std::to_string(number % 3);
    node.Record.Region = region;
    node.Member = std::make_shared<Membership>(Settings, node.Record,
                                               hooks(name(number)), Random());
    scheduleRound(node.Member, name(number));
    return node;
  }

  Membership &at(std::size_t number) { return *Nodes[name(number)].Member; }

  void run(Span span) { Time.advance(span); }

  /// State that node `by` has for `of`; nothing if it doesn't know it.
  std::optional<MemberState> seen(const Node &by, const std::string &of) const {
    auto record = by.Member->find(of);
    return record ? std::optional(record->State) : std::nullopt;
  }

  /// Whether all nodes that are up and not paused satisfy `holds`.
  bool all(const std::function<bool(const Node &)> &holds) const {
    for (const auto &[name, node] : Nodes) {
      if (node.Up && !node.Paused && !holds(node))
        return false;
    }
    return true;
  }

  /// Whether each of these nodes has exactly the nodes that are up as alive.
  bool agreed() const {
    return all([this](const Node &node) {
      std::size_t alive = 0;
      for (const auto &it : node.Member->members()) {
        auto other = Nodes.find(it.Name);
        bool up = other != Nodes.end() && other->second.Up;
        bool isAlive = it.State == MemberState::Alive;
        if (isAlive != up)
          return false;
        alive += isAlive;
      }
      return alive == upCount();
    });
  }

  std::size_t upCount() const {
    std::size_t n = 0;
    for (const auto &[name, node] : Nodes)
      n += node.Up;
    return n;
  }

  /// Advances the time in steps of 100 ms until `holds` or `limit` is reached.
  /// Returns the time taken.
  Span until(const std::function<bool()> &holds,
             Span limit = std::chrono::minutes(3)) {
    constexpr Span Step = std::chrono::milliseconds(100);
    Span span{};
    for (; span < limit && !holds(); span += Step)
      Time.advance(Step);
    return span;
  }

private:
  void scheduleRound(const std::weak_ptr<Membership> &member,
                     const std::string &name) {
    auto wait = Settings.Round - std::chrono::milliseconds(Random() % 50);
    Time.after(wait, [this, member, name] {
      auto self = member.lock();
      auto &node = Nodes[name];
      if (!self || node.Member != self || !node.Up)
        return;
      if (!node.Paused) {
        node.MaxRoundBytes = std::max(node.MaxRoundBytes, node.RoundBytes);
        node.RoundBytes = 0;
        self->round();
      }
      scheduleRound(self, name);
    });
  }

  MembershipHooks hooks(const std::string &name) {
    MembershipHooks hooks;
    std::weak_ptr<bool> processToken = Nodes[name].ProcessToken;
    hooks.Now = [this] { return Time.now(); };
    hooks.After = [this, name, processToken](Span span,
                                             std::function<void()> call) {
      Time.after(span, [this, name, processToken, call] {
        if (!processToken.expired())
          whenRunning(name, call);
      });
    };
    hooks.Ask = [this, name, processToken](const std::string &to,
                                           MemberMessage message, auto done) {
      auto answer = [this, name, processToken, to, done](const auto &reply) {
        if (reply)
          deliver(to, name, *reply, [done, processToken](const auto &it) {
            if (!processToken.expired())
              done(it);
          });
      };
      deliver(name, to, message, [this, to, answer](const auto &it) {
        Nodes[to].Member->serve(it, answer);
      });
    };
    hooks.Seeds = [this] {
      std::vector<std::string> seeds;
      for (const auto &[seed, node] : Nodes)
        seeds.push_back(seed);
      seeds.resize(std::min<std::size_t>(seeds.size(), 5));
      return seeds;
    };
    hooks.InForce = [this, name] { return Nodes[name].InForce; };
    hooks.OnRevision = [this, name](Revision revision, const std::string &) {
      Heard[name] = std::max(Heard[name], revision);
    };
    hooks.OnMember = [this, name](const MemberRecord &it) {
      auto &last = Nodes[name].LastReported[it.Name];
      if (it.State == MemberState::Dead && last != MemberState::Suspect)
        Faults.push_back(it.Name + " was dead without suspicion at " + name);
      last = it.State;
    };
    return hooks;
  }

  void whenRunning(const std::string &name, const std::function<void()> &call) {
    auto &node = Nodes[name];
    if (!node.Up)
      return;
    if (!node.Paused)
      return call();
    Time.after(std::chrono::milliseconds(100),
               [this, name, call] { whenRunning(name, call); });
  }

  void deliver(const std::string &from, const std::string &to,
               MemberMessage message,
               const std::function<void(const MemberMessage &)> &receive) {
    if (Rewrite)
      Rewrite(message);
    if (!Nodes.contains(from) || !Nodes.contains(to))
      return;
    auto &sender = Nodes[from];
    auto size = SizeOf(message);
    sender.Bytes += size;
    sender.RoundBytes += size;
    bool lost = std::uniform_real_distribution<>(0, 1)(Random) < Loss;
    bool partitioned =
        Joined && !Joined(sender.Record.Region, Nodes[to].Record.Region);
    if (lost || partitioned || !sender.Up)
      return;
    auto delay = Span(1 + Random() % MaxDelay.count());
    Time.after(delay, [this, to, message, receive] {
      whenRunning(to, [message, receive] { receive(message); });
    });
  }
};

} // namespace hemlockglade::test
