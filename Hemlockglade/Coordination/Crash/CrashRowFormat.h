#pragma once

#include "Hemlockglade/Coordination/Crash/CrashTracker.h"

#include <span>
#include <string>

namespace hemlockglade {

/// Writes records as one word for a row of the table, the last ended first,
/// `most` of them. Times are told as ages at `now`.
std::string encodeCrashRecords(std::span<const CrashRecord> records,
                               std::size_t most, Instant now);

/// Reads it; what is no record is left out. Ages are taken to be those at
/// `now`, so that a record seems younger than it is by the age of its row.
std::vector<CrashRecord> decodeCrashRecords(std::string_view text, Instant now);

} // namespace hemlockglade
