#pragma once

#include "Programs/hemlockgladed/Exchange.h"
#include "UnitTests/Node/FakeReply.h"
#include "UnitTests/Node/ScriptedEndpoint.h"

#include <set>

namespace hemlockglade::test {

/// An exchange between a caller in memory and a scripted endpoint, with hooks
/// like those of a node. A test can replace each hook.
struct ExchangeRig : Loopback {
  struct Finish {
    Outcome Result = Outcome::Unknown;
    std::string Reason;
    bool CallerDisconnected = false;
  };

  ScriptedEndpoint Engine{Context};
  HttpClient Client{Context};
  std::shared_ptr<FakeReply> Reply = std::make_shared<FakeReply>();
  RetryPolicy Retries{RetryPolicySettings{}};
  std::shared_ptr<ExchangeHooks> Hooks = std::make_shared<ExchangeHooks>();

  ExchangeRequest Request;
  /// Answers to admission requests, in order; further ones are granted.
  std::deque<AdmitReply> Admissions;
  /// Leaves admission requests unanswered; see AdmitReplies.
  bool HoldAdmissions = false;
  std::vector<AdmitRequest> AdmitRequests;
  std::vector<Admission::OnReply> AdmitReplies;
  std::vector<Outcome> Released;
  /// Registration of a request admitted under a lower epoch is refused.
  Epoch MinEpoch = 0;
  std::set<std::string> Registered;
  std::vector<std::function<void()>> Timers;
  std::vector<ClaimStore::OnAnswer> Claims;
  /// Answer to claims; without one they are kept in Claims.
  std::optional<ClaimAnswer> ClaimResponse;
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
  /// Runs the exchange to its end.
  void run() {
    start();
    REQUIRE(finish());
  }
  bool finish() {
    return until([this] { return !Ends.empty(); });
  }
  /// Runs all timers that are set now.
  void fire() {
    for (auto &call : std::exchange(Timers, {}))
      call();
  }
  /// Whether all slots are released and no request is registered.
  bool allReleased() const {
    return Released.size() == AdmitRequests.size() && Registered.empty();
  }

private:
  void setHooks() {
    Hooks->RequestAdmission = [this](const AdmitRequest &request,
                                     Admission::OnReply reply) {
      AdmitRequests.push_back(request);
      // The callback of an answered request is not kept, as in an owner.
      if (HoldAdmissions)
        AdmitReplies.push_back(reply);
      auto answer = grant();
      if (!Admissions.empty()) {
        answer = Admissions.front();
        Admissions.pop_front();
      }
      if (!HoldAdmissions)
        asio::post(Context, [reply, answer] { reply(answer); });
      return std::make_shared<AdmissionTicket>(
          [this](Outcome outcome) { Released.push_back(outcome); });
    };
    Hooks->Register = [this](const RegisteredRequest &request) {
      return request.Admitted >= MinEpoch &&
             Registered.insert(request.Id).second;
    };
    Hooks->Unregister = [this](const RegisteredRequest &request) {
      Registered.erase(request.Id);
    };
    Hooks->Claim = [this](const ExchangeRequest &, ClaimStore::OnAnswer done) {
      if (ClaimResponse)
        return done(*ClaimResponse);
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
      Ends.push_back({end.Result, end.Reason, end.CallerDisconnected});
    };
  }
};

} // namespace hemlockglade::test
