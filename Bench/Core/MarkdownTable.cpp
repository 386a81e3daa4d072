#include "Bench/Core/MarkdownTable.h"

#include <iomanip>
#include <ostream>

namespace hemlockglade::bench {

namespace {

struct Column {
  const char *Figure;
  const char *Title;
  int Digits;
};

constexpr Column Columns[] = {
    {"load_stall_mean_s", "stall mean s", 3},
    {"load_stall_p95_s", "p95", 2},
    {"load_stall_p99_s", "p99", 2},
    {"stall_refused_mean_s", "of refused", 2},
    {"stall_penalised_mean_s", "penalised", 3},
    {"ttft_p95_s", "ttft p95 s", 2},
    {"batch_fill", "batch fill", 3},
    {"deadline_met", "deadlines met", 4},
    {"loads", "loads", 0},
    {"refused_not_run", "refused", 0},
    {"unknown", "unknown", 0},
    {"lost", "lost", 0},
    {"doubled", "doubled", 0},
    {"wrong_adapter", "wrong adapter", 0},
    {"evicted_while_serving", "evicted serving", 0},
    {"decision_ns_p50", "decision ns p50", 0},
    {"decision_ns_p99", "p99", 0},
};

void printRow(const std::string &scenario, const std::string &policy,
              const MarkdownTableSettings &settings, const RunFunction &run,
              std::ostream &out) {
  std::vector<double> sums(std::size(Columns));
  for (std::uint64_t seed = 1; seed <= settings.Seeds; ++seed) {
    auto figures = run(scenario, policy, seed);
    for (std::size_t it = 0; it < sums.size(); ++it)
      sums[it] += figures.at(Columns[it].Figure).get<double>();
  }
  out << "| " << scenario << " | " << policy << " |";
  for (std::size_t it = 0; it < sums.size(); ++it)
    out << " " << std::fixed << std::setprecision(Columns[it].Digits)
        << sums[it] / static_cast<double>(settings.Seeds) << " |";
  out << std::endl;
}

} // namespace

void printMarkdownTable(const MarkdownTableSettings &settings,
                        const RunFunction &run, std::ostream &out) {
  out << "| scenario | policy |";
  for (const auto &it : Columns)
    out << " " << it.Title << " |";
  out << "\n|---|---|";
  for (std::size_t it = 0; it < std::size(Columns); ++it)
    out << "---:|";
  out << "\n";
  for (const auto &scenario : settings.Scenarios) {
    for (const auto &policy : settings.Policies)
      printRow(scenario, policy, settings, run, out);
  }
}

} // namespace hemlockglade::bench
