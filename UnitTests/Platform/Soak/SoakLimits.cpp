#include "UnitTests/Platform/Soak/SoakLimits.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <algorithm>

namespace hemlockglade::soak {

namespace {

constexpr Span Window = std::chrono::seconds(4);
constexpr Span ToldBefore = std::chrono::milliseconds(500);
constexpr double Overshoot = 1.5;
constexpr double Slack = 5;

struct Arrival {
  Instant At{};
  std::string Tag;
};

/// One statement of a limit by one replica.
struct Statement {
  double PerSecond = 0;
  Instant From{};
  Instant To = Instant::max();
  /// When each gateway was first told.
  std::map<std::string, Instant, std::less<>> ToldAt;
};

struct ReplicaHistory {
  std::vector<Arrival> Arrivals;
  std::vector<Statement> Statements;
};

std::map<std::string, ReplicaHistory>
historyOf(const std::vector<HistoryEvent> &events,
          const DisturbanceLog &disturbances) {
  std::map<std::string, ReplicaHistory> out;
  for (const auto &it : events) {
    if (it.Event == "arrived") {
      out[it.Who].Arrivals.push_back({it.At, it.Tag});
      continue;
    }
    if (it.Event == "limited") {
      out[it.Who].Statements.push_back(
          {std::stod(it.Change), it.At, Instant::max(), {}});
      continue;
    }
    auto replica = out.find(it.Who);
    if (replica == out.end() || replica->second.Statements.empty())
      continue;
    auto &last = replica->second.Statements.back();
    if (it.Event == "unlimited")
      last.To = std::min(last.To, it.At);
    if (it.Event == "told" && it.At < last.To)
      last.ToldAt.try_emplace(std::string(disturbances.gatewayOf(it.Tag)),
                              it.At);
  }
  return out;
}

/// Returns the number of arrivals that count in the window which ends with the
/// given one.
std::size_t countedArrivals(const ReplicaHistory &replica,
                            const Statement &statement, Instant end,
                            const DisturbanceLog &disturbances) {
  auto counts = [&](const Arrival &it) {
    auto told = statement.ToldAt.find(disturbances.gatewayOf(it.Tag));
    bool isWithin = it.At > end - Window && it.At <= end;
    return isWithin && told != statement.ToldAt.end() &&
           told->second <= end - ToldBefore &&
           disturbances.wasConnected(it.Tag, end - Window, end);
  };
  return static_cast<std::size_t>(
      std::count_if(replica.Arrivals.begin(), replica.Arrivals.end(), counts));
}

} // namespace

LimitFindings checkLimits(const std::vector<HistoryEvent> &events,
                          Span contact) {
  DisturbanceLog disturbances(events);
  LimitFindings out;
  for (const auto &[id, replica] : historyOf(events, disturbances))
    for (const auto &statement : replica.Statements) {
      auto allowed =
          Overshoot * statement.PerSecond * inSeconds(Window) + Slack;
      if (statement.To < statement.From + contact)
        continue;
      ++out.Checked;
      std::size_t most = 0;
      for (const auto &it : replica.Arrivals)
        if (it.At >= statement.From + contact && it.At < statement.To)
          most = std::max(
              most, countedArrivals(replica, statement, it.At, disturbances));
      if (static_cast<double>(most) > allowed)
        out.Exceeded.push_back(
            id + " stated " + std::to_string(statement.PerSecond) +
            " a second at " + std::to_string(statement.From.count() / 1000) +
            " and got " + std::to_string(most) + " in a window");
    }
  return out;
}

} // namespace hemlockglade::soak
