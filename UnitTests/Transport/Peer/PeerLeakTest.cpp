#include "Hemlockglade/Transport/Transport.h"

#include <catch2/catch.hpp>

using namespace hemlockglade;

TEST_CASE("a stream that one side closes ends and is freed on both", "[peer]") {
  asio::io_context context;
  std::weak_ptr<PeerStream> accepted;
  bool acceptedEnded = false;
  PeerNet server(context, "127.0.0.1", 0,
                 [&](const std::shared_ptr<PeerStream> &stream) {
                   accepted = stream;
                   stream->OnClosed = [&](bool) { acceptedEnded = true; };
                 });
  PeerNet client(context, "127.0.0.1", 0, nullptr);
  std::weak_ptr<PeerStream> opened;
  bool openedEnded = false;
  {
    PeerHooks hooks;
    hooks.OnClosed = [&](bool) { openedEnded = true; };
    auto stream = client.open("127.0.0.1:" + std::to_string(server.port()),
                              "/admit", "question", std::move(hooks));
    opened = stream;
    stream->close();
  }
  constexpr int MaxHandlers = 100;
  int n = 0;
  while (!(accepted.expired() && opened.expired() && openedEnded) &&
         n++ < MaxHandlers)
    context.run_one_for(std::chrono::seconds(1));
  CHECK(acceptedEnded);
  CHECK(openedEnded);
  CHECK(accepted.expired());
  CHECK(opened.expired());
}
