#pragma once

#include "Hemlockglade/Coordination/Crash/CrashBook.h"

#include <msgpack.hpp>

namespace hemlockglade {

struct CrashEndNotice {
  std::uint64_t Life = 0;
  /// How long ago the request was sent there, and the replica ended.
  std::int64_t SentAgeUs = 0;
  std::int64_t EndedAgeUs = 0;
  std::uint64_t Domain = 0;
  MSGPACK_DEFINE(Life, SentAgeUs, EndedAgeUs, Domain)
};

/// What a node knows of a request that is suspected of crashing replicas.
struct CrashNotice {
  /// Text of the request's key.
  std::string Key;
  std::vector<CrashEndNotice> Ends;
  /// How long ago it ran to its end; negative if it never did.
  std::int64_t ServedAgeUs = -1;
  MSGPACK_DEFINE(Key, Ends, ServedAgeUs)
};

CrashNotice noticeOf(const CrashRecord &record, Instant now);
/// Nothing if the notice names no request.
std::optional<CrashRecord> recordOf(const CrashNotice &notice, Instant now);

} // namespace hemlockglade
