#pragma once

#include "Hemlockglade/Coordination/Route/RepeatBudget.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"
#include "Hemlockglade/Protocol/Endpoint/EventSplitter.h"
#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Http1/CallerConnection.h"
#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include <asio/steady_timer.hpp>

namespace hemlockglade {

class GatewayExchange;

/// What exchanges share: the parts of the node that they use.
struct ExchangeContext {
  asio::io_context &Context;
  ReplicaView &View;
  RepeatBudget &Budget;
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
      OnPressed;
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
};

/// Bounds of one exchange that are not the route's.
struct ExchangeSettings {
  /// Share of the time that a caller has for which a request is held before
  /// it has been sent anywhere; then it is refused with a time to come back.
  double HoldShare = 0.45;
  /// Callers of a stream leave when nothing comes for the longest of these: a
  /// time, and multiples of the target latency and of the longest pause.
  Span LeastPatience = std::chrono::seconds(2);
  double PatienceInTargets = 4;
  double PatienceInGaps = 8;
  /// Share of that patience for which a stream's request is held.
  double PatienceShare = 0.65;
  /// A request that has waited this long for an engine's turn asks for another
  /// copy of its weights.
  Span PressedAfter = std::chrono::milliseconds(600);
  /// Time between two reminders that weights are waited for.
  Span WantEvery = std::chrono::milliseconds(200);
  /// Time between looks while a request waits, when nothing wakes it.
  Span WaitStep = std::chrono::milliseconds(25);
  /// Share of a route's target latency after which a request that has not been
  /// sent is taken to be late: an engine needs some 200 ms to read a prompt and
  /// begin.
  double TimelyShare = 0.75;
  /// How long a plain replica that turned a request away is left alone by it: a
  /// full queue moves on by some places in the time that one run takes, 30 to
  /// 60 ms on the users' plain services.
  /// Twice as long after each further time: where a whole service is full,
  /// asking again helps nobody.
  Span ShedRest = std::chrono::milliseconds(50);
  /// Time in which something has to come from a replica that has started anew
  /// since a request was sent to it: it may have been sent to the new start
  /// already. Plain answers take 30 to 60 ms, pauses of streams are shorter.
  Span OrphanPatience = std::chrono::milliseconds(400);
  /// Time that has to be left for an attempt to be worth it.
  Span LeastAttempt = std::chrono::milliseconds(20);
  /// A kept connection that rested longer is not used for what must not run
  /// twice: if it broke just now the request's fate would be unknown.
  Span UnsafeIdle = std::chrono::milliseconds(2000);
  /// A repeatable request is sent elsewhere when its replica takes this many
  /// times the usual time, and at least the least.
  double SlowFactor = 6;
  Span LeastSlow = std::chrono::milliseconds(300);
  /// A stream that may resume is carried on elsewhere after a pause of this
  /// many times the route's longest pause.
  double StallFactor = 4;
  Span LeastStall = std::chrono::milliseconds(1200);
  /// Bytes of a plain answer that are held until it is complete.
  std::size_t MaxAnswer = std::size_t{8} * 1024 * 1024;
  /// Bytes that may wait for a slow caller before its replica is not read.
  std::size_t MaxQueued = std::size_t{256} * 1024;
};

/// One request of a caller, from its arrival to its answer: finds a replica,
/// passes request and answer on, tries again where that is allowed.
class GatewayExchange : public std::enable_shared_from_this<GatewayExchange> {
public:
  GatewayExchange(ExchangeContext &shared, const ExchangeSettings &settings,
                  std::shared_ptr<const RoutePlan> plan, const Route &route,
                  CallerRequest request, RequestLabels labels,
                  std::shared_ptr<CallerReply> reply);
  ~GatewayExchange();

  void start();
  /// Something that it may wait for has changed.
  void wake();
  /// A replica has started anew. An attempt there is over, unless it already
  /// runs at the new start and something comes soon.
  void onRestarted(const ReplicaLife &before);
  /// Shortens how long it may be held before it is sent anywhere.
  void holdAtMost(Span span);
  /// Ends it without a complete answer, at the end of a stop.
  void cut();

  bool waiting() const { return Waiting; }
  /// Whether it waits for weights or replicas, rather than for a turn.
  bool waitsForChange() const { return Waiting && !Paced; }
  const Route &route() const { return Way; }
  const std::string &service() const { return Query.Service; }
  std::uint16_t status() const { return Status; }
  std::string_view outcome() const { return Result; }
  Instant arrivedAt() const { return Request.ArrivedAt; }
  std::optional<Span> firstByte() const { return FirstByte; }
  /// How long it was held before it was first sent, or until its end.
  Span heldFor() const;

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
    bool FirstEvent = false;
    /// When the attempt is taken to be stuck, unless something comes before;
    /// never if the attempt may not be repeated and its replica lives.
    Instant StuckAt = Instant::max();
    /// If it has not begun by then it must not, as its weights were replaced.
    std::optional<Instant> BeginsBy;
    /// Its replica has started anew since it was sent.
    bool Orphaned = false;
  };

  void next();
  void hold(const RouteChoice &choice);
  void send(const RouteChoice &choice);
  void tellPressed(Instant now);
  void noteHold(const RouteChoice &choice, Instant now);
  bool onHead(const HttpAnswerHead &head);
  void onBody(std::string_view part);
  void onDone();
  void onFailed(HttpFailure how);
  void onNotRun();
  void onUnknown(std::string_view why);
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
  const ExchangeSettings &Setup;
  std::shared_ptr<const RoutePlan> Plan;
  const Route &Way;
  CallerRequest Request;
  RequestLabels Labels;
  LabelFields Fields;
  std::shared_ptr<CallerReply> Reply;
  RouteQuery Query;
  Instant EndsAt{};
  Instant HoldUntil{};
  /// Longest hold of a stream's request, before its first event and between
  /// two; 0 for others.
  Span HoldFor{0};
  asio::steady_timer Timer;
  asio::steady_timer AttemptTimer;
  std::unique_ptr<Attempt> Now;
  bool Waiting = false;
  bool Paced = false;
  bool Done = false;
  bool AnswerBegun = false;
  bool EverSent = false;
  /// It has reached a replica that may have run it.
  bool MayHaveRun = false;
  bool DemandTold = false;
  std::set<std::string> Tried;
  /// How long each replica that shed the request rests next time.
  std::map<std::string, Span> NextRest;
  std::string LastEvent;
  std::uint64_t EventsPassed = 0;
  std::uint16_t Status = 0;
  std::string_view Result;
  std::string_view WaitReason;
  std::string_view NotedReason;
  Instant WakeAt{};
  Instant WantToldAt{};
  std::optional<Span> FirstByte;
  /// Time from the arrival to the first sending.
  std::optional<Span> FirstSent;
};

} // namespace hemlockglade
