#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

#include <atomic>

namespace hemlockglade {

/// Fetches the whole configuration from one peer, piece by piece. The peer's
/// revision may rise meanwhile, so that pieces are of different revisions;
/// applying the deltas from the lowest to the highest of them makes the view
/// consistent. An entry is always in the same piece and a delta has whole
/// entries, so applying a delta twice has no further effect.
class ConfigTransfer : public std::enable_shared_from_this<ConfigTransfer> {
public:
  /// Gets the whole view, or nothing if the peer failed or its revision fell.
  using Done = std::function<void(std::optional<CatalogView>)>;

  ConfigTransfer(ConfigHooks hooks, std::string peer, Done done);

  void start() { requestPiece(); }

private:
  using OnAnswer = void (ConfigTransfer::*)(std::optional<ConfigAnswer> answer);

  void request(ConfigFetch fetch, OnAnswer next);
  void requestPiece();
  void onPiece(std::optional<ConfigAnswer> answer);
  void requestDeltas();
  void onDeltas(std::optional<ConfigAnswer> answer);

  ConfigHooks Hooks;
  std::string Peer;
  Done OnDone;
  /// Rises with each request and with the first answer to it.
  std::atomic<std::uint64_t> Step{0};
  std::int32_t NextPiece = 0;
  Revision Lowest = 0;
  Revision Highest = 0;
  std::vector<ConfigChange> Changes;
};

} // namespace hemlockglade
