#pragma once

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <span>
#include <string>

namespace hemlockglade {

/// Encodes at most `maxRecords` records, those with the latest crash first, as
/// one word without spaces for a row of the table. Times are encoded as ages at
/// `now`, since each process has its own clock.
/// `kind` precedes each record, so that a row can hold several kinds.
std::string encodeCrashRecords(std::span<const CrashRecord> records,
                               std::size_t maxRecords, Instant now,
                               std::string_view kind = {});

/// Decodes what `encodeCrashRecords` wrote of a kind, and skips other and
/// malformed records. Ages
/// are taken to be those at `now`, so a record seems younger than it is by the
/// age of its row.
std::vector<CrashRecord> decodeCrashRecords(std::string_view text, Instant now,
                                            std::string_view kind = {});

} // namespace hemlockglade
