#include "Hemlockglade/Protocol/Message/QuotaMessages.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Returns valid units: values that are not finite or are negative, sent by a
/// peer, would corrupt all sums.
double sanitizeUnits(double received) {
  return std::isfinite(received) ? std::max(0.0, received) : 0;
}

} // namespace

QuotaRequestMessage messageOf(const QuotaClient::Message &message,
                              std::uint64_t entry) {
  QuotaRequestMessage out{message.Number, {}, entry};
  for (const auto &it : message.Requests) {
    QuotaRequestNotice notice{it.Workspace,
                              it.Requested,
                              it.Ahead,
                              it.Unused,
                              it.Charged,
                              it.ReplicaLimit,
                              {},
                              it.Places,
                              it.PlaceReport.Used,
                              it.PlaceReport.Acknowledged,
                              it.PlaceReport.Rejected,
                              it.Waits};
    for (auto ago : it.SentAgo)
      notice.SentAgoUs.push_back(ago.count());
    out.Requests.push_back(std::move(notice));
  }
  return out;
}

std::vector<QuotaRequest> requestsOf(const QuotaRequestMessage &message) {
  std::vector<QuotaRequest> out;
  for (const auto &it : message.Requests) {
    QuotaRequest request{
        it.Workspace,
        {},
        sanitizeUnits(it.Ahead),
        sanitizeUnits(it.Unused),
        sanitizeUnits(it.Charged),
        sanitizeUnits(it.ReplicaLimit),
        {},
        sanitizeUnits(it.Places),
        {sanitizeUnits(it.UsedPlaces), it.Acknowledged, it.Rejected},
        it.Waits};
    for (auto ago : it.SentAgoUs)
      request.SentAgo.push_back(std::max(Span(0), Span(ago)));
    std::transform(it.Requested.begin(), it.Requested.end(),
                   std::back_inserter(request.Requested), sanitizeUnits);
    out.push_back(std::move(request));
  }
  return out;
}

QuotaGrantMessage messageOf(std::uint64_t number,
                            std::span<const QuotaGrant> grants) {
  QuotaGrantMessage out{number, {}};
  for (const auto &it : grants)
    out.Grants.push_back({it.Workspace, it.Managed, it.GrantedCount, it.Ahead,
                          it.EmptyFor.count()});
  return out;
}

std::vector<QuotaGrant> grantsOf(const QuotaGrantMessage &message) {
  std::vector<QuotaGrant> out;
  for (const auto &it : message.Grants)
    out.push_back({it.Workspace, it.Managed, it.GrantedCount,
                   sanitizeUnits(it.Ahead),
                   std::max(Span(0), Span(it.EmptyForUs))});
  return out;
}

} // namespace hemlockglade
