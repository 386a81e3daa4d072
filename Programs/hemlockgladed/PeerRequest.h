#pragma once

#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// Sends one request to the node at `address` on a stream of its own. Calls
/// `done` once, with the answer, or with nothing if the stream closed before it
/// or the answer is malformed.
template <typename Answer, typename Request>
void requestPeer(PeerNet &net, const std::string &address,
                 std::string_view path, const Request &request,
                 std::function<void(std::optional<Answer>)> done) {
  auto pending = std::make_shared<std::function<void(std::optional<Answer>)>>(
      std::move(done));
  auto finish = [pending](std::optional<Answer> answer) {
    if (auto call = std::exchange(*pending, nullptr))
      call(std::move(answer));
  };
  PeerHooks hooks;
  hooks.OnMessage = [finish](std::string_view message) {
    auto answer = unpack<Answer>(message);
    finish(answer ? std::optional(std::move(*answer)) : std::nullopt);
  };
  hooks.OnClosed = [finish](bool) { finish(std::nullopt); };
  net.open(address, std::string(path), pack(request), std::move(hooks));
}

/// Serves the one request of a stream. `answer` is called with the request and
/// a function that sends the answer, which it may call later. A malformed
/// request closes the stream.
template <typename Request, typename Answer>
void servePeer(
    const std::shared_ptr<PeerStream> &stream,
    std::function<void(const Request &, std::function<void(const Answer &)>)>
        answer) {
  stream->OnMessage = [weak = std::weak_ptr(stream),
                       answer = std::move(answer)](std::string_view message) {
    auto request = unpack<Request>(message);
    auto open = weak.lock();
    if (!open)
      return;
    if (!request)
      return open->close();
    answer(*request, [weak](const Answer &it) {
      auto still = weak.lock();
      if (!still)
        return;
      still->send(pack(it));
      still->close();
    });
  };
}

} // namespace hemlockglade
