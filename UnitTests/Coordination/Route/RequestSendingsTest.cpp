#include "Hemlockglade/Coordination/Route/RequestSendings.h"

#include <catch2/catch.hpp>
#include <vector>

namespace hemlockglade::test {

namespace {

/// What is true of the sendings, kept apart from what they say.
struct Truth {
  bool IsOpen = false;
  bool IsWritten = false;
  bool IsProved = false;
  bool IsAnswering = false;
  bool EarlierMayHaveRun = false;

  bool mayHaveRun() const {
    return EarlierMayHaveRun || (IsWritten && !IsProved);
  }
};

constexpr int Events = 7;

/// Applies an event to both, and checks that it is taken exactly where it can
/// happen.
void apply(int event, RequestSendings &sendings, Truth &truth) {
  bool canEnd = truth.IsOpen && truth.IsWritten;
  switch (event) {
  case 0:
    REQUIRE(sendings.begin() == !truth.IsOpen);
    if (!truth.IsOpen)
      truth = {true, false, false, false, truth.mayHaveRun()};
    return;
  case 1:
    REQUIRE(sendings.onWritten() == (truth.IsOpen && !truth.IsWritten));
    truth.IsWritten = truth.IsWritten || truth.IsOpen;
    return;
  case 2:
    REQUIRE(sendings.onAnswering() == (canEnd && !truth.IsAnswering));
    truth.IsAnswering = truth.IsAnswering || canEnd;
    return;
  case 3: {
    bool answers = canEnd && truth.IsAnswering;
    REQUIRE(sendings.onAnswered() == answers);
    truth.IsOpen = truth.IsOpen && !answers;
    return;
  }
  case 4:
    REQUIRE(sendings.onBroken() == canEnd);
    truth.IsOpen = truth.IsOpen && !canEnd;
    return;
  case 5: {
    bool proves = canEnd && !truth.IsAnswering;
    REQUIRE(sendings.onNotRun() == proves);
    truth.IsProved = truth.IsProved || proves;
    truth.IsOpen = truth.IsOpen && !proves;
    return;
  }
  default:
    sendings.end();
    truth.IsOpen = false;
  }
}

void walk(const RequestSendings &sendings, const Truth &truth, int depth) {
  if (depth == 0)
    return;
  for (int event = 0; event < Events; ++event) {
    auto nextSendings = sendings;
    auto nextTruth = truth;
    apply(event, nextSendings, nextTruth);
    REQUIRE(nextSendings.mayHaveRun() == nextTruth.mayHaveRun());
    walk(nextSendings, nextTruth, depth - 1);
  }
}

/// A run-once request, its node and a replica that may repeat a refusal late,
/// where the next answer on the connection is expected.
struct RequestModel {
  struct Connection {
    bool RepeatsRefusal = false;
    bool IsExcluded = false;
  };
  enum class Replica : std::uint8_t {
    Runs,
    LosesAnswer,
    IsSilent,
    Refuses,
    RefusesAndRepeats
  };

  /// Whether connections on which the request was refused carry it again.
  bool ReusesRefused = false;
  int Twice = 0;
  int RefusedYetRun = 0;
  int Ends = 0;

  void end(int runs, bool isRefused) {
    ++Ends;
    Twice += runs > 1 ? 1 : 0;
    RefusedYetRun += isRefused && runs > 0 ? 1 : 0;
  }

  /// Explores all sendings that may follow.
  void send(RequestSendings sendings, const std::vector<Connection> &idle,
            int runs, int sendingsLeft) {
    if (sendingsLeft == 0 || sendings.mayHaveRun())
      return end(runs, !sendings.mayHaveRun());
    sendings.begin();
    // A new connection may fail, or be given up, before anything is written.
    auto withdrawn = sendings;
    withdrawn.end();
    send(withdrawn, idle, runs, sendingsLeft - 1);
    write(sendings, idle, {}, runs, sendingsLeft);
    for (std::size_t it = 0; it < idle.size(); ++it) {
      if (idle[it].IsExcluded && !ReusesRefused)
        continue;
      auto others = idle;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(it));
      write(sendings, others, idle[it], runs, sendingsLeft);
    }
  }

  void write(RequestSendings sendings, const std::vector<Connection> &idle,
             Connection used, int runs, int sendingsLeft) {
    sendings.onWritten();
    for (auto does : {Replica::Runs, Replica::LosesAnswer, Replica::IsSilent,
                      Replica::Refuses, Replica::RefusesAndRepeats}) {
      auto next = sendings;
      bool refuses =
          does == Replica::Refuses || does == Replica::RefusesAndRepeats;
      int nowRun = runs + (refuses ? 0 : 1);
      // The repeat is the first answer on its connection, which then holds
      // bytes that nobody asked for and is closed.
      if (used.RepeatsRefusal) {
        next.onNotRun();
        send(next, idle, nowRun, sendingsLeft - 1);
        continue;
      }
      if (refuses) {
        next.onNotRun();
        auto all = idle;
        all.push_back({does == Replica::RefusesAndRepeats, true});
        end(nowRun, !next.mayHaveRun());
        send(next, all, nowRun, sendingsLeft - 1);
        continue;
      }
      if (does == Replica::Runs) {
        next.onAnswering();
        next.onAnswered();
      } else if (does == Replica::LosesAnswer) {
        next.onBroken();
      } else {
        next.end();
      }
      send(next, idle, nowRun, sendingsLeft - 1);
    }
  }
};

} // namespace

TEST_CASE("a request may have run exactly if a written sending is not proved "
          "unrun, after any events",
          "[sendings]") {
  constexpr int Depth = 7;
  walk({}, {}, Depth);
}

TEST_CASE("no order of refusals, repeats, lost answers and failed connections "
          "makes a request run twice, or run though refused",
          "[sendings]") {
  constexpr int MaxSendings = 6;
  RequestModel model;
  model.send({}, {}, 0, MaxSendings);
  CHECK(model.Ends > 1000);
  CHECK(model.Twice == 0);
  CHECK(model.RefusedYetRun == 0);
  RequestModel without;
  without.ReusesRefused = true;
  without.send({}, {}, 0, MaxSendings);
  CHECK(without.Twice > 0);
  CHECK(without.RefusedYetRun > 0);
}

} // namespace hemlockglade::test
