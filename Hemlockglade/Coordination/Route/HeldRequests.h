#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace hemlockglade {

/// Orders the requests that an entry holds for engines, with one queue for each
/// service and weights, and estimates how long each has to wait.
///
/// Requests that can still be in time precede late ones, then more urgent ranks
/// precede others; among equals, workspaces take turns measured in tokens.
/// Among late ones, those with a short target latency lose their value fastest
/// and go first. A share of the sends goes to the oldest requests whatever
/// their rank, so that none is starved. Deterministic: time is passed in, and
/// it does no I/O.
class HeldRequests {
public:
  using Ticket = std::uint64_t;

  struct Settings {
    /// Share of its hold time after which a request precedes newer ones of its
    /// rank, and may be sent as one of the oldest.
    double OldShare = 0.5;
    /// One of this many sends of a queue goes to the request that arrived
    /// first, if it is old.
    std::uint32_t SendsPerOldest = 8;
    /// Requests that may be deferred at once because they found no room: a
    /// small prompt may fit where a large one does not.
    std::uint32_t MaxPassed = 4;
    /// How long others precede a request that can't use the present capacity.
    Span Deferral = std::chrono::milliseconds(12);
    /// Prompts count as at most this large, since callers state their length.
    std::uint32_t MaxTokens = 131'072;
    /// Half-life of the measured rate.
    Span RateHalfLife = std::chrono::milliseconds(2000);
    /// Sends from the queue, decayed with that half-life, below which the rate
    /// is unknown.
    double MinSends = 8;
    /// A request is hopeless if its expected wait exceeds the rest of its hold
    /// time by this factor and this margin: the rate of so few sends is off by
    /// a third.
    double HopelessFactor = 1.5;
    Span HopelessMargin = std::chrono::milliseconds(100);
    /// Interval at which the number of copies is renewed for the rate.
    Span CopiesInterval = std::chrono::milliseconds(200);
    /// A Retry-After is prolonged by up to this share, at random.
    double RetrySpread = 0.5;
    /// Limit of a Retry-After before it is prolonged.
    Span MaxRetryAfter = std::chrono::seconds(5);
    /// Time without a request after which a queue's rate is forgotten.
    Span IdleTime = std::chrono::seconds(10);
    /// Differs between nodes.
    std::uint64_t Seed = 0;
    /// Returns when each copy of the weights can be used, with those that are
    /// being loaded. Without it nothing is estimated.
    std::function<std::vector<Instant>(const std::string &service,
                                       const WeightsRef &weights, Instant now)>
        Copies;
  };

  struct Request {
    std::string Service;
    WeightsRef Weights;
    std::string Workspace;
    /// 0 is the most urgent.
    std::uint32_t Rank = 0;
    std::uint32_t Tokens = 0;
    Span TargetLatency{0};
    Instant ArrivedAt{};
    /// From then on the request can't be in time any more.
    Instant OnTimeUntil{};
    /// The request is refused if it is still held then.
    Instant HoldUntil{};
    /// Called when the request is next: it should try to find an engine.
    std::function<void()> Wake;
  };

  /// Why a request that was next could not be sent.
  struct Obstacle {
    /// It must not use some replicas, which others may use.
    bool IsOwn = false;
    /// No engine had room, which a smaller request may find.
    bool IsFull = false;
    /// When it should be tried again.
    Instant RetryAt{};
  };

  /// Why a request can't be sent before its hold time ends.
  struct Hopeless {
    std::uint64_t AheadTokens = 0;
    /// Rate of the copies that are ready.
    double TokensPerSecond = 0;
    Span Expected{0};
    Span RetryAfter{0};
  };

  explicit HeldRequests(Settings settings)
      : Options(std::move(settings)), Random(Options.Seed) {}

  Ticket join(Request request, Instant now);
  /// Removes a request that is sent to an engine.
  void onSent(Ticket ticket, Instant now);
  /// Removes a request that no longer waits.
  void leave(Ticket ticket, Instant now);

  /// Returns whether requests wait for the weights.
  bool hasWaiting(const std::string &service, const WeightsRef &weights) const;
  /// Returns whether no request that can be sent precedes it.
  bool isNext(Ticket ticket, Instant now);
  /// Returns whether it is next as the oldest one, ahead of more urgent ones.
  bool isOldestTurn(Ticket ticket, Instant now);
  /// Called when a request that was next found no engine, and wakes the request
  /// that may be tried in its place.
  void onObstacle(Ticket ticket, const Obstacle &obstacle, Instant now);
  /// Called when a request for the weights has ended, so that there may be
  /// room.
  void onRoom(const std::string &service, const WeightsRef &weights,
              Instant now);
  /// Wakes the request that is next for the weights, unless it has been tried
  /// and is to be tried again later.
  void wakeNext(const std::string &service, const WeightsRef &weights,
                Instant now);

  /// Returns why the request can't be sent before its hold time ends; nothing
  /// if it may be, or if that is not known. Meant for requests that have just
  /// joined and for late ones.
  std::optional<Hopeless> hopeless(Ticket ticket, Instant now);

  /// Removes queues without a recent request.
  void removeExpired(Instant now);
  /// Number of requests in all queues.
  std::size_t size() const { return Requests.size(); }

private:
  using QueueKey = std::pair<std::string, WeightsRef>;
  /// Whether late, target latency of late ones, rank.
  using ClassKey = std::tuple<bool, Span, std::uint32_t>;

  /// Requests of one workspace within a class.
  struct Lane {
    /// Whether not old, arrival, ticket.
    std::set<std::tuple<bool, Instant, Ticket>> Requests;
    std::uint64_t Tokens = 0;
    /// Tokens sent, in the class's virtual time.
    double Used = 0;
  };
  /// Requests of equal precedence.
  struct Class {
    std::map<std::string, Lane> Lanes;
    /// The lanes with requests by what they have used.
    std::set<std::pair<double, std::string>> Turns;
    std::uint64_t Tokens = 0;
    /// `Used` of the last lane that had its turn, before it.
    double VirtualTime = 0;
  };
  struct Queue {
    /// Only classes with requests; without those that are deferred.
    std::map<ClassKey, Class> Classes;
    /// Old requests that are not deferred, by arrival.
    std::set<std::pair<Instant, Ticket>> Old;
    /// When a request turns late or old, or its deferral ends.
    std::set<std::pair<Instant, Ticket>> Changes;
    std::size_t Waiting = 0;
    std::uint32_t SendsSinceOldest = 0;
    /// Requests that were deferred because there was no room.
    std::vector<Ticket> Passed;
    /// The request that was tried last, and when it is to be tried again.
    Ticket TriedTicket = 0;
    Instant TryAgainAt{};

    /// Decayed sums while requests wait: sends, their tokens, and the time for
    /// which copies were ready, in seconds.
    double Sends = 0;
    double SentTokens = 0;
    double CopySeconds = 0;
    /// Tokens of requests that were told when to return.
    double Promised = 0;
    std::vector<Instant> Copies;
    Instant CopiesAt = LongAgo;
    Instant MeasuredAt{};
  };
  struct Waiting {
    Request Details;
    Queue *In = nullptr;
    ClassKey Class;
    bool IsOld = false;
    bool IsPlaced = false;
    Instant DeferredUntil{};
    Instant ChangesAt = Instant::max();
  };

  Instant oldFrom(const Request &request) const;
  void place(Ticket ticket, Waiting &it, Instant now);
  void unplace(Ticket ticket, Waiting &it);
  /// Applies what has changed with time.
  void refresh(Queue &queue, Instant now);
  /// Advances the measured rate.
  void measure(Queue &queue, const QueueKey &key, Instant now);
  bool isOldestTurn(const Queue &queue) const;
  /// Returns the request that is next; 0 if all are deferred.
  Ticket next(Queue &queue, Instant now);
  void wakeNext(Queue &queue, Instant now);
  void defer(Ticket ticket, Waiting &it, Instant now);
  void remove(Ticket ticket, Waiting &it);
  double tokensAhead(Ticket ticket, const Waiting &it) const;
  /// Returns what is sent before the request gets its turn as the oldest one;
  /// not more than about `enough` is counted.
  double tokensAheadAsOldest(const Waiting &it, double enough) const;
  /// Returns when the request will be sent at the earliest.
  Instant earliestSend(Ticket ticket, const Waiting &it, Instant now) const;
  /// Returns when that many tokens will have been sent.
  Instant sentBy(const Queue &queue, double tokens, Instant now) const;
  std::uint32_t countedTokens(const Request &request) const;

  Settings Options;
  std::mt19937_64 Random;
  Ticket LastTicket = 0;
  std::map<QueueKey, Queue> Queues;
  std::unordered_map<Ticket, Waiting> Requests;
};

} // namespace hemlockglade
