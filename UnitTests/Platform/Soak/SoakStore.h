#pragma once

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

#include <deque>
#include <list>
#include <map>
#include <random>

namespace hemlockglade::soak {

/// A stand-in for the platform's store: rows in tables, changed together, with
/// a feed of changes. It can be told to misbehave.
class SoakStore {
public:
  enum class Mood : std::uint8_t {
    Well,
    /// Takes calls and never answers, also not those that wait already, and
    /// also not when it is well again.
    Silent,
    /// Answers 503, nothing done.
    Busy,
    /// Does every second change and breaks the connection instead of answering.
    LosesAnswers,
    /// Answers after `Delay`.
    Slow,
  };

  SoakStore(asio::io_context &context, std::uint64_t seed);

  std::uint16_t port() const { return Server.port(); }
  void setMood(Mood mood);
  Mood mood() const { return Now; }
  /// Forgets changes before now: feeds from before are told so.
  void dropHistory();

  /// Comes back as it was so long ago, or as far back as is kept. What
  /// operators have written since is written again soon.
  void stepBack(Span age);
  /// Ids of a table's rows.
  std::vector<std::string> keys(std::string_view table) const;

  /// Writes of operators and replicas, which reach the store in any mood.
  void put(std::string_view table, std::string_view key, std::string value);
  void remove(std::string_view table, std::string_view key);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  struct Waiter {
    std::string Table;
    std::uint64_t After = 0;
    std::shared_ptr<CallerReply> Reply;
  };
  using Table = std::map<std::string, Row>;

  struct Copy {
    Instant At{};
    std::map<std::string, Table> Tables;
    std::uint64_t Version = 0;
    std::uint64_t Oldest = 0;
  };

  CallerHooks hooks();
  void keepCopy();
  HttpAnswerHead head(std::uint16_t status) const;
  void serve(const CallerRequest &request,
             const std::shared_ptr<CallerReply> &reply);
  void answer(const CallerRequest &request,
              const std::shared_ptr<CallerReply> &reply);
  void read(const CallerRequest &request, CallerReply &reply);
  void feed(const CallerRequest &request,
            const std::shared_ptr<CallerReply> &reply);
  void change(const CallerRequest &request, CallerReply &reply, bool loses);
  std::string changesSince(const std::string &table, std::uint64_t after,
                           bool &any) const;
  void wake();

  static constexpr Span Delay = std::chrono::milliseconds(300);

  asio::io_context &Context;
  TimerService Timers;
  std::mt19937_64 Random;
  Mood Now = Mood::Well;
  std::map<std::string, Table> Tables;
  std::uint64_t Version = 1;
  std::uint64_t Oldest = 0;
  /// Rises each time that it comes back older than it was.
  std::uint64_t Era = 1;
  std::deque<Copy> Copies;
  TimerService::Subscription Copying;
  std::list<Waiter> Waiters;
  std::vector<std::shared_ptr<CallerReply>> Unanswered;
  CallerServer Server;
};

} // namespace hemlockglade::soak
