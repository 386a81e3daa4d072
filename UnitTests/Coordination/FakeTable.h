#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "UnitTests/Coordination/VirtualTime.h"

#include <random>
#include <set>

namespace hemlockglade::test {

/// Probabilities of the table's faults, each from 0 to 1, and its delays.
struct TableFaults {
  /// The request is not sent.
  double NotSent = 0;
  /// The change takes effect and its answer is lost.
  double LoseAnswer = 0;
  /// The change does not take effect and no answer comes.
  double LoseRequest = 0;
  /// No answer comes, and the change takes effect up to MaxLate later.
  double Late = 0;
  Span MaxLate = std::chrono::seconds(3);
  /// Maximum delay of a request, and of its answer.
  Span MaxDelay = std::chrono::milliseconds(5);
  /// Added to the delay of each request, and of each answer.
  Span RequestDelay{0};
  Span AnswerDelay{0};
};

/// A table in memory, on virtual time, that delays and reorders requests, fails
/// and loses answers.
class FakeTable {
public:
  FakeTable(VirtualTime &time, std::uint64_t seed) : Time(time), Random(seed) {}

  TableFaults Faults;
  /// Whether commits compare versions; a test can disable that.
  bool Compares = true;
  /// While true, no change takes effect and every request fails.
  bool Down = false;
  /// The era of the table, and that of the answer that is being delivered.
  std::uint64_t Era = 0;
  std::uint64_t AnsweredEra = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t RowsRead = 0;
  /// Called after each commit that took effect.
  std::function<void(const TableTransaction &)> OnCommitted;

  std::map<std::string, TableRow> Rows;

  TableHooks hooks() {
    TableHooks hooks;
    hooks.Get = [this](std::string key,
                       TableCallback<std::optional<TableRow>> done) {
      ++Reads;
      request<std::optional<TableRow>>(std::move(done), [this, key] {
        ++RowsRead;
        auto it = Rows.find(key);
        return it == Rows.end() ? std::nullopt : std::optional(it->second);
      });
    };
    hooks.Scan = [this](std::string prefix,
                        TableCallback<std::vector<TableRow>> done) {
      ++Reads;
      request<std::vector<TableRow>>(std::move(done), [this, prefix] {
        std::vector<TableRow> rows;
        for (auto it = Rows.lower_bound(prefix);
             it != Rows.end() && it->first.starts_with(prefix); ++it)
          rows.push_back(it->second);
        RowsRead += rows.size();
        return rows;
      });
    };
    hooks.Commit = [this](TableTransaction transaction,
                          TableCallback<std::uint64_t> done) {
      ++Writes;
      request<std::uint64_t>(
          [done = std::move(done)](
              tl::expected<std::uint64_t, TableError> result) {
            if (result && !*result)
              return done(tl::unexpected(TableError::Conflict));
            done(std::move(result));
          },
          [this, transaction] {
            if (!apply(transaction))
              return std::uint64_t{0};
            auto it = Rows.find(transaction.Writes.front().Key);
            return it == Rows.end() ? 1 : it->second.Version;
          });
    };
    return hooks;
  }

  /// Applies a transaction at once. Returns false if it conflicts.
  bool apply(const TableTransaction &transaction) {
    if (AppliedAttempts.contains(transaction.AttemptId))
      return true;
    for (const auto &write : transaction.Writes) {
      auto it = Rows.find(write.Key);
      auto version = it == Rows.end() ? 0 : it->second.Version;
      if (Compares && version != write.ExpectedVersion)
        return false;
    }
    for (const auto &write : transaction.Writes) {
      if (write.Value)
        Rows[write.Key] = {write.Key, write.ExpectedVersion + 1, *write.Value};
      else
        Rows.erase(write.Key);
    }
    AppliedAttempts.insert(transaction.AttemptId);
    if (OnCommitted)
      OnCommitted(transaction);
    return true;
  }

private:
  bool chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < p;
  }

  Span delay() { return delay(Faults.MaxDelay); }

  Span delay(Span maxDelay) {
    auto max = std::max<std::int64_t>(maxDelay.count(), 1);
    return Span(std::uniform_int_distribution<std::int64_t>(1, max)(Random));
  }

  template <typename T>
  void request(TableCallback<T> done, std::function<T()> work) {
    bool notSent = chance(Faults.NotSent);
    bool loseRequest = chance(Faults.LoseRequest);
    bool loseAnswer = chance(Faults.LoseAnswer);
    if (chance(Faults.Late)) {
      Time.after(delay(Faults.MaxLate), [this, work] {
        if (!Down)
          work();
      });
      loseRequest = true;
      notSent = false;
    }
    auto answerDelay = Faults.AnswerDelay;
    Time.after(
        delay() + Faults.RequestDelay,
        [this, answerDelay, notSent, loseRequest, loseAnswer, done, work] {
          if (notSent)
            return done(tl::unexpected(TableError::NotSent));
          if (loseRequest || Down)
            return done(tl::unexpected(TableError::Ambiguous));
          T result = work();
          Time.after(delay() + answerDelay,
                     [this, era = Era, loseAnswer, done, result] {
                       if (loseAnswer)
                         return done(tl::unexpected(TableError::Ambiguous));
                       AnsweredEra = era;
                       done(result);
                     });
        });
  }

  VirtualTime &Time;
  std::mt19937_64 Random;
  std::set<std::string> AppliedAttempts;
};

} // namespace hemlockglade::test
