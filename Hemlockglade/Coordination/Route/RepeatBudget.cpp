#include "Hemlockglade/Coordination/Route/RepeatBudget.h"

namespace hemlockglade {

std::int64_t RepeatBudget::numberOf(Instant now) const {
  return now.count() /
         (Setup.Window.count() / static_cast<std::int64_t>(SlotCount));
}

RepeatBudget::Slot &RepeatBudget::slot(Slots &slots, Instant now) const {
  auto number = numberOf(now);
  auto &out = slots[static_cast<std::size_t>(number) % SlotCount];
  if (out.Number != number)
    out = {number, 0, 0};
  return out;
}

void RepeatBudget::onRequest(const std::string &service, Instant now) {
  ++slot(Services[service], now).Requests;
}

bool RepeatBudget::spend(const std::string &service, Instant now) {
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
  double allowed = Setup.Used * Setup.Share * requests +
                   Setup.ExtraUsed * Setup.Extra * Part;
  if (repeats + 1 > allowed)
    return false;
  ++slot(slots, now).Repeats;
  return true;
}

} // namespace hemlockglade
