#pragma once

#include "Hemlockglade/Protocol/Protocol.h"

#include <random>

namespace hemlockglade {

/// One request of a caller, which may need several attempts.
struct CallerOrder {
  /// Sequence number within the caller.
  std::uint64_t Number = 0;
  /// `name@version` or a name; empty for a plain service.
  std::string Model;
  /// Name of the plain service; empty for a completion.
  std::string Service;
  std::string Prompt;
  std::int64_t Tokens = 0;
  bool Stream = false;
  bool Chat = false;
  /// Idempotency key; set for requests that must not run twice.
  std::string Key;
  /// Whether a copy is sent to another node at the same time.
  bool Doubled = false;
};

/// Parameters of a caller's plan.
struct CallerPlanSettings {
  std::string Name;
  std::uint64_t Seed = 1;
  /// In order of popularity, the most popular first.
  std::vector<std::string> Models;
  std::vector<std::string> Services;
  /// Exponent of the Zipf distribution of the adapters' popularity.
  double Zipf = 1.0;
  /// Shares of all requests, from 0 to 1.
  double ServiceShare = 0.3;
  double StreamShare = 0.7;
  /// KeyedShare is a share of the plain services' requests, DoubledShare one of
  /// those with a key.
  double KeyedShare = 0.6;
  double DoubledShare = 0.4;
  std::int64_t MaxTokens = 200;
};

/// Generates a caller's requests, deterministically from a seed.
class CallerPlan {
public:
  explicit CallerPlan(CallerPlanSettings settings);

  CallerOrder next();
  /// Returns a random number from 0 to n - 1.
  std::size_t below(std::size_t n);
  bool chance(double share);

private:
  CallerPlanSettings Settings;
  std::mt19937_64 Random;
  std::vector<double> Weights;
  std::uint64_t Numbers = 0;
};

} // namespace hemlockglade
