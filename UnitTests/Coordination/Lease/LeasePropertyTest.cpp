#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/Lease/LeaseFleet.h"

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 3000;
constexpr std::array Names{"entry-1", "entry-2", "entry-3"};

/// What a step of a schedule does to the fleet.
enum class Fault : std::uint8_t {
  Pause,
  Resume,
  Kill,
  Restart,
  RestartBesidePaused,
  TableDown,
  TableUp,
  Release,
  Nothing,
};

struct Step {
  Fault What = Fault::Nothing;
  std::size_t Host = 0;
  int WaitMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step) {
  return out << static_cast<int>(step.What) << '/' << step.Host << '/'
             << step.WaitMs;
}

rc::Gen<Step> anyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::What,
                   rc::gen::map(anyIn(0, static_cast<int>(Fault::Nothing) + 1),
                                [](int it) { return static_cast<Fault>(it); })),
      rc::gen::set(&Step::Host, anyIn<std::size_t>(0, Names.size())),
      rc::gen::set(&Step::WaitMs, anyIn(1, 16000)));
}

rc::Gen<std::vector<Step>> anySchedule() {
  return rc::gen::resize(10, rc::gen::container<std::vector<Step>>(anyStep()));
}

void restart(LeaseFleet &fleet, const std::string &name) {
  auto &host = fleet.start(name);
  host.Manager->round(fleet.Cells);
}

void apply(LeaseFleet &fleet, const Step &step) {
  std::string name = Names[step.Host];
  auto &host = *fleet.Current[name];
  switch (step.What) {
  case Fault::Pause:
    fleet.pause(host);
    break;
  case Fault::Resume:
    for (auto &it : fleet.Hosts)
      fleet.resume(*it);
    break;
  case Fault::Kill:
    fleet.kill(host);
    break;
  case Fault::Restart:
    fleet.kill(host);
    restart(fleet, name);
    break;
  case Fault::RestartBesidePaused:
    fleet.pause(host);
    restart(fleet, name);
    break;
  case Fault::TableDown:
    fleet.Table.Down = true;
    break;
  case Fault::TableUp:
    fleet.Table.Down = false;
    break;
  case Fault::Release:
    if (!host.Paused && !host.Dead)
      host.Manager->release([] {});
    break;
  case Fault::Nothing:
    break;
  }
  fleet.run(std::chrono::milliseconds(step.WaitMs));
}

/// Runs a schedule on a fleet, then restarts all hosts and runs 40 s without
/// faults.
void runSchedule(LeaseFleet &fleet, const std::vector<Step> &schedule,
                 const TableFaults &faults) {
  for (const auto *name : Names)
    fleet.start(name);
  fleet.run(2s);
  fleet.Table.Faults = faults;
  for (const auto &step : schedule)
    apply(fleet, step);
  fleet.Table.Faults = {};
  fleet.Table.Down = false;
  for (auto &host : fleet.Hosts)
    fleet.resume(*host);
  for (const auto *name : Names)
    fleet.kill(*fleet.Current[name]);
  for (const auto *name : Names)
    fleet.start(name);
  fleet.run(40s);
}

TableFaults anyFaults() {
  TableFaults faults;
  faults.NotSent = *rc::gen::element(0.0, 0.1);
  faults.LoseAnswer = *rc::gen::element(0.0, 0.1, 0.4);
  faults.LoseRequest = *rc::gen::element(0.0, 0.1);
  faults.Late = *rc::gen::element(0.0, 0.1, 0.3);
  faults.MaxDelay = std::chrono::milliseconds(*rc::gen::element(5, 300, 2500));
  return faults;
}

/// Runs a fixed set of schedules and returns how many had a violation.
int countViolations(LeaseSettings settings, FleetSwitches switches, int count) {
  int out = 0;
  for (int seed = 1; seed <= count; ++seed) {
    std::mt19937_64 random(seed);
    LeaseFleet fleet(seed, settings, switches);
    std::vector<Step> schedule(8);
    for (auto &step : schedule)
      step = {static_cast<Fault>(random() % 9), random() % Names.size(),
              static_cast<int>(random() % 16000)};
    TableFaults faults;
    faults.LoseAnswer = 0.2;
    faults.Late = 0.2;
    faults.MaxDelay = 1s;
    runSchedule(fleet, schedule, faults);
    out += !fleet.Violations.empty();
  }
  return out;
}

} // namespace

TEST_CASE("no two nodes hold a cell and epochs rise under any faults",
          "[lease]") {
  REQUIRE(checkMany("lease schedules", Schedules, [] {
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    auto faults = anyFaults();
    LeaseSettings settings;
    settings.ScanInterval = std::chrono::seconds(*rc::gen::element(0, 3, 60));
    LeaseFleet fleet(seed, settings);
    // With short rounds no delay beyond the margin hides an error.
    fleet.RoundInterval = *rc::gen::element<Span>(1s, 1s, 200ms);
    runSchedule(fleet, *anySchedule(), faults);
    if (!fleet.Violations.empty())
      RC_FAIL(fleet.Violations.front());
    if (settings.ScanInterval < settings.Duration)
      RC_ASSERT(fleet.unheld().empty());
  }));
}

TEST_CASE("disabling a condition of the lease causes violations", "[lease]") {
  constexpr int count = 60;
  REQUIRE(countViolations({}, {}, count) == 0);
  SECTION("a clock stops while its host is paused") {
    FleetSwitches switches;
    switches.ClockRunsInPause = false;
    REQUIRE(countViolations({}, switches, count) > 0);
  }
  SECTION("a restarted host keeps its incarnation") {
    FleetSwitches switches;
    switches.NewIncarnation = false;
    REQUIRE(countViolations({}, switches, count) > 0);
  }
  SECTION("the table does not compare versions") {
    FleetSwitches switches;
    switches.CompareAndSet = false;
    REQUIRE(countViolations({}, switches, count) > 0);
  }
  SECTION("clocks drift apart by more than the margin") {
    auto isSafeAtRates = [](double holder, double successor) {
      LeaseFleet fleet(1);
      auto &first = fleet.start("entry-1");
      first.Rate = holder;
      fleet.run(3s);
      fleet.start("entry-2").Rate = successor;
      fleet.run(1s);
      fleet.pause(first);
      fleet.run(30s);
      return fleet.Violations.empty();
    };
    REQUIRE(isSafeAtRates(0.901, 1.099));
    REQUIRE_FALSE(isSafeAtRates(0.7, 1.3));
  }
}
