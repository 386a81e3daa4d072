#include "Hemlockglade/Transport/Http1/HttpCaller.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// State of one call from its start to its result.
struct PendingCall {
  explicit PendingCall(asio::io_context &context) : Timer(context) {}

  void finish(tl::expected<HttpAnswer, HttpFailure> result) {
    Timer.cancel();
    if (auto done = std::exchange(Done, nullptr))
      done(std::move(result));
  }

  asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  HttpAnswer Answer;
  HttpCaller::Done Done;
};

std::string writeRequestHead(const HttpCall &call) {
  HttpRequestHead head{call.Method, call.Target, call.Fields};
  auto host = call.Address.address().to_string() + ":" +
              std::to_string(call.Address.port());
  head.Fields.insert(head.Fields.begin(), {"Host", host});
  if (!call.Body.empty() || call.Method != "GET")
    head.Fields.push_back({"Content-Length", std::to_string(call.Body.size())});
  return writeHead(head);
}

} // namespace

void HttpCaller::call(const HttpCall &call, Done done) {
  auto pending = std::make_shared<PendingCall>(Context);
  pending->Done = std::move(done);
  pending->Connection =
      call.OwnConnection ? Pool.open(call.Address) : Pool.take(call.Address);
  pending->Timer.expires_after(call.Timeout);
  pending->Timer.async_wait([this, pending](asio::error_code ec) {
    if (ec || !pending->Done)
      return;
    pending->Connection->abort();
    // If a connection stops responding, idle ones to the same address have
    // mostly stopped too; each of them would cost a later call its whole
    // timeout.
    Pool.drop(pending->Connection->address());
    pending->finish(tl::unexpected(HttpFailure::Broken));
  });
  HttpCallHooks hooks;
  hooks.OnConnected = [pending, mayWrite = call.MayWrite,
                       writeBy = TimerService::now() + call.Timeout] {
    if (TimerService::now() < writeBy && (!mayWrite || mayWrite()))
      return;
    pending->Connection->abort();
    pending->finish(tl::unexpected(HttpFailure::NotConnected));
  };
  hooks.OnHead = [pending](const HttpAnswerHead &head) {
    pending->Answer.Head = head;
    return true;
  };
  hooks.OnBody = [pending,
                  maxBytes = call.MaxAnswerBytes](std::string_view part) {
    pending->Answer.Body.append(part);
    pending->Connection->holdBody(pending->Answer.Body.size());
    if (pending->Answer.Body.size() <= maxBytes)
      return;
    pending->Connection->countEndless(EndlessKind::Body);
    pending->Connection->abort();
    pending->finish(tl::unexpected(HttpFailure::Endless));
  };
  hooks.OnDone = [this, pending, isOwn = call.OwnConnection] {
    if (!pending->Done)
      return;
    if (isOwn)
      pending->Connection->abort();
    else
      Pool.give(pending->Connection);
    pending->finish(std::move(pending->Answer));
  };
  hooks.OnFailed = [pending](HttpFailure how) {
    pending->finish(tl::unexpected(how));
  };
  auto head = writeRequestHead(call);
  pending->Connection->call(head, call.Body, call.Method == "HEAD",
                            std::move(hooks));
}

} // namespace hemlockglade
