#pragma once

#include "Hemlockglade/Coordination/Route/FairQueue.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include "UnitTests/Coordination/VirtualTime.h"

#include <memory>
#include <random>

namespace hemlockglade::test {

/// Simulates entries that send requests to the replicas of a plain service, in
/// virtual time. A replica runs as many requests as it has slots, queues some
/// more and sheds the rest; entries know only their own requests.
class PlainWorld {
public:
  struct Settings {
    /// Entries use a send window for each replica, and requests that find no
    /// room wait.
    bool Windows = true;
    /// Waiting requests are ordered by fair queueing; otherwise the first one
    /// that checks for room is sent.
    bool FairQueueing = true;
    std::size_t Entries = 9;
    std::size_t Replicas = 3;
    std::uint32_t Slots = 6;
    std::uint32_t Queue = 24;
    Span RunTime = std::chrono::milliseconds(60);
    Span Target = std::chrono::milliseconds(300);
    /// Maximum time for which a request is held.
    Span Hold = std::chrono::milliseconds(360);
    std::uint32_t Seed = 1;
  };
  struct Request {
    std::string Workspace;
    Instant At{};
    std::optional<Span> Took;
    std::size_t Entry = 0;
    RouteQuery Query;
    FairQueue::Ticket Ticket = 0;
    bool Refused = false;
  };

  explicit PlainWorld(Settings settings)
      : Options(settings), Random(settings.Seed) {
    ReplicaChanges all;
    all.Complete = true;
    for (std::size_t it = 0; it < Options.Replicas; ++it) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      record.Service = "s";
      record.Slots = Options.Slots;
      record.FailureDomain = "a";
      all.Present.push_back(record);
    }
    Running.resize(Options.Replicas);
    Waiting.resize(Options.Replicas);
    for (std::size_t it = 0; it < Options.Entries; ++it) {
      ReplicaView::Settings view;
      view.FailureDomain = "a";
      view.UseWindows = Options.Windows;
      Views.push_back(std::make_unique<ReplicaView>(view));
      Views.back()->setPlan(Plan);
      Views.back()->setTrafficShare(1.0 / static_cast<double>(Options.Entries));
      Views.back()->onRegistry(all, false, Time.now());
      Queues.push_back(std::make_unique<FairQueue>());
    }
  }

  /// Schedules requests of a workspace at a rate for a span of time.
  void load(const std::string &workspace, double perSecond, Span span) {
    std::exponential_distribution<double> gap(perSecond);
    for (double at = gap(Random); spanOf(at) < span; at += gap(Random))
      Time.after(spanOf(at), [this, workspace] { arrive(workspace); });
  }
  void advance(Span span) { Time.advance(span); }

  /// Shares of requests that were answered within the target latency, and at
  /// all.
  struct Outcome {
    double InTime = 0;
    double Served = 0;
  };
  /// Returns the shares for one workspace, or for all if `workspace` is empty.
  Outcome outcome(const std::string &workspace = "") const {
    double all = 0;
    Outcome out;
    for (const auto &it : Requests) {
      if (!workspace.empty() && it->Workspace != workspace)
        continue;
      ++all;
      out.Served += it->Took ? 1 : 0;
      out.InTime += it->Took && *it->Took <= Options.Target ? 1 : 0;
    }
    out.Served /= all;
    out.InTime /= all;
    return out;
  }
  /// Returns how many times replicas shed a request.
  std::uint64_t shed() const { return Shed; }

  const Settings Options;

private:
  static constexpr Span PollInterval = std::chrono::milliseconds(25);

  void arrive(const std::string &workspace) {
    auto it = std::make_shared<Request>();
    it->Workspace = workspace;
    it->At = Time.now();
    it->Entry = Random() % Options.Entries;
    it->Query.Service = "s";
    it->Query.TargetLatency = Options.Target;
    Requests.push_back(it);
    trySend(it);
  }

  bool mustQueue(const std::shared_ptr<Request> &it) {
    auto &queue = *Queues[it->Entry];
    if (!Options.FairQueueing || !queue.hasWaiting("s"))
      return false;
    join(it);
    return !queue.isNext("s", it->Ticket, Time.now());
  }

  void join(const std::shared_ptr<Request> &it) {
    if (it->Ticket || !Options.FairQueueing)
      return;
    auto onTimeUntil = Views[it->Entry]->onTimeUntil(it->Query, it->At);
    FairQueue::Request request{it->Workspace, 0, onTimeUntil, [this, it] {
                                 Time.after(Span(0), [this, it] {
                                   if (it->Ticket)
                                     trySend(it);
                                 });
                               }};
    it->Ticket = Queues[it->Entry]->join("s", std::move(request));
  }

  void leave(const std::shared_ptr<Request> &it) {
    auto ticket = std::exchange(it->Ticket, 0);
    auto &queue = *Queues[it->Entry];
    if (ticket) {
      queue.onServed("s", ticket);
      queue.wakeNext("s", Time.now());
    }
  }

  void trySend(const std::shared_ptr<Request> &it) {
    if (it->Took || it->Refused)
      return;
    auto now = Time.now();
    auto choice = Views[it->Entry]->choose(it->Query, now);
    if (choice.Result == RouteChoice::Kind::Send && !mustQueue(it))
      return send(it, choice);
    if (now - it->At >= Options.Hold)
      return refuse(it);
    join(it);
    if (Options.FairQueueing && !it->Query.BackoffUntil.empty())
      Queues[it->Entry]->deferUntil("s", it->Ticket, now + PollInterval / 2);
    Time.after(PollInterval, [this, it, ticket = it->Ticket] {
      if (it->Ticket == ticket)
        trySend(it);
    });
  }

  void refuse(const std::shared_ptr<Request> &it) {
    leave(it);
    it->Refused = true;
  }

  void send(const std::shared_ptr<Request> &it, const RouteChoice &choice) {
    leave(it);
    auto now = Time.now();
    auto id = choice.Replica->Incarnation.text();
    auto at = static_cast<std::size_t>(std::stoul(id.substr(2)));
    it->Query.SentAt = now;
    auto attempt = Views[it->Entry]->onSent(id, it->Query, now);
    if (Running[at] < Options.Slots)
      return run(it, at, attempt);
    if (Waiting[at].size() < Options.Queue) {
      Waiting[at].emplace_back(it, attempt);
      return;
    }
    ++Shed;
    end(it, at, attempt, AttemptVerdict::Shed);
    it->Query.BackoffUntil[id] = now + std::chrono::milliseconds(50);
    if (now - it->At >= Options.Hold)
      return refuse(it);
    trySend(it);
  }

  void end(const std::shared_ptr<Request> &it, std::size_t at,
           std::uint64_t attempt, AttemptVerdict verdict) {
    Views[it->Entry]->onEnd("i-" + std::to_string(at), attempt, it->Query,
                            verdict, Time.now());
    if (Options.FairQueueing)
      Queues[it->Entry]->wakeNext("s", Time.now());
  }

  void run(const std::shared_ptr<Request> &it, std::size_t at,
           std::uint64_t attempt) {
    ++Running[at];
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    Time.after(scaled(Options.RunTime, factor(Random)),
               [this, it, at, attempt] {
                 --Running[at];
                 it->Took = Time.now() - it->At;
                 Views[it->Entry]->onAnswered("i-" + std::to_string(at),
                                              attempt, true, Time.now());
                 end(it, at, attempt, AttemptVerdict::Success);
                 if (Waiting[at].empty())
                   return;
                 auto [next, number] = Waiting[at].front();
                 Waiting[at].erase(Waiting[at].begin());
                 run(next, at, number);
               });
  }

  std::mt19937 Random;
  VirtualTime Time;
  std::shared_ptr<const RoutePlan> Plan = std::make_shared<const RoutePlan>(
      1, std::vector<Route>{},
      std::vector{ServiceSpec{"s", "/", 10, std::nullopt}}, CallerLimits{});
  std::vector<std::unique_ptr<ReplicaView>> Views;
  std::vector<std::unique_ptr<FairQueue>> Queues;
  std::vector<std::shared_ptr<Request>> Requests;
  std::vector<std::uint32_t> Running;
  std::vector<std::vector<std::pair<std::shared_ptr<Request>, std::uint64_t>>>
      Waiting;
  std::uint64_t Shed = 0;
};

} // namespace hemlockglade::test
