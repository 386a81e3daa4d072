#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace hemlockglade {

/// A request that a node runs on an endpoint.
struct RegisteredRequest {
  std::string Id;
  std::string Cell;
  std::string Replica;
  /// `name@version`; empty for a plain service.
  std::string Adapter;
  /// Epoch of the owner that admitted it.
  Epoch Admitted = 0;
};

/// A node's answer to a cell's new owner.
struct RunningAnswer {
  /// The node has answered an owner of a later epoch, so that the one that
  /// queried is no longer the owner.
  bool Refused = false;
  /// Highest epoch of an owner that the node has answered.
  Epoch Promised = 0;
  std::vector<RegisteredRequest> Requests;
};

/// The requests that this node runs, by cell. Sharded by cell, each shard with
/// its own lock. Once an owner has been answered, requests that an earlier
/// owner admitted are refused, since the answer did not list them.
class RunningRequests {
public:
  /// Adds a request that is about to be sent. Returns false if an owner of a
  /// later epoch than the one that admitted it has been answered: the request
  /// must then not be sent.
  bool add(RegisteredRequest request);
  /// Removes a request that has ended.
  void remove(const std::string &cell, const std::string &id);
  /// Returns the answer to a cell's owner of the given epoch.
  RunningAnswer answer(const std::string &cell, Epoch epoch);
  /// Number of running requests.
  std::size_t size() const;

private:
  static constexpr std::size_t ShardCount = 16;

  struct CellRequests {
    Epoch Promised = 0;
    std::map<std::string, RegisteredRequest> Requests;
  };
  struct Shard {
    mutable std::mutex Mutex;
    std::map<std::string, CellRequests> Cells;
  };

  Shard &shardOf(const std::string &cell);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hemlockglade
