#include "StandIns/CallerPlan.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

constexpr std::size_t Prompts = 6;

} // namespace

CallerPlan::CallerPlan(CallerPlanSettings settings)
    : Settings(std::move(settings)), Random(Settings.Seed) {
  double sum = 0;
  for (std::size_t it = 1; it <= Settings.Models.size(); ++it) {
    sum += std::pow(static_cast<double>(it), -Settings.Zipf);
    Weights.push_back(sum);
  }
}

std::size_t CallerPlan::below(std::size_t n) { return Random() % n; }

bool CallerPlan::chance(double share) {
  // The standard distributions give different values in different libraries,
  // so the number is computed here.
  constexpr double Range = 1U << 20U;
  return static_cast<double>(Random() % (1U << 20U)) < share * Range;
}

CallerOrder CallerPlan::next() {
  CallerOrder order;
  order.Number = ++Numbers;
  bool service = Settings.Models.empty() || chance(Settings.ServiceShare);
  if (service && !Settings.Services.empty()) {
    order.Service = Settings.Services[below(Settings.Services.size())];
    if (!chance(Settings.KeyedShare))
      return order;
    order.Key = Settings.Name + "-key-" + std::to_string(order.Number);
    order.Doubled = chance(Settings.DoubledShare);
    return order;
  }
  constexpr double Steps = 1U << 20U;
  double point =
      static_cast<double>(Random() % (1U << 20U)) / Steps * Weights.back();
  auto it = std::upper_bound(Weights.begin(), Weights.end(), point);
  order.Model = Settings.Models[static_cast<std::size_t>(
      std::min(it, Weights.end() - 1) - Weights.begin())];
  order.Prompt =
      "which papers do I need for oath day " + std::to_string(below(Prompts));
  order.Tokens = 1 + static_cast<std::int64_t>(
                         below(static_cast<std::size_t>(Settings.MaxTokens)));
  order.Stream = chance(Settings.StreamShare);
  order.Chat = chance(0.5);
  return order;
}

} // namespace hemlockglade
