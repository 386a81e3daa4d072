#include "Admission.h"

namespace hemlockglade {

namespace {

constexpr std::int64_t OwnerRetryUs = 1000000;
/// An owner's own refusal at the deadline may be on its way for this long.
constexpr Span DeadlineGrace = std::chrono::milliseconds(100);

AdmitReply refusal(std::string reason) {
  AdmitReply reply;
  reply.Reason = std::move(reason);
  reply.RetryAfterUs = OwnerRetryUs;
  return reply;
}

/// An asker's side of the stream.
struct Asked {
  std::shared_ptr<PendingAdmissions> Pending;
  std::mutex Mutex;
  Admission::OnReply Reply;
  PendingAdmissions::Ticket Ticket = 0;

  Admission::OnReply take() {
    std::lock_guard lock(Mutex);
    Pending->remove(Ticket);
    return std::exchange(Reply, nullptr);
  }
};

std::string reasonOf(AdmissionFailure failure) {
  return failure == AdmissionFailure::DeadlinePassed ? "deadline-passed"
                                                     : "owner-lost";
}

/// An owner's side of the stream.
struct Served {
  std::mutex Mutex;
  std::shared_ptr<CellRunner> Runner;
  RequestKey Key = 0;
  bool Over = false;

  void finish(Outcome outcome) {
    std::shared_ptr<CellRunner> runner;
    {
      std::lock_guard lock(Mutex);
      Over = true;
      runner = std::exchange(Runner, nullptr);
    }
    if (runner)
      runner->finish(Key, outcome);
  }
};

} // namespace

Admission::Admission(FindRunner findRunner, FindOwner findOwner)
    : Runner(std::move(findRunner)), Owner(std::move(findOwner)) {}

std::shared_ptr<AdmissionTicket> Admission::ask(const AdmitRequest &request,
                                                OnReply reply) {
  if (auto runner = Runner(request.Cell)) {
    auto key = runner->admit(request, std::move(reply));
    return std::make_shared<AdmissionTicket>(
        [runner, key](Outcome outcome) { runner->finish(key, outcome); });
  }
  if (auto owner = Owner(request.Cell))
    return askPeer(*owner, request, std::move(reply));
  reply(refusal("no-owner"));
  return std::make_shared<AdmissionTicket>(nullptr);
}

std::shared_ptr<AdmissionTicket> Admission::askPeer(const NodeRecord &owner,
                                                    const AdmitRequest &request,
                                                    OnReply reply) {
  auto asked = std::make_shared<Asked>();
  asked->Pending = Pending;
  asked->Reply = std::move(reply);
  auto deadline =
      TimerService::now() + Span(request.DeadlineUs) + DeadlineGrace;
  asked->Ticket = Pending->add(request.Cell, owner.PeerAddress, deadline,
                               [asked](AdmissionFailure failure) {
                                 if (auto call = asked->take())
                                   call(refusal(reasonOf(failure)));
                               });
  PeerHooks hooks;
  hooks.OnMessage = [asked](std::string_view message) {
    auto answer = unpack<AdmitReply>(message);
    if (auto call = asked->take())
      call(answer ? *answer : refusal("owner-malformed"));
  };
  hooks.OnClosed = [asked](bool) {
    if (auto call = asked->take())
      call(refusal("owner-lost"));
  };
  auto stream = Net->open(owner.PeerAddress, std::string(peer_path::Admit),
                          pack(request), std::move(hooks));
  return std::make_shared<AdmissionTicket>([stream, asked](Outcome outcome) {
    asked->take();
    stream->send(pack(FinishNotice{static_cast<std::uint8_t>(outcome)}));
    stream->close();
  });
}

void Admission::tick(Instant now) {
  Pending->tick(now, [this](const std::string &cell) {
    auto owner = Owner(cell);
    return owner ? owner->PeerAddress : std::string();
  });
}

void Admission::serve(const std::shared_ptr<PeerStream> &stream) {
  auto served = std::make_shared<Served>();
  stream->OnMessage = [this, served,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto self = weak.lock();
    if (!self)
      return;
    if (served->Runner) {
      auto notice = unpack<FinishNotice>(message);
      return served->finish(notice ? static_cast<Outcome>(notice->Result)
                                   : Outcome::Unknown);
    }
    auto request = unpack<AdmitRequest>(message);
    auto runner = request ? Runner(request->Cell) : nullptr;
    if (!runner) {
      self->send(pack(refusal(request ? "not-owner" : "malformed")));
      return self->close();
    }
    auto key = runner->admit(*request, [weak](const AdmitReply &reply) {
      if (auto open = weak.lock())
        open->send(pack(reply));
    });
    std::unique_lock lock(served->Mutex);
    served->Key = key;
    served->Runner = runner;
  };
  stream->OnClosed = [served](bool) { served->finish(Outcome::Unknown); };
}

} // namespace hemlockglade
