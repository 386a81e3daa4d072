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
  auto &state = Services[service];
  ++state.RequestCount;
  ++slot(state, now).Requests;
}

double SharedRetryBudget::left(const ServiceState &service, Instant now) const {
  auto age = [newest = slotNumber(now)](const Slot &it) {
    return newest - it.Number;
  };
  double requests = 0;
  double retries = service.Reserved;
  for (const auto &it : service.Slots) {
    requests += age(it) < SlotsPerWindow ? it.Requests : 0;
    retries += age(it) <= SlotsPerWindow ? it.Retries : 0;
  }
  return Options.UsedShare * Options.RetriesPerRequest * requests +
         Options.UsedFixedShare * Options.FixedRetries * TrafficShare - retries;
}

bool SharedRetryBudget::tryReserve(const std::string &service, Instant now) {
  auto &state = Services[service];
  if (left(state, now) < 1) {
    ++state.RefusedCount;
    return false;
  }
  ++state.Reserved;
  return true;
}

void SharedRetryBudget::onSent(const std::string &service, Instant now) {
  auto &state = Services[service];
  state.Reserved -= state.Reserved ? 1 : 0;
  ++state.SentCount;
  ++slot(state, now).Retries;
}

void SharedRetryBudget::onNotSent(const std::string &service, Instant sentAt) {
  auto &state = Services[service];
  auto number = slotNumber(sentAt);
  auto &sent = state.Slots[static_cast<std::size_t>(number) % SlotCount];
  if (sent.Number == number && sent.Retries)
    --sent.Retries;
  --state.SentCount;
  ++state.Reserved;
}

void SharedRetryBudget::release(const std::string &service) {
  auto &state = Services[service];
  state.Reserved -= state.Reserved ? 1 : 0;
}

std::map<std::string, SharedRetryBudget::Usage>
SharedRetryBudget::usage(Instant now) const {
  std::map<std::string, Usage> out;
  for (const auto &[name, it] : Services)
    out[name] = {it.RequestCount, it.SentCount, it.RefusedCount, it.Reserved,
                 left(it, now)};
  return out;
}

} // namespace hemlockglade
