#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/CheckMany.h"
#include "UnitTests/Coordination/FakeTable.h"

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

constexpr int Schedules = 3000;

/// Some nodes' claim books on one fake table.
class ClaimBench {
public:
  explicit ClaimBench(std::uint64_t seed, ClaimSettings settings = {})
      : Table(Time, seed), Settings(settings) {
    for (int it = 0; it < 3; ++it)
      Books.push_back(start());
  }

  std::shared_ptr<ClaimStore> start() {
    ClaimHooks hooks;
    hooks.WallMs = [this] { return Time.now().count() / 1000; };
    hooks.After = [this](Span delay, std::function<void()> call) {
      Time.after(delay, std::move(call));
    };
    return std::make_shared<ClaimStore>(Settings, "n" + std::to_string(++Named),
                                        tableHooks(), hooks);
  }

  /// Claims and answers at once with what comes back.
  void claim(std::size_t book, const std::string &key,
             std::function<void(ClaimAnswer)> done,
             std::string_view body = "body") {
    auto id = "r" + std::to_string(++Requests);
    Books[book]->claim({"labels", key, body, id}, std::move(done));
  }

  ClaimAnswer claimNow(std::size_t book, const std::string &key,
                       std::string_view body = "body") {
    std::optional<ClaimAnswer> out;
    claim(
        book, key, [&](ClaimAnswer it) { out = std::move(it); }, body);
    Time.advance(60s);
    REQUIRE(out);
    return *out;
  }

  VirtualTime Time;
  FakeTable Table;
  ClaimSettings Settings;
  /// Whether reads of single rows are answered.
  bool ReadBack = true;
  std::vector<std::shared_ptr<ClaimStore>> Books;
  int Requests = 0;

private:
  TableHooks tableHooks() {
    auto hooks = Table.hooks();
    auto get = hooks.Get;
    hooks.Get = [this, get](const std::string &key, auto done) {
      if (ReadBack)
        return get(key, done);
      Time.after(Span(1),
                 [done] { done(tl::unexpected(TableError::Ambiguous)); });
    };
    return hooks;
  }

  int Named = 0;
};

struct ClaimStep {
  std::size_t Book = 0;
  int Key = 0;
  int Body = 0;
  int WaitMs = 0;
  int Ends = 0;
};

std::ostream &operator<<(std::ostream &out, const ClaimStep &it) {
  return out << it.Book << '/' << it.Key << '/' << it.Body << '/' << it.WaitMs
             << '/' << it.Ends;
}

rc::Gen<ClaimStep> anyStep() {
  return rc::gen::build<ClaimStep>(
      rc::gen::set(&ClaimStep::Book, anyIn<std::size_t>(0, 3)),
      rc::gen::set(&ClaimStep::Key, anyIn(0, 4)),
      rc::gen::set(&ClaimStep::Body,
                   rc::gen::weightedElement<int>({{9, 0}, {1, 1}})),
      rc::gen::set(&ClaimStep::WaitMs,
                   rc::gen::weightedElement<int>({{6, 0}, {2, 3}, {1, 900}})),
      rc::gen::set(&ClaimStep::Ends, anyIn(0, 4)));
}

/// Runs a schedule; the first broken promise in words, or nothing.
std::string play(ClaimBench &bench, const std::vector<ClaimStep> &steps) {
  std::string broken;
  std::map<int, int> ran;
  std::map<std::string, std::string> refused;
  int answers = 0;
  for (const auto &step : steps) {
    if (step.Ends == 3 && step.Book == 0)
      bench.Books[0] = bench.start();
    auto name = "key " + std::to_string(step.Key);
    auto take = [&, step](const ClaimAnswer &it) {
      ++answers;
      if (it.Result == ClaimResult::StoreUnavailable)
        refused.emplace(it.Ticket.Attempt, it.Ticket.Row);
      if (it.Result != ClaimResult::Claimed)
        return;
      if (ran[step.Key]++)
        broken = "ran twice";
      bench.Time.after(20ms, [&, step, it] {
        if (step.Ends == 0)
          bench.Books[step.Book]->record(it.Ticket, Outcome::Complete);
        if (step.Ends != 1)
          return;
        --ran[step.Key];
        bench.Books[step.Book]->record(it.Ticket, Outcome::NotRun);
      });
    };
    bench.claim(step.Book, name, take, step.Body ? "other" : "body");
    bench.Time.advance(std::chrono::milliseconds(step.WaitMs));
  }
  bench.Time.advance(600s);
  if (answers != static_cast<int>(steps.size()))
    broken = "a claim without an answer";
  for (const auto &[key, row] : bench.Table.Rows) {
    auto value = ClaimRow::read(row.Value);
    if (value && refused.contains(value->Attempt))
      broken = "refused as not run, but the key is claimed";
  }
  return broken;
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

TEST_CASE("a key runs at most once whatever the table does", "[claim]") {
  REQUIRE(checkMany("claim schedules", Schedules, [] {
    auto steps = *rc::gen::container<std::vector<ClaimStep>>(anyStep());
    ClaimBench bench(*rc::gen::arbitrary<std::uint64_t>());
    bench.Table.Faults = faultsOf(*rc::gen::element(0.0, 0.1, 0.4),
                                  *rc::gen::element<Span>(5ms, 500ms));
    auto broken = play(bench, steps);
    if (!broken.empty())
      RC_FAIL(broken);
  }));
}

TEST_CASE("without compare-and-set a key runs twice", "[claim]") {
  bool on = GENERATE(true, false);
  ClaimBench bench(1);
  bench.Table.Compares = on;
  std::vector<ClaimStep> steps{{0, 1, 0, 0, 2}, {1, 1, 0, 0, 2}};
  REQUIRE(play(bench, steps).empty() == on);
}

TEST_CASE("the same key at two nodes at once is claimed by one", "[claim]") {
  ClaimBench bench(7);
  std::vector<ClaimAnswer> answers;
  for (std::size_t it = 0; it < 6; ++it)
    bench.claim(it % 3, "k", [&](auto answer) { answers.push_back(answer); });
  bench.Time.advance(10s);
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
  ClaimBench bench(1);
  auto first = bench.claimNow(0, "k");
  REQUIRE(first.Result == ClaimResult::Claimed);
  REQUIRE(bench.claimNow(1, "k").Recorded == Outcome::Unknown);
  REQUIRE(bench.claimNow(1, "k", "x").Result == ClaimResult::OtherBody);
  auto outcome = GENERATE(Outcome::Complete, Outcome::Unknown, Outcome::NotRun);
  bench.Books[0]->record(first.Ticket, outcome);
  bench.Time.advance(1s);
  auto second = bench.claimNow(1, "k");
  if (outcome == Outcome::NotRun) {
    REQUIRE(second.Result == ClaimResult::Claimed);
    // The first one's ticket is worth nothing now.
    bench.Books[0]->record(first.Ticket, Outcome::Complete);
    REQUIRE(bench.claimNow(2, "k").Recorded == Outcome::Unknown);
  } else {
    REQUIRE(second.Result == ClaimResult::Taken);
    REQUIRE(second.Recorded == outcome);
    REQUIRE(second.RequestId == first.Ticket.RequestId);
  }
}

TEST_CASE("what the table's failures mean for a claim", "[claim]") {
  ClaimBench bench(1);
  SECTION("never sent: not run") {
    bench.Table.Faults.NotSent = 1;
    REQUIRE(bench.claimNow(0, "k").Result == ClaimResult::StoreUnavailable);
  }
  SECTION("down: it may have been written") {
    bench.Table.Down = true;
    REQUIRE(bench.claimNow(0, "k").Result == ClaimResult::Ambiguous);
  }
  SECTION("the answer lost after the change: ours only if read back") {
    bench.ReadBack = GENERATE(true, false);
    bench.Table.OnCommitted = [&](const auto &) {
      bench.Table.Faults.LoseAnswer = 0;
    };
    bool ours = bench.ReadBack;
    bench.Table.Faults.LoseAnswer = 1;
    REQUIRE(bench.claimNow(0, "k").Result ==
            (ours ? ClaimResult::Claimed : ClaimResult::Ambiguous));
    bench.ReadBack = true;
    REQUIRE(bench.claimNow(1, "k").Result == ClaimResult::Taken);
  }
}

TEST_CASE("a conflict of one claim does not fail its group", "[claim]") {
  ClaimBench bench(1);
  bench.Table.Faults.MaxDelay = 1us;
  bench.claimNow(0, "k3");
  auto before = bench.Books[1]->counts();
  std::map<int, ClaimResult> results;
  for (int it = 0; it < 8; ++it)
    bench.claim(1, "k" + std::to_string(it),
                [&, it](auto answer) { results[it] = answer.Result; });
  bench.Time.advance(1s);
  for (int it = 0; it < 8; ++it)
    REQUIRE(results[it] ==
            (it == 3 ? ClaimResult::Taken : ClaimResult::Claimed));
  auto after = bench.Books[1]->counts();
  REQUIRE(after.Transactions - before.Transactions == 2);
  REQUIRE(after.Reads - before.Reads == 8);
}

TEST_CASE("claims of a window share a transaction up to the limit", "[claim]") {
  ClaimBench bench(1);
  int claimed = 0;
  for (int it = 0; it < 70; ++it)
    bench.claim(0, std::to_string(it), [&](auto answer) {
      claimed += answer.Result == ClaimResult::Claimed;
    });
  bench.Time.advance(1s);
  REQUIRE(claimed == 70);
  REQUIRE(bench.Books[0]->counts().Transactions == 3);
}

TEST_CASE("keys may hold anything and scopes keep them apart", "[claim]") {
  std::set<std::string> rows;
  std::string odd("\0/\xff\"", 4);
  for (const std::string scope : {"", "a", "a:", "1:a"}) {
    for (const std::string &key :
         {std::string(), odd, std::string("a"), std::string(5000, 'x')})
      rows.insert(ClaimRow::keyOf(scope, key));
  }
  REQUIRE(rows.size() == 16);
  for (const auto &row : rows)
    REQUIRE(row.size() == ClaimRow::Prefix.size() + 64);
  ClaimBench bench(1);
  REQUIRE(bench.claimNow(0, odd, odd).Result == ClaimResult::Claimed);
  REQUIRE(bench.claimNow(1, odd, odd).Result == ClaimResult::Taken);
}

TEST_CASE("old claims are removed a few at a time, young ones never",
          "[claim]") {
  ClaimSettings settings;
  settings.Keep = 1h;
  settings.SliceDigits = 1;
  settings.CleanupBatch = 4;
  ClaimBench bench(1, settings);
  for (int it = 0; it < 200; ++it)
    bench.claim(0, "old " + std::to_string(it), [](auto) {});
  bench.Time.advance(2h);
  REQUIRE(bench.claimNow(0, "young").Result == ClaimResult::Claimed);
  std::size_t rows = bench.Table.Rows.size();
  for (int it = 0; it < 400; ++it) {
    // Three nodes share the slices; together they reach each of them.
    bench.Books[it % 3]->cleanUp(it % 3, 3);
    bench.Time.advance(1s);
    REQUIRE(rows - bench.Table.Rows.size() <= settings.CleanupBatch);
    rows = bench.Table.Rows.size();
  }
  REQUIRE(rows == 1);
  REQUIRE(bench.claimNow(1, "young").Result == ClaimResult::Taken);
}

TEST_CASE("an outcome is sent again, and given up within bounds", "[claim]") {
  ClaimSettings settings;
  settings.OutcomeBacklog = 1;
  ClaimBench bench(1, settings);
  auto first = bench.claimNow(0, "k");
  auto second = bench.claimNow(0, "l");
  bench.Table.Faults.NotSent = 1;
  bench.Books[0]->record(first.Ticket, Outcome::Complete);
  bench.Books[0]->record(second.Ticket, Outcome::Complete);
  REQUIRE(bench.Books[0]->counts().OutcomesDropped == 1);
  bench.Time.advance(500ms);
  bench.Table.Faults.NotSent = 0;
  bench.Time.advance(2s);
  REQUIRE(bench.claimNow(1, "k").Recorded == Outcome::Complete);
  REQUIRE(bench.claimNow(1, "l").Recorded == Outcome::Unknown);
}
