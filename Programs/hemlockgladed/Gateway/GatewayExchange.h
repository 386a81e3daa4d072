#pragma once

#include "Hemlockglade/Coordination/Route/ExchangeSettings.h"
#include "Hemlockglade/Coordination/Route/FairQueue.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Coordination/Route/SharedRetryBudget.h"
#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"
#include "Hemlockglade/Protocol/Exchange/RequestIdentity.h"
#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/State/Routing/CallerAccess.h"
#include "Hemlockglade/Transport/Http1/CallerConnection.h"
#include "Hemlockglade/Transport/Http1/HttpPool.h"
#include "Programs/hemlockgladed/Gateway/QuotaService.h"

#include <asio/steady_timer.hpp>

namespace hemlockglade {

class GatewayExchange;

/// What exchanges tell and ask about requests that crash replicas.
struct CrashHooks {
  /// For how long a request must not be sent, if it is barred.
  std::function<std::optional<Span>(const RequestKey &key)> BarredFor;
  /// It is sent to a replica.
  std::function<void(const RequestKey &key)> OnSent;
  /// An attempt broke off without an answer; `beganAt` if some of it had come.
  std::function<void(const ReplicaRecord &replica, const RequestKey &key,
                     Instant sentAt, std::optional<Instant> beganAt)>
      OnBroken;
  /// An attempt was given up while the replica may run it on.
  std::function<void(const ReplicaRecord &replica, const RequestKey &key,
                     Instant sentAt, std::optional<Instant> beganAt)>
      OnGivenUp;
  /// Another incarnation answers at the replica's address.
  std::function<void(const ReplicaIncarnation &life)> OnReplaced;
  /// A replica ran it to its end, with success.
  std::function<void(const RequestKey &key)> OnServed;
};

/// What exchanges ask and tell about their workspaces' limits, in the limits'
/// units.
struct LimitHooks {
  /// Asks before a request may run; `decided` is called once, at once or later.
  std::function<void(const Workspace &workspace, double units,
                     QuotaService::OnDecided decided)>
      Reserve;
  /// One that may have run runs once more.
  std::function<void(const Workspace &workspace, double units)> Charge;
  /// What was booked has not run.
  std::function<void(const Workspace &workspace, double units)> Release;
};

/// What exchanges share: the parts of the node that they use.
struct ExchangeContext {
  asio::io_context &Context;
  ReplicaView &View;
  SharedRetryBudget &Budget;
  HttpPool &Pool;
  EventLog &Log;
  LabelHooks Labels;
  /// Requests for weights came; `waiting` if no replica has them.
  std::function<void(const std::string &service, const WeightsRef &weights,
                     bool waiting)>
      OnDemand;
  /// A request waits because the engines that have the weights are at their
  /// limit.
  std::function<void(const std::string &service, const WeightsRef &weights)>
      OnCongested;
  std::function<void(const ReplicaRecord &replica, const WeightsRef &weights,
                     bool missing)>
      OnRefusal;
  /// A request goes to an engine that has to read this many tokens for it.
  std::function<void(const ReplicaRecord &replica, std::uint32_t tokens,
                     const WeightsRef &weights)>
      OnSent;
  /// It is over there.
  std::function<void(const ReplicaRecord &replica, const WeightsRef &weights)>
      OnDone;
  /// Whether any cell can load weights now.
  std::function<bool()> CanLoad;
  std::function<void(const GatewayExchange &exchange)> OnEnd;
  CrashHooks Crashes;
  LimitHooks Limits;
  /// Whose turn it is at plain replicas that are full.
  FairQueue *PlainQueue = nullptr;
};

/// One request of a caller, from its arrival to its answer: finds a replica,
/// passes request and answer on, tries again where that is allowed.
class GatewayExchange : public std::enable_shared_from_this<GatewayExchange> {
public:
  GatewayExchange(ExchangeContext &shared, const ExchangeSettings &settings,
                  std::shared_ptr<const RoutePlan> plan,
                  const CallerAccess &access, CallerRequest request,
                  RequestLabels labels, std::shared_ptr<CallerReply> reply);
  ~GatewayExchange();

  void start();
  /// Something that it may wait for has changed.
  void wake();
  /// A replica has started anew. An attempt there is over, unless it already
  /// runs at the new start and something comes soon.
  void onRestarted(const ReplicaIncarnation &before);
  /// A version of weights was named, which may replace the one that an attempt
  /// waits to begin on.
  void onVersionDeclared(const WeightsRef &weights);
  /// The request is barred. It is answered, unless a replica runs it well.
  void onBarred();
  /// Shortens how long it may be held before it is sent anywhere.
  void holdAtMost(Span span);
  /// Ends it without a complete answer, at the end of a stop.
  void abort();

  bool waiting() const { return Waiting; }
  /// Whether it waits for weights or replicas, rather than for a turn.
  bool waitsForChange() const { return Waiting && !Paced; }
  /// Rank of its workspace, or else of its route; 0 is the most urgent.
  std::uint32_t rank() const { return Query.Rank; }
  const RequestKey &key() const { return Key; }
  const std::string &service() const { return Query.Service; }
  /// Name of its workspace; empty if it counts for none.
  std::string_view workspace() const {
    return CallerWorkspace ? std::string_view(CallerWorkspace->Name)
                           : std::string_view();
  }
  std::uint16_t status() const { return Status; }
  std::string_view outcome() const { return Result; }
  Instant arrivedAt() const { return Request.ArrivedAt; }
  std::optional<Span> firstByte() const { return FirstByte; }
  /// Bytes of the bodies of the request and of all answers to it.
  std::uint64_t bytesMoved() const { return Request.Body.size() + Answered; }
  /// How long it was held before it was first sent, or until its end.
  Span heldFor() const;
  /// For how long the version of the last attempt had been replaced when it was
  /// sent; none if it was the newest known.
  std::optional<Span> replacedFor() const { return ReplacedFor; }
  /// Whether an attempt was ended because it would have begun on weights that
  /// were replaced too long ago.
  bool endedUnbegun() const { return EndedUnbegun; }

private:
  /// What has come of the attempt that is under way.
  struct Attempt {
    std::shared_ptr<HttpConnection> Connection;
    ReplicaPtr Replica;
    std::uint64_t Number = 0;
    Instant SentAt{};
    std::optional<HttpAnswerHead> Head;
    AnswerLabels Labels;
    std::string Body;
    EventSplitter Events;
    /// The engine had no prompts to read when the request was sent.
    bool Clean = false;
    std::optional<Instant> FirstEventAt;
    /// When the attempt is taken to be stuck, unless something comes before;
    /// never if the attempt may not be repeated and its replica lives.
    Instant StuckAt = Instant::max();
    /// Version of the weights that it was sent for; 0 if not known.
    std::uint64_t Version = 0;
    /// If it has not begun by then it must not, as its weights were replaced.
    std::optional<Instant> BeginsBy;
    /// Its replica has started anew since it was sent.
    bool Orphaned = false;
  };

  /// Books the request against its workspace's limit, then goes on.
  void book();
  void onBooked(QuotaService::Verdict what, Span retryAfter);
  /// Units that the request counts as.
  double units() const;
  void noteLimited(Span retryAfter);
  void giveBack();
  void next();
  /// Answers a request that must not be sent; whether it was one.
  bool endIfBarred();
  void hold(const RouteChoice &choice);
  /// Whether others that wait for room at the service go before it.
  bool letsOthersGo(Instant now);
  void joinTurns();
  void leaveTurns(bool served);
  void send(const RouteChoice &choice);
  void tellPressed(Instant now);
  void noteHold(const RouteChoice &choice, Instant now);
  bool onHead(const HttpAnswerHead &head);
  void onBody(std::string_view part);
  void onDone();
  void onFailed(HttpFailure how);
  void onNotRun();
  void onUnknown(std::string_view why);
  /// Sends the request once more where that is allowed, or answers it.
  void goOn(std::string_view why);
  void onBroken(std::string_view how);
  void onPlainAnswer();
  void passEvents(std::string_view events);
  void onStreamEnd(bool whole, std::string_view why);
  void onTimer();
  void onAttemptTimer();
  void arm();
  void expectWithin(Span span);
  void armAttempt();
  void noteAlive();
  bool beginsTooLate() const;
  void endUnbegun();
  void endAttempt(AttemptVerdict verdict);
  bool mayRepeat() const;
  bool spendRepeat(std::string_view why);
  void answerOwn(std::uint16_t status, std::string_view why,
                 std::optional<Span> retryAfter = std::nullopt);
  void finish(std::uint16_t status, std::string_view result);
  void onCallerGone();
  Span timeLeft() const;
  Span retryAfter() const;
  bool engine() const { return Query.Weights.has_value(); }

  ExchangeContext &Shared;
  const ExchangeSettings &Settings;
  std::shared_ptr<const RoutePlan> Plan;
  const Route &MatchedRoute;
  /// Workspace that it counts for; none on routes that are open to all.
  const Workspace *CallerWorkspace;
  CallerRequest Request;
  RequestLabels Labels;
  RequestKey Key;
  LabelFields Fields;
  std::shared_ptr<CallerReply> Reply;
  RouteQuery Query;
  Instant EndsAt{};
  Instant HoldUntil{};
  /// What no repeat prolongs.
  Instant HoldLimit = Instant::max();
  /// Longest hold of a stream's request, before its first event and between
  /// two; 0 for others.
  Span HoldFor{0};
  asio::steady_timer Timer;
  asio::steady_timer AttemptTimer;
  std::unique_ptr<Attempt> Current;
  /// Its place among those that wait for room; 0 if it has none.
  FairQueue::Ticket Turn = 0;
  bool Waiting = false;
  bool Paced = false;
  bool Done = false;
  bool AnswerBegun = false;
  bool EverSent = false;
  /// It has reached a replica that may have run it.
  bool MayHaveRun = false;
  /// Units are booked for an attempt that has not run.
  bool Booked = false;
  bool DemandTold = false;
  std::set<std::string> Tried;
  /// How long each replica that shed the request rests next time.
  std::map<std::string, Span> NextRest;
  std::string LastEvent;
  std::uint64_t EventsPassed = 0;
  /// Bytes of answers' bodies.
  std::uint64_t Answered = 0;
  std::uint16_t Status = 0;
  std::string_view Result;
  std::string_view WaitReason;
  std::string_view NotedReason;
  Instant WakeAt{};
  Instant WantToldAt{};
  std::optional<Span> FirstByte;
  /// Time from the arrival to the first sending.
  std::optional<Span> FirstSent;
  std::optional<Span> ReplacedFor;
  bool EndedUnbegun = false;
};

} // namespace hemlockglade
