#include "Hemlockglade/Coordination/Entries/EntryLoad.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hemlockglade {

namespace {

constexpr double Megabyte = 1e6;
constexpr double BitsPerByte = 8;

/// A typical request for a generation: some 60 events of 150 bytes.
constexpr EntryLoad TypicalRequest{1, 10'000};

} // namespace

EntryLoad &EntryLoad::operator+=(const EntryLoad &other) {
  Requests += other.Requests;
  Bytes += other.Bytes;
  return *this;
}

double EntryCost::shareOf(const HostCapacity &host,
                          const EntryLoad &load) const {
  auto megabytes = load.Bytes / Megabyte;
  auto processor =
      SecondsPerRequest * load.Requests + SecondsPerMegabyte * megabytes;
  // Bytes that come in on the host's link go out on it as well.
  return std::max(processor / host.Cores,
                  BitsPerByte * megabytes / host.LinkMbps);
}

double relativeCapacity(const HostCapacity &host) {
  return 1 / EntryCost().shareOf(host, TypicalRequest);
}

void EntryLoadMeter::onRequest(Instant now) {
  Counted = decayed(now);
  UpdatedAt = now;
  Counted.Requests += 1;
}

void EntryLoadMeter::onBytes(std::uint64_t n, Instant now) {
  Counted = decayed(now);
  UpdatedAt = now;
  Counted.Bytes += static_cast<double>(n);
}

EntryLoad EntryLoadMeter::decayed(Instant now) const {
  auto part =
      std::exp2(-inSeconds(now - UpdatedAt) / inSeconds(Options.HalfLife));
  return {Counted.Requests * part, Counted.Bytes * part};
}

EntryLoad EntryLoadMeter::load(Instant now) const {
  // At a steady rate the decaying sum settles at the rate times half-life / ln
  // 2.
  auto perSecond = std::numbers::ln2 / inSeconds(Options.HalfLife);
  auto out = decayed(now);
  return {out.Requests * perSecond, out.Bytes * perSecond};
}

} // namespace hemlockglade
