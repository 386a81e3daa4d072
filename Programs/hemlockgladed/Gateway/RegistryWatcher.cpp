#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"

namespace hemlockglade {

RegistryWatcher::RegistryWatcher(TimerService &timers, RegistryHooks registry,
                                 Settings settings, Hooks hooks, EventLog &log)
    : Timers(timers), Registry(std::move(registry)), Setup(settings),
      Out(std::move(hooks)), Log(log), OperatorPause(Setup.Poll.RetryPause),
      ReplicaPause(Setup.Poll.RetryPause) {}

void RegistryWatcher::start(Span firstLookAfter) {
  planOperator(firstLookAfter);
  planReplicas(firstLookAfter);
}

bool RegistryWatcher::unreachableLately() const {
  auto failedAt = std::max(OperatorLook.FailedAt, ReplicaLook.FailedAt);
  return TimerService::now() - failedAt < Setup.LapseWindow;
}

void RegistryWatcher::note(LookState &look, bool good) {
  auto now = TimerService::now();
  if (!good)
    look.FailedAt = now;
  if (good == look.Good)
    return;
  // Each kind of look by itself: that one is answered again says nothing of the
  // other, whose call may still be open on a connection that is dead.
  look.Good = good;
  if (good)
    Log.write(LogClass::State, "registry-regained",
              {{"look", look.Name}, {"lost_for_ms", now - look.LostAt}});
  else
    Log.write(LogClass::State, "registry-lost", {{"look", look.Name}});
  look.LostAt = now;
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
             {"asked_ms_ago", TimerService::now() - OperatorAskedAt},
             {"known_ms_ago", operatorAge()}});
}

Span RegistryWatcher::spared(Instant seenAt, Instant toldAt, Span period,
                             Span oldest) const {
  auto now = TimerService::now();
  if (Out.InformsPeers())
    return Span(0);
  // A node that stands by leaves it to others for longer, but callers may come
  // to it, and the registry may turn away just those who tell.
  if (standsBy())
    return std::max(Span(0),
                    std::min(toldAt + Setup.StandbySilence, seenAt + oldest) -
                        now);
  if (now - ToldAt > Setup.OwnerSilence)
    return Span(0);
  auto until = seenAt + period + Setup.PeerUpdateSlack;
  return std::max(Span(0), until - now);
}

void RegistryWatcher::planOperator(Span pause) {
  Timers.after(pause, [this](Instant) { lookAtOperator(); });
}

void RegistryWatcher::planReplicas(Span pause) {
  Timers.after(pause, [this](Instant) { lookAtReplicas(); });
}

void RegistryWatcher::lookAtOperator() {
  auto left = OperatorPosition ? spared(OperatorSeenAt, OperatorToldAt,
                                        Setup.Poll.MaxOperatorWait,
                                        Setup.Poll.MaxOperatorAge)
                               : Span(0);
  if (left > Span(0))
    return planOperator(left);
  OperatorAskedAt = TimerService::now();
  auto done = [this](const auto &result) { onOperator(result); };
  if (!OperatorPosition) {
    OperatorWaits = Span(0);
    return Registry.ReadOperator(done);
  }
  // A registry that has just failed is asked for an answer at once: a wait
  // would only make it later known that this look is lost as well.
  OperatorWaits = OperatorLook.Good ? Setup.Poll.MaxOperatorWait : Span(0);
  Registry.WatchOperator(*OperatorPosition, OperatorWaits, done);
}

void RegistryWatcher::onOperator(
    const tl::expected<OperatorChanges, RegistryError> &result) {
  if (result) {
    note(OperatorLook, true);
    OperatorPause = Setup.Poll.RetryPause;
    takeOperator(*result, "registry");
    // The answer is surely as new as the question, and one without changes as
    // new as the end of its wait. Nothing else speaks for the declarations.
    bool changed = result->Any || result->Plan || !result->Versions.empty();
    auto seenAt = OperatorAskedAt + (changed ? Span(0) : OperatorWaits);
    seenAt = std::min(seenAt, TimerService::now());
    OperatorSeenAt = std::max(OperatorSeenAt, seenAt);
    OperatorSureAt = std::max(OperatorSureAt, seenAt);
    return lookAtOperator();
  }
  if (result.error() == RegistryError::HistoryGone) {
    OperatorPosition.reset();
    return lookAtOperator();
  }
  bool first = OperatorLook.Good;
  note(OperatorLook, false);
  planOperator(pauseAfter(first, OperatorPosition.has_value(), OperatorPause));
}

void RegistryWatcher::onDeclared(Span age, Instant askedAt) {
  DeclaredSeenAt = std::max(DeclaredSeenAt, askedAt - age);
}

OperatorChanges RegistryWatcher::dated(OperatorChanges changes) const {
  // What was not known when the declarations were last sure was declared later.
  // A peer's word counts for nothing here: what it told may come again.
  for (auto &it : changes.Versions)
    it.NotBefore = std::max(it.NotBefore, OperatorSureAt);
  return changes;
}

void RegistryWatcher::confirm(std::function<void(bool known)> done) {
  ConfirmNext.push_back(std::move(done));
  planConfirm();
}

void RegistryWatcher::planConfirm() {
  if (ConfirmPlanned || ConfirmNumber || ConfirmNext.empty())
    return;
  ConfirmPlanned = true;
  auto due = ConfirmedAt + Setup.ConfirmInterval - TimerService::now();
  Timers.after(std::max(Span(0), due), [this](Instant) { lookToConfirm(); });
}

void RegistryWatcher::lookToConfirm() {
  ConfirmPlanned = false;
  Confirming = std::exchange(ConfirmNext, {});
  ConfirmedAt = TimerService::now();
  auto number = ConfirmNumber = ++LastConfirm;
  auto askedAt = ConfirmedAt;
  Timers.after(Setup.ConfirmTimeout,
               [this, number](Instant) { endConfirm(number, false); });
  auto done = [this, number, askedAt](const auto &result) {
    if (result) {
      takeOperator(*result, "look before a denial");
      OperatorSeenAt = std::max(OperatorSeenAt, askedAt);
      OperatorSureAt = std::max(OperatorSureAt, askedAt);
    }
    endConfirm(number, result.has_value());
  };
  if (OperatorPosition)
    Registry.WatchOperator(*OperatorPosition, Span(0), done);
  else
    Registry.ReadOperator(done);
}

void RegistryWatcher::endConfirm(std::uint64_t number, bool known) {
  if (ConfirmNumber != number)
    return;
  ConfirmNumber = 0;
  for (const auto &it : std::exchange(Confirming, {}))
    it(known);
  planConfirm();
}

Span RegistryWatcher::pauseAfter(bool firstFailure, bool knowsSome,
                                 Span &pause) const {
  // One lost look has already taken most of the bound, and need not mean more
  // than a dead connection.
  if (firstFailure && knowsSome)
    return Span(0);
  auto now = pause;
  if (knowsSome)
    pause = std::min(Setup.Poll.MaxRetryPause, pause * 2);
  return standsBy() ? std::max(now, Setup.StandbyPause) : now;
}

void RegistryWatcher::takeOperator(const OperatorChanges &told,
                                   std::string_view from) {
  auto changes = dated(told);
  logDeclared(changes, from);
  // What was told meanwhile may be newer. Plans and versions only ever rise.
  OperatorPosition = std::max(OperatorPosition.value_or(0), changes.Position);
  bool news = Seen.onOperator(changes);
  Out.OnOperator(changes);
  if (news)
    Out.OnUpdate();
}

void RegistryWatcher::lookAtReplicas() {
  auto left = ReplicaPosition
                  ? spared(ReplicasSeenAt, ReplicasToldAt,
                           Setup.Poll.ReplicaPeriod, Setup.Poll.MaxReplicaAge)
                  : Span(0);
  if (left > Span(0))
    return planReplicas(left);
  ReplicasAskedAt = TimerService::now();
  auto done = [this](const auto &result) { onReplicas(result); };
  if (ReplicaPosition)
    Registry.WatchReplicas(*ReplicaPosition, done);
  else
    Registry.ReadReplicas(done);
}

void RegistryWatcher::onReplicas(
    const tl::expected<ReplicaChanges, RegistryError> &result) {
  if (result) {
    note(ReplicaLook, true);
    ReplicaPause = Setup.Poll.RetryPause;
    // An answer from before what was told meanwhile would bring back replicas
    // that are gone.
    if (result->Position >= ReplicaPosition.value_or(0)) {
      ReplicasSeenAt = std::max(ReplicasSeenAt, ReplicasAskedAt);
      takeReplicas(*result, unreachableLately());
    }
    return planReplicas(Setup.Poll.ReplicaPeriod);
  }
  if (result.error() == RegistryError::HistoryGone) {
    ReplicaPosition.reset();
    return lookAtReplicas();
  }
  bool first = ReplicaLook.Good;
  note(ReplicaLook, false);
  planReplicas(pauseAfter(first, ReplicaPosition.has_value(), ReplicaPause));
}

void RegistryWatcher::takeReplicas(const ReplicaChanges &changes,
                                   bool unreachable) {
  ReplicaPosition = changes.Position;
  bool news = Seen.onReplicas(changes);
  Out.OnReplicas(changes, unreachable);
  if (news)
    Out.OnUpdate();
}

RegistryPositions RegistryWatcher::positions() const {
  return {OperatorPosition.value_or(0), ReplicaPosition.value_or(0)};
}

RegistryUpdate
RegistryWatcher::updateSince(const RegistryPositions &known) const {
  auto now = TimerService::now();
  RegistryUpdate out;
  if (auto all = Seen.operators().since(known.Operator)) {
    out.OperatorFrom = known.Operator;
    out.OperatorPosition = Seen.operators().position();
    out.OperatorAgeUs = (now - OperatorSureAt).count();
    for (const auto &it : *all) {
      DeclaredNotice notice{it.Plan ? it.Plan->Source : "", {}};
      for (const auto &at : it.Versions)
        notice.Versions.push_back(
            {at.Weights.text(), at.Version, (now - at.NotBefore).count()});
      out.Declared.push_back(std::move(notice));
    }
  }
  if (auto all = Seen.replicas().since(known.Replica)) {
    out.ReplicaFrom = known.Replica;
    out.ReplicaPosition = Seen.replicas().position();
    out.ReplicaAgeUs = (now - ReplicasSeenAt).count();
    for (const auto &it : *all) {
      RegisteredNotice notice{{}, it.Removed};
      for (const auto &at : it.Present)
        notice.Present.emplace_back(at.Incarnation.id(), at.Source);
      out.Registered.push_back(std::move(notice));
    }
  }
  out.Unreachable = unreachableLately();
  return out;
}

void RegistryWatcher::onBriefed(const RegistryPositions &knows,
                                Span operatorAge, Span replicasAge,
                                Instant askedAt) {
  auto now = TimerService::now();
  if (!OperatorPosition && knows.Operator) {
    OperatorPosition = knows.Operator;
    Seen.restartOperators(knows.Operator);
    OperatorToldAt = now;
    OperatorSeenAt = now - operatorAge;
    OperatorSureAt = std::max(OperatorSureAt, askedAt - operatorAge);
  }
  if (!ReplicaPosition && knows.Replica) {
    ReplicaPosition = knows.Replica;
    Seen.onReplicas({false, {}, {}, knows.Replica});
    ReplicasToldAt = now;
    ReplicasSeenAt = now - replicasAge;
  }
}

void RegistryWatcher::onPeerUpdate(const RegistryUpdate &news,
                                   Instant sentAfter) {
  auto now = TimerService::now();
  if (!news.OperatorPosition && !news.ReplicaPosition)
    return;
  ToldAt = now;
  takeDeclared(news, now, sentAfter);
  takeRegistered(news, now);
}

void RegistryWatcher::takeDeclared(const RegistryUpdate &news, Instant now,
                                   Instant sentAfter) {
  bool follows = OperatorPosition && *OperatorPosition >= news.OperatorFrom &&
                 *OperatorPosition <= news.OperatorPosition;
  if (!news.OperatorPosition || !follows)
    return;
  // All of it or nothing: a position that has passed what could not be read is
  // never asked for again.
  std::vector<OperatorChanges> all;
  for (const auto &it : news.Declared) {
    OperatorChanges changes;
    changes.Position = news.OperatorPosition;
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
    takeOperator(it, "owner");
  OperatorToldAt = now;
  OperatorPosition = news.OperatorPosition;
  Seen.onOperator({nullptr, {}, news.OperatorPosition});
  auto age = Span(news.OperatorAgeUs);
  OperatorSeenAt = std::max(OperatorSeenAt, now - age);
  OperatorSureAt = std::max(OperatorSureAt, sentAfter - age);
}

void RegistryWatcher::takeRegistered(const RegistryUpdate &news, Instant now) {
  bool follows = ReplicaPosition && *ReplicaPosition >= news.ReplicaFrom &&
                 *ReplicaPosition <= news.ReplicaPosition;
  if (!news.ReplicaPosition || !follows)
    return;
  std::vector<ReplicaChanges> all;
  for (const auto &it : news.Registered) {
    ReplicaChanges changes;
    changes.Position = news.ReplicaPosition;
    changes.Removed = it.Removed;
    for (const auto &[id, source] : it.Present) {
      auto record = Registry.ParseReplica(id, source);
      if (!record)
        return;
      changes.Present.push_back(std::move(*record));
    }
    all.push_back(std::move(changes));
  }
  for (const auto &it : all)
    takeReplicas(it, unreachableLately() || news.Unreachable);
  ReplicasToldAt = now;
  ReplicaPosition = news.ReplicaPosition;
  Seen.onReplicas({false, {}, {}, news.ReplicaPosition});
  ReplicasSeenAt = std::max(ReplicasSeenAt, now - Span(news.ReplicaAgeUs));
}

} // namespace hemlockglade
