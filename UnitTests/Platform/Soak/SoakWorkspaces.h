#pragma once

#include "Hemlockglade/State/Ids.h"

#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

namespace hemlockglade::soak {

/// The workspaces of a soak: which keys they have in which plan, who sends how
/// much, and what replicas saw of it.
class SoakWorkspaces {
public:
  /// Field in which a caller tells replicas which workspace it belongs to, and
  /// when it sent its request.
  static constexpr std::string_view Truth = "Soak-Caller";

  explicit SoakWorkspaces(std::uint64_t seed) : Random(seed) {}

  /// As operators declare them in a plan: each plan takes one key away and
  /// gives a new one.
  static nlohmann::json declared(std::uint64_t plan);
  /// Draws whose request comes next; one of them sends far beyond its limit.
  const std::string &draw();
  /// A key that the workspace has in this plan and in the next one.
  static std::string keyOf(const std::string &workspace, std::uint64_t plan);
  /// The key that this plan took away.
  static std::string revokedBy(std::uint64_t plan);
  static std::string truthOf(const std::string &workspace, Instant sentAt);

  /// A replica begins to run a request with these fields.
  void onRun(const std::string &truth, const std::string &told, bool showsKey,
             Instant now);
  /// Most requests of the limited workspace that were both sent and run within
  /// any window, and how many may be.
  std::pair<std::size_t, double> mostInWindow() const;
  /// What was wrong with runs.
  const std::vector<std::string> &faults() const { return Faults; }
  /// Runs of each workspace.
  std::size_t runsOf(const std::string &workspace) const;
  static const std::vector<std::string> &names();

private:
  struct Run {
    std::string Workspace;
    Instant SentAt{};
    Instant RanAt{};
  };

  std::mt19937_64 Random;
  std::vector<Run> Runs;
  std::vector<std::string> Faults;
};

} // namespace hemlockglade::soak
