#pragma once

#include "Hemlockglade/State/Ids.h"

#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace hemlockglade {

/// A request that this node runs on an endpoint.
struct RegisteredRequest {
  std::string Id;
  std::string Cell;
  std::string Replica;
  /// `name@version`; empty for a plain service.
  std::string Adapter;
  /// Epoch of the owner that admitted it.
  Epoch Admitted = 0;
};

/// What a node tells a cell's new owner.
struct RunningAnswer {
  /// The node has answered an owner of a later epoch: this one is not it.
  bool Refused = false;
  /// Highest epoch that was answered.
  Epoch Promised = 0;
  std::vector<RegisteredRequest> Requests;
};

/// What runs from this node, by cell. Sharded by cell, each shard under its
/// own lock. Once an owner of an epoch was answered, requests that an earlier
/// owner admitted can't begin any more: the answer would not hold them.
class RunningRequests {
public:
  /// A request is about to be sent. False if it was admitted by an owner that
  /// is not the last: then it must not be sent.
  bool add(RegisteredRequest request);
  /// The request has ended.
  void remove(const std::string &cell, const std::string &id);
  /// Answers an owner at an epoch.
  RunningAnswer answer(const std::string &cell, Epoch epoch);
  /// How many requests run.
  std::size_t size() const;

private:
  static constexpr std::size_t ShardCount = 16;

  struct OfCell {
    Epoch Promised = 0;
    std::map<std::string, RegisteredRequest> Requests;
  };
  struct Shard {
    mutable std::mutex Mutex;
    std::map<std::string, OfCell> Cells;
  };

  Shard &shardOf(const std::string &cell);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hemlockglade
