#include "Hemlockglade/Transport/Http1/HttpCaller.h"

namespace hemlockglade {

namespace {

/// One call on its way.
struct Running {
  explicit Running(asio::io_context &context) : Timer(context) {}

  void end(tl::expected<HttpAnswer, HttpFailure> result) {
    Timer.cancel();
    if (auto done = std::exchange(Done, nullptr))
      done(std::move(result));
  }

  asio::steady_timer Timer;
  std::shared_ptr<HttpConnection> Connection;
  HttpAnswer Answer;
  HttpCaller::Done Done;
};

std::string headOf(const HttpCall &call) {
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
  auto running = std::make_shared<Running>(Context);
  running->Done = std::move(done);
  running->Connection = Pool.take(call.Address);
  running->Timer.expires_after(call.Timeout);
  running->Timer.async_wait([this, running](asio::error_code ec) {
    if (ec || !running->Done)
      return;
    running->Connection->abort();
    // What rested beside a connection that fell silent has mostly fallen silent
    // with it; each such one would cost the next call its whole time-out.
    Pool.drop(running->Connection->address());
    running->end(tl::unexpected(HttpFailure::Broken));
  });
  HttpCallHooks hooks;
  hooks.OnHead = [running](const HttpAnswerHead &head) {
    running->Answer.Head = head;
    return true;
  };
  hooks.OnBody = [running, most = call.MaxAnswer](std::string_view part) {
    running->Answer.Body.append(part);
    if (running->Answer.Body.size() <= most)
      return;
    running->Connection->abort();
    running->end(tl::unexpected(HttpFailure::Broken));
  };
  hooks.OnDone = [this, running] {
    if (!running->Done)
      return;
    Pool.give(running->Connection);
    running->end(std::move(running->Answer));
  };
  hooks.OnFailed = [running](HttpFailure how) {
    running->end(tl::unexpected(how));
  };
  auto head = headOf(call);
  running->Connection->call(head, call.Body, call.Method == "HEAD",
                            std::move(hooks));
}

} // namespace hemlockglade
