#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

#include <set>

namespace hemlockglade {

/// Callbacks through which RecoveryLinks reaches its node.
struct RecoveryLinksHooks {
  /// Returns the peer address of a live node; empty if it isn't known.
  std::function<std::string(const std::string &node)> AddressOf;
  /// Calls the function once after the delay.
  std::function<void(Span, std::function<void()>)> After;
};

/// Exchanges recovery messages between nodes. As a new owner it queries the
/// other nodes for the requests of the cell that run through them; as one of
/// those nodes it answers new owners. Each query is a stream that stays open,
/// on which the owner then receives the end of each request.
class RecoveryLinks : public std::enable_shared_from_this<RecoveryLinks> {
public:
  /// `self` is this node's name.
  RecoveryLinks(std::string self, RunningRequests &running,
                RecoveryLinksHooks hooks);

  /// Sets the network and the coordinator; to be called before all else.
  void attach(PeerNet &net, RecoveryCoordinator &recoveries);

  /// Queries a node for the running requests of the cell. A broken stream is
  /// opened again while the node is live.
  void query(const RecoveryNode &node, const std::string &cell, Epoch fence);
  /// Closes the streams of a cell that this node doesn't own any more.
  void closeCell(const std::string &cell);

  /// Serves a stream that a new owner opened.
  void serve(const std::shared_ptr<PeerStream> &stream);
  /// Called when a request that ran here has ended; reports it to the owners
  /// that opened a stream.
  void onRequestEnded(const std::string &cell, const std::string &id);

private:
  /// The owner's end of a stream to one node for one cell.
  struct QueryStream {
    Epoch Fence = 0;
    bool Open = false;
    /// Ids of running requests in the last answer.
    std::set<std::string> KnownRequests;
    std::shared_ptr<PeerStream> Stream;
  };
  using Key = std::pair<std::string, std::string>;

  void onAnswer(const RecoveryNode &node, const std::string &cell, Epoch fence,
                const RunningAnswer &answer);
  void onMessage(const RecoveryNode &node, const std::string &cell, Epoch fence,
                 std::string_view message, bool first);
  void onClosed(const RecoveryNode &node, const std::string &cell, Epoch fence);
  /// Whether the stream of that key is for that epoch. The mutex is held.
  bool isCurrent(const Key &key, Epoch fence) const;

  std::string Self;
  RunningRequests &Running;
  RecoveryLinksHooks Hooks;
  PeerNet *Net = nullptr;
  RecoveryCoordinator *Recoveries = nullptr;

  mutable std::mutex Mutex;
  /// Keyed by node and incarnation, and cell.
  std::map<Key, QueryStream> Queries;
  /// Streams of the owners that receive the ends of requests, by cell.
  std::multimap<std::string, std::weak_ptr<PeerStream>> OwnerStreams;
};

} // namespace hemlockglade
