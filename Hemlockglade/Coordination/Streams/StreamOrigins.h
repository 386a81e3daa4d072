#pragma once

#include "Hemlockglade/State/Ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hemlockglade {

/// What began a stream. It goes on only at a replica of this service that runs
/// this version of its software.
struct StreamOrigin {
  std::string Service;
  std::string SoftwareVersion;

  bool operator==(const StreamOrigin &) const = default;
};

/// Identifies a stream among nodes: a digest of the id of the request that
/// brought its first event.
using StreamKey = std::uint64_t;

StreamKey streamKeyOf(std::string_view requestId);

/// The origins of the streams that began lately, as far as one node knows them.
/// Time is passed in.
class StreamOrigins {
public:
  struct Settings {
    /// Longer than callers take up a stream.
    Span Lifetime = std::chrono::seconds(60);
    std::size_t MaxStreams = 32'768;
  };

  explicit StreamOrigins(const Settings &settings) : Options(settings) {}

  /// Records a statement about a stream's origin, or confirms it. A statement
  /// of a higher number replaces those before; 0 stands for what was learned
  /// after the stream had begun.
  void add(StreamKey key, const StreamOrigin &origin, std::uint32_t sequence,
           Instant now);
  /// Drops what statements up to this one said, also if they arrive later.
  void withdraw(StreamKey key, std::uint32_t sequence, Instant now);
  /// Returns the origin of a stream; null if it is not known.
  const StreamOrigin *find(StreamKey key, Instant now) const;
  std::size_t size() const { return Streams.size(); }

private:
  struct Entry {
    /// Nothing if it was withdrawn.
    std::optional<StreamOrigin> Origin;
    std::uint32_t Sequence = 0;
    Instant At{};
  };

  bool isExpired(const Entry &entry, Instant now) const {
    return now - entry.At >= Options.Lifetime;
  }
  void record(StreamKey key, std::optional<StreamOrigin> origin,
              std::uint32_t sequence, Instant now);
  void removeOldest(Instant now);

  Settings Options;
  std::unordered_map<StreamKey, Entry> Streams;
  /// Each recording with its time, in order; those that were confirmed later
  /// stand in it again.
  std::deque<std::pair<Instant, StreamKey>> Order;
};

} // namespace hemlockglade
