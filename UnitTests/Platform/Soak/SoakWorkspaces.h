#pragma once

#include "Hemlockglade/State/Ids.h"

#include <nlohmann/json_fwd.hpp>
#include <random>
#include <string>
#include <vector>

namespace hemlockglade::soak {

/// The workspaces of a soak: their keys in each plan, their shares of the
/// requests, and the runs that replicas record.
class SoakWorkspaces {
public:
  /// Header field in which a caller sends replicas its true workspace and the
  /// time at which it sent its request.
  static constexpr std::string_view SenderField = "Soak-Caller";

  explicit SoakWorkspaces(std::uint64_t seed) : Random(seed) {}

  /// Returns the workspaces as operators declare them in a plan. Each plan
  /// revokes one key of each workspace and adds a new one.
  static nlohmann::json declaredIn(std::uint64_t plan);
  /// Draws the workspace of the next request; one of them sends far beyond its
  /// limit.
  const std::string &drawWorkspace();
  /// Returns a key that the workspace has in this plan and in the next one.
  static std::string keyOf(const std::string &workspace, std::uint64_t plan);
  /// Returns a key that this plan revoked.
  static std::string keyRevokedBy(std::uint64_t plan);
  /// Returns the value of `SenderField`.
  static std::string senderOf(const std::string &workspace, Instant sentAt);

  /// Called when a replica begins to run a request: `sender` is the value of
  /// `SenderField`, `received` the workspace that the replica received.
  void onRun(const std::string &sender, const std::string &received,
             bool hasKey, Instant now);
  /// Returns the maximum number of requests of the limited workspace that were
  /// both sent and run within one window, and how many are allowed.
  std::pair<std::size_t, double> maxRunsInWindow() const;
  /// Returns one line for each run with a wrong workspace or a key that was
  /// passed on.
  const std::vector<std::string> &violations() const { return Violations; }
  /// Returns the number of a workspace's runs.
  std::size_t runCountOf(const std::string &workspace) const;
  static const std::vector<std::string> &names();

private:
  struct Run {
    std::string Workspace;
    Instant SentAt{};
    Instant RanAt{};
  };

  std::mt19937_64 Random;
  std::vector<Run> Runs;
  std::vector<std::string> Violations;
};

} // namespace hemlockglade::soak
