#pragma once

#include "Hemlockglade/Coordination/Claim/ClaimTypes.h"

namespace hemlockglade {

/// A claim as it is stored in its row of the table.
struct ClaimRow {
  /// Keys of all claim rows start with this.
  static constexpr std::string_view Prefix = "claim/";

  /// Id of the attempt to claim the key; unique in the deployment.
  std::string Attempt;
  std::string RequestId;
  std::string BodyHash;
  std::int64_t ClaimedAtMs = 0;
  /// The recorded outcome. Empty while the request runs, or if its node failed
  /// before it recorded one.
  std::optional<Outcome> Recorded;

  /// Encodes the claim as JSON.
  std::string text() const;
  /// Decodes a claim; returns nothing if the text is no claim row.
  static std::optional<ClaimRow> parse(const std::string &text);
  /// Returns the key of the row for a caller's key: a hash of 256 bits, since
  /// callers' keys may contain any bytes. The hash does not resist forgery.
  static std::string keyOf(std::string_view scope, std::string_view key);
  /// Returns the hash of a request's body as hexadecimal text.
  static std::string hashOf(std::string_view body);
};

} // namespace hemlockglade
