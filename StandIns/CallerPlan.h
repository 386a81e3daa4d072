#pragma once

#include "Hemlockglade/Protocol/Protocol.h"

#include <random>

namespace hemlockglade {

/// One thing that a caller asks for, as often as it has to.
struct CallerOrder {
  /// Number within the caller.
  std::uint64_t Number = 0;
  /// `name@version` or a name; empty for a plain service.
  std::string Model;
  /// Plain service; empty for a completion.
  std::string Service;
  std::string Prompt;
  std::int64_t Tokens = 0;
  bool Stream = false;
  bool Chat = false;
  /// Not empty for what must not run twice.
  std::string Key;
  /// Whether a copy goes to another node at the same time.
  bool Doubled = false;
};

/// What a caller's plan is made from.
struct CallerPlanSettings {
  std::string Name;
  std::uint64_t Seed = 1;
  /// Most wanted first.
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Exponent of the adapters' popularity.
  double Zipf = 1.0;
  /// Shares of all requests, from 0 to 1.
  double ServiceShare = 0.3;
  double StreamShare = 0.7;
  /// Shares of the plain services' requests, and of the keyed ones.
  double KeyedShare = 0.6;
  double DoubledShare = 0.4;
  std::int64_t MaxTokens = 200;
};

/// Draws orders from a seed.
class CallerPlan {
public:
  explicit CallerPlan(CallerPlanSettings settings);

  CallerOrder next();
  /// A number from 0 to n - 1.
  std::size_t below(std::size_t n);
  bool chance(double share);

private:
  CallerPlanSettings Settings;
  std::mt19937_64 Random;
  std::vector<double> Weights;
  std::uint64_t Numbers = 0;
};

} // namespace hemlockglade
