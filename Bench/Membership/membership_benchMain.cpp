// Measures the membership and the configuration at several sizes, with
// simulated nodes in one process and in virtual time. Processor times include
// the fake network and the packing and unpacking of every message, so they are
// upper bounds.

#include "Bench/Membership/ConfigBench.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "UnitTests/Coordination/Membership/MemberWorld.h"

#include <ctime>
#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_uint64(max_nodes, 580, "largest number of virtual nodes");
DEFINE_uint64(min_nodes, 3, "smallest number of virtual nodes");
DEFINE_uint64(parted_seconds, 300,
              "virtual time for which the regions are partitioned, in seconds");
DEFINE_bool(progress, false, "print the current step on the error output");
DEFINE_uint64(seed, 20261, "seed of the random choices");

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int MeasuredSeconds = 60;
/// Seconds between two changes of the configuration; about 33,000 changes a
/// day.
constexpr int ChangeIntervalS = 3;

std::size_t regionsOf(std::size_t n) { return n <= 7 ? 1 : n <= 200 ? 3 : 6; }

std::string regionOf(std::size_t number, std::size_t n) {
  return "region-" + std::to_string(number % regionsOf(n));
}

void progress(std::string_view step) {
  if (FLAGS_progress)
    std::cerr << step << std::endl;
}

double seconds(Span span) {
  return std::chrono::duration<double>(span).count();
}

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Packs and unpacks a message as for the network; returns its size in bytes.
std::size_t wireBytes(const MemberMessage &message) {
  auto bytes = pack(message);
  auto read = unpack<MemberMessage>(bytes);
  return read ? bytes.size() : 0;
}

bool complete(const MemberWorld &world, std::size_t n) {
  return world.all([n](const MemberWorld::Node &node) {
    return node.Member->liveCount() == n - 1;
  });
}

struct Load {
  double MeanBytes = 0;
  double MaxBytes = 0;
  double RoundMicros = 0;
};

/// Runs a minute of virtual time, and returns the traffic and processor time
/// per node and second.
Load measureMinute(MemberWorld &world, bool changes) {
  for (auto &[name, node] : world.Nodes)
    node.Bytes = 0;
  auto before = processorSeconds();
  for (int it = 0; it < MeasuredSeconds; ++it) {
    if (changes && it % ChangeIntervalS == 0)
      ++world.Nodes[MemberWorld::name(world.Random() % world.Nodes.size())]
            .InForce;
    world.run(1s);
    // A node has a revision in force one second after it received its number.
    for (auto &[name, node] : world.Nodes)
      node.InForce = std::max(node.InForce, world.Heard[name]);
  }
  Load load;
  for (const auto &[name, node] : world.Nodes) {
    auto bytes = static_cast<double>(node.Bytes) / MeasuredSeconds;
    load.MeanBytes += bytes / static_cast<double>(world.Nodes.size());
    load.MaxBytes = std::max(load.MaxBytes, bytes);
  }
  load.RoundMicros = (processorSeconds() - before) * 1e6 / MeasuredSeconds /
                     static_cast<double>(world.Nodes.size());
  return load;
}

/// Returns the time until all other nodes have the node in `state`.
Span untilState(MemberWorld &world, const std::string &name,
                MemberState state) {
  return world.until([&] {
    return world.all([&](const MemberWorld::Node &node) {
      return node.Record.Name == name || world.seen(node, name) == state;
    });
  });
}

Span untilLeaving(MemberWorld &world, std::size_t number) {
  world.at(number).leave();
  auto name = MemberWorld::name(number);
  return world.until([&] {
    return world.all([&](const MemberWorld::Node &node) {
      if (node.Record.Name == name)
        return true;
      auto record = node.Member->find(name);
      return record && record->Leaving;
    });
  });
}

/// Measures several times how long a new revision takes to reach all nodes;
/// returns the longest time.
Span untilRevision(MemberWorld &world) {
  constexpr int Samples = 5;
  Span longest{};
  for (int it = 0; it < Samples; ++it) {
    Revision next = 0;
    for (auto &[name, node] : world.Nodes)
      next = std::max(next, node.InForce + 1);
    auto origin = MemberWorld::name(world.Random() % world.Nodes.size());
    world.Nodes[origin].InForce = next;
    auto span = world.until([&] {
      bool all = true;
      for (auto &[name, node] : world.Nodes) {
        node.InForce = std::max(node.InForce, world.Heard[name]);
        all = all && node.InForce == next;
      }
      return all;
    });
    longest = std::max(longest, span);
    world.run(10s);
  }
  return longest;
}

/// Partitions the regions for --parted_seconds; returns the time from their
/// reconnection until all nodes have complete membership again. Raises
/// `maxBytes` to the largest rate at which a node sent meanwhile, in bytes/s.
Span untilMerged(MemberWorld &world, std::size_t n, double &maxBytes) {
  bool connected = false;
  world.Joined = [&](const std::string &a, const std::string &b) {
    return connected || a == b;
  };
  world.run(std::chrono::seconds(FLAGS_parted_seconds));
  connected = true;
  for (auto &[name, node] : world.Nodes)
    node.Bytes = 0;
  auto span = world.until([&] { return complete(world, n); });
  for (const auto &[name, node] : world.Nodes)
    maxBytes = std::max(maxBytes, static_cast<double>(node.Bytes) /
                                      std::max(seconds(span), 1.0));
  world.Joined = nullptr;
  return span;
}

void benchMembers(std::size_t n) {
  MemberWorld world(FLAGS_seed);
  world.SizeOf = wireBytes;
  for (std::size_t it = 0; it < n; ++it)
    world.start(it, regionOf(it, n));
  auto gathered = world.until([&] { return complete(world, n); });
  world.run(180s);
  progress("idle");
  auto idle = measureMinute(world, false);
  progress("changes");
  auto busy = measureMinute(world, true);
  progress("revision");
  auto revision = untilRevision(world);
  progress("merge");
  double mergeBytes = 0;
  auto merged = regionsOf(n) > 1 ? untilMerged(world, n, mergeBytes) : Span(0);
  world.run(60s);
  world.start(n, regionOf(n, n));
  progress("join");
  auto joined = world.until([&] { return complete(world, n + 1); });
  world.run(30s);
  progress("leave");
  auto leaving = untilLeaving(world, 1);
  world.run(30s);
  progress("dead");
  auto victim = MemberWorld::name(2);
  world.Nodes[victim].Up = false;
  auto suspect = world.until([&] {
    return world.all([&](const MemberWorld::Node &node) {
      return world.seen(node, victim) != MemberState::Alive;
    });
  });
  auto dead = suspect + untilState(world, victim, MemberState::Dead);
  std::cout << n << " | " << regionsOf(n) << " | " << idle.MeanBytes << " | "
            << idle.MaxBytes << " | " << busy.MeanBytes << " | "
            << busy.MaxBytes << " | " << idle.RoundMicros << " | "
            << busy.RoundMicros << " | " << seconds(gathered) << " | "
            << seconds(joined) << " | " << seconds(leaving) << " | "
            << seconds(suspect) << " | " << seconds(dead) << " | "
            << seconds(revision) << " | " << seconds(merged) << " | "
            << mergeBytes << std::endl;
}

/// Returns the heap bytes per member of a table with `n` members.
double bytesPerMember(std::size_t n) {
  auto before = mallinfo2().uordblks;
  MembershipSettings settings;
  MemberTable table(settings, 1);
  for (std::size_t it = 0; it < n; ++it) {
    auto number = std::to_string(it);
    table.merge({"entry-" + number, 1, "10.20.30.40:" + number,
                 "10.20.30.40:" + number, "hall-a", "tunis-north"},
                Instant(1));
  }
  return static_cast<double>(mallinfo2().uordblks - before) /
         static_cast<double>(n);
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << "# membership: nodes | regions | idle bytes/s mean | max | "
               "with changes mean | max | idle us/round | with changes | "
               "gathered s | joined s | leaving s | suspect s | dead s | "
               "revision s | merged s | max bytes/s while merging"
            << std::endl;
  for (std::size_t n : {3, 7, 50, 200, 580}) {
    if (n >= FLAGS_min_nodes && n <= FLAGS_max_nodes)
      benchMembers(n);
  }
  std::cout << "# bytes per member: " << bytesPerMember(200) << " at 200, "
            << bytesPerMember(580) << " at 580, " << bytesPerMember(4000)
            << " at 4000\n";
  bench::measureConfiguration(std::cout);
  return 0;
}
