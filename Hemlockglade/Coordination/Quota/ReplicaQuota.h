#pragma once

#include "Hemlockglade/Coordination/Quota/TokenBucket.h"
#include "Hemlockglade/State/Routing/ReplicaRecord.h"
#include "Hemlockglade/State/Routing/Workspace.h"

#include <string_view>
#include <vector>

namespace hemlockglade {

/// Returns the holder under which requests to a replica are counted that
/// accepts `perSecond` requests a second from all nodes together. No workspace
/// has its name.
Workspace replicaQuotaHolder(std::string_view incarnation, double perSecond);

/// Grants requests to one replica that states how many it accepts a second.
///
/// A bucket spreads the requests. Those that nodes sent before they knew the
/// limit count as well: nothing is granted while the last window has too many.
/// Time is passed in.
class ReplicaQuota {
public:
  struct Settings {
    Span Window = ReplicaLimitWindow;
    /// What may arrive within a window: a multiple of what the limit allows,
    /// plus requests.
    double Overshoot = 1.5;
    double Slack = 5;
    /// Share of the excess over the limit that is used. The rest allows for
    /// requests that nodes have sent and not reported yet.
    double UsedExcess = 0.5;
    /// A replica that accepts fewer is still tried this often: only its answers
    /// show that the limit has ended.
    double MinPerSecond = 0.25;
    /// Time over which unused requests accumulate; at least one does.
    Span BurstTime = std::chrono::milliseconds(250);
  };

  ReplicaQuota(double perSecond, const Settings &settings, Instant now);

  void setLimit(double perSecond, Instant now);
  /// Counts a request that was sent without a grant.
  void addSent(Instant at) { Counted.push_back(at); }
  bool tryTake(Instant now);
  /// Returns granted requests that were not sent.
  void release(double requests, Instant now);
  /// Returns the time until a request passes, if no other does.
  Span timeUntilNext(Instant now);
  /// When it was last used.
  Instant usedAt() const { return UsedAt; }

private:
  TokenBucket::Settings bucketSettings(double perSecond) const;
  void removeExpired(Instant now);
  /// Number of requests within a window from which on none is granted.
  std::size_t maxInWindow() const;

  Settings Options;
  double PerSecond;
  TokenBucket Bucket;
  /// Times of the requests of the last window.
  std::vector<Instant> Counted;
  Instant UsedAt;
};

} // namespace hemlockglade
