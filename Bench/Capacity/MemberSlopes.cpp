#include "HeapCount.h"
#include "Slope.h"
#include "Slopes.h"

#include "Hemlockglade/Protocol/Protocol.h"
#include "UnitTests/Coordination/Membership/MemberWorld.h"

namespace hemlockglade::bench {

namespace {

using namespace hemlockglade::test;
using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 20261;
constexpr std::size_t Regions = 6;
constexpr std::size_t Domains = 23;
/// Seconds between two changes of the configuration; about 33,000 changes a
/// day.
constexpr int ChangeIntervalS = 3;
const std::vector<std::size_t> TableSizes{100, 580, 2000};

std::vector<MemberRecord> recordsOf(std::size_t n) {
  std::vector<MemberRecord> out;
  for (std::size_t it = 0; it < n; ++it)
    out.push_back({"entry-" + std::to_string(it), 1764700000000000,
                   "10.20.30.40:" + std::to_string(10000 + it),
                   "10.20.30.40:" + std::to_string(20000 + it),
                   "hall-" + std::to_string(it % Domains),
                   "tunis-" + std::to_string(it % Regions)});
  return out;
}

double memberBytes(std::size_t n) {
  auto records = recordsOf(n);
  auto before = heapBytes();
  MemberTable table(MembershipSettings{}, Seed);
  for (const auto &it : records)
    table.merge(it, Instant(1));
  return heapBytes() - before;
}

double directoryMicros(std::size_t n) {
  constexpr int Answers = 1000;
  auto records = recordsOf(n);
  std::size_t found = 0;
  auto micros = microsOf([&] {
    for (int it = 0; it < Answers; ++it) {
      auto caller = "10.9.8." + std::to_string(it % 256);
      auto answer = chooseAddresses(
          {}, {caller, "hall-3", "tunis-3", "entry-77"}, records);
      found += answer.Addresses.size();
    }
  });
  return found ? micros / Answers : 0;
}

double copyMicros(std::size_t n) {
  constexpr int Copies = 200;
  MembershipHooks hooks;
  hooks.Now = [] { return Instant(1); };
  hooks.After = [](Span, const std::function<void()> &) {};
  hooks.Ask = [](const std::string &, const MemberMessage &, const auto &) {};
  hooks.Seeds = [] { return std::vector<std::string>(); };
  hooks.InForce = [] { return Revision(1); };
  auto records = recordsOf(n);
  auto member = std::make_shared<Membership>(MembershipSettings{}, records[0],
                                             hooks, Seed);
  MemberMessage message;
  message.Kind = MemberMessageKind::Ping;
  message.From = records[1].Name;
  message.FromIncarnation = 1;
  message.Members = records;
  member->serve(message, [](const auto &) {});
  std::size_t sum = 0;
  auto micros = microsOf([&] {
    for (int it = 0; it < Copies; ++it)
      sum += member->members().size();
  });
  return sum >= Copies * n ? micros / Copies : 0;
}

/// Measures the bytes that a node sends and the processor time of its rounds,
/// over a minute with changes of the configuration.
void measureRounds(std::ostream &out) {
  constexpr int Seconds = 60;
  Slope bytes{"membership, sent by a node, with changes",
              "bytes/s",
              "nodes",
              planned::Nodes,
              {}};
  Slope micros{"membership round with its messages coded",
               "us",
               "nodes",
               planned::Nodes,
               {}};
  for (std::size_t n : {50, 100, 200, 400}) {
    MemberWorld world(Seed);
    world.SizeOf = [](const MemberMessage &message) {
      auto packed = pack(message);
      return unpack<MemberMessage>(packed) ? packed.size() : 0;
    };
    for (std::size_t it = 0; it < n; ++it)
      world.start(it, "tunis-" + std::to_string(it % Regions));
    world.run(180s);
    for (auto &[name, node] : world.Nodes)
      node.Bytes = 0;
    auto spent = microsOf(
        [&] {
          for (int it = 0; it < Seconds; ++it) {
            if (it % ChangeIntervalS == 0)
              ++world.Nodes[MemberWorld::name(world.Random() % n)].InForce;
            world.run(1s);
            for (auto &[name, node] : world.Nodes)
              node.InForce = std::max(node.InForce, world.Heard[name]);
          }
        },
        1);
    double sent = 0;
    for (const auto &[name, node] : world.Nodes)
      sent += static_cast<double>(node.Bytes);
    auto rounds = static_cast<double>(n * Seconds);
    bytes.Points.push_back({static_cast<double>(n), sent / rounds});
    micros.Points.push_back({static_cast<double>(n), spent / rounds});
  }
  print(out, bytes);
  print(out, micros);
}

} // namespace

void measureMembers(std::ostream &out) {
  measureSlope(out, {"member", "bytes", "members", planned::Nodes, {}},
               TableSizes, &memberBytes);
  measureRounds(out);
  measureSlope(
      out, {"directory, addresses chosen", "us", "members", planned::Nodes, {}},
      TableSizes, &directoryMicros);
  measureSlope(out,
               {"list of members copied", "us", "members", planned::Nodes, {}},
               TableSizes, &copyMicros);
}

} // namespace hemlockglade::bench
