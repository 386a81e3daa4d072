#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"

#include <algorithm>
#include <iterator>

namespace hemlockglade {

RegistryWatcher::RegistryWatcher(TimerService &timers, RegistryHooks registry,
                                 Settings settings, Hooks hooks, EventLog &log)
    : Timers(timers), Registry(std::move(registry)), Options(settings),
      Callbacks(std::move(hooks)), Log(log),
      OperatorRetryDelay(Options.Poll.RetryDelay),
      ReplicaRetryDelay(Options.Poll.RetryDelay) {}

void RegistryWatcher::start(Span initialDelay) {
  scheduleOperatorPoll(initialDelay);
  scheduleReplicaPoll(initialDelay);
}

bool RegistryWatcher::wasUnreachableRecently() const {
  auto failedAt = std::max(OperatorPoll.FailedAt, ReplicaPoll.FailedAt);
  return TimerService::now() - failedAt < Options.LapseWindow;
}

void RegistryWatcher::recordResult(PollState &poll, bool succeeded) {
  auto now = TimerService::now();
  poll.Failures = succeeded ? 0 : poll.Failures + 1;
  if (!succeeded)
    poll.FailedAt = now;
  if (succeeded == poll.Reachable)
    return;
  // Each kind of poll has its own state: that one succeeds again doesn't mean
  // the other does, whose call may still be open on a dead connection.
  poll.Reachable = succeeded;
  if (succeeded)
    Log.write(LogClass::State, "registry-regained",
              {{"look", poll.Name}, {"lost_for_ms", now - poll.ChangedAt}});
  else
    Log.write(LogClass::State, "registry-lost", {{"look", poll.Name}});
  poll.ChangedAt = now;
}

void RegistryWatcher::logDeclared(const OperatorChanges &changes,
                                  std::string_view from) {
  if (!changes.Plan && changes.Versions.empty())
    return;
  Log.write(LogClass::State, "declared",
            {{"from", from},
             {"plan", changes.Plan ? changes.Plan->version() : 0},
             {"weights", static_cast<std::uint64_t>(changes.Versions.size())},
             {"position", changes.Position},
             {"asked_ms_ago", TimerService::now() - OperatorPolledAt},
             {"known_ms_ago", operatorAge()}});
}

Span RegistryWatcher::pollDelay(Instant currentAt, Instant updatedAt,
                                Span period, Span maxAge) const {
  auto now = TimerService::now();
  if (Callbacks.InformsPeers())
    return Span(0);
  // A standby node leaves polling to others for longer. Its limit is an age, as
  // it may also get callers, and the registry may refuse just the owners.
  if (isStandby())
    return std::max(Span(0), std::min(updatedAt + Options.StandbyOwnerTimeout,
                                      currentAt + maxAge) -
                                 now);
  if (now - LastUpdateAt > Options.OwnerTimeout)
    return Span(0);
  auto until = currentAt + period + Options.PeerUpdateSlack;
  return std::max(Span(0), until - now);
}

void RegistryWatcher::scheduleOperatorPoll(Span delay) {
  Timers.after(delay, [this](Instant) { pollOperator(); });
}

void RegistryWatcher::scheduleReplicaPoll(Span delay) {
  Timers.after(delay, [this, number = ++ReplicaPollTimer](Instant) {
    if (number == ReplicaPollTimer)
      pollReplicas();
  });
}

void RegistryWatcher::pollOperator() {
  auto left = OperatorPosition ? pollDelay(OperatorCurrentAt, OperatorUpdateAt,
                                           Options.Poll.MaxOperatorWait,
                                           Options.Poll.MaxOperatorAge)
                               : Span(0);
  if (left > Span(0))
    return scheduleOperatorPoll(left);
  OperatorPolledAt = TimerService::now();
  auto done = [this](const auto &result) { onOperatorPolled(result); };
  if (!OperatorPosition) {
    OperatorWait = Span(0);
    return Registry.ReadOperator(done);
  }
  // After a failure the poll is sent without a wait, which would only delay
  // the detection that this poll is lost as well.
  OperatorWait =
      OperatorPoll.Reachable ? Options.Poll.MaxOperatorWait : Span(0);
  Registry.WatchOperator(*OperatorPosition, OperatorWait, done);
}

void RegistryWatcher::onOperatorPolled(
    const tl::expected<OperatorChanges, RegistryError> &result) {
  if (result) {
    recordResult(OperatorPoll, true);
    OperatorRetryDelay = Options.Poll.RetryDelay;
    applyOperator(*result, "registry");
    // The answer is surely as new as the request, and one without changes as
    // new as the end of its wait. Polls of replicas don't confirm declarations.
    bool changed =
        result->HasChanges || result->Plan || !result->Versions.empty();
    auto currentAt = OperatorPolledAt + (changed ? Span(0) : OperatorWait);
    currentAt = std::min(currentAt, TimerService::now());
    OperatorCurrentAt = std::max(OperatorCurrentAt, currentAt);
    return pollOperator();
  }
  if (result.error() == RegistryError::HistoryLost) {
    OperatorPosition.reset();
    return pollOperator();
  }
  bool firstFailure = OperatorPoll.Reachable;
  recordResult(OperatorPoll, false);
  scheduleOperatorPoll(retryDelay(firstFailure, OperatorPosition.has_value(),
                                  OperatorRetryDelay));
}

void RegistryWatcher::onPeerDeclarations(Span age, Instant askedAt) {
  DeclaredCurrentAt = std::max(DeclaredCurrentAt, askedAt - age);
}

OperatorChanges RegistryWatcher::withNotBefore(OperatorChanges changes) const {
  // What was unknown when the declarations were last confirmed was declared
  // later. `DeclaredCurrentAt` doesn't count here: a peer may send what it sent
  // on request once more.
  for (auto &it : changes.Versions)
    it.NotBefore = std::max(it.NotBefore, OperatorCurrentAt);
  return changes;
}

void RegistryWatcher::confirm(std::function<void(bool known)> done) {
  PendingConfirms.push_back(std::move(done));
  scheduleConfirm();
}

void RegistryWatcher::scheduleConfirm() {
  if (ConfirmScheduled || ConfirmNumber || PendingConfirms.empty())
    return;
  ConfirmScheduled = true;
  auto due = ConfirmPolledAt + Options.ConfirmInterval - TimerService::now();
  Timers.after(std::max(Span(0), due), [this](Instant) { pollToConfirm(); });
}

void RegistryWatcher::pollToConfirm() {
  ConfirmScheduled = false;
  ActiveConfirms = std::exchange(PendingConfirms, {});
  ConfirmPolledAt = TimerService::now();
  auto number = ConfirmNumber = ++LastConfirmNumber;
  auto askedAt = ConfirmPolledAt;
  Timers.after(Options.ConfirmTimeout,
               [this, number](Instant) { finishConfirm(number, false); });
  auto done = [this, number, askedAt](const auto &result) {
    if (result) {
      applyOperator(*result, "look before a denial");
      OperatorCurrentAt = std::max(OperatorCurrentAt, askedAt);
    }
    finishConfirm(number, result.has_value());
  };
  if (OperatorPosition)
    Registry.WatchOperator(*OperatorPosition, Span(0), done);
  else
    Registry.ReadOperator(done);
}

void RegistryWatcher::finishConfirm(std::uint64_t number, bool known) {
  if (ConfirmNumber != number)
    return;
  ConfirmNumber = 0;
  for (const auto &it : std::exchange(ActiveConfirms, {}))
    it(known);
  scheduleConfirm();
}

Span RegistryWatcher::retryDelay(bool firstFailure, bool hasState,
                                 Span &delay) const {
  // One lost poll has already taken most of the bound, and may be due only to
  // a dead connection, so the next one follows at once.
  if (firstFailure && hasState)
    return Span(0);
  auto now = delay;
  if (hasState)
    delay = std::min(Options.Poll.MaxRetryDelay, delay * 2);
  return isStandby() ? std::max(now, Options.MinStandbyRetryDelay) : now;
}

void RegistryWatcher::applyOperator(const OperatorChanges &reported,
                                    std::string_view from) {
  auto changes = withNotBefore(reported);
  logDeclared(changes, from);
  // Updates received meanwhile may be newer. Versions of plans and of weights
  // only ever increase, so applying older ones is harmless.
  OperatorPosition = std::max(OperatorPosition.value_or(0), changes.Position);
  bool changed = ChangeLog.onOperator(changes);
  Callbacks.OnOperator(changes);
  if (changed)
    Callbacks.OnUpdate();
}

void RegistryWatcher::pollReplicas() {
  auto left = ReplicaPosition ? pollDelay(ReplicasCurrentAt, ReplicaUpdateAt,
                                          Options.Poll.ReplicaInterval,
                                          Options.Poll.MaxReplicaAge)
                              : Span(0);
  if (left > Span(0))
    return scheduleReplicaPoll(left);
  sendReplicaPoll();
}

bool RegistryWatcher::refreshReplicasIfOld() {
  // A registry that refuses one call may well answer the next one.
  constexpr int MaxRefusals = 1;
  if (replicasAge() <= Options.Poll.MaxUsableAge)
    return false;
  bool mayAnswer = !ReplicaPollTimedOut && ReplicaPoll.Failures <= MaxRefusals;
  auto now = TimerService::now();
  bool isPollDue = now - ReplicasPolledAt >= Options.Poll.RetryDelay;
  if (!ReplicaPollOpen && (mayAnswer || isPollDue))
    sendReplicaPoll();
  return mayAnswer;
}

void RegistryWatcher::confirmReplicas(Instant since,
                                      std::function<void(bool known)> done) {
  if (ReplicasCurrentAt >= since)
    return done(true);
  auto number = ++LastReplicaConfirm;
  ReplicaConfirms.push_back({number, since, std::move(done)});
  Timers.after(Options.ReplicaConfirmTimeout, [this, number](Instant) {
    auto it = std::find_if(
        ReplicaConfirms.begin(), ReplicaConfirms.end(),
        [number](const auto &confirm) { return confirm.Number == number; });
    if (it == ReplicaConfirms.end())
      return;
    auto expired = std::move(*it);
    ReplicaConfirms.erase(it);
    expired.Done(false);
  });
  pollToConfirmReplicas();
}

void RegistryWatcher::pollToConfirmReplicas() {
  if (ReplicaConfirms.empty() || ReplicaPollOpen)
    return;
  auto due = ReplicaConfirmPolledAt + Options.ReplicaConfirmInterval -
             TimerService::now();
  if (due <= Span(0)) {
    ReplicaConfirmPolledAt = TimerService::now();
    return sendReplicaPoll();
  }
  Timers.after(due, [this](Instant) { pollToConfirmReplicas(); });
}

void RegistryWatcher::settleReplicaConfirms() {
  auto isOpen = [this](const auto &it) { return it.Since > ReplicasCurrentAt; };
  auto settled = std::stable_partition(ReplicaConfirms.begin(),
                                       ReplicaConfirms.end(), isOpen);
  std::vector<ReplicaConfirm> done(
      std::make_move_iterator(settled),
      std::make_move_iterator(ReplicaConfirms.end()));
  ReplicaConfirms.erase(settled, ReplicaConfirms.end());
  for (const auto &it : done)
    it.Done(true);
  pollToConfirmReplicas();
}

void RegistryWatcher::sendReplicaPoll() {
  ++ReplicaPollTimer;
  ReplicaPollOpen = true;
  ReplicasPolledAt = TimerService::now();
  auto done = [this](const auto &result) { onReplicasPolled(result); };
  if (ReplicaPosition)
    Registry.WatchReplicas(*ReplicaPosition, done);
  else
    Registry.ReadReplicas(done);
}

void RegistryWatcher::onReplicasPolled(
    const tl::expected<ReplicaChanges, RegistryError> &result) {
  ReplicaPollOpen = false;
  auto took = TimerService::now() - ReplicasPolledAt;
  // A poll that fails much later than its timeout was held up by this process,
  // and says nothing of the registry.
  auto timeout = Options.Poll.AnswerTimeout;
  ReplicaPollTimedOut = !result && took >= timeout && took < 2 * timeout;
  if (result) {
    recordResult(ReplicaPoll, true);
    ReplicaRetryDelay = Options.Poll.RetryDelay;
    // An answer that is older than the updates received meanwhile would bring
    // back replicas that were removed.
    if (result->Position >= ReplicaPosition.value_or(0)) {
      ReplicaSource source{"registry", wasUnreachableRecently(), replicasAge()};
      ReplicasCurrentAt = std::max(ReplicasCurrentAt, ReplicasPolledAt);
      applyReplicas(*result, source);
    }
    settleReplicaConfirms();
    if (ReplicaPollOpen)
      return;
    // An answer that was long on its way does not postpone the next poll.
    auto minDelay = Options.Poll.ReplicaInterval / 2;
    return scheduleReplicaPoll(
        std::max(minDelay, Options.Poll.ReplicaInterval - took));
  }
  if (result.error() == RegistryError::HistoryLost) {
    ReplicaPosition.reset();
    return pollReplicas();
  }
  bool firstFailure = ReplicaPoll.Reachable;
  recordResult(ReplicaPoll, false);
  scheduleReplicaPoll(
      retryDelay(firstFailure, ReplicaPosition.has_value(), ReplicaRetryDelay));
}

void RegistryWatcher::applyReplicas(const ReplicaChanges &changes,
                                    const ReplicaSource &source) {
  ReplicaPosition = changes.Position;
  bool changed = ChangeLog.onReplicas(changes);
  Callbacks.OnReplicas(changes, source);
  if (changed)
    Callbacks.OnUpdate();
}

RegistryPositions RegistryWatcher::positions() const {
  return {OperatorPosition.value_or(0), ReplicaPosition.value_or(0)};
}

RegistryUpdate
RegistryWatcher::updateSince(const RegistryPositions &known) const {
  auto now = TimerService::now();
  RegistryUpdate out;
  if (auto all = ChangeLog.operators().since(known.Operator)) {
    out.OperatorFrom = known.Operator;
    out.OperatorPosition = ChangeLog.operators().position();
    out.OperatorAgeUs = (now - OperatorCurrentAt).count();
    for (const auto &it : *all) {
      DeclaredNotice notice{it.Plan ? it.Plan->Source : "", {}};
      for (const auto &at : it.Versions)
        notice.Versions.push_back(
            {at.Weights.text(), at.Version, (now - at.NotBefore).count()});
      out.Declared.push_back(std::move(notice));
    }
  }
  if (auto all = ChangeLog.replicas().since(known.Replica)) {
    out.ReplicaFrom = known.Replica;
    out.ReplicaPosition = ChangeLog.replicas().position();
    out.ReplicaAgeUs = (now - ReplicasCurrentAt).count();
    for (const auto &it : *all) {
      RegisteredNotice notice{{}, it.Removed, it.Position};
      for (const auto &at : it.Present)
        notice.Present.emplace_back(at.Incarnation.id(), at.Source);
      out.Registered.push_back(std::move(notice));
    }
  }
  out.Unreachable = wasUnreachableRecently();
  return out;
}

void RegistryWatcher::onBriefing(const RegistryPositions &peerPositions,
                                 Span operatorAge, Span replicasAge,
                                 Instant askedAt) {
  auto now = TimerService::now();
  if (!OperatorPosition && peerPositions.Operator) {
    OperatorPosition = peerPositions.Operator;
    ChangeLog.resetOperators(peerPositions.Operator);
    OperatorUpdateAt = now;
    OperatorCurrentAt = std::max(OperatorCurrentAt, askedAt - operatorAge);
  }
  if (!ReplicaPosition && peerPositions.Replica) {
    ReplicaPosition = peerPositions.Replica;
    ChangeLog.onReplicas({false, {}, {}, peerPositions.Replica});
    ReplicaUpdateAt = now;
    ReplicasCurrentAt = std::max(ReplicasCurrentAt, askedAt - replicasAge);
  }
}

void RegistryWatcher::onPeerUpdate(const RegistryUpdate &update,
                                   Instant sentAfter) {
  auto now = TimerService::now();
  if (!update.OperatorPosition && !update.ReplicaPosition)
    return;
  LastUpdateAt = now;
  applyDeclaredUpdate(update, now, sentAfter);
  applyReplicaUpdate(update, now, sentAfter);
}

void RegistryWatcher::applyDeclaredUpdate(const RegistryUpdate &update,
                                          Instant now, Instant sentAfter) {
  bool follows = OperatorPosition && *OperatorPosition >= update.OperatorFrom &&
                 *OperatorPosition <= update.OperatorPosition;
  if (!update.OperatorPosition || !follows)
    return;
  // Applied as a whole or not at all: once the position has passed an entry
  // that can't be parsed, that entry is never requested again.
  std::vector<OperatorChanges> all;
  for (const auto &it : update.Declared) {
    OperatorChanges changes;
    changes.Position = update.OperatorPosition;
    if (!it.PlanText.empty()) {
      changes.Plan = Registry.ParsePlan(it.PlanText);
      if (!changes.Plan)
        return;
    }
    for (const auto &at : it.Versions)
      changes.Versions.push_back({WeightsRef::parse(at.Weights), at.Version,
                                  sentAfter - Span(at.AgeUs)});
    all.push_back(std::move(changes));
  }
  for (const auto &it : all)
    applyOperator(it, "owner");
  OperatorUpdateAt = now;
  OperatorPosition = update.OperatorPosition;
  ChangeLog.onOperator({nullptr, {}, update.OperatorPosition});
  OperatorCurrentAt =
      std::max(OperatorCurrentAt, sentAfter - Span(update.OperatorAgeUs));
}

void RegistryWatcher::applyReplicaUpdate(const RegistryUpdate &update,
                                         Instant now, Instant sentAfter) {
  bool follows = ReplicaPosition && *ReplicaPosition >= update.ReplicaFrom &&
                 *ReplicaPosition <= update.ReplicaPosition;
  if (!update.ReplicaPosition || !follows)
    return;
  std::vector<ReplicaChanges> all;
  for (const auto &it : update.Registered) {
    ReplicaChanges changes;
    changes.Position = it.Position ? it.Position : update.ReplicaPosition;
    changes.Removed = it.Removed;
    for (const auto &[id, source] : it.Present) {
      auto record = Registry.ParseReplica(id, source);
      if (!record)
        return;
      changes.Present.push_back(std::move(*record));
    }
    all.push_back(std::move(changes));
  }
  ReplicaSource source{"owner", wasUnreachableRecently() || update.Unreachable,
                       replicasAge()};
  for (const auto &it : all)
    applyReplicas(it, source);
  ReplicaUpdateAt = now;
  ReplicaPosition = update.ReplicaPosition;
  ChangeLog.onReplicas({false, {}, {}, update.ReplicaPosition});
  ReplicasCurrentAt =
      std::max(ReplicasCurrentAt, sentAfter - Span(update.ReplicaAgeUs));
  settleReplicaConfirms();
}

} // namespace hemlockglade
