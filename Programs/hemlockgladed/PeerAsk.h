#pragma once

#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// Asks the node at an address one question and gives its one answer, or
/// nothing if none came.
template <typename Answer, typename Question>
void askPeer(PeerNet &net, const std::string &address, std::string_view path,
             const Question &question,
             std::function<void(std::optional<Answer>)> done) {
  auto waiting = std::make_shared<std::function<void(std::optional<Answer>)>>(
      std::move(done));
  auto finish = [waiting](std::optional<Answer> answer) {
    if (auto call = std::exchange(*waiting, nullptr))
      call(std::move(answer));
  };
  PeerHooks hooks;
  hooks.OnMessage = [finish](std::string_view message) {
    auto answer = unpack<Answer>(message);
    finish(answer ? std::optional(std::move(*answer)) : std::nullopt);
  };
  hooks.OnClosed = [finish](bool) { finish(std::nullopt); };
  net.open(address, std::string(path), pack(question), std::move(hooks));
}

/// Answers the one question of a stream; `answer` gets the question and a
/// function that sends the answer, now or later.
template <typename Question, typename Answer>
void answerPeer(
    const std::shared_ptr<PeerStream> &stream,
    std::function<void(const Question &, std::function<void(const Answer &)>)>
        answer) {
  stream->OnMessage = [weak = std::weak_ptr(stream),
                       answer = std::move(answer)](std::string_view message) {
    auto question = unpack<Question>(message);
    auto open = weak.lock();
    if (!open)
      return;
    if (!question)
      return open->close();
    answer(*question, [weak](const Answer &it) {
      auto still = weak.lock();
      if (!still)
        return;
      still->send(pack(it));
      still->close();
    });
  };
}

} // namespace hemlockglade
