#pragma once

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

#include <deque>
#include <list>
#include <map>
#include <random>

namespace hemlockglade::soak {

/// A stand-in for the platform's store: tables of rows, changed in
/// transactions, with polls for changes. It can be set to misbehave.
class SoakStore {
public:
  enum class Mode : std::uint8_t {
    Healthy,
    /// Accepts calls and never answers them, not even after this mode ends. The
    /// same holds for polls that wait when it begins.
    Silent,
    /// Answers 503 and does nothing.
    Busy,
    /// Applies all changes, but aborts the connection instead of answering for
    /// half of them, chosen at random.
    LosesAnswers,
    /// Answers after `SlowDelay`.
    Slow,
  };

  SoakStore(asio::io_context &context, std::uint64_t seed);

  std::uint16_t port() const { return Server.port(); }
  void setMode(Mode mode);
  Mode mode() const { return CurrentMode; }
  /// Drops the log of earlier changes. Polls that continue from an earlier
  /// version are answered with 410.
  void truncateChangeLog();

  /// Reverts to its state of `age` ago, or to the oldest snapshot, under a new
  /// era. What operators have written since is written again after a short
  /// delay.
  void revertBy(Span age);
  /// Returns the keys of a table's rows.
  std::vector<std::string> keys(std::string_view table) const;

  /// Writes of operators and replicas, which reach the store in any mode.
  void put(std::string_view table, std::string_view key, std::string value);
  void remove(std::string_view table, std::string_view key);

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };
  struct WaitingPoll {
    std::string Table;
    std::uint64_t After = 0;
    std::shared_ptr<CallerReply> Reply;
  };
  using Table = std::map<std::string, Row>;

  struct Snapshot {
    Instant At{};
    std::map<std::string, Table> Tables;
    std::uint64_t Version = 0;
    std::uint64_t OldestVersion = 0;
  };

  CallerHooks hooks();
  void takeSnapshot();
  HttpAnswerHead head(std::uint16_t status) const;
  void serve(const CallerRequest &request,
             const std::shared_ptr<CallerReply> &reply);
  void answer(const CallerRequest &request,
              const std::shared_ptr<CallerReply> &reply);
  void read(const CallerRequest &request, CallerReply &reply);
  void poll(const CallerRequest &request,
            const std::shared_ptr<CallerReply> &reply);
  void change(const CallerRequest &request, CallerReply &reply,
              bool losesAnswer);
  std::string changesSince(const std::string &table, std::uint64_t after,
                           bool &hasChanges) const;
  void answerPolls();

  static constexpr Span SlowDelay = std::chrono::milliseconds(300);

  asio::io_context &Context;
  TimerService Timers;
  std::mt19937_64 Random;
  Mode CurrentMode = Mode::Healthy;
  std::map<std::string, Table> Tables;
  std::uint64_t Version = 1;
  std::uint64_t OldestVersion = 0;
  /// Incremented each time that the store reverts to an older state.
  std::uint64_t Era = 1;
  std::deque<Snapshot> Snapshots;
  TimerService::Subscription SnapshotTimer;
  std::list<WaitingPoll> WaitingPolls;
  std::vector<std::shared_ptr<CallerReply>> Unanswered;
  CallerServer Server;
};

} // namespace hemlockglade::soak
