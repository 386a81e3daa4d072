#pragma once

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <msgpack.hpp>

namespace hemlockglade {

struct ReplicaCrashNotice {
  std::uint64_t Incarnation = 0;
  /// How long ago the request was sent there, and the replica ended.
  std::int64_t SentAgeUs = 0;
  std::int64_t EndedAgeUs = 0;
  std::uint64_t Domain = 0;
  MSGPACK_DEFINE(Incarnation, SentAgeUs, EndedAgeUs, Domain)
};

/// What a node knows of a request that is suspected of crashing replicas.
struct CrashNotice {
  /// Text of the request's key.
  std::string Key;
  std::vector<ReplicaCrashNotice> Crashes;
  /// How long ago it ran to its end; negative if it never did.
  std::int64_t ServedAgeUs = -1;
  MSGPACK_DEFINE(Key, Crashes, ServedAgeUs)
};

CrashNotice noticeOf(const CrashRecord &record, Instant now);
/// Nothing if the notice names no request.
std::optional<CrashRecord> recordOf(const CrashNotice &notice, Instant now);

} // namespace hemlockglade
