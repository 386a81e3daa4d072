#pragma once

#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "UnitTests/Transport/Http1/RawPeer.h"

namespace hemlockglade::test {

/// A server of callers' connections, and a caller that is connected.
struct ServerFixture : Loopback {
  explicit ServerFixture(std::size_t maxConnections = 10,
                         std::shared_ptr<HeldMemory> memory = nullptr)
      : Memory(std::move(memory)), Peer(Context) {
    CallerHooks hooks;
    hooks.Bounds = [this] { return Bounds; };
    hooks.Closing = [this] { return Closing; };
    hooks.OnRefused = [this](std::uint16_t status, std::string_view) {
      Refused = status;
    };
    hooks.OnRequest = [this](CallerRequest request, auto reply) {
      Requests.push_back(std::move(request));
      Replies.push_back(std::move(reply));
      if (AnswersAtOnce)
        Replies.back()->respond({503, {}}, "");
    };
    hooks.Memory = Memory;
    Server = std::make_unique<CallerServer>(Context, localhost(0),
                                            maxConnections, std::move(hooks));
    Peer.connect(Server->port());
  }

  bool untilRequests(std::size_t n) {
    return until([this, n] { return Requests.size() == n; });
  }
  bool untilGot(const std::string &text) {
    return until(
        [this, &text] { return Peer.Got.find(text) != std::string::npos; });
  }

  /// Returns another caller that is connected.
  std::unique_ptr<RawPeer> connect() {
    auto out = std::make_unique<RawPeer>(Context);
    out->connect(Server->port());
    settle(1);
    return out;
  }

  std::shared_ptr<HeldMemory> Memory;
  CallerBounds Bounds;
  bool Closing = false;
  bool AnswersAtOnce = false;
  std::uint16_t Refused = 0;
  std::vector<CallerRequest> Requests;
  std::vector<std::shared_ptr<CallerReply>> Replies;
  std::unique_ptr<CallerServer> Server;
  RawPeer Peer;
};

} // namespace hemlockglade::test
