// Measures what the path through hemlockglade costs: streamed completions
// through a node against the same ones sent to the engine directly, and the
// processor time of the nodes at rising rates. As an engine (--engine) it is
// the cheap source of events for such a run.

#include "LeanEngine.h"
#include "LoadRun.h"

#include "Hemlockglade/Transport/Transport.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

DEFINE_bool(engine, false, "be a cheap engine instead of a load program");
DEFINE_string(port_file, "", "file to write the engine's port to");
DEFINE_string(owner, "", "ip:port of the node that owns the cell");
DEFINE_string(entry, "", "ip:port of a node that does not own the cell");
DEFINE_string(direct, "", "ip:port of an engine");
DEFINE_string(pids, "", "process ids: the owner's, then the entry's");
DEFINE_string(models, "", "adapters to ask for, name@version, by comma");
DEFINE_string(latency_rates, "25,75",
              "requests a second and case for the latency table");
DEFINE_string(rates, "50,100,155,200",
              "requests a second for the processor table");
DEFINE_int32(tokens, 277, "events of an answer");
DEFINE_int32(interval_us, 20000, "time between two events");
DEFINE_int32(window_ms, 5000, "how long to measure at each rate");
DEFINE_int32(threads, 2, "threads of the load program");

namespace {

using namespace hemlockglade;
using namespace hemlockglade::bench;

std::vector<std::string> split(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

LoadTarget target(const std::string &name, const std::string &address,
                  std::size_t tokens) {
  LoadTarget out;
  out.Name = name;
  out.Address = parseEndpoint(address);
  out.Tokens = tokens;
  for (const auto &model : split(FLAGS_models))
    out.Bodies.push_back(
        "{\"model\":\"" + model + "\",\"prompt\":\"which papers do I need " +
        std::string(400, 'x') +
        "\",\"stream\":true,\"max_tokens\":" + std::to_string(tokens) +
        ",\"interval_us\":" + std::to_string(FLAGS_interval_us) + "}");
  return out;
}

LoadPlan planAt(double rate, std::size_t tokens) {
  LoadPlan plan;
  plan.Rate = rate;
  plan.Tokens = tokens;
  plan.Interval = std::chrono::microseconds(FLAGS_interval_us);
  plan.Window = std::chrono::milliseconds(FLAGS_window_ms);
  plan.Threads = static_cast<std::size_t>(FLAGS_threads);
  return plan;
}

std::uint64_t failures(const LoadOutcome &outcome) {
  std::uint64_t n = 0;
  for (const auto &it : outcome.Targets)
    n += it.Failed;
  return n;
}

/// Engine, owner and entry loaded at once, so that they share the machine's
/// state of the moment.
std::uint64_t latencyTable(const std::vector<pid_t> &pids) {
  auto tokens = static_cast<std::size_t>(FLAGS_tokens);
  std::vector<LoadTarget> targets{
      target("engine directly", FLAGS_direct, tokens),
      target("entry is owner", FLAGS_owner, tokens),
      target("entry is not owner", FLAGS_entry, tokens)};
  std::uint64_t failed = 0;
  std::cout << "| case | requests/s | answers | failed | first event p50 us | "
               "p99 us | added p50 | added p99 | event on its way p50 us | p99 "
               "us | added p50 | added p99 |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto &rate : split(FLAGS_latency_rates)) {
    auto outcome = runLoad(planAt(std::stod(rate), tokens), targets, pids);
    failed += failures(outcome);
    std::array<double, 4> base{};
    for (std::size_t it = 0; it < targets.size(); ++it) {
      auto &result = outcome.Targets[it];
      std::array<double, 4> now{
          percentileUs(result.First, 0.5), percentileUs(result.First, 0.99),
          percentileUs(result.Delay, 0.5), percentileUs(result.Delay, 0.99)};
      if (it == 0)
        base = now;
      std::cout << "| " << targets[it].Name << " | " << rate << " | "
                << result.Whole << " | " << result.Failed;
      for (std::size_t half = 0; half < 4; half += 2)
        std::cout << " | " << now[half] << " | " << now[half + 1] << " | "
                  << now[half] - base[half] << " | "
                  << now[half + 1] - base[half + 1];
      std::cout << " |" << std::endl;
    }
  }
  return failed;
}

/// One case at one rate: what the two nodes used.
std::uint64_t processorRow(const std::string &name, const std::string &address,
                           double rate, std::size_t tokens,
                           const std::vector<pid_t> &pids) {
  std::vector<LoadTarget> targets{target(name, address, tokens)};
  auto outcome = runLoad(planAt(rate, tokens), targets, pids);
  auto &result = outcome.Targets[0];
  auto owner = outcome.Processor.at(0) / outcome.Seconds;
  auto entry = outcome.Processor.at(1) / outcome.Seconds;
  std::cout << "| " << name << " | " << tokens << " | " << rate << " | "
            << static_cast<double>(outcome.Events) / outcome.Seconds << " | "
            << result.Failed << " | " << owner << " | " << entry << " | "
            << rate / (owner + entry) << " | "
            << static_cast<double>(outcome.Events) / outcome.Seconds /
                   (owner + entry)
            << " | " << percentileUs(result.Delay, 0.99) << " |" << std::endl;
  return result.Failed;
}

std::uint64_t processorTable(const std::vector<pid_t> &pids) {
  std::uint64_t failed = 0;
  std::cout << "\n| case | events an answer | requests/s | events/s | failed | "
               "owner cores | entry cores | requests/s a core | events/s a "
               "core | event on its way p99 us |\n"
               "|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto &rate : split(FLAGS_rates)) {
    for (std::size_t tokens : {1, FLAGS_tokens}) {
      failed += processorRow("entry is owner", FLAGS_owner, std::stod(rate),
                             tokens, pids);
      failed += processorRow("entry is not owner", FLAGS_entry, std::stod(rate),
                             tokens, pids);
    }
  }
  return failed;
}

int runEngine() {
  asio::io_context context(1);
  LeanEngine engine(context);
  std::ofstream(FLAGS_port_file) << engine.port() << '\n';
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](asio::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_engine)
    return runEngine();
  std::vector<pid_t> pids;
  for (const auto &it : split(FLAGS_pids))
    pids.push_back(static_cast<pid_t>(std::stol(it)));
  if (pids.size() != 2 || FLAGS_models.empty()) {
    std::cerr << "path_bench: see scripts/path-bench.sh\n";
    return 2;
  }
  std::cout.precision(4);
  auto failed = latencyTable(pids);
  failed += processorTable(pids);
  return failed ? 1 : 0;
}
