#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

namespace hemlockglade {

std::int64_t SharedRetryBudget::slotNumber(Instant now) const {
  return now.count() /
         (Options.Window.count() / static_cast<std::int64_t>(SlotCount));
}

SharedRetryBudget::Slot &SharedRetryBudget::slot(Slots &slots,
                                                 Instant now) const {
  auto number = slotNumber(now);
  auto &out = slots[static_cast<std::size_t>(number) % SlotCount];
  if (out.Number != number)
    out = {number, 0, 0};
  return out;
}

void SharedRetryBudget::onRequest(const std::string &service, Instant now) {
  ++slot(Services[service], now).Requests;
}

bool SharedRetryBudget::tryConsume(const std::string &service, Instant now) {
  auto &slots = Services[service];
  auto oldest = slotNumber(now) - static_cast<std::int64_t>(SlotCount);
  double requests = 0;
  double retries = 0;
  for (const auto &it : slots) {
    if (it.Number <= oldest)
      continue;
    requests += it.Requests;
    retries += it.Retries;
  }
  double allowed = Options.UsedShare * Options.RetriesPerRequest * requests +
                   Options.UsedFixedShare * Options.FixedRetries * TrafficShare;
  if (retries + 1 > allowed)
    return false;
  ++slot(slots, now).Retries;
  return true;
}

} // namespace hemlockglade
