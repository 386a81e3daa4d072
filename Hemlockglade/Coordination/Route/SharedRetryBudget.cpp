#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

namespace hemlockglade {

std::int64_t SharedRetryBudget::slotNumber(Instant now) const {
  return now.count() / (Options.Window.count() / SlotsPerWindow);
}

SharedRetryBudget::Slot &SharedRetryBudget::slot(ServiceState &service,
                                                 Instant now) const {
  auto number = slotNumber(now);
  auto &out = service.Slots[static_cast<std::size_t>(number) % SlotCount];
  if (out.Number != number)
    out = {number, 0, 0};
  return out;
}

void SharedRetryBudget::onRequest(const std::string &service, Instant now) {
  ++slot(Services[service], now).Requests;
}

bool SharedRetryBudget::tryReserve(const std::string &service, Instant now) {
  auto &state = Services[service];
  auto age = [newest = slotNumber(now)](const Slot &it) {
    return newest - it.Number;
  };
  double requests = 0;
  double retries = state.Reserved;
  for (const auto &it : state.Slots) {
    requests += age(it) < SlotsPerWindow ? it.Requests : 0;
    retries += age(it) <= SlotsPerWindow ? it.Retries : 0;
  }
  double allowed = Options.UsedShare * Options.RetriesPerRequest * requests +
                   Options.UsedFixedShare * Options.FixedRetries * TrafficShare;
  if (retries + 1 > allowed)
    return false;
  ++state.Reserved;
  return true;
}

void SharedRetryBudget::onSent(const std::string &service, Instant now) {
  auto &state = Services[service];
  state.Reserved -= state.Reserved ? 1 : 0;
  ++slot(state, now).Retries;
}

void SharedRetryBudget::onNotSent(const std::string &service, Instant sentAt) {
  auto &state = Services[service];
  auto number = slotNumber(sentAt);
  auto &sent = state.Slots[static_cast<std::size_t>(number) % SlotCount];
  if (sent.Number == number && sent.Retries)
    --sent.Retries;
  ++state.Reserved;
}

void SharedRetryBudget::release(const std::string &service) {
  auto &state = Services[service];
  state.Reserved -= state.Reserved ? 1 : 0;
}

} // namespace hemlockglade
