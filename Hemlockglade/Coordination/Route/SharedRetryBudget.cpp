#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"

#include <algorithm>

namespace hemlockglade {

std::int64_t SharedRetryBudget::slotNumber(Instant now) const {
  return now.count() / slotTime().count();
}

std::int64_t SharedRetryBudget::creditSlots() const {
  return static_cast<std::int64_t>(Options.CreditLifetime * SlotsPerWindow);
}

std::int64_t SharedRetryBudget::fixedSlots() const {
  return SlotsPerWindow + Options.MaxArrivalDelay / slotTime() + 1;
}

SharedRetryBudget::Slot &SharedRetryBudget::slot(ServiceState &service,
                                                 Instant now) const {
  auto number = slotNumber(now);
  auto &slots = service.Slots;
  while (!slots.empty() && number - slots.front().Number > fixedSlots())
    slots.pop_front();
  if (slots.empty() || slots.back().Number < number)
    slots.push_back({number});
  return slots.back();
}

void SharedRetryBudget::onRequest(const std::string &service, Instant now) {
  auto &state = Services[service];
  ++state.RequestCount;
  state.PartialCredit += Options.UsedShare * Options.RetriesPerRequest;
  if (state.PartialCredit < 1)
    return;
  state.PartialCredit -= 1;
  ++slot(state, now).Credits;
}

std::uint32_t SharedRetryBudget::credits(const ServiceState &service,
                                         Instant now) const {
  auto oldest = slotNumber(now) - creditSlots();
  std::uint32_t out = 0;
  for (const auto &it : service.Slots)
    out += it.Number > oldest ? it.Credits : 0;
  return out;
}

std::uint32_t SharedRetryBudget::fixedLeft(const ServiceState &service,
                                           Instant now) const {
  auto oldest = slotNumber(now) - fixedSlots();
  std::uint32_t sent = 0;
  for (const auto &it : service.Slots)
    sent += it.Number >= oldest ? it.Fixed : 0;
  auto allowed = static_cast<std::uint32_t>(
      Options.UsedFixedShare * Options.FixedRetries * fixedShare(now));
  return allowed - std::min(allowed, sent);
}

double SharedRetryBudget::left(const ServiceState &service, Instant now) const {
  return double(credits(service, now)) + fixedLeft(service, now) -
         service.Reserved;
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

std::optional<SharedRetryBudget::Payment>
SharedRetryBudget::trySend(const std::string &service, Instant now) {
  auto &state = Services[service];
  std::optional<Payment> out;
  auto oldest = slotNumber(now) - creditSlots();
  // Credits first, and the oldest of them: the others can still be spent later.
  auto it = std::find_if(state.Slots.begin(), state.Slots.end(),
                         [oldest](const Slot &slot) {
                           return slot.Number > oldest && slot.Credits > 0;
                         });
  if (it != state.Slots.end()) {
    --it->Credits;
    out = Payment{it->Number, false};
  } else if (fixedLeft(state, now) > 0) {
    auto &current = slot(state, now);
    ++current.Fixed;
    out = Payment{current.Number, true};
  }
  if (!out)
    return out;
  state.Reserved -= state.Reserved ? 1 : 0;
  ++state.SentCount;
  return out;
}

void SharedRetryBudget::onNotSent(const std::string &service,
                                  const Payment &payment) {
  auto &state = Services[service];
  ++state.Reserved;
  --state.SentCount;
  auto it = std::find_if(
      state.Slots.begin(), state.Slots.end(),
      [&payment](const Slot &slot) { return slot.Number == payment.Slot; });
  if (it == state.Slots.end())
    return;
  if (payment.IsFixed)
    it->Fixed -= it->Fixed ? 1 : 0;
  else
    ++it->Credits;
}

void SharedRetryBudget::release(const std::string &service) {
  auto &state = Services[service];
  state.Reserved -= state.Reserved ? 1 : 0;
}

void SharedRetryBudget::setFixedShare(double share, Instant now) {
  if (Shares.empty() || Shares.back().Value != share)
    Shares.push_back({now, share});
  auto from = now - Options.Window - Options.MaxArrivalDelay;
  while (Shares.size() > 1 && Shares[1].Since <= from)
    Shares.pop_front();
}

double SharedRetryBudget::fixedShare(Instant now) const {
  auto from = now - Options.Window - Options.MaxArrivalDelay;
  if (Shares.empty() || Shares.front().Since > from)
    return 0;
  double out = Shares.front().Value;
  for (const auto &it : Shares)
    out = std::min(out, it.Value);
  return out;
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
