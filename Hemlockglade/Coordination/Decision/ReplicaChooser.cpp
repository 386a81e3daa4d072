#include "Hemlockglade/Coordination/Decision/ReplicaChooser.h"

#include <algorithm>

namespace hemlockglade {

namespace {

// Loads per unit of capacity that differ by less are a tie.
constexpr double SameLoad = 1e-9;
// From this objective on, requests go to the fuller batch.
constexpr double FillFrom = 0.5;

} // namespace

ReplicaChooser::ReplicaChooser(const RoutingSettings &settings,
                               double objective, CellReplicas &book)
    : Settings(settings), Objective(objective), Book(book),
      Prefixes(settings.Prefixes) {}

bool ReplicaChooser::works(const Replica &replica) const {
  return replica.Present && !replica.Draining && !replica.Resting &&
         replica.Silent < Settings.SilentDown;
}

bool ReplicaChooser::serves(const Replica &replica,
                            const ActiveAdapter &active) const {
  return works(replica) && active.allows(replica.Properties.Domain);
}

Replica *ReplicaChooser::choose(const RequestArrived &request,
                                const ActiveAdapter &active, Reason &why) {
  Replica *best = nullptr;
  auto consider = [&](Replica &replica) {
    if (!serves(replica, active) || !replica.hasRoom())
      return;
    if (request.Adapter != NoAdapter && !holds(replica, request.Adapter))
      return;
    if (!best || better(replica, *best))
      best = &replica;
  };
  if (request.Adapter == NoAdapter) {
    for (auto &replica : Book.all())
      consider(replica);
    why = Reason::PlainLeastLoaded;
    return best;
  }
  for (ReplicaKey it : active.Holders)
    consider(Book.obtain(it));
  why = Reason::Resident;
  if (!best || !Settings.PrefixAffinity || request.PrefixHash == 0)
    return best;
  auto *cached = withPrefix(request, active, *best);
  if (!cached)
    return best;
  why = Reason::PrefixAffinity;
  return cached;
}

void ReplicaChooser::admitted(const RequestArrived &request,
                              const Replica &replica) {
  if (request.PrefixHash != 0 && request.Adapter != NoAdapter)
    Prefixes.note(request.Adapter, request.PrefixHash, replica.Key,
                  replica.Incarnation);
}

double ReplicaChooser::loadOf(const Replica &replica) const {
  std::uint32_t n =
      Settings.CorrectReports ? replica.inFlight() : replica.Running;
  return Settings.PerCapacity ? n / capacityOf(replica) : n;
}

bool ReplicaChooser::better(const Replica &left, const Replica &right) const {
  bool leftSuspect = left.Silent >= Settings.SilentSuspect;
  bool rightSuspect = right.Silent >= Settings.SilentSuspect;
  if (leftSuspect != rightSuspect)
    return rightSuspect;
  double difference = loadOf(left) - loadOf(right);
  if (Objective >= FillFrom)
    difference = -difference;
  if (difference < -SameLoad || difference > SameLoad)
    return difference < 0;
  double leftCapacity = capacityOf(left);
  double rightCapacity = capacityOf(right);
  if (Settings.TiesToCapacity && leftCapacity != rightCapacity)
    return leftCapacity > rightCapacity;
  return left.Key < right.Key;
}

double ReplicaChooser::capacityOf(const Replica &replica) const {
  double capacity = replica.capacity();
  if (Settings.DerateCold && replica.ColdLeft != 0)
    capacity *= Settings.ColdShare;
  return capacity;
}

Replica *ReplicaChooser::withPrefix(const RequestArrived &request,
                                    const ActiveAdapter &active,
                                    const Replica &best) {
  auto place = Prefixes.find(request.Adapter, request.PrefixHash);
  if (!place)
    return nullptr;
  auto *cached = Book.find(place->Replica);
  if (!cached || cached->Incarnation != place->Incarnation ||
      !serves(*cached, active) || !cached->hasRoom() ||
      !holds(*cached, request.Adapter))
    return nullptr;
  double tokens = std::min(request.PromptTokens, Settings.FullBoundTokens);
  double bound =
      Settings.AffinityBound * tokens / std::max(1U, Settings.FullBoundTokens);
  if (!Settings.PerCapacity)
    bound *= best.capacity();
  if (loadOf(*cached) - loadOf(best) > bound)
    return nullptr;
  return cached;
}

bool ReplicaChooser::holds(Replica &replica, AdapterKey adapter) {
  auto *resident = Book.resident(replica, adapter);
  return resident && resident->State == ResidentState::Loaded;
}

} // namespace hemlockglade
