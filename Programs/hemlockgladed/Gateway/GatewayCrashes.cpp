// The part of Gateway that handles requests, and parts of prompts, which crash
// replicas.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include <asio/post.hpp>

namespace hemlockglade {

namespace {

/// A host refuses a connection within a round trip; a lost packet is
/// retransmitted after 200 ms.
constexpr auto ProbeTimeout = std::chrono::milliseconds(500);
/// A process that ends has closed all its descriptors by then, also on a busy
/// host. One that listens ends the probe's connection much sooner.
constexpr auto EndTime = std::chrono::milliseconds(100);

} // namespace

CrashHooks Gateway::crashHooks() {
  CrashHooks hooks;
  hooks.BarredFor = [this](const CrashSubject &subject) {
    return Crashes.barredFor(subject);
  };
  hooks.IsSuspect = [this](const CrashSubject &subject) {
    return Crashes.isSuspect(subject);
  };
  hooks.OnSent = [this](const CrashSubject &subject) {
    Crashes.onSent(subject);
  };
  hooks.OnBroken = [this](const ReplicaRecord &replica,
                          const CrashSubject &subject,
                          const AttemptProgress &progress) {
    // A draining replica ends while requests still run on it.
    if (!View.isDraining(replica.Incarnation.text()))
      Crashes.onBroken(replica, subject, progress);
  };
  hooks.OnAbandoned = [this](const ReplicaRecord &replica,
                             const CrashSubject &subject,
                             const AttemptProgress &progress) {
    if (!View.isDraining(replica.Incarnation.text()))
      Crashes.onAbandoned(replica, subject, progress);
  };
  hooks.OnRestarted = [this](const ReplicaIncarnation &incarnation) {
    Crashes.onEnded(incarnation);
  };
  hooks.OnServed = [this](const CrashSubject &subject) {
    Crashes.onServed(subject);
  };
  hooks.OnWentOn = [this](const CrashSubject &subject) {
    Crashes.onWentOn(subject);
  };
  hooks.ProbeEnded = [this](const ReplicaRecord &replica, auto done) {
    probeEnded(replica, std::move(done));
  };
  return hooks;
}

void Gateway::probeEnded(const ReplicaRecord &replica,
                         std::function<void(bool hasEnded)> done) {
  // One that drains is looked at as well: it may be taken away in the middle of
  // its answers.
  probeEnding(
      Context, parseEndpoint(replica.Address), ProbeTimeout, EndTime,
      [this, id = replica.Incarnation.text(), askedAt = TimerService::now(),
       done = std::move(done)](Listening found) {
        Log.write(LogClass::Request, "answer-end",
                  {{"replica", id},
                   {"listens", found == Listening::Yes  ? "yes"
                               : found == Listening::No ? "no"
                                                        : "unknown"},
                   {"draining", View.isDraining(id)},
                   {"took_ms", TimerService::now() - askedAt}});
        done(found == Listening::No);
      },
      parseLocalAddress(Settings.OutgoingAddress));
}

CrashCoordinator::Hooks Gateway::crashCoordinatorHooks() {
  CrashCoordinator::Hooks hooks;
  hooks.Probe = [this](const std::string &address,
                       std::function<void(Listening)> done) {
    probeListener(Context, parseEndpoint(address), ProbeTimeout,
                  std::move(done), parseLocalAddress(Settings.OutgoingAddress));
  };
  hooks.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  hooks.OnUpdate = [this] {
    for (auto &[name, cell] : Cells)
      cell->onCrashUpdate();
  };
  hooks.OnBarred = [this](const RequestKey &key) { onBarred(key); };
  hooks.ReachesOther = [this](const ReplicaRecord &replica, auto done) {
    probeOthers(replica, std::move(done));
  };
  hooks.IsCutOff = [this](const ReplicaRecord &replica) {
    return Reach.isCutOff(replica.Service);
  };
  return hooks;
}

void Gateway::onBarred(const RequestKey &key) {
  // Posted, since the call may come from within an exchange that is reporting
  // its attempt.
  asio::post(Context, [this, key] {
    auto open = Exchanges;
    for (const auto &it : open)
      if (it->hasCrashKey(key))
        it->onBarred();
  });
}

} // namespace hemlockglade
