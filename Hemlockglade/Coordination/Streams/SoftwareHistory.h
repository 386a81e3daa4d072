#pragma once

#include "Hemlockglade/State/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// Which versions of its software each service's replicas have run lately, and
/// over which time that is completely known. Says whether a stream of unknown
/// origin can have begun at one version only.
///
/// The known time ends where replicas may have come and gone unseen, and counts
/// up to a position of the registry. The notes that owners keep in their lease
/// rows carry it over to processes that start while no other is left. Time is
/// passed in.
class SoftwareHistory {
public:
  struct Settings {
    /// How long a version counts after it was seen last.
    Span Lifetime = std::chrono::seconds(60);
    /// Positions of notes that are kept until they can be joined.
    std::size_t MaxClaims = 8;
  };
  /// What the notes of a process say: all versions that served are known, since
  /// a time and up to a position of the registry.
  struct Claim {
    Instant Since{};
    std::uint64_t Position = 0;
  };

  /// `knownSince`: since when no replica can have served unseen.
  SoftwareHistory(const Settings &settings, Instant knownSince)
      : Options(settings), KnownSince(knownSince) {}

  /// Called for each replica that is known, at least each second.
  void onSeen(const std::string &service, const std::string &softwareVersion,
              Instant now);
  /// Called when the list of replicas is known up to a position.
  void onList(std::uint64_t position);
  /// Called when a replica that was not known is in a list at a position.
  void onJoined(std::uint64_t position) {
    JoinedPosition = std::max(JoinedPosition, position);
  }
  /// Called when replicas may have served unseen before the list of replicas
  /// that is known now.
  void onGap(Instant now);
  /// Returns the version of a service's software if it was the only one since
  /// that time; nothing if there were several or that is not known.
  std::optional<std::string> onlyVersion(const std::string &service,
                                         Instant since) const;
  void removeExpired(Instant now);
  /// Position up to which the list of replicas is known, and the one of the
  /// list with which the last of them joined.
  std::uint64_t position() const { return Position; }
  std::uint64_t joinedPosition() const { return JoinedPosition; }

  /// Encodes the history as one word of records that end with `;`, for a row
  /// of the table. Times are encoded as ages at `now`.
  std::string notes(Instant now) const;
  /// Adds what the notes of a row say, which may hold other records as well;
  /// malformed ones are skipped. Ages are taken to be those at `now`, so the
  /// known time seems to begin later than it does, and versions seem to have
  /// been seen later.
  void onNotes(std::string_view notes, Instant now);
  /// Joins claims that go on up to what this process knows itself. Returns one
  /// that ends before, if any: it may be joined if no replica was removed
  /// between its position and this process's first list.
  std::optional<Claim> takeClaim();
  /// Joins a claim to the known time, or discards it and all older ones.
  void settleClaim(const Claim &claim, bool joins);

private:
  using Digest = std::uint64_t;

  /// Keeps a claim if it reaches back further than what is known.
  void addClaim(std::optional<Span> age, std::optional<std::uint64_t> position,
                Instant now);

  Settings Options;
  /// Since when all versions are known.
  Instant KnownSince;
  /// Position of the list with which this process's own knowledge began, and
  /// the one up to which it goes.
  std::optional<std::uint64_t> StartPosition;
  std::uint64_t Position = 0;
  std::uint64_t JoinedPosition = 0;
  /// What notes claim beyond that, and the position of the newest claim that
  /// was discarded.
  std::vector<Claim> Claims;
  std::uint64_t DiscardedPosition = 0;
  /// When each version of a service was seen last.
  std::map<Digest, std::map<Digest, Instant>> SeenAt;
  /// Texts of the versions that this process has seen itself.
  std::map<Digest, std::string> Names;
};

} // namespace hemlockglade
