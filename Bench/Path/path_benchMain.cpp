// Measures the cost of the path through hemlockglade: the latency of streamed
// completions through a node compared with that of the same ones sent to the
// engine directly, and the processor time of the nodes at several rates. With
// --engine it runs the engine that such a measurement uses.

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
#include <thread>

INITIALIZE_EASYLOGGINGPP

DEFINE_bool(engine, false, "run as the engine instead of the load program");
DEFINE_string(port_file, "", "file to write the engine's port to");
DEFINE_string(owner, "", "ip:port of the node that owns the cell");
DEFINE_string(entry, "", "ip:port of a node that does not own the cell");
DEFINE_string(direct, "", "ip:port of an engine");
DEFINE_string(pids, "",
              "process ids of the owner and the entry, in this order");
DEFINE_string(models, "",
              "adapters to request, name@version, separated by commas");
DEFINE_string(latency_rates, "25,75",
              "requests per second and case for the latency table");
DEFINE_string(rates, "50,100,155,200",
              "requests per second for the processor table");
DEFINE_int32(tokens, 277, "number of events of an answer");
DEFINE_int32(interval_us, 20000,
             "interval between two events, in microseconds");
DEFINE_int32(window_ms, 5000,
             "duration of the measurement at each rate, in milliseconds");
DEFINE_string(memory_sizes, "",
              "numbers of requests and connections for the memory table");
DEFINE_string(memory_what, "running",
              "kind of the memory table: idle, running or waiting; figures are "
              "most accurate with nodes that have served nothing else");
DEFINE_string(waiting_model, "",
              "adapter of a replica that runs one request at a time, for the "
              "waiting requests");
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

/// Measures the latency through engine, owner and entry. All are loaded at the
/// same time, so that varying load of the machine affects them alike. Returns
/// the number of failed requests.
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
      std::array<double, 4> now{percentileUs(result.FirstEvent, 0.5),
                                percentileUs(result.FirstEvent, 0.99),
                                percentileUs(result.Delay, 0.5),
                                percentileUs(result.Delay, 0.99)};
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

/// Measures the processor time of both nodes for one case at one rate. Returns
/// the number of failed requests.
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

/// Runs the context until `done` returns true or a timeout has passed; returns
/// whether it did.
bool runUntil(asio::io_context &context, const std::function<bool()> &done) {
  constexpr auto Timeout = std::chrono::seconds(10);
  auto until = std::chrono::steady_clock::now() + Timeout;
  while (!done() && std::chrono::steady_clock::now() < until) {
    context.restart();
    context.run_one_until(until);
  }
  return done();
}

/// Prints one row: the resident memory of the nodes, and its growth since
/// `before` per each of `count` connections or requests.
void memoryRow(const std::string &what, std::size_t count,
               const std::vector<pid_t> &pids,
               const std::vector<std::size_t> &before) {
  std::cout << "| " << what << " | " << count;
  for (std::size_t it = 0; it < pids.size(); ++it) {
    auto now = readUsage(pids[it]).Resident;
    auto grown = static_cast<double>(now) - static_cast<double>(before[it]);
    std::cout << " | " << now / 1024 << " | "
              << grown / static_cast<double>(count);
  }
  std::cout << " |" << std::endl;
}

std::vector<std::size_t> residentOf(const std::vector<pid_t> &pids) {
  std::vector<std::size_t> out;
  out.reserve(pids.size());
  for (auto pid : pids)
    out.push_back(readUsage(pid).Resident);
  return out;
}

/// Opens connections to the entry and leaves them idle.
bool idleConnections(const std::vector<pid_t> &pids) {
  asio::io_context context(1);
  std::vector<asio::ip::tcp::socket> sockets;
  auto before = residentOf(pids);
  for (const auto &size : split(FLAGS_memory_sizes)) {
    while (sockets.size() < std::stoul(size)) {
      sockets.emplace_back(context);
      sockets.back().connect(parseEndpoint(FLAGS_entry));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    memoryRow("idle connection", sockets.size(), pids, before);
  }
  return true;
}

/// Sends requests through the entry that stay running, or waiting if `waits`,
/// and prints a row at each of the sizes; the requests are abandoned at the
/// end. Returns false if a size was not reached or a request failed.
bool heldRequests(const std::vector<pid_t> &pids, const LoadTarget &to,
                  bool waits) {
  asio::io_context context(1);
  std::atomic<std::uint64_t> seen{0};
  LoadClient client(context, to, seen);
  auto before = residentOf(pids);
  std::size_t sent = 0;
  bool held = true;
  for (const auto &size : split(FLAGS_memory_sizes)) {
    auto count = std::stoul(size);
    client.run(count - sent, std::chrono::milliseconds(2), {});
    sent = count;
    auto end = std::chrono::steady_clock::now() +
               std::chrono::milliseconds(1000 + 2 * static_cast<int>(count));
    held = held && runUntil(context, [&] {
             return waits ? std::chrono::steady_clock::now() > end
                          : seen.load() >= count;
           });
    memoryRow(waits ? "waiting request" : "running request", count, pids,
              before);
  }
  std::cout << "\nfailed: " << client.Result.Failed
            << ", events: " << seen.load() << std::endl;
  return held && client.Result.Failed == 0;
}

bool memoryTable(const std::vector<pid_t> &pids) {
  constexpr int HoldUs = 60000000;
  FLAGS_interval_us = HoldUs;
  std::cout << "\n| what | number | owner KiB | owner bytes each | entry KiB | "
               "entry bytes each |\n|---|---|---|---|---|---|\n";
  if (FLAGS_memory_what == "idle")
    return idleConnections(pids);
  bool waits = FLAGS_memory_what == "waiting";
  if (waits)
    FLAGS_models = FLAGS_waiting_model;
  return heldRequests(pids, target("", FLAGS_entry, 2), waits);
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

int run() {
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
  std::uint64_t failed = 0;
  if (!FLAGS_latency_rates.empty())
    failed += latencyTable(pids);
  if (!FLAGS_rates.empty())
    failed += processorTable(pids);
  if (!FLAGS_memory_sizes.empty() && !memoryTable(pids)) {
    std::cerr << "path_bench: not all requests were held\n";
    ++failed;
  }
  return failed ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return run();
  } catch (const std::exception &error) {
    std::cerr << "path_bench: " << error.what() << '\n';
    return 1;
  }
}
