#include "UnitTests/Platform/Soak/SoakBrittle.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <deque>

namespace hemlockglade::soak {

namespace {

constexpr Span RejectionWindow = std::chrono::seconds(1);
/// Failures allowed in one time, and for each of the service's replicas.
constexpr double AllowedFalls = 2;
constexpr double AllowedFallsPerReplica = 0.1;

/// A time in which a service's replicas state a limit on rejections.
struct BrittleTime {
  std::string Service;
  std::string MaxRejections;
  Instant From{};
  double Allowed = 0;
  std::size_t CountedFalls = 0;
};

struct Rejection {
  Instant At{};
  std::string Tag;
};

/// Whether most of the rejections came from gateways that were undisturbed.
bool isCounted(const std::deque<Rejection> &rejections, Instant at,
               Span contact, const DisturbanceLog &disturbances) {
  std::size_t all = 0;
  std::size_t connected = 0;
  for (const auto &it : rejections) {
    if (at - it.At >= RejectionWindow)
      continue;
    ++all;
    connected += disturbances.wasConnected(it.Tag, it.At - contact, it.At);
  }
  return 2 * connected > all;
}

} // namespace

BrittleFindings checkBrittle(const std::vector<HistoryEvent> &events,
                             Span contact) {
  DisturbanceLog disturbances(events);
  BrittleFindings out;
  std::map<std::string, BrittleTime> times;
  std::map<std::string, std::deque<Rejection>> rejections;
  auto close = [&out](const BrittleTime &it) {
    if (static_cast<double>(it.CountedFalls) > it.Allowed)
      out.Exceeded.push_back(
          it.Service + " stated " + it.MaxRejections + " a second at " +
          std::to_string(it.From.count() / 1000) + ", " +
          std::to_string(it.CountedFalls) + " failures count");
  };
  for (const auto &it : events) {
    if (it.Event == "brittle") {
      ++out.Checked;
      times[it.Service] = {it.Service, it.Change, it.At,
                           AllowedFalls + AllowedFallsPerReplica *
                                              static_cast<double>(it.Running),
                           0};
    } else if (it.Event == "sound") {
      if (auto ended = times.extract(it.Service); !ended.empty())
        close(ended.mapped());
    } else if (it.Event == "arrived") {
      out.Arrived += times.contains(it.Service);
    } else if (it.Event == "no_room") {
      ++out.Rejected;
      rejections[it.Who].push_back({it.At, it.Tag});
    } else if (it.Event == "fell") {
      ++out.Fallen;
      if (auto time = times.find(it.Service); time != times.end())
        time->second.CountedFalls +=
            isCounted(rejections[it.Who], it.At, contact, disturbances);
    }
  }
  for (const auto &[service, it] : times)
    close(it);
  return out;
}

} // namespace hemlockglade::soak
