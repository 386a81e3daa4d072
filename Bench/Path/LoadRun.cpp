#include "LoadRun.h"

#include <algorithm>
#include <thread>

namespace hemlockglade::bench {

namespace {

constexpr std::chrono::seconds GracePeriod{20};

std::vector<double> processorOf(const std::vector<pid_t> &watched) {
  std::vector<double> out;
  out.reserve(watched.size());
  for (auto pid : watched)
    out.push_back(readUsage(pid).Processor);
  return out;
}

void merge(LoadResult &into, const LoadResult &part) {
  into.Whole += part.Whole;
  into.Failed += part.Failed;
  into.FirstEvent.insert(into.FirstEvent.end(), part.FirstEvent.begin(),
                         part.FirstEvent.end());
  into.Delay.insert(into.Delay.end(), part.Delay.begin(), part.Delay.end());
}

/// Generates one thread's share of the load.
std::vector<LoadResult> loadShare(const LoadPlan &plan,
                                  const std::vector<LoadTarget> &targets,
                                  std::size_t share,
                                  std::chrono::nanoseconds answerDuration,
                                  std::atomic<std::uint64_t> &seen) {
  asio::io_context context(1);
  auto sending = answerDuration + plan.Window;
  std::chrono::nanoseconds gap(static_cast<std::int64_t>(
      1e9 * static_cast<double>(plan.Threads) / plan.Rate));
  auto count = static_cast<std::size_t>(sending / gap);
  std::vector<std::unique_ptr<LoadClient>> clients;
  for (std::size_t it = 0; it < targets.size(); ++it) {
    clients.push_back(std::make_unique<LoadClient>(context, targets[it], seen));
    auto clientIndex = share * targets.size() + it;
    auto phase = gap * clientIndex / (plan.Threads * targets.size());
    clients.back()->run(count, gap, phase);
  }
  context.run_for(sending + answerDuration + GracePeriod);
  std::vector<LoadResult> out;
  for (auto &client : clients) {
    out.push_back(std::move(client->Result));
    // Requests without a whole answer by now count as failed.
    out.back().Failed = count - out.back().Whole;
  }
  return out;
}

} // namespace

LoadOutcome runLoad(const LoadPlan &plan,
                    const std::vector<LoadTarget> &targets,
                    const std::vector<pid_t> &watched) {
  LoadOutcome outcome;
  outcome.Targets.resize(targets.size());
  std::chrono::nanoseconds answerDuration = plan.Interval * plan.Tokens;
  std::atomic<std::uint64_t> seen{0};
  std::vector<std::vector<LoadResult>> shares(plan.Threads);
  std::vector<std::thread> threads;
  for (std::size_t it = 0; it < plan.Threads; ++it)
    threads.emplace_back([&, it] {
      shares[it] = loadShare(plan, targets, it, answerDuration, seen);
    });
  std::this_thread::sleep_for(answerDuration);
  auto before = processorOf(watched);
  auto seenBefore = seen.load();
  auto from = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(plan.Window);
  outcome.Events = seen.load() - seenBefore;
  outcome.Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - from)
          .count();
  auto after = processorOf(watched);
  for (std::size_t it = 0; it < watched.size(); ++it)
    outcome.Processor.push_back(after[it] - before[it]);
  for (auto &thread : threads)
    thread.join();
  for (const auto &share : shares) {
    for (std::size_t it = 0; it < targets.size(); ++it)
      merge(outcome.Targets[it], share[it]);
  }
  return outcome;
}

double percentileUs(std::vector<std::uint32_t> &values, double share) {
  if (values.empty())
    return 0;
  auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(at),
                   values.end());
  return values[at] / 1000.0;
}

} // namespace hemlockglade::bench
