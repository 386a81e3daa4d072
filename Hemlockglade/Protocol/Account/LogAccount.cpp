#include "Hemlockglade/Protocol/Account/LogAccount.h"

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace hemlockglade {

namespace {

constexpr double Unavailable = 503;

/// Returns the quantile of sorted values below which `share` of them are; 0 if
/// there are no values.
double quantile(const std::vector<double> &sorted, double share) {
  if (sorted.empty())
    return 0;
  auto at = static_cast<std::size_t>(share * double(sorted.size()));
  return sorted[std::min(at, sorted.size() - 1)];
}

void printCounts(std::ostream &out, std::string_view title,
                 const std::map<std::string, std::uint64_t> &counts) {
  out << '\n' << title << '\n';
  for (const auto &[name, n] : counts)
    out << std::setw(9) << n << "  " << name << '\n';
}

} // namespace

void LogAccount::add(const LogLine &line) {
  ++Lines;
  if (line.Event == "send")
    addSend(line);
  else if (line.Event == "end")
    addEnd(line);
  else if (line.Event == "order")
    addOrder(line);
  else if (line.Event == "repeat")
    ++Attempts[line.text("why")];
  else if (line.Event == "not-run")
    ++Attempts["not run, " +
               std::to_string(std::lround(line.number("status")))];
  else if (line.Event == "not-connected")
    ++Attempts["not connected"];
  else if (line.Event == "not-booked")
    ++QuotaRefusals[line.text("workspace")];
  else if (line.Event == "ended-under")
    ++ReplicaEnds[line.text("key")];
  else if (line.Event == "request-barred")
    BarredKeys.insert(line.text("key"));
}

void LogAccount::addSend(const LogLine &line) {
  if (Requests.size() >= Options.MaxOpenRequests)
    return;
  auto &request = Requests[line.text("request")];
  if (++request.Sent > 1)
    return;
  request.Route = line.text("route");
  request.Wait = line.text("wait");
  request.WaitedMs = line.number("waited_ms");
  Waits[request.Wait.empty() ? "nothing" : request.Wait].Ms.push_back(
      request.WaitedMs);
}

void LogAccount::addEnd(const LogLine &line) {
  constexpr double MsPerSecond = 1000;
  auto result = line.text("result");
  auto at = Requests.find(line.text("request"));
  OpenRequest request = at == Requests.end() ? OpenRequest{} : at->second;
  if (at != Requests.end())
    Requests.erase(at);
  bool refused = line.number("status") == Unavailable;
  if (request.Sent)
    ++Attempts[result];
  if (refused)
    ++Refusals[result + ", after waiting for: " + line.text("wait")];
  auto arrivedAt = line.AtSeconds - line.number("took_ms") / MsPerSecond;
  auto window =
      static_cast<std::int64_t>(std::floor(arrivedAt / Options.WindowSeconds));
  auto &counts =
      Windows[{request.Route.empty() ? "never sent" : request.Route, window}];
  ++counts.Requests;
  bool complete = result == "complete";
  counts.Complete += complete ? 1 : 0;
  counts.Refused += refused ? 1 : 0;
  counts.Failed += complete || refused ? 0 : 1;
  counts.HeldLong += complete && request.WaitedMs > Options.LongHoldMs ? 1 : 0;
}

void LogAccount::addOrder(const LogLine &line) {
  auto answer = line.text("answer");
  bool done = answer == "accepted" || answer == "holds";
  if (line.text("kind") != "load" || !done)
    return;
  auto version = static_cast<std::uint64_t>(line.number("version"));
  auto &replicas = Loaded[{line.text("weights"), version}];
  auto &counts = Loads[line.text("reason")];
  ++counts.All;
  if (replicas.empty())
    ++counts.First;
  else if (replicas.contains(line.text("replica")))
    ++counts.SameReplica;
  else
    ++counts.OtherReplica;
  replicas.insert(line.text("replica"));
}

void LogAccount::print(std::ostream &out) const {
  out << Lines << " lines\n";
  printLoads(out);
  printWaits(out);
  printCounts(out, "refusals", Refusals);
  printCounts(out, "tries at replicas, by how they ended", Attempts);
  printCounts(out, "refused by a limit, by workspace", QuotaRefusals);
  printEnds(out);
  printWindows(out);
}

void LogAccount::printEnds(std::ostream &out) const {
  // When a replica ends, all requests running on it are counted, so that a
  // single end says nothing about the request.
  constexpr std::uint64_t MinEnds = 2;
  out << "\nrequests under which replicas ended, by key\n";
  for (const auto &[key, n] : ReplicaEnds)
    if (n >= MinEnds || BarredKeys.contains(key))
      out << std::setw(9) << n << "  " << key
          << (BarredKeys.contains(key) ? ", barred" : "") << '\n';
}

void LogAccount::printLoads(std::ostream &out) const {
  out << "\nloads\n      all    first  again, same replica  again, another\n";
  for (const auto &[reason, n] : Loads)
    out << std::setw(9) << n.All << std::setw(9) << n.First << std::setw(21)
        << n.SameReplica << std::setw(16) << n.OtherReplica << "  " << reason
        << '\n';
}

void LogAccount::printWaits(std::ostream &out) const {
  constexpr double UpperQuantile = 0.9;
  out << "\nwaits before the first sending, ms\n"
      << "        n      p50      p90     long\n";
  for (const auto &[reason, waits] : Waits) {
    auto sorted = waits.Ms;
    std::sort(sorted.begin(), sorted.end());
    auto firstLong =
        std::upper_bound(sorted.begin(), sorted.end(), Options.LongHoldMs);
    out << std::setw(9) << sorted.size() << std::fixed << std::setprecision(0)
        << std::setw(9) << quantile(sorted, 0.5) << std::setw(9)
        << quantile(sorted, UpperQuantile) << std::setw(9)
        << sorted.end() - firstLong << "  " << reason << '\n';
  }
}

void LogAccount::printWindows(std::ostream &out) const {
  out << "\nfrom second, route\n"
      << "        n complete refused  failed held long\n";
  for (const auto &[key, n] : Windows)
    out << std::setw(9) << n.Requests << std::setw(9) << n.Complete
        << std::setw(8) << n.Refused << std::setw(8) << n.Failed
        << std::setw(10) << n.HeldLong << "  "
        << double(key.second) * Options.WindowSeconds << "  " << key.first
        << '\n';
}

} // namespace hemlockglade
