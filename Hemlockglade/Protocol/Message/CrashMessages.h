#pragma once

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <msgpack.hpp>

namespace hemlockglade {

/// One end of a replica while a request was running on it.
struct ReplicaCrashNotice {
  std::uint64_t Incarnation = 0;
  /// How long ago the request was sent to the replica, and the replica ended.
  std::int64_t SentAgeUs = 0;
  std::int64_t EndedAgeUs = 0;
  std::uint64_t Domain = 0;
  /// How long ago an answer of the service last went on before that; negative
  /// if that is not known.
  std::int64_t SoundAgeUs = -1;
  MSGPACK_DEFINE(Incarnation, SentAgeUs, EndedAgeUs, Domain, SoundAgeUs)
};

/// What a node has recorded of a request, or a part of prompts, that is
/// suspected of crashing replicas.
struct CrashNotice {
  /// Text of the request's key.
  std::string Key;
  std::vector<ReplicaCrashNotice> Crashes;
  /// How long ago it was last served completely; negative if it never was.
  std::int64_t ServedAgeUs = -1;
  bool IsPart = false;
  MSGPACK_DEFINE(Key, Crashes, ServedAgeUs, IsPart)
};

/// Converts times to ages at `now`, since nodes' clocks differ.
CrashNotice noticeOf(const CrashRecord &record, bool isPart, Instant now);
/// Returns nothing if the notice's key is not valid.
std::optional<CrashRecord> recordOf(const CrashNotice &notice, Instant now);

} // namespace hemlockglade
