#pragma once

#include "Hemlockglade/State/Routing/KeyDigest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// What the requests of a workspace are counted in.
enum class LimitUnit : std::uint8_t { Requests, Tokens };

/// What a workspace may send over all nodes together: within any span of time
/// its rate times that span, and a burst beside.
struct WorkspaceLimit {
  LimitUnit Unit = LimitUnit::Requests;
  /// Units a second, above 0.
  double PerSecond = 0;
  /// Units, 0 or more.
  double Burst = 0;
  /// Tokens that a request counts as which does not tell its tokens.
  double PlainTokens = 0;

  bool operator==(const WorkspaceLimit &) const = default;
};

/// A group of callers that show the same keys.
struct Workspace {
  std::string Name;
  /// Goes before the rank of a route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority;
  /// None if it may send as much as it likes.
  std::optional<WorkspaceLimit> Limit;
};

/// A workspace as operators declare it.
struct WorkspaceDeclaration {
  Workspace Declared;
  std::vector<std::string> Keys;
};

/// The workspaces of a plan, found by the keys that callers show. Holds digests
/// of the keys, not their text.
class WorkspaceDirectory {
public:
  WorkspaceDirectory() = default;
  /// A key that two workspaces declare belongs to neither; `Faults` says so.
  explicit WorkspaceDirectory(std::vector<WorkspaceDeclaration> declared);

  /// Whether callers have to show a key.
  bool required() const { return Required; }
  /// The workspace of a key; nothing if no workspace has it.
  const Workspace *find(std::string_view key) const;
  const std::vector<Workspace> &all() const { return Spaces; }
  std::size_t keys() const { return ByKey.size(); }

  /// What was wrong with the declarations, without any key's text.
  std::vector<std::string> Faults;

private:
  bool Required = false;
  std::vector<Workspace> Spaces;
  /// Index of the workspace, or `Nobody`.
  std::unordered_map<KeyDigest, std::size_t, KeyDigest::Hash> ByKey;
};

} // namespace hemlockglade
