#include "Hemlockglade/Coordination/Entries/EntryLoad.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace hemlockglade {

namespace {

constexpr double Megabyte = 1e6;
constexpr double BitsPerByte = 8;

/// A request for a generation: some 60 events of 150 bytes.
constexpr EntryLoad UsualRequest{1, 10'000};

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
  // What comes in on the host's link goes out on it as well.
  return std::max(processor / host.Cores,
                  BitsPerByte * megabytes / host.LinkMbps);
}

double relativeCapacity(const HostCapacity &host) {
  return 1 / EntryCost().shareOf(host, UsualRequest);
}

void EntryLoadMeter::onRequest(Instant now) {
  Counted = faded(now);
  At = now;
  Counted.Requests += 1;
}

void EntryLoadMeter::onBytes(std::uint64_t n, Instant now) {
  Counted = faded(now);
  At = now;
  Counted.Bytes += static_cast<double>(n);
}

EntryLoad EntryLoadMeter::faded(Instant now) const {
  auto part = std::exp2(-inSeconds(now - At) / inSeconds(Setup.HalfLife));
  return {Counted.Requests * part, Counted.Bytes * part};
}

EntryLoad EntryLoadMeter::load(Instant now) const {
  // A steady rate settles at itself times half life / ln 2.
  auto perSecond = std::numbers::ln2 / inSeconds(Setup.HalfLife);
  auto out = faded(now);
  return {out.Requests * perSecond, out.Bytes * perSecond};
}

} // namespace hemlockglade
