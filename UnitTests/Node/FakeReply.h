#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <deque>

namespace hemlockglade::test {

/// A caller's answer in memory. It tells what was sent, and can be slow or go
/// away.
class FakeReply : public HttpReply {
public:
  int Status = 0;
  HttpFields Fields;
  std::string Body;
  /// Answers that were begun, whole or as a stream.
  int Begun = 0;
  bool Ended = false;
  bool Aborted = false;
  /// Keeps back the word that parts went out, as a slow caller does.
  bool Slow = false;
  std::size_t Unsent = 0;
  std::size_t MostUnsent = 0;

  void sendWhole(int status, const HttpFields &fields,
                 std::string body) override {
    startStream(status, fields);
    Body = std::move(body);
    Ended = true;
  }
  void startStream(int status, const HttpFields &fields) override {
    ++Begun;
    Status = status;
    Fields = fields;
  }
  void sendPart(std::string part, std::function<void(bool)> sent) override {
    Body += part;
    if (sent && !Slow)
      return sent(true);
    Unsent += part.size();
    MostUnsent = std::max(MostUnsent, Unsent);
    Waiting.emplace_back(part.size(), std::move(sent));
  }
  void finishStream() override { Ended = true; }
  void abort() override { Ended = Aborted = true; }
  void onGone(std::function<void()> gone) override { Gone = std::move(gone); }

  /// One more part has gone out; false if none waits.
  bool sendOne() {
    if (Waiting.empty())
      return false;
    auto [n, sent] = std::move(Waiting.front());
    Waiting.pop_front();
    Unsent -= n;
    if (sent)
      sent(true);
    return true;
  }
  void leave() {
    if (auto gone = std::exchange(Gone, nullptr))
      gone();
  }
  std::string field(std::string_view name) const {
    for (const auto &[key, value] : Fields) {
      if (key == name)
        return value;
    }
    return "";
  }
  std::string outcome() const { return field(header::Outcome); }

private:
  std::function<void()> Gone;
  std::deque<std::pair<std::size_t, std::function<void(bool)>>> Waiting;
};

} // namespace hemlockglade::test
