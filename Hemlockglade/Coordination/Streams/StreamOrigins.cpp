#include "Hemlockglade/Coordination/Streams/StreamOrigins.h"

#include <xxhash.h>

namespace hemlockglade {

StreamKey streamKeyOf(std::string_view requestId) {
  return XXH3_64bits(requestId.data(), requestId.size());
}

void StreamOrigins::add(StreamKey key, const StreamOrigin &origin,
                        std::uint32_t sequence, Instant now) {
  record(key, origin, sequence, now);
}

void StreamOrigins::withdraw(StreamKey key, std::uint32_t sequence,
                             Instant now) {
  record(key, std::nullopt, sequence, now);
}

void StreamOrigins::record(StreamKey key, std::optional<StreamOrigin> origin,
                           std::uint32_t sequence, Instant now) {
  auto [it, isNew] = Streams.try_emplace(key);
  auto &entry = it->second;
  if (isNew || isExpired(entry, now) || sequence >= entry.Sequence) {
    entry.Origin = std::move(origin);
    entry.Sequence = sequence;
  }
  entry.At = now;
  Order.emplace_back(now, key);
  removeOldest(now);
}

const StreamOrigin *StreamOrigins::find(StreamKey key, Instant now) const {
  auto it = Streams.find(key);
  if (it == Streams.end() || isExpired(it->second, now) || !it->second.Origin)
    return nullptr;
  return &*it->second.Origin;
}

void StreamOrigins::removeOldest(Instant now) {
  while (!Order.empty()) {
    auto [at, key] = Order.front();
    bool isTooMany = Order.size() > Options.MaxStreams;
    if (now - at < Options.Lifetime && !isTooMany)
      return;
    Order.pop_front();
    auto it = Streams.find(key);
    // A stream that was confirmed later stays until that recording's turn.
    if (it != Streams.end() && it->second.At <= at)
      Streams.erase(it);
  }
}

} // namespace hemlockglade
