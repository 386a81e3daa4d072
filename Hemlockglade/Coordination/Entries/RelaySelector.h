#pragma once

#include "Hemlockglade/Coordination/Entries/ServingEntries.h"

#include <array>
#include <map>
#include <optional>
#include <set>

namespace hemlockglade {

/// Chooses the node that forwards a request to a replica which this node can't
/// reach. Deterministic: time and a random number are passed in.
class RelaySelector {
public:
  struct Settings {
    /// How long a node that could not be reached is not used.
    Span UnreachableBackoff = std::chrono::milliseconds(1000);
    /// How long a node that reported to be cut off from a service itself is not
    /// used for that service; by then its own report has arrived.
    Span CutOffBackoff = std::chrono::milliseconds(1000);
  };
  struct Query {
    std::string Service;
    std::string ReplicaDomain;
    std::string OwnNode;
    std::string OwnDomain;
    /// Relays that must not be used again for this request.
    std::set<std::string> Excluded;
  };

  RelaySelector() : RelaySelector(Settings{}) {}
  explicit RelaySelector(Settings settings) : Options(settings) {}

  /// Returns the `ip:port` of the relay to use; nothing if none is known that
  /// reaches the service. Of two candidates that are drawn among the nearest,
  /// the one that forwards fewer of this node's requests is taken.
  std::optional<std::string> choose(std::span<const DomainEntries> entries,
                                    const Query &query, std::uint64_t random,
                                    Instant now) const;

  void onSent(const std::string &relay) { ++Running[relay]; }
  void onEnd(const std::string &relay);
  void onUnreachable(const std::string &relay, Instant now);
  void onCutOff(const std::string &relay, const std::string &service,
                Instant now);
  void removeExpired(Instant now);

private:
  bool isUsable(const EntryCandidate &node, const Query &query,
                Instant now) const;
  std::uint32_t running(const std::string &relay) const;

  Settings Options;
  std::map<std::string, std::uint32_t> Running;
  std::map<std::string, Instant> UnreachableUntil;
  std::map<std::pair<std::string, std::string>, Instant> CutOffUntil;
};

} // namespace hemlockglade
