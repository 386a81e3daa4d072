#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

namespace hemlockglade {

std::int64_t SharedRetryBudget::numberOf(Instant now) const {
  return now.count() /
         (Setup.Window.count() / static_cast<std::int64_t>(SlotCount));
}

SharedRetryBudget::Slot &SharedRetryBudget::slot(Slots &slots,
                                                 Instant now) const {
  auto number = numberOf(now);
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
  auto oldest = numberOf(now) - static_cast<std::int64_t>(SlotCount);
  double requests = 0;
  double repeats = 0;
  for (const auto &it : slots) {
    if (it.Number <= oldest)
      continue;
    requests += it.Requests;
    repeats += it.Repeats;
  }
  double allowed = Setup.UsedShare * Setup.RetriesPerRequest * requests +
                   Setup.UsedFixedShare * Setup.FixedRetries * Part;
  if (repeats + 1 > allowed)
    return false;
  ++slot(slots, now).Repeats;
  return true;
}

} // namespace hemlockglade
