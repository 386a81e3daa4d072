#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

#include <atomic>

namespace hemlockglade {

/// Takes the whole configuration over from one peer, piece by piece. The peer
/// may go on while it answers: pieces can be of different revisions, and the
/// deltas from the lowest to the highest of them, applied on top, make the
/// view whole. An entry's piece never changes and a delta holds whole entries,
/// so applying one twice does no harm.
class ConfigTransfer : public std::enable_shared_from_this<ConfigTransfer> {
public:
  /// The whole view, or nothing if the peer failed or went back.
  using Done = std::function<void(std::optional<CatalogView>)>;

  ConfigTransfer(ConfigHooks hooks, std::string peer, Done done);

  void start() { askPiece(); }

private:
  using OnAnswer = void (ConfigTransfer::*)(std::optional<ConfigAnswer> answer);

  void ask(ConfigFetch fetch, OnAnswer next);
  void askPiece();
  void onPiece(std::optional<ConfigAnswer> answer);
  void askDeltas();
  void onDeltas(std::optional<ConfigAnswer> answer);

  ConfigHooks Hooks;
  std::string Peer;
  Done Finish;
  /// Rises with each question and each answer that counts.
  std::atomic<std::uint64_t> Step{0};
  std::int32_t NextPiece = 0;
  Revision Lowest = 0;
  Revision Highest = 0;
  std::vector<ConfigChange> Changes;
};

} // namespace hemlockglade
