#include "Hemlockglade/Protocol/Message/QuotaMessages.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Units as they count: a peer's message must not bring what would spoil all
/// sums.
double unitsOf(double told) {
  return std::isfinite(told) ? std::max(0.0, told) : 0;
}

} // namespace

QuotaRequestMessage messageOf(const QuotaClient::Message &message) {
  QuotaRequestMessage out{message.Number, {}};
  for (const auto &it : message.Requests)
    out.Requests.push_back(
        {it.Workspace, it.Requested, it.Ahead, it.Unused, it.Charged});
  return out;
}

std::vector<QuotaRequest> requestsOf(const QuotaRequestMessage &message) {
  std::vector<QuotaRequest> out;
  for (const auto &it : message.Requests) {
    QuotaRequest ask{it.Workspace,
                     {},
                     unitsOf(it.Ahead),
                     unitsOf(it.Unused),
                     unitsOf(it.Charged)};
    std::transform(it.Requested.begin(), it.Requested.end(),
                   std::back_inserter(ask.Requested), unitsOf);
    out.push_back(std::move(ask));
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
    out.push_back({it.Workspace, it.Managed, it.GrantedCount, unitsOf(it.Ahead),
                   std::max(Span(0), Span(it.EmptyForUs))});
  return out;
}

} // namespace hemlockglade
