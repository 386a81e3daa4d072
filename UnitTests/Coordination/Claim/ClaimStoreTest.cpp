#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/FakeTable.h"

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 3000;

/// The claim stores of three nodes on one fake table.
class ClaimFixture {
public:
  explicit ClaimFixture(std::uint64_t seed, ClaimSettings settings = {})
      : Table(Time, seed), Settings(settings) {
    for (int it = 0; it < 3; ++it)
      Stores.push_back(start());
  }

  std::shared_ptr<ClaimStore> start() {
    ClaimHooks hooks;
    hooks.WallMs = [this] { return Time.now().count() / 1000; };
    hooks.After = [this](Span delay, std::function<void()> call) {
      Time.after(delay, std::move(call));
    };
    return std::make_shared<ClaimStore>(
        Settings, "n" + std::to_string(++StartCount), tableHooks(), hooks);
  }

  /// Claims a key; `done` gets the answer.
  void claim(std::size_t store, const std::string &key,
             std::function<void(ClaimAnswer)> done,
             std::string_view body = "body") {
    auto id = "r" + std::to_string(++Requests);
    Stores[store]->claim({"labels", key, body, id}, std::move(done));
  }

  ClaimAnswer claimNow(std::size_t store, const std::string &key,
                       std::string_view body = "body") {
    std::optional<ClaimAnswer> out;
    claim(
        store, key, [&](ClaimAnswer it) { out = std::move(it); }, body);
    Time.advance(60s);
    REQUIRE(out);
    return *out;
  }

  VirtualTime Time;
  FakeTable Table;
  ClaimSettings Settings;
  /// Whether reads of single rows are answered; otherwise they fail.
  bool AnswerReads = true;
  std::vector<std::shared_ptr<ClaimStore>> Stores;
  int Requests = 0;

private:
  TableHooks tableHooks() {
    auto hooks = Table.hooks();
    auto get = hooks.Get;
    hooks.Get = [this, get](const std::string &key, auto done) {
      if (AnswerReads)
        return get(key, done);
      Time.after(Span(1),
                 [done] { done(tl::unexpected(TableError::Ambiguous)); });
    };
    return hooks;
  }

  int StartCount = 0;
};

/// One claim of a schedule.
struct ClaimStep {
  std::size_t Store = 0;
  int Key = 0;
  int Body = 0;
  int WaitMs = 0;
  /// 0: recorded as complete. 1: recorded as not run. 2: not recorded. 3: not
  /// recorded, and store 0 restarts before the claim if the claim is its own.
  int Ending = 0;
};

std::ostream &operator<<(std::ostream &out, const ClaimStep &it) {
  return out << it.Store << '/' << it.Key << '/' << it.Body << '/' << it.WaitMs
             << '/' << it.Ending;
}

rc::Gen<ClaimStep> anyStep() {
  return rc::gen::build<ClaimStep>(
      rc::gen::set(&ClaimStep::Store, anyIn<std::size_t>(0, 3)),
      rc::gen::set(&ClaimStep::Key, anyIn(0, 4)),
      rc::gen::set(&ClaimStep::Body,
                   rc::gen::weightedElement<int>({{9, 0}, {1, 1}})),
      rc::gen::set(&ClaimStep::WaitMs,
                   rc::gen::weightedElement<int>({{6, 0}, {2, 3}, {1, 900}})),
      rc::gen::set(&ClaimStep::Ending, anyIn(0, 4)));
}

/// Runs a schedule. Returns a violated guarantee, or nothing.
std::string runSchedule(ClaimFixture &fixture,
                        const std::vector<ClaimStep> &steps) {
  std::string violation;
  std::map<int, int> ran;
  std::map<std::string, std::string> refused;
  int answers = 0;
  for (const auto &step : steps) {
    if (step.Ending == 3 && step.Store == 0)
      fixture.Stores[0] = fixture.start();
    auto name = "key " + std::to_string(step.Key);
    auto onAnswer = [&, step](const ClaimAnswer &it) {
      ++answers;
      if (it.Result == ClaimResult::StoreUnavailable)
        refused.emplace(it.Ticket.Attempt, it.Ticket.Row);
      if (it.Result != ClaimResult::Claimed)
        return;
      if (ran[step.Key]++)
        violation = "ran twice";
      fixture.Time.after(20ms, [&, step, it] {
        if (step.Ending == 0)
          fixture.Stores[step.Store]->record(it.Ticket, Outcome::Complete);
        if (step.Ending != 1)
          return;
        --ran[step.Key];
        fixture.Stores[step.Store]->record(it.Ticket, Outcome::NotRun);
      });
    };
    fixture.claim(step.Store, name, onAnswer, step.Body ? "other" : "body");
    fixture.Time.advance(std::chrono::milliseconds(step.WaitMs));
  }
  fixture.Time.advance(600s);
  if (answers != static_cast<int>(steps.size()))
    violation = "a claim got no answer";
  for (const auto &[key, row] : fixture.Table.Rows) {
    auto value = ClaimRow::parse(row.Value);
    if (value && refused.contains(value->Attempt))
      violation = "refused as not run, but the key is claimed";
  }
  return violation;
}

TableFaults faultsOf(double p, Span delay) {
  TableFaults faults;
  faults.NotSent = p / 2;
  faults.LoseAnswer = p;
  faults.LoseRequest = p / 2;
  faults.Late = p;
  faults.MaxDelay = delay;
  return faults;
}

} // namespace

TEST_CASE("a key runs at most once under any failures of the table",
          "[claim]") {
  REQUIRE(checkMany("claim schedules", Schedules, [] {
    auto steps = *rc::gen::container<std::vector<ClaimStep>>(anyStep());
    ClaimFixture fixture(*rc::gen::arbitrary<std::uint64_t>());
    fixture.Table.Faults = faultsOf(*rc::gen::element(0.0, 0.1, 0.4),
                                    *rc::gen::element<Span>(5ms, 500ms));
    auto violation = runSchedule(fixture, steps);
    if (!violation.empty())
      RC_FAIL(violation);
  }));
}

TEST_CASE("without compare-and-set a key runs twice", "[claim]") {
  bool on = GENERATE(true, false);
  ClaimFixture fixture(1);
  fixture.Table.Compares = on;
  std::vector<ClaimStep> steps{{0, 1, 0, 0, 2}, {1, 1, 0, 0, 2}};
  REQUIRE(runSchedule(fixture, steps).empty() == on);
}

TEST_CASE("a key that several nodes claim at once is claimed by one request",
          "[claim]") {
  ClaimFixture fixture(7);
  std::vector<ClaimAnswer> answers;
  for (std::size_t it = 0; it < 6; ++it)
    fixture.claim(it % 3, "k", [&](auto answer) { answers.push_back(answer); });
  fixture.Time.advance(10s);
  REQUIRE(answers.size() == 6);
  std::map<ClaimResult, int> results;
  std::string winner;
  for (const auto &it : answers) {
    ++results[it.Result];
    if (it.Result == ClaimResult::Claimed)
      winner = it.Ticket.RequestId;
  }
  REQUIRE(results[ClaimResult::Claimed] == 1);
  REQUIRE(results[ClaimResult::Taken] == 5);
  for (const auto &it : answers)
    REQUIRE((it.Result == ClaimResult::Claimed || it.RequestId == winner));
}

TEST_CASE("a second request gets the recorded outcome", "[claim]") {
  ClaimFixture fixture(1);
  auto first = fixture.claimNow(0, "k");
  REQUIRE(first.Result == ClaimResult::Claimed);
  REQUIRE(fixture.claimNow(1, "k").Recorded == Outcome::Unknown);
  REQUIRE(fixture.claimNow(1, "k", "x").Result == ClaimResult::OtherBody);
  auto outcome = GENERATE(Outcome::Complete, Outcome::Unknown, Outcome::NotRun);
  fixture.Stores[0]->record(first.Ticket, outcome);
  fixture.Time.advance(1s);
  auto second = fixture.claimNow(1, "k");
  if (outcome == Outcome::NotRun) {
    REQUIRE(second.Result == ClaimResult::Claimed);
    // The ticket of the first claim is invalid now.
    fixture.Stores[0]->record(first.Ticket, Outcome::Complete);
    REQUIRE(fixture.claimNow(2, "k").Recorded == Outcome::Unknown);
  } else {
    REQUIRE(second.Result == ClaimResult::Taken);
    REQUIRE(second.Recorded == outcome);
    REQUIRE(second.RequestId == first.Ticket.RequestId);
  }
}

TEST_CASE("results of claims under failures of the table", "[claim]") {
  ClaimFixture fixture(1);
  SECTION("write not sent: not run") {
    fixture.Table.Faults.NotSent = 1;
    REQUIRE(fixture.claimNow(0, "k").Result == ClaimResult::StoreUnavailable);
  }
  SECTION("table down: the claim may have been written") {
    fixture.Table.Down = true;
    REQUIRE(fixture.claimNow(0, "k").Result == ClaimResult::Ambiguous);
  }
  SECTION("answer lost after the write: claimed only if the row can be read") {
    fixture.AnswerReads = GENERATE(true, false);
    fixture.Table.OnCommitted = [&](const auto &) {
      fixture.Table.Faults.LoseAnswer = 0;
    };
    bool isOwn = fixture.AnswerReads;
    fixture.Table.Faults.LoseAnswer = 1;
    REQUIRE(fixture.claimNow(0, "k").Result ==
            (isOwn ? ClaimResult::Claimed : ClaimResult::Ambiguous));
    fixture.AnswerReads = true;
    REQUIRE(fixture.claimNow(1, "k").Result == ClaimResult::Taken);
  }
}

TEST_CASE("a conflict of one claim does not fail its group", "[claim]") {
  ClaimFixture fixture(1);
  fixture.Table.Faults.MaxDelay = 1us;
  fixture.claimNow(0, "k3");
  auto before = fixture.Stores[1]->counts();
  std::map<int, ClaimResult> results;
  for (int it = 0; it < 8; ++it)
    fixture.claim(1, "k" + std::to_string(it),
                  [&, it](auto answer) { results[it] = answer.Result; });
  fixture.Time.advance(1s);
  for (int it = 0; it < 8; ++it)
    REQUIRE(results[it] ==
            (it == 3 ? ClaimResult::Taken : ClaimResult::Claimed));
  auto after = fixture.Stores[1]->counts();
  REQUIRE(after.Transactions - before.Transactions == 2);
  REQUIRE(after.Reads - before.Reads == 8);
}

TEST_CASE("claims of a window share a transaction up to the limit", "[claim]") {
  ClaimFixture fixture(1);
  int claimed = 0;
  for (int it = 0; it < 70; ++it)
    fixture.claim(0, std::to_string(it), [&](auto answer) {
      claimed += answer.Result == ClaimResult::Claimed;
    });
  fixture.Time.advance(1s);
  REQUIRE(claimed == 70);
  REQUIRE(fixture.Stores[0]->counts().Transactions == 3);
}

TEST_CASE("keys may contain any bytes, and scopes separate them", "[claim]") {
  std::set<std::string> rows;
  std::string oddKey("\0/\xff\"", 4);
  for (const std::string scope : {"", "a", "a:", "1:a"}) {
    for (const std::string &key :
         {std::string(), oddKey, std::string("a"), std::string(5000, 'x')})
      rows.insert(ClaimRow::keyOf(scope, key));
  }
  REQUIRE(rows.size() == 16);
  for (const auto &row : rows)
    REQUIRE(row.size() == ClaimRow::Prefix.size() + 64);
  ClaimFixture fixture(1);
  REQUIRE(fixture.claimNow(0, oddKey, oddKey).Result == ClaimResult::Claimed);
  REQUIRE(fixture.claimNow(1, oddKey, oddKey).Result == ClaimResult::Taken);
}

TEST_CASE("expired claims are removed in small batches, recent ones are kept",
          "[claim]") {
  ClaimSettings settings;
  settings.Retention = 1h;
  settings.SliceDigits = 1;
  settings.CleanupBatch = 4;
  ClaimFixture fixture(1, settings);
  for (int it = 0; it < 200; ++it)
    fixture.claim(0, "old " + std::to_string(it), [](auto) {});
  fixture.Time.advance(2h);
  REQUIRE(fixture.claimNow(0, "young").Result == ClaimResult::Claimed);
  std::size_t rows = fixture.Table.Rows.size();
  for (int it = 0; it < 400; ++it) {
    // Three nodes share the slices; together they reach each of them.
    fixture.Stores[it % 3]->cleanUp(it % 3, 3);
    fixture.Time.advance(1s);
    REQUIRE(rows - fixture.Table.Rows.size() <= settings.CleanupBatch);
    rows = fixture.Table.Rows.size();
  }
  REQUIRE(rows == 1);
  REQUIRE(fixture.claimNow(1, "young").Result == ClaimResult::Taken);
}

TEST_CASE("an outcome is written again, and dropped above the backlog",
          "[claim]") {
  ClaimSettings settings;
  settings.OutcomeBacklog = 1;
  ClaimFixture fixture(1, settings);
  auto first = fixture.claimNow(0, "k");
  auto second = fixture.claimNow(0, "l");
  fixture.Table.Faults.NotSent = 1;
  fixture.Stores[0]->record(first.Ticket, Outcome::Complete);
  fixture.Stores[0]->record(second.Ticket, Outcome::Complete);
  REQUIRE(fixture.Stores[0]->counts().OutcomesDropped == 1);
  fixture.Time.advance(500ms);
  fixture.Table.Faults.NotSent = 0;
  fixture.Time.advance(2s);
  REQUIRE(fixture.claimNow(1, "k").Recorded == Outcome::Complete);
  REQUIRE(fixture.claimNow(1, "l").Recorded == Outcome::Unknown);
}
