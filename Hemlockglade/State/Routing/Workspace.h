#pragma once

#include "Hemlockglade/State/Routing/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// Unit in which requests are counted.
enum class LimitUnit : std::uint8_t {
  Requests,
  Tokens,
  /// Requests to one replica, which states the limit itself.
  ReplicaRequests,
  /// Requests that are at one replica at the same time.
  ReplicaPlaces,
};

/// Quota of a workspace over all nodes together: within any time span, its rate
/// times that span, plus a burst.
struct WorkspaceLimit {
  LimitUnit Unit = LimitUnit::Requests;
  /// Units a second, above 0.
  double PerSecond = 0;
  /// Units, 0 or more.
  double Burst = 0;
  /// Tokens that a request is charged if its number of tokens is not known.
  double PlainTokens = 0;
  /// Places of a replica; `PerSecond` is then the number of rejections that it
  /// bears.
  double Places = 0;

  bool operator==(const WorkspaceLimit &) const = default;
};

/// A group of callers that share a set of keys.
struct Workspace {
  std::string Name;
  /// Takes precedence over the rank of a route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
  /// Unset if the workspace is not limited.
  std::optional<WorkspaceLimit> Limit;
};

/// A workspace as operators declare it.
struct WorkspaceDeclaration {
  Workspace Declared;
  std::vector<std::string> Keys;
};

/// The workspaces of a plan, indexed by the keys that callers send. Stores
/// digests of the keys, not their text.
class WorkspaceDirectory {
public:
  WorkspaceDirectory() = default;
  /// A key that two workspaces declare belongs to neither and is reported in
  /// `Faults`.
  explicit WorkspaceDirectory(std::vector<WorkspaceDeclaration> declared);

  /// Returns whether callers must send a key.
  bool required() const { return Required; }
  /// Returns the workspace of a key, or null if no workspace has it.
  const Workspace *find(std::string_view key) const;
  const std::vector<Workspace> &all() const { return Workspaces; }
  std::size_t keys() const { return ByKey.size(); }

  /// Errors in the declarations, without any key's text.
  std::vector<std::string> Faults;

private:
  bool Required = false;
  std::vector<Workspace> Workspaces;
  /// Index of the workspace, or `Ambiguous`.
  std::unordered_map<KeyDigest, std::size_t, KeyDigest::Hash> ByKey;
};

} // namespace hemlockglade
