#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockglade {

/// Which versions of its software each service's replicas have run lately, and
/// since when that is completely known. Says whether a stream of unknown origin
/// can have begun at one version only.
///
/// The notes that owners keep in their lease rows carry it over to processes
/// that start while no other is left. Time is passed in.
class SoftwareHistory {
public:
  struct Settings {
    /// How long a version counts after it was seen last.
    Span Lifetime = std::chrono::seconds(60);
  };

  /// `knownSince`: since when no replica can have served unseen.
  SoftwareHistory(const Settings &settings, Instant knownSince)
      : Options(settings), KnownSince(knownSince) {}

  /// Called for each replica that may get requests, at least each second.
  void onSeen(const std::string &service, const std::string &softwareVersion,
              Instant now);
  /// Returns the version of a service's software if it was the only one since
  /// that time; nothing if there were several or that is not known.
  std::optional<std::string> onlyVersion(const std::string &service,
                                         Instant since) const;
  void removeExpired(Instant now);

  /// Encodes the history as one word of records that end with `;`, for a row
  /// of the table. Times are encoded as ages at `now`.
  std::string notes(Instant now) const;
  /// Adds what the notes of a row say, which may hold other records as well;
  /// malformed ones are skipped. Ages are taken to be those at `now`, so the
  /// history seems to begin later than it does, and versions seem to have been
  /// seen later.
  void onNotes(std::string_view notes, Instant now);

private:
  using Digest = std::uint64_t;

  Settings Options;
  /// Since when all versions are known.
  Instant KnownSince;
  /// When each version of a service was seen last.
  std::map<Digest, std::map<Digest, Instant>> SeenAt;
  /// Texts of the versions that this process has seen itself.
  std::map<Digest, std::string> Names;
};

} // namespace hemlockglade
