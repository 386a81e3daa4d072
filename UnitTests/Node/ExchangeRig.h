#pragma once

#include "Programs/hemlockgladed/Exchange.h"
#include "UnitTests/Node/FakeReply.h"
#include "UnitTests/Node/ScriptedEndpoint.h"

#include <set>

namespace hemlockglade::test {

/// An exchange between a caller in memory and a scripted endpoint, with the
/// hooks that a node would give it. Each hook can be replaced by a test.
struct ExchangeRig : Loopback {
  struct Finish {
    Outcome Ended = Outcome::Unknown;
    std::string Reason;
    bool Gone = false;
  };

  ScriptedEndpoint Engine{Context};
  HttpClient Client{Context};
  std::shared_ptr<FakeReply> Reply = std::make_shared<FakeReply>();
  RetryPolicy Retries{RetryPolicySettings{}};
  std::shared_ptr<ExchangeHooks> Hooks = std::make_shared<ExchangeHooks>();

  ExchangeRequest Request;
  /// Answers to askings, in order; further ones are granted.
  std::deque<AdmitReply> Admissions;
  /// Keeps askings unanswered.
  bool HoldAdmissions = false;
  std::vector<AdmitRequest> Asked;
  std::vector<Admission::OnReply> AskReplies;
  std::vector<Outcome> GivenBack;
  /// Epoch below which the register refuses.
  Epoch Promised = 0;
  std::set<std::string> Register;
  std::vector<std::function<void()>> Timers;
  std::vector<ClaimStore::OnAnswer> Claims;
  std::optional<ClaimAnswer> ClaimGiven;
  std::vector<Outcome> Recorded;
  std::vector<Finish> Ends;

  ExchangeRig() {
    Request.Id = "r1";
    Request.Admit.Id = "r1";
    Request.Admit.Cell = "assistant/0";
    Request.Admit.Adapter = "oath@1";
    Request.Deadline = TimerService::now() + std::chrono::seconds(60);
    Request.Method = "POST";
    Request.PathAndQuery = "/v1/completions";
    Request.Body = "{}";
    setHooks();
  }
  ~ExchangeRig() { settle(); }

  AdmitReply grant(Epoch fence = 3) const {
    AdmitReply reply;
    reply.Granted = true;
    reply.Replica = "engine-1";
    reply.Address = Engine.address();
    reply.Fence = fence;
    return reply;
  }
  static AdmitReply refusal(const std::string &reason) {
    AdmitReply reply;
    reply.Reason = reason;
    reply.RetryAfterUs = 1500000;
    return reply;
  }

  void start() {
    std::make_shared<Exchange>(Request, Reply, Client, Hooks)->start();
  }
  /// Runs it to its end.
  void run() {
    start();
    REQUIRE(finish());
  }
  bool finish() {
    return until([this] { return !Ends.empty(); });
  }
  /// Lets all timers that are set now come due.
  void fire() {
    for (auto &call : std::exchange(Timers, {}))
      call();
  }
  /// Nothing is held any more: slots, register.
  bool allGivenBack() const {
    return GivenBack.size() == Asked.size() && Register.empty();
  }

private:
  void setHooks() {
    Hooks->Ask = [this](const AdmitRequest &request, Admission::OnReply reply) {
      Asked.push_back(request);
      // An answer that was given is not kept, as an owner keeps none.
      if (HoldAdmissions)
        AskReplies.push_back(reply);
      auto answer = grant();
      if (!Admissions.empty()) {
        answer = Admissions.front();
        Admissions.pop_front();
      }
      if (!HoldAdmissions)
        asio::post(Context, [reply, answer] { reply(answer); });
      return std::make_shared<AdmissionTicket>(
          [this](Outcome outcome) { GivenBack.push_back(outcome); });
    };
    Hooks->Register = [this](const RegisteredRequest &request) {
      return request.Admitted >= Promised && Register.insert(request.Id).second;
    };
    Hooks->Unregister = [this](const RegisteredRequest &request) {
      Register.erase(request.Id);
    };
    Hooks->Claim = [this](const ExchangeRequest &, ClaimStore::OnAnswer done) {
      if (ClaimGiven)
        return done(*ClaimGiven);
      Claims.push_back(std::move(done));
    };
    Hooks->RecordOutcome = [this](const ClaimTicket &, Outcome outcome) {
      Recorded.push_back(outcome);
    };
    Hooks->MayRetry = [this](const FailedAttempt &attempt) {
      return Retries.decide(attempt, TimerService::now());
    };
    Hooks->After = [this](Span, std::function<void()> call) {
      Timers.push_back(std::move(call));
    };
    Hooks->OnEnd = [this](const ExchangeEnd &end) {
      Ends.push_back({end.Ended, end.Reason, end.Gone});
    };
  }
};

} // namespace hemlockglade::test
