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

QuotaAskMessage messageOf(const QuotaAccount::Message &message) {
  QuotaAskMessage out{message.Number, {}};
  for (const auto &it : message.Asks)
    out.Asks.push_back({it.Workspace, it.Needs, it.Ahead, it.Unused, it.Spent});
  return out;
}

std::vector<QuotaAsk> asksOf(const QuotaAskMessage &message) {
  std::vector<QuotaAsk> out;
  for (const auto &it : message.Asks) {
    QuotaAsk ask{it.Workspace,
                 {},
                 unitsOf(it.Ahead),
                 unitsOf(it.Unused),
                 unitsOf(it.Spent)};
    std::transform(it.Needs.begin(), it.Needs.end(),
                   std::back_inserter(ask.Needs), unitsOf);
    out.push_back(std::move(ask));
  }
  return out;
}

QuotaGrantMessage messageOf(std::uint64_t number,
                            std::span<const QuotaGrant> grants) {
  QuotaGrantMessage out{number, {}};
  for (const auto &it : grants)
    out.Grants.push_back(
        {it.Workspace, it.Kept, it.Passed, it.Ahead, it.EmptyFor.count()});
  return out;
}

std::vector<QuotaGrant> grantsOf(const QuotaGrantMessage &message) {
  std::vector<QuotaGrant> out;
  for (const auto &it : message.Grants)
    out.push_back({it.Workspace, it.Kept, it.Passed, unitsOf(it.Ahead),
                   std::max(Span(0), Span(it.EmptyForUs))});
  return out;
}

} // namespace hemlockglade
