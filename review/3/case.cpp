// The holder of a cell hands its lease over, the store's answer doesn't come,
// and the old holder orders again while the new one does.
#include "../common/Engine.h"

using namespace review;

namespace {

constexpr double SilenceS = 9;
/// Between the SIGTERMs of the machines of hall-b.
constexpr double GapS = 3.9;

std::unique_ptr<Record> Log;
std::atomic<bool> Over{false};

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  endStartedOnSignal();
  startTime();
  Log = std::make_unique<Record>(std::string(argv[1]) + "/record.txt");
  auto folder = std::make_unique<WorkFolder>();
  Store store;
  std::atomic<double> renewedAt{0};
  store.OnWrite = [&renewedAt](int door, const std::string &table,
                               const std::string &key,
                               const std::string &value) {
    Log->line("store: machine " + std::string(door == 0 ? "A" : door == 1 ? "B1" : "B2") +
              " writes " + table + " " + key + " = " +
              value.substr(0, 70));
    if (door == 0 && key == "lease/hall-b")
      renewedAt = nowS();
  };
  std::vector<std::string> zones{"hall-a", "hall-b"};
  EngineSite site(*Log);
  putEnginePlan(store, site);
  std::vector<std::unique_ptr<Engine>> engines;
  for (int n = 0; n < 4; ++n)
    engines.push_back(std::make_unique<Engine>(
        store, site, "i-" + std::to_string(n),
        zones[static_cast<std::size_t>(n) / 2]));
  auto a = std::make_unique<Node>("edge-hall-a-1", "hall-a", "127.0.12.1",
                                  store.door(0).Port->port(), zones,
                                  folder->Path);
  auto b1 = std::make_unique<Node>("edge-hall-b-1", "hall-b", "127.0.12.2",
                                   store.door(1).Port->port(), zones,
                                   folder->Path);
  auto b2 = std::make_unique<Node>("edge-hall-b-2", "hall-b", "127.0.12.3",
                                   store.door(2).Port->port(), zones,
                                   folder->Path);
  a->start(true);
  b1->start(true);
  b2->start(true);
  auto giveUp = [&](const char *why) {
    std::fprintf(stderr, "%s\n", why);
    for (auto *it : {a.get(), b1.get(), b2.get()})
      it->kill(SIGKILL);
    finish(2);
  };
  if (!a->waitReady(10) || !b1->waitReady(10) || !b2->waitReady(10))
    giveUp("a machine isn't ready");
  sleepS(2);
  std::vector<std::thread> clients;
  for (int n = 0; n < 45; ++n)
    clients.emplace_back([&, n] {
      const Node &to = n % 3 == 0 ? *a : n % 3 == 1 ? *b1 : *b2;
      StreamClient{*Log, to, n, 0.2, 400, Over, {}}.run();
    });
  sleepS(6);
  // Machines of hall-b are stopped and started in turn.
  std::atomic<double> readyAt{0};
  std::atomic<bool> failed{false};
  auto restart = [&](Node &node) {
    Log->line("SIGTERM to machine " + node.Name);
    node.kill(SIGTERM);
    if (node.wait(9) == -1)
      return void(failed = true);
    Log->line("machine " + node.Name + " has stopped");
    sleepS(1);
    Log->line("machine " + node.Name + " starts again");
    node.start(false);
    if (!node.waitReady(10))
      return void(failed = true);
    Log->line("machine " + node.Name + " is ready again");
    if (readyAt == 0)
      readyAt = nowS();
  };
  std::thread first(restart, std::ref(*b1));
  sleepS(GapS);
  std::thread second(restart, std::ref(*b2));
  first.join();
  if (failed)
    giveUp("a machine doesn't come back");
  // The store turns machine A away, silently, from shortly after one of its
  // renewals on: within the second in which it hands the cell over.
  while (renewedAt < readyAt + 1.95 && nowS() < readyAt + 6)
    sleepS(0.01);
  sleepS(0.1);
  if (trouble()) {
    Log->line("the store gives machine A no answers from here on");
    store.door(0).Silent = true;
  }
  sleepS(SilenceS);
  if (trouble()) {
    Log->line("the store answers machine A again");
    store.door(0).Silent = false;
  }
  sleepS(4);
  second.join();
  if (failed)
    giveUp("a machine doesn't come back");
  Over = true;
  for (auto &it : clients)
    it.detach();
  int lower = 0, same = 0, turns = 0, orders = 0;
  for (const auto &engine : engines) {
    auto all = engine->orders();
    orders += static_cast<int>(all.size());
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t highest = 0;
    for (std::size_t k = 0; k < all.size(); ++k) {
      const auto &it = all[k];
      char at[32];
      std::snprintf(at, sizeof at, "%.3f", it.At);
      if (it.Fence < highest) {
        ++lower;
        Log->line("BROKEN ONE: " + engine->id() + " at " + at + " epoch " +
                  std::to_string(it.Fence) + " of " + it.Holder + " after " +
                  std::to_string(highest));
      }
      highest = std::max(highest, it.Fence);
      auto [known, isNew] = holders.try_emplace(it.Fence, it.Holder);
      same += known->second != it.Holder;
      // Turns: another holder within lease_ms before this order.
      for (std::size_t j = k; j-- > 0 && it.At - all[j].At < 3.0;)
        if (all[j].Holder != it.Holder) {
          ++turns;
          break;
        }
    }
  }
  char text[160];
  std::snprintf(text, sizeof text,
                "orders %d, of a lower epoch after a higher one %d, of two "
                "holders in one epoch %d, in turns within lease_ms %d",
                orders, lower, same, turns);
  Log->line(text);
  std::puts(text);
  // The objects stay: threads of clients still hold them.
  for (auto *it : {a.get(), b1.get(), b2.get()})
    it->kill(SIGKILL);
  folder.reset();
  finish(lower || same || turns ? 1 : 0);
}
