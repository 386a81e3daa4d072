#pragma once

#include "Hemlockglade/Coordination/Route/FairQueue.h"
#include "Hemlockglade/Coordination/Route/ReplicaView.h"

#include "UnitTests/Coordination/VirtualTime.h"

#include <memory>
#include <random>

namespace hemlockglade::test {

/// Entries that send requests to the replicas of a plain service, in virtual
/// time. A replica runs as many as it has slots, queues some more, and sheds
/// the rest; entries know only what they sent themselves.
class PlainWorld {
public:
  struct Settings {
    /// Entries keep a window at each replica, and what finds no room waits.
    bool Windows = true;
    /// Those that wait go by fair queueing; else the first that looks goes.
    bool Turns = true;
    std::size_t Entries = 9;
    std::size_t Replicas = 3;
    std::uint32_t Slots = 6;
    std::uint32_t Queue = 24;
    Span Work = std::chrono::milliseconds(60);
    Span Target = std::chrono::milliseconds(300);
    /// Longest time that a request is held.
    Span Hold = std::chrono::milliseconds(360);
    std::uint32_t Seed = 1;
  };
  struct Request {
    std::string Workspace;
    Instant At{};
    std::optional<Span> Took;
    std::size_t Entry = 0;
    RouteQuery Query;
    FairQueue::Ticket Turn = 0;
    bool Refused = false;
  };

  explicit PlainWorld(Settings settings)
      : Setup(settings), Random(settings.Seed) {
    ReplicaChanges all;
    all.Complete = true;
    for (std::size_t it = 0; it < Setup.Replicas; ++it) {
      ReplicaRecord record;
      record.Incarnation = ReplicaIncarnation("i-" + std::to_string(it));
      record.Service = "s";
      record.Slots = Setup.Slots;
      record.FailureDomain = "a";
      all.Present.push_back(record);
    }
    Running.resize(Setup.Replicas);
    Waiting.resize(Setup.Replicas);
    for (std::size_t it = 0; it < Setup.Entries; ++it) {
      ReplicaView::Settings view;
      view.FailureDomain = "a";
      view.UseWindows = Setup.Windows;
      Views.push_back(std::make_unique<ReplicaView>(view));
      Views.back()->setPlan(Plan);
      Views.back()->setTrafficShare(1.0 / static_cast<double>(Setup.Entries));
      Views.back()->onRegistry(all, false, Time.now());
      Lines.push_back(std::make_unique<FairQueue>());
    }
  }

  /// So many requests a second of a workspace come for a while.
  void load(const std::string &workspace, double perSecond, Span span) {
    std::exponential_distribution<double> gap(perSecond);
    for (double at = gap(Random); spanOf(at) < span; at += gap(Random))
      Time.after(spanOf(at), [this, workspace] { ask(workspace); });
  }
  void advance(Span span) { Time.advance(span); }

  /// Shares of a workspace's requests, or of all, that were answered in time,
  /// and at all; how many times replicas shed one.
  struct Outcome {
    double InTime = 0;
    double Served = 0;
  };
  Outcome outcome(const std::string &workspace = "") const {
    double all = 0;
    Outcome out;
    for (const auto &it : Requests) {
      if (!workspace.empty() && it->Workspace != workspace)
        continue;
      ++all;
      out.Served += it->Took ? 1 : 0;
      out.InTime += it->Took && *it->Took <= Setup.Target ? 1 : 0;
    }
    out.Served /= all;
    out.InTime /= all;
    return out;
  }
  std::uint64_t shed() const { return Shed; }

  const Settings Setup;

private:
  static constexpr Span Step = std::chrono::milliseconds(25);

  void ask(const std::string &workspace) {
    auto it = std::make_shared<Request>();
    it->Workspace = workspace;
    it->At = Time.now();
    it->Entry = Random() % Setup.Entries;
    it->Query.Service = "s";
    it->Query.TargetLatency = Setup.Target;
    Requests.push_back(it);
    look(it);
  }

  bool goesLater(const std::shared_ptr<Request> &it) {
    auto &line = *Lines[it->Entry];
    if (!Setup.Turns || !line.hasWaiting("s"))
      return false;
    join(it);
    return !line.isNext("s", it->Turn, Time.now());
  }

  void join(const std::shared_ptr<Request> &it) {
    if (it->Turn || !Setup.Turns)
      return;
    auto timelyUntil = Views[it->Entry]->onTimeUntil(it->Query, it->At);
    FairQueue::Request request{it->Workspace, 0, timelyUntil, [this, it] {
                                 Time.after(Span(0), [this, it] {
                                   if (it->Turn)
                                     look(it);
                                 });
                               }};
    it->Turn = Lines[it->Entry]->join("s", std::move(request));
  }

  void leave(const std::shared_ptr<Request> &it) {
    auto turn = std::exchange(it->Turn, 0);
    auto &line = *Lines[it->Entry];
    if (turn) {
      line.onServed("s", turn);
      line.wakeNext("s", Time.now());
    }
  }

  void look(const std::shared_ptr<Request> &it) {
    if (it->Took || it->Refused)
      return;
    auto now = Time.now();
    auto choice = Views[it->Entry]->choose(it->Query, now);
    if (choice.Result == RouteChoice::Kind::Send && !goesLater(it))
      return send(it, choice);
    if (now - it->At >= Setup.Hold)
      return refuse(it);
    join(it);
    if (Setup.Turns && !it->Query.BackoffUntil.empty())
      Lines[it->Entry]->deferUntil("s", it->Turn, now + Step / 2);
    Time.after(Step, [this, it, turn = it->Turn] {
      if (it->Turn == turn)
        look(it);
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
    if (Running[at] < Setup.Slots)
      return run(it, at, attempt);
    if (Waiting[at].size() < Setup.Queue) {
      Waiting[at].emplace_back(it, attempt);
      return;
    }
    ++Shed;
    end(it, at, attempt, AttemptVerdict::Shed);
    it->Query.BackoffUntil[id] = now + std::chrono::milliseconds(50);
    if (now - it->At >= Setup.Hold)
      return refuse(it);
    look(it);
  }

  void end(const std::shared_ptr<Request> &it, std::size_t at,
           std::uint64_t attempt, AttemptVerdict verdict) {
    Views[it->Entry]->onEnd("i-" + std::to_string(at), attempt, it->Query,
                            verdict, Time.now());
    if (Setup.Turns)
      Lines[it->Entry]->wakeNext("s", Time.now());
  }

  void run(const std::shared_ptr<Request> &it, std::size_t at,
           std::uint64_t attempt) {
    ++Running[at];
    std::uniform_real_distribution<double> any(0.5, 1.5);
    Time.after(scaled(Setup.Work, any(Random)), [this, it, at, attempt] {
      --Running[at];
      it->Took = Time.now() - it->At;
      Views[it->Entry]->onAnswered("i-" + std::to_string(at), attempt,
                                   Time.now());
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
  std::vector<std::unique_ptr<FairQueue>> Lines;
  std::vector<std::shared_ptr<Request>> Requests;
  std::vector<std::uint32_t> Running;
  std::vector<std::vector<std::pair<std::shared_ptr<Request>, std::uint64_t>>>
      Waiting;
  std::uint64_t Shed = 0;
};

} // namespace hemlockglade::test
