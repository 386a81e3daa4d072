#include "Admission.h"

namespace hemlockglade {

namespace {

constexpr std::int64_t OwnerRetryUs = 1000000;
/// How long past the deadline a refusal by the owner may still arrive.
constexpr Span DeadlineGrace = std::chrono::milliseconds(100);

AdmitReply refusal(std::string reason) {
  AdmitReply reply;
  reply.Reason = std::move(reason);
  reply.RetryAfterUs = OwnerRetryUs;
  return reply;
}

/// The requesting node's side of the stream.
struct OutgoingAdmission {
  std::shared_ptr<PendingAdmissions> Pending;
  std::mutex Mutex;
  Admission::OnReply Reply;
  PendingAdmissions::Ticket Ticket = 0;

  Admission::OnReply takeReply() {
    std::lock_guard lock(Mutex);
    Pending->remove(Ticket);
    return std::exchange(Reply, nullptr);
  }
};

std::string reasonOf(AdmissionFailure failure) {
  return failure == AdmissionFailure::DeadlinePassed ? "deadline-passed"
                                                     : "owner-lost";
}

/// The owner's side of the stream.
struct IncomingAdmission {
  std::mutex Mutex;
  std::shared_ptr<CellRunner> Runner;
  RequestKey Key = 0;
  bool Finished = false;

  void finish(Outcome outcome) {
    std::shared_ptr<CellRunner> runner;
    {
      std::lock_guard lock(Mutex);
      Finished = true;
      runner = std::exchange(Runner, nullptr);
    }
    if (runner)
      runner->finish(Key, outcome);
  }
};

} // namespace

Admission::Admission(FindRunner findRunner, FindOwner findOwner)
    : FindRunnerOf(std::move(findRunner)), FindOwnerOf(std::move(findOwner)) {}

std::shared_ptr<AdmissionTicket> Admission::admit(const AdmitRequest &request,
                                                  OnReply reply) {
  if (auto runner = FindRunnerOf(request.Cell)) {
    auto key = runner->admit(request, std::move(reply));
    return std::make_shared<AdmissionTicket>(
        [runner, key](Outcome outcome) { runner->finish(key, outcome); });
  }
  if (auto owner = FindOwnerOf(request.Cell))
    return requestFromPeer(*owner, request, std::move(reply));
  reply(refusal("no-owner"));
  return std::make_shared<AdmissionTicket>(nullptr);
}

std::shared_ptr<AdmissionTicket>
Admission::requestFromPeer(const NodeRecord &owner, const AdmitRequest &request,
                           OnReply reply) {
  auto outgoing = std::make_shared<OutgoingAdmission>();
  outgoing->Pending = Pending;
  outgoing->Reply = std::move(reply);
  auto deadline =
      TimerService::now() + Span(request.DeadlineUs) + DeadlineGrace;
  outgoing->Ticket = Pending->add(request.Cell, owner.PeerAddress, deadline,
                                  [outgoing](AdmissionFailure failure) {
                                    if (auto call = outgoing->takeReply())
                                      call(refusal(reasonOf(failure)));
                                  });
  PeerHooks hooks;
  hooks.OnMessage = [outgoing](std::string_view message) {
    auto answer = unpack<AdmitReply>(message);
    if (auto call = outgoing->takeReply())
      call(answer ? *answer : refusal("owner-malformed"));
  };
  hooks.OnClosed = [outgoing](bool) {
    if (auto call = outgoing->takeReply())
      call(refusal("owner-lost"));
  };
  auto stream = Net->open(owner.PeerAddress, std::string(peer_path::Admit),
                          pack(request), std::move(hooks));
  return std::make_shared<AdmissionTicket>([stream, outgoing](Outcome outcome) {
    outgoing->takeReply();
    stream->send(pack(FinishNotice{static_cast<std::uint8_t>(outcome)}));
    stream->close();
  });
}

void Admission::tick(Instant now) {
  Pending->tick(now, [this](const std::string &cell) {
    auto owner = FindOwnerOf(cell);
    return owner ? owner->PeerAddress : std::string();
  });
}

void Admission::serve(const std::shared_ptr<PeerStream> &stream) {
  auto incoming = std::make_shared<IncomingAdmission>();
  stream->OnMessage = [this, incoming,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto self = weak.lock();
    if (!self)
      return;
    if (incoming->Runner) {
      auto notice = unpack<FinishNotice>(message);
      return incoming->finish(notice ? static_cast<Outcome>(notice->Result)
                                     : Outcome::Unknown);
    }
    auto request = unpack<AdmitRequest>(message);
    auto runner = request ? FindRunnerOf(request->Cell) : nullptr;
    if (!runner) {
      self->send(pack(refusal(request ? "not-owner" : "malformed")));
      return self->close();
    }
    auto key = runner->admit(*request, [weak](const AdmitReply &reply) {
      if (auto open = weak.lock())
        open->send(pack(reply));
    });
    std::unique_lock lock(incoming->Mutex);
    incoming->Key = key;
    incoming->Runner = runner;
  };
  stream->OnClosed = [incoming](bool) { incoming->finish(Outcome::Unknown); };
}

} // namespace hemlockglade
