#include "Hemlockglade/Coordination/Recovery/RunningRequests.h"

namespace hemlockglade {

RunningRequests::Shard &RunningRequests::shardOf(const std::string &cell) {
  return Shards[std::hash<std::string>{}(cell) % ShardCount];
}

bool RunningRequests::add(RegisteredRequest request) {
  auto &shard = shardOf(request.Cell);
  std::lock_guard lock(shard.Mutex);
  auto &cell = shard.Cells[request.Cell];
  if (request.Admitted < cell.Promised)
    return false;
  auto id = request.Id;
  cell.Requests.insert_or_assign(std::move(id), std::move(request));
  return true;
}

void RunningRequests::remove(const std::string &cell, const std::string &id) {
  auto &shard = shardOf(cell);
  std::lock_guard lock(shard.Mutex);
  auto it = shard.Cells.find(cell);
  if (it != shard.Cells.end())
    it->second.Requests.erase(id);
}

RunningAnswer RunningRequests::answer(const std::string &cell, Epoch epoch) {
  auto &shard = shardOf(cell);
  std::lock_guard lock(shard.Mutex);
  auto &state = shard.Cells[cell];
  RunningAnswer out;
  out.Refused = epoch < state.Promised;
  state.Promised = std::max(state.Promised, epoch);
  out.Promised = state.Promised;
  if (out.Refused)
    return out;
  for (const auto &[id, request] : state.Requests)
    out.Requests.push_back(request);
  return out;
}

std::size_t RunningRequests::size() const {
  std::size_t out = 0;
  for (const auto &shard : Shards) {
    std::lock_guard lock(shard.Mutex);
    for (const auto &[name, cell] : shard.Cells)
      out += cell.Requests.size();
  }
  return out;
}

} // namespace hemlockglade
