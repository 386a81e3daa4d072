#include "UnitTests/History/HistoryChecker.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace hemlockglade;
using nlohmann::json;

namespace {

/// Reads "at who event name=value..." lines into a history; at in ms.
std::vector<HistoryEvent> history(const std::string &text) {
  std::vector<HistoryEvent> out;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::int64_t at = 0;
    std::string who;
    std::string event;
    if (!(words >> at >> who >> event))
      continue;
    json node{{"at_us", at * 1000}, {"who", who}, {"event", event}};
    for (std::string pair; words >> pair;) {
      auto equals = pair.find('=');
      auto name = pair.substr(0, equals);
      auto value = json::parse(pair.substr(equals + 1), nullptr, false);
      if (name.ends_with("_us"))
        value = value.get<std::int64_t>() * 1000;
      node[name] = value.is_discarded() ? json(pair.substr(equals + 1)) : value;
    }
    auto parsed = HistoryEvent::parse(node.dump());
    REQUIRE(parsed);
    out.push_back(std::move(*parsed));
  }
  return out;
}

/// A bit of everything that may happen, and nothing that may not: an owner
/// killed, a node paused, one replaced, an endpoint that left, a restart.
const std::string Clean = R"(
0 operator node_started to=n1
0 operator node_started to=n2
1 e1 started
1 s1 started
2 operator applying change=c1 current={"oath":2}
3 operator accepted change=c1 revision=1
4 e1 ordered holder=n1 fence=1
4 e1 ordered holder=n1 fence=1
5 e1 loaded adapter=oath@2
5 e1 loaded adapter=seat@1
10 c sent sending=a/1 tag=a/1 adapter=oath to=n1
11 e1 ran run=1 tag=a/1 request=r1 adapter=oath@2
20 e1 finished run=1 tag=a/1 whole=true hash=h1
21 c answered sending=a/1 tag=a/1 to=n1 outcome=complete status=200 hash=h1 adapter=oath@2
30 c sent sending=b/1 tag=b/1 adapter=seat@1 to=n1
31 c answered sending=b/1 tag=b/1 to=n1 outcome=not-run status=503
32 c sent sending=b/2 tag=b/2 adapter=seat@1 to=n1
33 e1 ran run=2 tag=b/2 adapter=seat@1
34 operator killed to=n1
35 e1 detached run=2
36 c answered sending=b/2 tag=b/2 to=n1 outcome=none
37 e1 evicted adapter=seat@1
38 e1 cancelled run=2 tag=b/2
40 c sent sending=k/1 tag=k key=K to=n2 service=booking
40 c sent sending=k/1b tag=k key=K to=n3 service=booking
41 s1 ran run=1 tag=k request=r7
42 c answered sending=k/1b tag=k key=K to=n3 outcome=not-run status=503 request=r8
43 c sent sending=k/1c tag=k key=K to=n3 service=booking
44 c answered sending=k/1c tag=k key=K to=n3 outcome=not-run status=404
50 s1 finished run=1 tag=k whole=true hash=h7
51 c answered sending=k/1 tag=k key=K to=n2 outcome=complete status=200 hash=h7 request=r7
60 c sent sending=d/1 tag=d/1 adapter=oath to=n2
61 e1 ran run=3 tag=d/1 adapter=oath@2
62 e1 cut run=3 tag=d/1
62 e1 restarted
63 c answered sending=d/1 tag=d/1 to=n2 outcome=unknown status=502
70 platform listed endpoint=s1 leaving=true
72 c sent sending=f/1 tag=f/1 to=n2 service=booking
1500 s1 ran run=2 tag=f/1
1510 s1 finished run=2 tag=f/1 whole=true hash=h8
1511 c answered sending=f/1 tag=f/1 to=n2 outcome=complete status=200 hash=h8
1600 o in_force to=n2 asked_us=1599 revision=1
1601 operator applying change=c2 current={"oath":3}
1602 operator applying change=c3 current={"oath":1}
1603 operator accepted change=c2 revision=2
1604 operator rejected change=c3
1700 o in_force to=n2 asked_us=1600 revision=2
1701 o in_force to=n2 asked_us=1598 revision=1
1800 operator paused to=n3
9000 operator woken to=n3
14000 o in_force to=n3 asked_us=13999 revision=1
15000 operator terminated to=n2
15001 c sent sending=g/1 tag=g/1 to=n2 service=booking asked_us=14900 ttl_us=200
15002 s2 ran run=1 tag=g/1
15003 s2 finished run=1 tag=g/1 whole=true hash=h9
15004 c answered sending=g/1 tag=g/1 to=n2 outcome=complete status=200 hash=h9
15200 operator exited to=n2 code=0
15300 c sent sending=i/1 tag=i/1 to=n2 service=booking asked_us=14900 ttl_us=200
15301 c answered sending=i/1 tag=i/1 to=n2 outcome=none
16000 c done
)";

/// A history with a breach: lines taken out of the clean one by their start,
/// and lines added.
struct Planted {
  const char *What;
  Promise Broken;
  std::vector<std::string> Without;
  std::string With;
};

const std::vector<Planted> Plants{
    {"another adapter ran",
     Promise::RightAdapter,
     {"11 e1"},
     "11 e1 ran run=1 tag=a/1 adapter=seat@1"},
    {"another version ran",
     Promise::RightAdapter,
     {"33 e1"},
     "6 e1 loaded adapter=seat@2\n33 e1 ran run=2 tag=b/2 adapter=seat@2"},
    {"a version that nobody declared",
     Promise::RightAdapter,
     {"11 e1"},
     "6 e1 loaded adapter=oath@9\n11 e1 ran run=1 tag=a/1 adapter=oath@9"},
    {"the answer names another adapter",
     Promise::RightAdapter,
     {"21 c"},
     "21 c answered sending=a/1 tag=a/1 to=n1 outcome=complete status=200 "
     "hash=h1 adapter=seat@1"},
    {"ran after a restart without a load",
     Promise::RightAdapter,
     {},
     "64 c sent sending=x/1 tag=x/1 adapter=oath@2 to=n2\n"
     "65 e1 ran run=9 tag=x/1 adapter=oath@2\n"
     "66 c answered sending=x/1 tag=x/1 to=n2 outcome=unknown"},
    {"evicted while serving",
     Promise::NoEvictionWhileServing,
     {},
     "15 e1 evicted adapter=oath@2\n21 e1 loaded adapter=oath@2"},
    {"evicted after a resume",
     Promise::NoEvictionWhileServing,
     {},
     "36 e1 resumed run=2"},
    {"another text",
     Promise::WholeAnswer,
     {"21 c"},
     "21 c answered sending=a/1 tag=a/1 to=n1 outcome=complete status=200 "
     "hash=h2 adapter=oath@2"},
    {"a truncated answer called complete",
     Promise::WholeAnswer,
     {"20 e1"},
     "20 e1 finished run=1 tag=a/1 whole=false hash=h1"},
    {"another caller's answer",
     Promise::WholeAnswer,
     {"1511 c"},
     "1511 c answered sending=f/1 tag=f/1 to=n2 outcome=complete status=200 "
     "hash=h7"},
    {"the caller saw a gap",
     Promise::WholeAnswer,
     {"21 c"},
     "21 c answered sending=a/1 tag=a/1 to=n1 outcome=complete status=200 "
     "hash=h1 adapter=oath@2 fault=gap"},
    {"answered twice",
     Promise::WholeAnswer,
     {},
     "22 c answered sending=a/1 tag=a/1 to=n1 outcome=complete status=200 "
     "hash=h1 adapter=oath@2"},
    {"never answered", Promise::WholeAnswer, {"63 c"}, ""},
    {"no outcome from a node that lives",
     Promise::WholeAnswer,
     {"42 c"},
     "42 c answered sending=k/1b tag=k key=K to=n3 outcome=none"},
    {"no outcome from a node that stops later",
     Promise::WholeAnswer,
     {"63 c"},
     "63 c answered sending=d/1 tag=d/1 to=n2 outcome=none status=500"},
    {"not-run, but ran before",
     Promise::NotRunIsTrue,
     {"63 c"},
     "63 c answered sending=d/1 tag=d/1 to=n2 outcome=not-run status=503"},
    {"not-run, but runs later",
     Promise::NotRunIsTrue,
     {},
     "39 e1 loaded adapter=seat@1\n"
     "39 e1 ran run=7 tag=b/1 adapter=seat@1"},
    {"not-run of the copy that ran",
     Promise::NotRunIsTrue,
     {"42 c"},
     "42 c answered sending=k/1b tag=k key=K to=n3 outcome=not-run "
     "status=503 request=r7"},
    {"not-run without an id, and a run that nobody else has",
     Promise::NotRunIsTrue,
     {"51 c"},
     "51 c answered sending=k/1 tag=k key=K to=n2 outcome=complete "
     "status=200 hash=h7 request=r6"},
    {"a key ran at two endpoints",
     Promise::AtMostOnce,
     {"43 c", "44 c"},
     "43 s2 ran run=4 tag=k request=r9"},
    {"a key ran twice at one endpoint",
     Promise::AtMostOnce,
     {"43 c", "44 c"},
     "43 s1 ran run=4 tag=k request=r9"},
    {"work after the list said leaving",
     Promise::LeavingEndpoint,
     {"1500 s1", "1510 s1"},
     "2100 s1 ran run=2 tag=f/1\n"
     "1510 s3 ran run=2 tag=f/1\n"
     "1510 s3 finished run=2 tag=f/1 whole=true hash=h8"},
    {"cut by a planned stop",
     Promise::GracefulStop,
     {"15004 c"},
     "15004 c answered sending=g/1 tag=g/1 to=n2 outcome=none"},
    {"an old address refused in its time to live",
     Promise::GracefulStop,
     {"15300 c"},
     "15300 c sent sending=i/1 tag=i/1 to=n2 service=booking asked_us=15200 "
     "ttl_us=200"},
    {"a stop that isn't clean",
     Promise::GracefulStop,
     {"15200"},
     "15200 operator exited to=n2 code=1"},
    {"a stop that never ends", Promise::GracefulStop, {"15200"}, ""},
    {"a run cancelled by a planned stop",
     Promise::GracefulStop,
     {"15003 s2", "15004 c"},
     "15003 s2 cancelled run=1 tag=g/1\n"
     "15004 c answered sending=g/1 tag=g/1 to=n2 outcome=unknown"},
    {"a node went back",
     Promise::ConfigurationHolds,
     {},
     "1710 o in_force to=n2 asked_us=1705 revision=1"},
    {"not in force in time",
     Promise::ConfigurationHolds,
     {},
     "14001 o in_force to=n2 asked_us=14000 revision=1\n"
     "14002 o in_force to=n4 asked_us=14000 revision=1"},
    {"two holders within a lease",
     Promise::OneHolder,
     {},
     "2900 e1 ordered holder=n2 fence=2"},
    {"a lower fencing number",
     Promise::OneHolder,
     {},
     "5000 e1 ordered holder=n2 fence=2\n9000 e1 ordered holder=n2 fence=1"},
    {"one fencing number for two holders",
     Promise::OneHolder,
     {},
     "9000 e1 ordered holder=n2 fence=1"},
    {"an engine told to hold too much",
     Promise::OneHolder,
     {},
     "5000 e1 overloaded adapter=x"},
    {"one revision for two changes",
     Promise::ConfigurationHolds,
     {"1604 operator"},
     "1604 operator accepted change=c3 revision=2"},
};

std::string plant(const Planted &planted) {
  std::istringstream lines(Clean);
  std::string out;
  for (std::string line; std::getline(lines, line);) {
    bool taken = false;
    for (const auto &start : planted.Without)
      taken = taken || line.starts_with(start + ' ');
    if (!taken)
      out += line + '\n';
  }
  return out + planted.With;
}

} // namespace

TEST_CASE("a clean history holds every promise", "[history]") {
  for (const auto &verdict : HistoryChecker(history(Clean)).check()) {
    INFO(promiseName(verdict.Which));
    for (const auto &it : verdict.Violations)
      UNSCOPED_INFO(it.Text << ' ' << it.Lines.front());
    CHECK(verdict.Violations.empty());
    CHECK(verdict.Examined > 0);
  }
}

TEST_CASE("each planted breach is found, and only it", "[history]") {
  for (const auto &planted : Plants) {
    INFO(planted.What);
    for (const auto &verdict :
         HistoryChecker(history(plant(planted))).check()) {
      INFO(promiseName(verdict.Which));
      CHECK(verdict.Violations.empty() == (verdict.Which != planted.Broken));
    }
  }
}

TEST_CASE("every promise has a planted breach", "[history]") {
  std::array<int, 9> planted{};
  for (const auto &it : Plants)
    ++planted[static_cast<std::size_t>(it.Broken)];
  for (int n : planted)
    CHECK(n > 0);
}

TEST_CASE("a stop that was cut short by a kill needs no clean exit",
          "[history]") {
  auto breaches = [](const std::string &more) {
    return HistoryChecker(history("0 o node_started to=n9\n"
                                  "100 o terminated to=n9\n" +
                                  more))
        .check()[static_cast<std::size_t>(Promise::GracefulStop)]
        .Violations.size();
  };
  CHECK(breaches("200 o killed to=n9\n") == 0);
  CHECK(breaches("50 o killed to=n9\n") == 1);
  CHECK(breaches("200 o killed to=n8\n") == 1);
}

TEST_CASE("work to a leaving endpoint is excused from a host that stood still",
          "[history]") {
  auto breaches = [](const std::string &pause) {
    return HistoryChecker(
               history("0 e9 started\n0 p listed endpoint=e9 leaving=true\n" +
                       pause +
                       "2900 c sent sending=x tag=x to=n9\n"
                       "3000 e9 ran run=1 tag=x\n"))
        .check()[static_cast<std::size_t>(Promise::LeavingEndpoint)]
        .Violations.size();
  };
  CHECK(breaches("") == 1);
  CHECK(breaches("500 o paused to=n9\n2950 o woken to=n9\n") == 0);
  CHECK(breaches("500 o paused to=n8\n2950 o woken to=n8\n") == 1);
  CHECK(breaches("500 o paused to=n9\n900 o woken to=n9\n") == 1);
}

TEST_CASE("an order of a holder that was just woken does not count",
          "[history]") {
  auto orders = [](const std::string &at) {
    auto all = history(Clean + "100 operator paused to=n9\n" +
                       "200 operator woken to=n9\n" + at +
                       " e1 ordered holder=n9 fence=1\n");
    return HistoryChecker(all)
        .check()[static_cast<std::size_t>(Promise::OneHolder)]
        .Violations.size();
  };
  CHECK(orders("150") == 0);
  CHECK(orders("400") == 0);
  CHECK(orders("600") == 1);
}

TEST_CASE("the lines of a history may come in any order", "[history]") {
  auto events = history(plant(Plants.back()));
  auto forward = HistoryChecker(events).check();
  std::reverse(events.begin(), events.end());
  auto backward = HistoryChecker(events).check();
  for (std::size_t it = 0; it < forward.size(); ++it)
    CHECK(forward[it].Violations.size() == backward[it].Violations.size());
}

TEST_CASE("work to a leaving endpoint is excused while the list is silent",
          "[history]") {
  const auto &leaving =
      *std::find_if(Plants.begin(), Plants.end(), [](const auto &it) {
        return it.Broken == Promise::LeavingEndpoint;
      });
  auto silent = plant(leaving) + "\n100 platform silent endpoint=platform\n"
                                 "2090 platform answering endpoint=platform";
  auto verdicts = HistoryChecker(history(silent)).check();
  CHECK(verdicts[static_cast<std::size_t>(Promise::LeavingEndpoint)]
            .Violations.empty());
}

TEST_CASE("what is no history line is not read", "[history]") {
  for (const char *line : {"", "{", "[]", "{\"event\":\"ran\"}",
                           "{\"event\":\"ran\",\"at_us\":\"x\"}",
                           "{\"event\":\"ran\",\"at_us\":1,\"run\":\"x\"}"})
    CHECK_FALSE(HistoryEvent::parse(line));
}
