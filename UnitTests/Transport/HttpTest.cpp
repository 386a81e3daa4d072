#include "Loopback.h"

#include <asio/post.hpp>
#include <thread>

using namespace hemlockglade;

namespace {

using ReplyPtr = std::shared_ptr<HttpReply>;

/// A server and a client on one context; the handler is the test's.
struct HttpPair : Loopback {
  HttpServerSettings Settings;
  HttpHandler Handler;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpClient> Client = std::make_unique<HttpClient>(Context);
  /// Replies that a test keeps; a reply must not outlive its context.
  std::vector<ReplyPtr> Kept;

  ~HttpPair() {
    Kept.clear();
    Client.reset();
    Server.reset();
    // What throws here has failed its test before.
    try {
      Context.restart();
      Context.poll();
    } catch (const std::exception &) {
    }
  }

  void serve(HttpHandler handler) {
    Server =
        std::make_unique<HttpServer>(Context, Settings, std::move(handler));
  }

  HttpRequest request(const std::string &path = "/",
                      const std::string &method = "GET",
                      const std::string &body = "") {
    HttpRequest out;
    out.Method = method;
    out.Url = url(Server->port(), path);
    out.Body = body;
    return out;
  }

  bool ask(HttpRequest request, Answer &answer) {
    Client->start(std::move(request), answer.hooks());
    return until([&] { return answer.Ends > 0; });
  }
};

/// Sends numbered parts, each after the one before went out.
void pump(const ReplyPtr &reply, int next, int last, std::size_t pad) {
  if (next > last)
    return reply->finishStream();
  auto part = std::to_string(next) + std::string(pad, '.') + '\n';
  reply->sendPart(std::move(part), [=](bool ok) {
    if (ok)
      pump(reply, next + 1, last, pad);
  });
}

std::string numbered(int last, std::size_t pad) {
  std::string out;
  for (int it = 1; it <= last; ++it)
    out += std::to_string(it) + std::string(pad, '.') + '\n';
  return out;
}

std::string post(std::size_t length, const std::string &field = "") {
  return "POST / HTTP/1.1\r\nHost: x\r\n" + field +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

TEST_CASE("whole answers pass both ways unchanged", "[http]") {
  HttpPair pair;
  pair.serve([](HttpIncoming in, const ReplyPtr &reply) {
    HttpFields fields{{"X-Method", in.Method},
                      {"X-Target", in.Path + '?' + in.Query},
                      {"X-Empty", in.field("x-empty") ? "there" : "missing"}};
    reply->sendWhole(in.Method == "PUT" ? 404 : 200, fields, in.Body);
  });
  for (std::string method : {"GET", "POST", "PUT", "DELETE", "HEAD", "PATCH"}) {
    for (std::size_t size : {0, 1, 5000, 300000}) {
      CAPTURE(method, size);
      bool bare = method == "GET" || method == "HEAD";
      auto body = bare ? "" : std::string(size, 'b');
      auto request = pair.request("/a/../b/./c?q=%20&r", method, body);
      request.Fields = {{"X-Empty", ""}};
      Answer answer;
      REQUIRE(pair.ask(request, answer));
      REQUIRE(answer.Result.Whole);
      REQUIRE(answer.Result.Status == (method == "PUT" ? 404 : 200));
      REQUIRE(answer.Heads == 1);
      REQUIRE(answer.Body == body);
      HttpIncoming got;
      got.Fields = answer.Fields;
      REQUIRE(got.field("X-Method") == method);
      REQUIRE(got.field("X-Target") == "/a/../b/./c?q=%20&r");
      REQUIRE(got.field("X-Empty") == "there");
    }
  }
}

TEST_CASE("streamed parts arrive in order, whole, as they are sent", "[http]") {
  HttpPair pair;
  auto &held = pair.Kept.emplace_back();
  pair.serve([&](const HttpIncoming &in, const ReplyPtr &reply) {
    reply->startStream(200, {{"X-Kind", "stream"}});
    if (in.Path == "/held")
      held = reply;
    else
      pump(reply, 1, 500, 100);
  });
  Answer answer;
  REQUIRE(pair.ask(pair.request(), answer));
  REQUIRE(answer.Result.Whole);
  REQUIRE(answer.Body == numbered(500, 100));
  // A part is not kept back until the next one comes.
  Answer slow;
  pair.Client->start(pair.request("/held"), slow.hooks());
  REQUIRE(pair.until([&] { return held != nullptr; }));
  held->sendPart("one", nullptr);
  REQUIRE(pair.until([&] { return slow.Body == "one"; }));
  held->finishStream();
  REQUIRE(pair.until([&] { return slow.Ends == 1; }));
  bool told = false;
  held->sendPart("late", [&](bool ok) { told = !ok; });
  REQUIRE(pair.until([&] { return told; }));
}

TEST_CASE("a paused transfer goes on and loses and doubles nothing", "[http]") {
  HttpPair pair;
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    reply->startStream(200, {});
    pump(reply, 1, 300, 2000);
  });
  Answer answer;
  auto hooks = answer.hooks();
  std::string refused;
  int pauses = 0;
  int calls = 0;
  bool paused = false;
  HttpClient::Ticket ticket = 0;
  hooks.OnPart = [&](std::string_view part) {
    REQUIRE_FALSE(paused);
    if (++calls % 3 == 0) {
      refused = part;
      paused = true;
      ++pauses;
      return false;
    }
    // What was refused is given again, whole or from its start.
    auto n = std::min(part.size(), refused.size());
    REQUIRE(part.substr(0, n) == refused.substr(0, n));
    refused.erase(0, n);
    answer.Body.append(part);
    return true;
  };
  ticket = pair.Client->start(pair.request(), hooks);
  while (answer.Ends == 0) {
    REQUIRE(pair.until([&] { return paused || answer.Ends; }));
    paused = false;
    pair.Client->resume(ticket);
  }
  REQUIRE(pauses > 10);
  REQUIRE(answer.Result.Whole);
  REQUIRE(answer.Body == numbered(300, 2000));
}

TEST_CASE("a receiver that does not read holds the sender back", "[http]") {
  int sent = 0;
  HttpPair pair;
  constexpr int Parts = 2000;
  constexpr std::size_t PartBytes = 65536;
  std::function<void(ReplyPtr)> next = [&](const ReplyPtr &reply) {
    if (sent == Parts)
      return reply->finishStream();
    reply->sendPart(std::string(PartBytes, 'x'), [&, reply](bool ok) {
      sent += ok;
      if (ok)
        next(reply);
    });
  };
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    reply->startStream(200, {});
    next(reply);
  });
  Answer answer;
  auto hooks = answer.hooks();
  bool open = false;
  bool paused = false;
  std::size_t bytes = 0;
  hooks.OnPart = [&](std::string_view part) {
    paused = !open;
    bytes += open ? part.size() : 0;
    return open;
  };
  auto ticket = pair.Client->start(pair.request(), hooks);
  REQUIRE(pair.until([&] { return paused; }));
  pair.settle(20);
  REQUIRE(sent < Parts);
  open = true;
  pair.Client->resume(ticket);
  REQUIRE(pair.until([&] { return answer.Ends == 1; }));
  REQUIRE(bytes == Parts * PartBytes);
}

TEST_CASE("a caller who goes away is told once, at any stage", "[http]") {
  for (bool streaming : {false, true}) {
    CAPTURE(streaming);
    int gone = 0;
    HttpPair pair;
    auto &held = pair.Kept.emplace_back();
    pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
      held = reply;
      reply->onGone([&] { ++gone; });
      if (streaming)
        reply->startStream(200, {});
    });
    auto peer = RawPeer::to(pair.Context, pair.Server->port());
    peer->send(post(0));
    REQUIRE(
        pair.until([&] { return held && (!streaming || peer->has("OK")); }));
    peer->shut();
    REQUIRE(pair.until([&] { return gone == 1; }));
    bool told = false;
    held->sendPart("late", [&](bool ok) { told = !ok; });
    REQUIRE(pair.until([&] { return told; }));
    held->finishStream();
    held.reset();
    pair.settle();
    REQUIRE(gone == 1);
  }
}

TEST_CASE("an answer that is broken off is not whole for the caller",
          "[http]") {
  for (std::string how : {"before", "head", "part", "dropped"}) {
    CAPTURE(how);
    HttpPair pair;
    pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
      if (how != "before")
        reply->startStream(200, {});
      if (how == "part" || how == "dropped")
        reply->sendPart("part", nullptr);
      if (how != "dropped")
        reply->abort();
    });
    Answer answer;
    REQUIRE(pair.ask(pair.request(), answer));
    REQUIRE_FALSE(answer.Result.Whole);
    REQUIRE(answer.Result.MayHaveSent);
    REQUIRE(answer.Ends == 1);
  }
  HttpPair pair;
  pair.serve([](const HttpIncoming &, const ReplyPtr &) {});
  Answer unanswered;
  REQUIRE(pair.ask(pair.request(), unanswered));
  REQUIRE(unanswered.Result.Status == 500);
}

TEST_CASE("two requests on one connection keep their own answers and hooks",
          "[http]") {
  std::vector<int> gone(3);
  HttpPair pair;
  auto &held = pair.Kept;
  pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
    auto turn = held.size();
    reply->onGone([&, turn] { ++gone[turn]; });
    held.push_back(std::move(reply));
  });
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  peer->send(post(0) + post(0));
  REQUIRE(pair.until([&] { return held.size() == 2; }));
  held[1]->sendWhole(200, {}, "second");
  pair.settle();
  REQUIRE_FALSE(peer->has("second"));
  held[0]->sendWhole(200, {}, "first");
  REQUIRE(pair.until([&] { return peer->has("second"); }));
  REQUIRE(peer->Text.find("first") < peer->Text.find("second"));
  // A reply that is kept after its end does not touch the next one's hook.
  peer->send(post(0));
  REQUIRE(pair.until([&] { return held.size() == 3; }));
  held[0].reset();
  held[1].reset();
  peer->shut();
  REQUIRE(pair.until([&] { return gone[2] == 1; }));
  REQUIRE(gone[0] + gone[1] == 0);
}

TEST_CASE("one of two running requests may end and the other's hook stays",
          "[http]") {
  std::vector<int> gone(2);
  HttpPair pair;
  auto &held = pair.Kept;
  pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
    auto turn = held.size();
    reply->onGone([&, turn] { ++gone[turn]; });
    held.push_back(std::move(reply));
  });
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  peer->send(post(0) + post(0));
  REQUIRE(pair.until([&] { return held.size() == 2; }));
  held[1]->sendWhole(200, {}, "second");
  peer->shut();
  REQUIRE(pair.until([&] { return gone[0] == 1; }));
  REQUIRE(gone[1] == 0);
}

TEST_CASE("what is over a limit gets a clear refusal and reaches no handler",
          "[http]") {
  int handled = 0;
  HttpPair pair;
  pair.Settings.MaxBodyBytes = 1000;
  pair.Settings.MaxFieldBytes = 200;
  pair.Settings.MaxFields = 10;
  pair.Settings.MaxConnections = 2;
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    ++handled;
    reply->sendWhole(200, {}, "fine");
  });
  std::string fields;
  for (int it = 0; it < 9; ++it)
    fields += "X-" + std::to_string(it) + ": y\r\n";
  struct Case {
    std::string Text;
    std::string Expected;
  };
  std::vector<Case> cases{
      {post(1000) + std::string(1000, 'x'), "HTTP/1.1 200"},
      {post(1001) + std::string(1001, 'x'), "HTTP/1.1 413"},
      {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
       "44c\r\n" +
           std::string(1100, 'x') + "\r\n0\r\n\r\n",
       "HTTP/1.1 413"},
      {post(0, "X-Long: " + std::string(199, 'x') + "\r\n"), "HTTP/1.1 200"},
      {post(0, "X-Long: " + std::string(201, 'x') + "\r\n"), "HTTP/1.1 431"},
      {post(0, fields), "HTTP/1.1 431"}};
  int accepted = 0;
  for (const auto &it : cases) {
    auto peer = RawPeer::to(pair.Context, pair.Server->port());
    peer->send(it.Text);
    REQUIRE(pair.until([&] { return peer->has("\r\n\r\n") || peer->Closed; }));
    CHECK(peer->Text.substr(0, 12) == it.Expected);
    bool fine = it.Expected == "HTTP/1.1 200";
    CHECK(peer->has(fine ? "fine" : "X-Outcome: not-run"));
    accepted += fine;
    peer->shut();
    pair.settle();
  }
  REQUIRE(handled == accepted);
  // Far over a limit the connection is closed without an answer.
  auto far = RawPeer::to(pair.Context, pair.Server->port());
  far->send(post(1000000));
  REQUIRE(pair.until([&] { return far->Closed; }));
  REQUIRE(far->Text.empty());
  auto first = RawPeer::to(pair.Context, pair.Server->port());
  auto second = RawPeer::to(pair.Context, pair.Server->port());
  pair.settle();
  auto third = RawPeer::to(pair.Context, pair.Server->port());
  third->send(post(0));
  REQUIRE(pair.until([&] { return third->has("\r\n\r\n"); }));
  REQUIRE(third->Text.substr(0, 12) == "HTTP/1.1 429");
  REQUIRE(pair.until([&] { return third->Closed; }));
  first->send(post(0));
  REQUIRE(pair.until([&] { return first->has("fine"); }));
}

TEST_CASE("a transfer can be cancelled at any stage, once", "[http]") {
  int gone = 0;
  HttpPair pair;
  auto &held = pair.Kept.emplace_back();
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    held = reply;
    reply->onGone([&] { ++gone; });
    reply->startStream(200, {});
    reply->sendPart("part", nullptr);
  });
  Answer early;
  pair.Client->cancel(pair.Client->start(pair.request(), early.hooks()));
  REQUIRE(pair.until([&] { return early.Ends == 1; }));
  REQUIRE(early.Result.Cancelled);
  REQUIRE_FALSE(early.Result.MayHaveSent);
  Answer late;
  auto ticket = pair.Client->start(pair.request(), late.hooks());
  REQUIRE(pair.until([&] { return late.Body == "part"; }));
  pair.Client->cancel(ticket);
  pair.Client->cancel(ticket);
  pair.Client->resume(ticket);
  REQUIRE(pair.until([&] { return late.Ends == 1 && gone == 1; }));
  pair.settle();
  REQUIRE(late.Ends == 1);
  REQUIRE(late.Result.Cancelled);
  REQUIRE(late.Result.MayHaveSent);
}

TEST_CASE("only a request whose bytes may have left may have been sent",
          "[http]") {
  HttpPair pair;
  Answer refused;
  HttpRequest request;
  request.Url = pair.url(pair.deadPort());
  REQUIRE(pair.ask(request, refused));
  REQUIRE_FALSE(refused.Result.Whole);
  REQUIRE_FALSE(refused.Result.MayHaveSent);
  REQUIRE_FALSE(refused.Result.Error.empty());
  RawServer closer(pair.Context, [](RawPeer &peer) { peer.shut(); });
  request.Url = pair.url(closer.port());
  Answer cut;
  REQUIRE(pair.ask(request, cut));
  REQUIRE_FALSE(cut.Result.Whole);
  REQUIRE(cut.Result.MayHaveSent);
  for (std::string half :
       {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
        "no http at all\r\n\r\n"}) {
    CAPTURE(half);
    RawServer server(pair.Context, [&](RawPeer &peer) {
      peer.send(half);
      peer.OnText = nullptr;
      asio::post(pair.Context,
                 [held = peer.shared_from_this()] { held->shut(); });
    });
    request.Url = pair.url(server.port());
    Answer broken;
    REQUIRE(pair.ask(request, broken));
    REQUIRE_FALSE(broken.Result.Whole);
    REQUIRE(broken.Result.MayHaveSent);
  }
}

TEST_CASE("a request that must not run twice is not sent twice", "[http]") {
  int received = 0;
  HttpPair pair;
  // Answers the first request of a connection, and breaks it at the next.
  RawServer server(pair.Context, [&](RawPeer &peer) {
    if (peer.Closed || !peer.has("\r\n\r\n"))
      return;
    ++received;
    bool first = !peer.has("answered");
    peer.Text = "answered";
    if (!first)
      return peer.shut();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  HttpRequest request;
  request.Method = "POST";
  request.Url = pair.url(server.port());
  Answer first;
  REQUIRE(pair.ask(request, first));
  REQUIRE(first.Result.Whole);
  // A kept connection that breaks under a request: it may have been run, so
  // libcurl must not send it once more by itself.
  Answer again;
  REQUIRE(pair.ask(request, again));
  REQUIRE_FALSE(again.Result.Whole);
  REQUIRE(again.Result.MayHaveSent);
  REQUIRE(received == 2);
  request.FreshConnection = true;
  Answer fresh;
  REQUIRE(pair.ask(request, fresh));
  REQUIRE(fresh.Result.Whole);
  REQUIRE(received == 3);
  RawServer breaker(pair.Context, [&](RawPeer &peer) {
    received += !peer.Closed;
    peer.shut();
  });
  request.Url = pair.url(breaker.port());
  Answer broken;
  REQUIRE(pair.ask(request, broken));
  REQUIRE_FALSE(broken.Result.Whole);
  REQUIRE(received == 4);
}

TEST_CASE("client and server may go while transfers run", "[http]") {
  for (bool clientFirst : {false, true}) {
    std::vector<Answer> answers(20);
    HttpPair pair;
    auto &held = pair.Kept;
    pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
      reply->startStream(200, {});
      reply->sendPart("part", nullptr);
      held.push_back(std::move(reply));
    });
    for (auto &answer : answers)
      pair.Client->start(pair.request(), answer.hooks());
    REQUIRE(pair.until([&] { return answers.back().Body == "part"; }));
    if (clientFirst)
      pair.Client.reset();
    pair.Server.reset();
    pair.Context.restart();
    pair.Context.poll();
    for (auto &reply : held) {
      reply->sendPart("late", nullptr);
      reply->finishStream();
    }
    pair.settle();
    for (auto &answer : answers)
      REQUIRE(answer.Ends <= 1);
  }
}

TEST_CASE("several threads may run the context", "[http]") {
  constexpr std::size_t Count = 200;
  std::vector<Answer> answers(Count);
  HttpPair pair;
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    reply->startStream(200, {});
    pump(reply, 1, 50, 10);
  });
  std::atomic<std::size_t> over{0};
  for (auto &answer : answers) {
    auto hooks = answer.hooks();
    hooks.OnDone = [&, inner = hooks.OnDone](const HttpResult &result) {
      inner(result);
      if (++over == Count)
        pair.Context.stop();
    };
    pair.Client->start(pair.request(), hooks);
  }
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int it = 0; it < 4; ++it)
    threads.emplace_back([&] { pair.Context.run(); });
  for (auto &thread : threads)
    thread.join();
  for (auto &answer : answers) {
    REQUIRE(answer.Result.Whole);
    REQUIRE(answer.Body == numbered(50, 10));
  }
}
