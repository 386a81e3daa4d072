#include "Hemlockglade/Coordination/Quota/ReplicaPlaces.h"

#include "Hemlockglade/Coordination/RowText.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

Workspace replicaPlaceHolder(std::string_view incarnation, double places,
                             double rejectionsPerSecond) {
  // Workspaces are named in header fields, which have no line breaks.
  constexpr std::string_view Prefix = "places\n";
  Workspace out;
  out.Name = std::string(Prefix).append(incarnation);
  out.Limit = WorkspaceLimit{LimitUnit::ReplicaPlaces, rejectionsPerSecond, 0,
                             0, places};
  return out;
}

double placesWithoutOwner(const std::string &node,
                          std::span<const std::string> nodes,
                          std::string_view holder, double places) {
  if (std::find(nodes.begin(), nodes.end(), node) == nodes.end())
    return 0;
  auto rankOf = [holder](const std::string &it) {
    return std::pair(digestOf(it + "@" + std::string(holder)),
                     std::string_view(it));
  };
  auto own = rankOf(node);
  auto before =
      std::count_if(nodes.begin(), nodes.end(),
                    [&](const std::string &it) { return rankOf(it) < own; });
  auto n = static_cast<double>(nodes.size());
  auto each = std::floor(places / n);
  bool hasOneMore = static_cast<double>(before) + 1 <= places - each * n;
  return each + (hasOneMore ? 1 : 0);
}

void ReplicaPlaces::setBounds(double places, double rejectionsPerSecond,
                              Instant now) {
  UsedAt = now;
  Places = places;
  RejectionsPerSecond = rejectionsPerSecond;
}

double ReplicaPlaces::Holder::places() const {
  double out = Used;
  for (const auto &[message, places] : Granted)
    out += places;
  return out;
}

void ReplicaPlaces::onReport(NodeId node, const Report &report,
                             std::uint64_t message, Instant now) {
  UsedAt = now;
  std::erase_if(Holders, [this, now](const auto &it) {
    return now - it.second.ReportedAt >= Options.HolderTimeout;
  });
  auto &holder = Holders[node];
  if (message >= holder.LastMessage) {
    holder.LastMessage = message;
    holder.Used = report.Used;
    holder.Granted.erase(holder.Granted.begin(),
                         holder.Granted.upper_bound(report.Acknowledged));
  }
  holder.ReportedAt = now;
  if (!report.Rejected)
    return;
  Rejected += report.Rejected;
  auto perSecond = Options.UsedRejections * RejectionsPerSecond;
  auto pause =
      perSecond > 0 ? spanOf(report.Rejected / perSecond) : Options.MaxPause;
  PausedUntil = std::max(PausedUntil, now + std::min(pause, Options.MaxPause));
}

void ReplicaPlaces::onGone(NodeId node, Instant now) {
  auto it = Holders.find(node);
  if (it != Holders.end())
    it->second.ReportedAt =
        std::min(it->second.ReportedAt,
                 now + Options.GoneTimeout - Options.HolderTimeout);
}

double ReplicaPlaces::used(Instant now) const {
  double out = 0;
  for (const auto &[node, it] : Holders)
    if (now - it.ReportedAt < Options.HolderTimeout)
      out += it.places();
  return out;
}

bool ReplicaPlaces::tryTake(NodeId node, double places, std::uint64_t message,
                            Instant now) {
  auto &holder = Holders[node];
  // One that needs more than all places runs alone.
  auto needed = std::min(places, Places);
  if (now < PausedUntil || used(now) + needed > Places) {
    holder.DeniedAt = now;
    return false;
  }
  holder.Granted[message] += places;
  holder.ReportedAt = now;
  return true;
}

Span ReplicaPlaces::timeUntilNext(Instant now) const {
  auto askers = std::count_if(
      Holders.begin(), Holders.end(), [this, now](const auto &it) {
        return now - it.second.DeniedAt < Options.AskerTimeout;
      });
  auto retry =
      spanOf(static_cast<double>(askers) / Options.MaxRetriesPerSecond);
  return std::max({Options.MinRetry, retry, PausedUntil - now});
}

} // namespace hemlockglade
