#pragma once

#include "Hemlockglade/Coordination/Claim/ClaimTypes.h"

namespace hemlockglade {

/// A claim as its row in the table says it.
struct ClaimRow {
  /// Keys of all claim rows start with this.
  static constexpr std::string_view Prefix = "claim/";

  std::string Attempt;
  std::string RequestId;
  std::string BodyHash;
  std::int64_t ClaimedAtMs = 0;
  /// Nothing while the request runs or if its node was lost.
  std::optional<Outcome> Recorded;

  std::string text() const;
  /// Nothing if the text is no claim row.
  static std::optional<ClaimRow> read(const std::string &text);
  /// Key of the row for a caller's key: 256 bits of hash, since callers' keys
  /// may hold anything. The hash is not made to withstand forgery.
  static std::string keyOf(std::string_view scope, std::string_view key);
  /// Hash of a request's body as text.
  static std::string hashOf(std::string_view body);
};

} // namespace hemlockglade
