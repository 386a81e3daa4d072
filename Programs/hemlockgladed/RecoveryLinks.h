#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

#include <set>

namespace hemlockglade {

/// What the links need of their node.
struct RecoveryLinksHooks {
  /// Peer address of a live node; empty if it isn't known.
  std::function<std::string(const std::string &node)> AddressOf;
  std::function<void(Span, std::function<void()>)> After;
};

/// Carries recovery between nodes: asks others for what they run of a cell
/// that is ours now, and tells new owners what runs here. Each asking is a
/// stream that stays open, so that the owner hears of each request that ends.
class RecoveryLinks : public std::enable_shared_from_this<RecoveryLinks> {
public:
  /// `self` is this node's name.
  RecoveryLinks(std::string self, RunningRequests &register_,
                RecoveryLinksHooks hooks);

  /// Gives the network and the keeper, once there are such.
  void attach(PeerNet &net, RecoveryCoordinator &keeper);

  /// Asks a node for the running requests of the cell.
  void ask(const RecoveryNode &node, const std::string &cell, Epoch fence);
  /// The cell isn't ours any more.
  void forget(const std::string &cell);

  /// Serves a stream that a new owner opened.
  void serve(const std::shared_ptr<PeerStream> &stream);
  /// A request that ran here has ended.
  void ended(const std::string &cell, const std::string &id);

private:
  /// The owner's end of a stream to one node for one cell.
  struct Asked {
    Epoch Fence = 0;
    bool Open = false;
    std::set<std::string> Known;
    std::shared_ptr<PeerStream> Stream;
  };
  using Key = std::pair<std::string, std::string>;

  void onAnswer(const RecoveryNode &node, const std::string &cell, Epoch fence,
                const RunningAnswer &answer);
  void onMessage(const RecoveryNode &node, const std::string &cell, Epoch fence,
                 std::string_view message, bool first);
  void onClosed(const RecoveryNode &node, const std::string &cell, Epoch fence);
  bool isCurrent(const Key &key, Epoch fence) const;

  std::string Self;
  RunningRequests &Register;
  RecoveryLinksHooks Hooks;
  PeerNet *Net = nullptr;
  RecoveryCoordinator *Keeper = nullptr;

  mutable std::mutex Mutex;
  /// By node and incarnation, and cell.
  std::map<Key, Asked> Asks;
  /// Owners that want to hear what ends, by cell.
  std::multimap<std::string, std::weak_ptr<PeerStream>> Listeners;
};

} // namespace hemlockglade
