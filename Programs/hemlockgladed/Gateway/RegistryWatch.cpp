#include "Programs/hemlockgladed/Gateway/RegistryWatch.h"

namespace hemlockglade {

RegistryWatch::RegistryWatch(TimerService &timers, RegistryHooks registry,
                             Settings settings, Hooks hooks, EventLog &log)
    : Timers(timers), Registry(std::move(registry)), Setup(settings),
      Out(std::move(hooks)), Log(log), OperatorPause(Setup.Pause),
      ReplicaPause(Setup.Pause) {}

void RegistryWatch::start() {
  lookAtOperator();
  lookAtReplicas();
}

bool RegistryWatch::unreachableLately() const {
  return TimerService::now() - FailedAt < Setup.LapseWindow;
}

void RegistryWatch::note(bool good, std::string_view what) {
  if (!good)
    FailedAt = TimerService::now();
  if (good == Reachable)
    return;
  Reachable = good;
  Log.write(LogClass::State, good ? "registry-regained" : "registry-lost",
            {{"look", what}});
}

void RegistryWatch::lookAtOperator() {
  auto done = [this](const auto &result) { onOperator(result); };
  if (OperatorPosition)
    Registry.WatchOperator(*OperatorPosition, Setup.OperatorWait, done);
  else
    Registry.ReadOperator(done);
}

void RegistryWatch::onOperator(
    const tl::expected<OperatorChanges, RegistryError> &result) {
  if (result) {
    note(true, "operator");
    OperatorPause = Setup.Pause;
    OperatorPosition = result->Position;
    Out.OnOperator(*result);
    return lookAtOperator();
  }
  if (result.error() == RegistryError::HistoryGone) {
    OperatorPosition.reset();
    return lookAtOperator();
  }
  note(false, "operator");
  Timers.after(OperatorPause, [this](Instant) { lookAtOperator(); });
  if (OperatorPosition)
    again(OperatorPause, Setup.LongestPause);
}

void RegistryWatch::lookAtReplicas() {
  auto done = [this](const auto &result) { onReplicas(result); };
  if (ReplicaPosition)
    Registry.WatchReplicas(*ReplicaPosition, done);
  else
    Registry.ReadReplicas(done);
}

void RegistryWatch::onReplicas(
    const tl::expected<ReplicaChanges, RegistryError> &result) {
  auto look = [this](Instant) { lookAtReplicas(); };
  if (result) {
    note(true, "replicas");
    ReplicaPause = Setup.Pause;
    ReplicaPosition = result->Position;
    Out.OnReplicas(*result, unreachableLately());
    Timers.after(Setup.ReplicaPeriod, look);
    return;
  }
  if (result.error() == RegistryError::HistoryGone) {
    ReplicaPosition.reset();
    return lookAtReplicas();
  }
  note(false, "replicas");
  Timers.after(ReplicaPause, look);
  if (ReplicaPosition)
    again(ReplicaPause, Setup.LongestPause);
}

} // namespace hemlockglade
