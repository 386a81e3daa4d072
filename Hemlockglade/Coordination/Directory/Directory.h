#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <span>
#include <string_view>

namespace hemlockglade {

/// Limits of the answers to callers.
struct DirectorySettings {
  /// How long a caller may keep the answer.
  Span TimeToLive = std::chrono::seconds(5);
  /// Addresses in one answer.
  std::size_t MaxAddresses = 4;
};

/// What a caller asks.
struct DirectoryQuery {
  /// Who asks; callers that differ get different second addresses.
  std::string_view Caller;
  /// Where the caller is; empty if that isn't known.
  std::string_view FailureDomain;
  std::string_view Region;
  /// Node that owns the cell; empty if there is none.
  std::string_view Owner;
};

/// Addresses for callers, best first.
struct DirectoryAnswer {
  std::vector<std::string> Addresses;
  Span TimeToLive{};
};

/// Chooses addresses: the owner first, then nodes near the caller (or near the
/// owner if the caller's place isn't known), with one in another failure
/// domain among them where there is one. Leaving and dead nodes are left out;
/// suspects come last.
DirectoryAnswer chooseAddresses(const DirectorySettings &settings,
                                const DirectoryQuery &query,
                                std::span<const MemberRecord> members);

} // namespace hemlockglade
