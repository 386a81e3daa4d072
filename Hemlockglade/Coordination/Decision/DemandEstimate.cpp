#include "Hemlockglade/Coordination/Decision/DemandEstimate.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

constexpr double Ln2 = 0.6931471805599453;
constexpr double MicrosecondsPerSecond = 1e6;
/// Below this count an adapter's history starts afresh.
constexpr double MinKeptCount = 0.1;
/// Only adapters with a lower count are used to learn about sessions.
constexpr double MaxLearnCount = 3;
/// Length of a window for gaps, in short-term half-lives.
constexpr double LearnWindow = 2;
/// Number of requests over which the fraction is averaged.
constexpr double LearnRequests = 256;

double seconds(Span span) {
  return static_cast<double>(span.count()) / MicrosecondsPerSecond;
}

} // namespace

DemandEstimate::DemandEstimate(const DemandSettings &settings)
    : Settings(settings), SlowS(seconds(settings.HalfLife)),
      FastS(seconds(settings.ShortHalfLife)) {}

void DemandEstimate::record(AdapterKey adapter, Instant now) {
  if (adapter >= Entries.size())
    Entries.resize(adapter + 1);
  auto &entry = Entries[adapter];
  double age = seconds(std::max(Span{}, now - entry.At));
  double slow = entry.Slow * std::exp2(-age / SlowS);
  learnShare(entry, slow, age);
  if (slow < MinKeptCount)
    entry.First = now;
  entry.Slow = static_cast<float>(slow + 1);
  entry.Fast = static_cast<float>(entry.Fast * std::exp2(-age / FastS) + 1);
  entry.At = std::max(entry.At, now);
}

void DemandEstimate::learnShare(const Entry &entry, double slow, double age) {
  // A popular adapter has short gaps even without sessions.
  if (slow > MaxLearnCount)
    return;
  // Without sessions, a gap is about as likely to fall into the first window as
  // into the second.
  double window = LearnWindow * FastS;
  double sample = 0;
  if (entry.Slow > 0 && age < window)
    sample = 1;
  else if (entry.Slow > 0 && age < 2 * window)
    sample = -1;
  Followed += (sample - Followed) / LearnRequests;
}

double DemandEstimate::count(AdapterKey adapter, Instant now) const {
  if (adapter >= Entries.size())
    return 0;
  const auto &entry = Entries[adapter];
  double age = seconds(std::max(Span{}, now - entry.At));
  return entry.Slow * std::exp2(-age / SlowS);
}

double DemandEstimate::rate(AdapterKey adapter, Instant now) const {
  if (adapter >= Entries.size() || Entries[adapter].Slow <= 0)
    return 0;
  const auto &entry = Entries[adapter];
  double silence = seconds(std::max(Span{}, now - entry.At));
  double known = seconds(now - entry.First);
  double fade = std::exp2(-silence / SlowS);
  double window = SlowS / Ln2 * (1 - std::exp2(-known / SlowS));
  double slow = (entry.Slow * fade + Settings.PriorCount) /
                (window + seconds(Settings.PriorTime));
  // A gap much longer than the rate explains indicates that the demand has
  // ended.
  slow /= 1 + Settings.EndOdds * std::exp(std::min(50.0, slow * silence));
  double fast = entry.Fast * std::exp2(-silence / FastS) * Ln2 / FastS;
  return slow + Settings.MaxShortWeight * std::max(0.0, Followed) * fast;
}

} // namespace hemlockglade
