// A late extra answer that repeats "not executed" is taken for the answer to
// the next sending of the same request, which runs all the same.
#include "../common/Engine.h"

using namespace review;

namespace {

constexpr int Engines = 6;
constexpr int Faulty = 3; // share 0.5
constexpr double GarbleS = 5;
constexpr double PauseS = 4;
constexpr int Times = 5;

} // namespace

int main(int argc, char **argv) {
  if (argc != 2)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  endStartedOnSignal();
  startTime();
  auto log = std::make_unique<Record>(std::string(argv[1]) + "/record.txt");
  auto folder = std::make_unique<WorkFolder>();
  Store store;
  std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
  EngineSite site(*log);
  site.Events = 12;
  site.EventS = 0.03;
  putEnginePlan(store, site);
  std::vector<std::unique_ptr<Engine>> engines;
  for (int n = 0; n < Engines; ++n)
    engines.push_back(std::make_unique<Engine>(
        store, site, "i-" + std::to_string(n),
        zones[static_cast<std::size_t>(n) % 3], n < Faulty));
  std::vector<std::unique_ptr<Node>> nodes;
  for (int n = 0; n < 6; ++n)
    nodes.push_back(std::make_unique<Node>(
        "edge-" + std::to_string(n), zones[static_cast<std::size_t>(n) % 3],
        "127.0.11." + std::to_string(n + 1), store.door(n).Port->port(), zones,
        folder->Path));
  for (const auto &it : nodes)
    it->start(true);
  for (const auto &it : nodes)
    if (!it->waitReady(10)) {
      std::fprintf(stderr, "%s isn't ready\n", it->Name.c_str());
      nodes.clear();
      finish(2);
    }
  sleepS(3);
  std::atomic<bool> over{false};
  std::mutex mutex;
  std::map<std::string, int> answered;
  std::vector<std::thread> clients;
  for (int n = 0; n < 150; ++n)
    clients.emplace_back([&, n] {
      StreamClient{*log,
                   *nodes[static_cast<std::size_t>(n) % nodes.size()],
                   n,
                   0.3,
                   3000,
                   over,
                   [&](const std::string &id, int status) {
                     std::lock_guard lock(mutex);
                     answered[id] = status;
                   }}
          .run();
    });
  sleepS(10);
  // Replicas hand out wrong bytes: several times, each for as long as the site
  // names.
  for (int n = 0; n < Times; ++n) {
    if (trouble()) {
      log->line("from here on some engines send extra answers");
      site.Extras = true;
    }
    sleepS(GarbleS);
    site.Extras = false;
    log->line("no further extra answers");
    sleepS(PauseS);
  }
  over = true;
  for (auto &it : clients)
    it.join();
  sleepS(0.5);
  int twice = 0, refusedYetRun = 0;
  {
    std::scoped_lock lock(mutex, site.Mutex);
    for (const auto &[id, n] : site.Runs) {
      auto status = answered[id];
      if (n > 1) {
        ++twice;
        log->line("BROKEN TWICE: " + id + " ran " + std::to_string(n) +
                  " times, its client was answered " + std::to_string(status));
      }
      if (status == 503 || status == 429) {
        ++refusedYetRun;
        log->line("BROKEN REFUSED: " + id + " was answered " +
                  std::to_string(status) + " and has run");
      }
    }
  }
  char text[220];
  std::snprintf(text, sizeof text,
                "requests %zu, answers of engines %d, of these refusals %d, "
                "extra answers %d, ran twice %d, refused yet run %d",
                answered.size(), site.AnswerCount.load(), site.Refusals.load(),
                site.ExtraCount.load(), twice, refusedYetRun);
  log->line(text);
  std::puts(text);
  nodes.clear();
  folder.reset();
  finish(twice || refusedYetRun ? 1 : 0);
}
