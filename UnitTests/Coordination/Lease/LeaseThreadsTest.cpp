#include "Hemlockglade/Coordination/Coordination.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace hemlockglade;

namespace {

/// A table that calls back on the caller's thread, before the call returns.
class DirectTable {
public:
  TableHooks hooks() {
    TableHooks hooks;
    hooks.Get = [this](const std::string &key, auto done) {
      std::unique_lock lock(Mutex);
      auto it = Rows.find(key);
      auto row = it == Rows.end() ? std::nullopt : std::optional(it->second);
      lock.unlock();
      done(row);
    };
    hooks.Scan = [this](const std::string &prefix, auto done) {
      std::vector<TableRow> rows;
      std::unique_lock lock(Mutex);
      for (const auto &[key, row] : Rows) {
        if (key.starts_with(prefix))
          rows.push_back(row);
      }
      lock.unlock();
      done(rows);
    };
    hooks.Commit = [this](const TableTransaction &it, auto done) {
      if (apply(it))
        return done(true);
      done(tl::unexpected(TableError::Conflict));
    };
    return hooks;
  }

private:
  bool apply(const TableTransaction &transaction) {
    std::lock_guard lock(Mutex);
    for (const auto &write : transaction.Writes) {
      auto it = Rows.find(write.Key);
      auto version = it == Rows.end() ? 0 : it->second.Version;
      if (version != write.ExpectedVersion)
        return false;
    }
    for (const auto &write : transaction.Writes)
      Rows[write.Key] = {write.Key, write.ExpectedVersion + 1, *write.Value};
    return true;
  }

  std::mutex Mutex;
  std::map<std::string, TableRow> Rows;
};

/// Runs a call on several threads, `count` times each.
void onThreads(int count, const std::function<void(int thread)> &call) {
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int it = 0; it < 4; ++it)
    threads.emplace_back([&, it] {
      for (int n = 0; n < count; ++n)
        call(it);
    });
  for (auto &thread : threads)
    thread.join();
}

} // namespace

TEST_CASE("a lease manager can be called from several threads at once",
          "[lease]") {
  DirectTable table;
  std::atomic<std::int64_t> clock = 1'000'000'000;
  std::atomic<int> owned = 0;
  LeaseHooks hooks;
  hooks.Now = [&] { return Instant(clock += 100); };
  hooks.OnOwned = [&](const auto &, Epoch) { ++owned; };
  hooks.OnLost = [&](const auto &) { --owned; };
  auto manager = std::make_shared<LeaseManager>(
      LeaseSettings{}, NodeRecord{"a", "i", "", "", "", false}, table.hooks(),
      hooks);
  std::vector<std::string> cells{"x", "y", "z"};
  onThreads(200, [&](int thread) {
    if (thread < 2)
      manager->round(cells);
    manager->onNodeRow({{"b", "j", "", "", "", false}, 1});
    manager->holds("x");
    manager->nodes();
    manager->ownerOf("y");
  });
  manager->round(cells);
  REQUIRE(owned == 3);
  manager->release([] {});
  REQUIRE(owned == 0);
}

TEST_CASE("each claim of several threads is answered once", "[claim]") {
  DirectTable table;
  ClaimHooks hooks;
  hooks.WallMs = [] { return 1000; };
  hooks.After = [](Span, const auto &call) { call(); };
  auto store =
      std::make_shared<ClaimStore>(ClaimSettings{}, "a", table.hooks(), hooks);
  std::atomic<int> answers = 0;
  std::atomic<int> claimed = 0;
  std::array<std::atomic<int>, 4> next{};
  onThreads(200, [&](int thread) {
    // All threads use the same 200 keys.
    auto key = std::to_string(next[thread]++);
    store->claim({"s", key, "body", "r"}, [&](const ClaimAnswer &answer) {
      ++answers;
      if (answer.Result != ClaimResult::Claimed)
        return;
      ++claimed;
      store->record(answer.Ticket, Outcome::Complete);
    });
  });
  REQUIRE(answers == 800);
  REQUIRE(claimed == 200);
}
