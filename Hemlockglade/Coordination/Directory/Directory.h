#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <span>
#include <string_view>

namespace hemlockglade {

/// Lifetime and size of the answers to callers.
struct DirectorySettings {
  /// How long a caller may keep the answer.
  Span TimeToLive = std::chrono::seconds(5);
  /// Addresses in one answer.
  std::size_t MaxAddresses = 4;
};

/// A caller's query for the addresses of a cell.
struct DirectoryQuery {
  /// Identifies the caller; different callers get different second addresses.
  std::string_view Caller;
  /// Failure domain and region of the caller; empty if unknown.
  std::string_view FailureDomain;
  std::string_view Region;
  /// Name of the node that owns the cell; empty if there is none.
  std::string_view Owner;
};

/// Addresses for callers, best first.
struct DirectoryAnswer {
  std::vector<std::string> Addresses;
  Span TimeToLive{};
};

/// Chooses addresses: the owner first, then nodes near the caller (or near the
/// owner if the caller's location is unknown), at least one of them in another
/// failure domain if a node there isn't suspected. Leaving and dead nodes are
/// omitted; suspected nodes come last.
DirectoryAnswer chooseAddresses(const DirectorySettings &settings,
                                const DirectoryQuery &query,
                                std::span<const MemberRecord> members);

} // namespace hemlockglade
