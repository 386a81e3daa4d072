#pragma once

#include "UnitTests/Transport/Loopback.h"

#include <deque>

namespace hemlockglade::test {

/// A caller's answer in memory. It records what was sent, and can simulate a
/// slow caller or one that disconnects.
class FakeReply : public HttpReply {
public:
  int Status = 0;
  HttpFields Fields;
  std::string Body;
  /// Number of answers that were started, whole or as a stream.
  int Starts = 0;
  bool Ended = false;
  bool Aborted = false;
  /// Delays the notice that a part was sent until sendOne(), like a slow
  /// caller.
  bool Slow = false;
  std::size_t Unsent = 0;
  std::size_t MaxUnsent = 0;

  void sendWhole(int status, const HttpFields &fields,
                 std::string body) override {
    startStream(status, fields);
    Body = std::move(body);
    Ended = true;
  }
  void startStream(int status, const HttpFields &fields) override {
    ++Starts;
    Status = status;
    Fields = fields;
  }
  void sendPart(std::string part, std::function<void(bool)> sent) override {
    Body += part;
    if (sent && !Slow)
      return sent(true);
    Unsent += part.size();
    MaxUnsent = std::max(MaxUnsent, Unsent);
    Waiting.emplace_back(part.size(), std::move(sent));
  }
  void finishStream() override { Ended = true; }
  void abort() override { Ended = Aborted = true; }
  void onGone(std::function<void()> handler) override {
    OnDisconnect = std::move(handler);
  }

  /// Reports the next part as sent; returns false if none waits.
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
  /// Simulates that the caller disconnects.
  void disconnect() {
    if (auto handler = std::exchange(OnDisconnect, nullptr))
      handler();
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
  std::function<void()> OnDisconnect;
  std::deque<std::pair<std::size_t, std::function<void(bool)>>> Waiting;
};

} // namespace hemlockglade::test
