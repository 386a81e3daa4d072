#include "Loopback.h"

#include <asio/post.hpp>
#include <thread>

using namespace hemlockglade;

namespace {

using ReplyPtr = std::shared_ptr<HttpReply>;

/// A server and a client on one context; the test provides the handler.
struct HttpPair : Loopback {
  HttpServerSettings Settings;
  HttpHandler Handler;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<HttpClient> Client = std::make_unique<HttpClient>(Context);
  /// Replies that a test keeps. A reply must not outlive its context.
  std::vector<ReplyPtr> KeptReplies;

  ~HttpPair() {
    KeptReplies.clear();
    Client.reset();
    Server.reset();
    // An exception here means that the test has failed before.
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

  bool exchange(HttpRequest request, Answer &answer) {
    Client->start(std::move(request), answer.hooks());
    return until([&] { return answer.Ends > 0; });
  }
};

/// Sends numbered parts, each after the one before was written.
void sendParts(const ReplyPtr &reply, int next, int last, std::size_t pad) {
  if (next > last)
    return reply->finishStream();
  auto part = std::to_string(next) + std::string(pad, '.') + '\n';
  reply->sendPart(std::move(part), [=](bool ok) {
    if (ok)
      sendParts(reply, next + 1, last, pad);
  });
}

std::string numberedParts(int last, std::size_t pad) {
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

TEST_CASE("requests and whole answers arrive unchanged", "[http]") {
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
      REQUIRE(pair.exchange(request, answer));
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

TEST_CASE("streamed parts arrive completely, in order and without delay",
          "[http]") {
  HttpPair pair;
  auto &kept = pair.KeptReplies.emplace_back();
  pair.serve([&](const HttpIncoming &in, const ReplyPtr &reply) {
    reply->startStream(200, {{"X-Kind", "stream"}});
    if (in.Path == "/held")
      kept = reply;
    else
      sendParts(reply, 1, 500, 100);
  });
  Answer answer;
  REQUIRE(pair.exchange(pair.request(), answer));
  REQUIRE(answer.Result.Whole);
  REQUIRE(answer.Body == numberedParts(500, 100));
  // A part is not held back until the next one is sent.
  Answer slow;
  pair.Client->start(pair.request("/held"), slow.hooks());
  REQUIRE(pair.until([&] { return kept != nullptr; }));
  kept->sendPart("one", nullptr);
  REQUIRE(pair.until([&] { return slow.Body == "one"; }));
  kept->finishStream();
  REQUIRE(pair.until([&] { return slow.Ends == 1; }));
  bool reported = false;
  kept->sendPart("late", [&](bool ok) { reported = !ok; });
  REQUIRE(pair.until([&] { return reported; }));
}

TEST_CASE("a resumed transfer neither loses nor duplicates bytes", "[http]") {
  HttpPair pair;
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    reply->startStream(200, {});
    sendParts(reply, 1, 300, 2000);
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
    // The refused part is passed again, completely or its beginning.
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
  REQUIRE(answer.Body == numberedParts(300, 2000));
}

TEST_CASE("a receiver that does not read slows the sender down", "[http]") {
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

TEST_CASE("a disconnect of the caller is reported once, at any stage",
          "[http]") {
  for (bool streaming : {false, true}) {
    CAPTURE(streaming);
    int disconnects = 0;
    HttpPair pair;
    auto &kept = pair.KeptReplies.emplace_back();
    pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
      kept = reply;
      reply->onGone([&] { ++disconnects; });
      if (streaming)
        reply->startStream(200, {});
    });
    auto peer = RawPeer::to(pair.Context, pair.Server->port());
    peer->send(post(0));
    REQUIRE(
        pair.until([&] { return kept && (!streaming || peer->has("OK")); }));
    peer->shut();
    REQUIRE(pair.until([&] { return disconnects == 1; }));
    bool reported = false;
    kept->sendPart("late", [&](bool ok) { reported = !ok; });
    REQUIRE(pair.until([&] { return reported; }));
    kept->finishStream();
    kept.reset();
    pair.settle();
    REQUIRE(disconnects == 1);
  }
}

TEST_CASE("an aborted answer is incomplete for the caller", "[http]") {
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
    REQUIRE(pair.exchange(pair.request(), answer));
    REQUIRE_FALSE(answer.Result.Whole);
    REQUIRE(answer.Result.MayHaveSent);
    REQUIRE(answer.Ends == 1);
  }
  HttpPair pair;
  pair.serve([](const HttpIncoming &, const ReplyPtr &) {});
  Answer unanswered;
  REQUIRE(pair.exchange(pair.request(), unanswered));
  REQUIRE(unanswered.Result.Status == 500);
}

TEST_CASE("two requests on one connection have separate answers and hooks",
          "[http]") {
  std::vector<int> disconnects(3);
  HttpPair pair;
  auto &kept = pair.KeptReplies;
  pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
    auto index = kept.size();
    reply->onGone([&, index] { ++disconnects[index]; });
    kept.push_back(std::move(reply));
  });
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  peer->send(post(0) + post(0));
  REQUIRE(pair.until([&] { return kept.size() == 2; }));
  kept[1]->sendWhole(200, {}, "second");
  pair.settle();
  REQUIRE_FALSE(peer->has("second"));
  kept[0]->sendWhole(200, {}, "first");
  REQUIRE(pair.until([&] { return peer->has("second"); }));
  REQUIRE(peer->Text.find("first") < peer->Text.find("second"));
  // A reply that is kept after its end does not affect the hook of the next
  // one.
  peer->send(post(0));
  REQUIRE(pair.until([&] { return kept.size() == 3; }));
  kept[0].reset();
  kept[1].reset();
  peer->shut();
  REQUIRE(pair.until([&] { return disconnects[2] == 1; }));
  REQUIRE(disconnects[0] + disconnects[1] == 0);
}

TEST_CASE("the hook of a running request stays when another one ends",
          "[http]") {
  std::vector<int> disconnects(2);
  HttpPair pair;
  auto &kept = pair.KeptReplies;
  pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
    auto index = kept.size();
    reply->onGone([&, index] { ++disconnects[index]; });
    kept.push_back(std::move(reply));
  });
  auto peer = RawPeer::to(pair.Context, pair.Server->port());
  peer->send(post(0) + post(0));
  REQUIRE(pair.until([&] { return kept.size() == 2; }));
  kept[1]->sendWhole(200, {}, "second");
  peer->shut();
  REQUIRE(pair.until([&] { return disconnects[0] == 1; }));
  REQUIRE(disconnects[1] == 0);
}

TEST_CASE("a request over a limit is refused and reaches no handler",
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
    bool isAccepted = it.Expected == "HTTP/1.1 200";
    CHECK(peer->has(isAccepted ? "fine" : "X-Outcome: not-run"));
    accepted += isAccepted;
    peer->shut();
    pair.settle();
  }
  REQUIRE(handled == accepted);
  // Far over a limit the connection is closed without an answer.
  auto oversized = RawPeer::to(pair.Context, pair.Server->port());
  oversized->send(post(1000000));
  REQUIRE(pair.until([&] { return oversized->Closed; }));
  REQUIRE(oversized->Text.empty());
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
  int disconnects = 0;
  HttpPair pair;
  auto &kept = pair.KeptReplies.emplace_back();
  pair.serve([&](const HttpIncoming &, const ReplyPtr &reply) {
    kept = reply;
    reply->onGone([&] { ++disconnects; });
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
  REQUIRE(pair.until([&] { return late.Ends == 1 && disconnects == 1; }));
  pair.settle();
  REQUIRE(late.Ends == 1);
  REQUIRE(late.Result.Cancelled);
  REQUIRE(late.Result.MayHaveSent);
}

TEST_CASE("MayHaveSent is false only if no byte of the request was sent",
          "[http]") {
  HttpPair pair;
  Answer refused;
  HttpRequest request;
  request.Url = pair.url(pair.deadPort());
  REQUIRE(pair.exchange(request, refused));
  REQUIRE_FALSE(refused.Result.Whole);
  REQUIRE_FALSE(refused.Result.MayHaveSent);
  REQUIRE_FALSE(refused.Result.Error.empty());
  RawServer closer(pair.Context, [](RawPeer &peer) { peer.shut(); });
  request.Url = pair.url(closer.port());
  Answer cut;
  REQUIRE(pair.exchange(request, cut));
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
                 [kept = peer.shared_from_this()] { kept->shut(); });
    });
    request.Url = pair.url(server.port());
    Answer broken;
    REQUIRE(pair.exchange(request, broken));
    REQUIRE_FALSE(broken.Result.Whole);
    REQUIRE(broken.Result.MayHaveSent);
  }
}

TEST_CASE("a request that must not run twice is not sent twice", "[http]") {
  int received = 0;
  HttpPair pair;
  // Answers the first request of a connection and breaks it at the next one.
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
  REQUIRE(pair.exchange(request, first));
  REQUIRE(first.Result.Whole);
  // A reused connection breaks after the request was sent. The request may have
  // been run, so libcurl must not retry it.
  Answer again;
  REQUIRE(pair.exchange(request, again));
  REQUIRE_FALSE(again.Result.Whole);
  REQUIRE(again.Result.MayHaveSent);
  REQUIRE(received == 2);
  request.FreshConnection = true;
  Answer fresh;
  REQUIRE(pair.exchange(request, fresh));
  REQUIRE(fresh.Result.Whole);
  REQUIRE(received == 3);
  RawServer breaker(pair.Context, [&](RawPeer &peer) {
    received += !peer.Closed;
    peer.shut();
  });
  request.Url = pair.url(breaker.port());
  Answer broken;
  REQUIRE(pair.exchange(request, broken));
  REQUIRE_FALSE(broken.Result.Whole);
  REQUIRE(received == 4);
}

TEST_CASE("client and server can be destroyed while transfers run", "[http]") {
  for (bool clientFirst : {false, true}) {
    std::vector<Answer> answers(20);
    HttpPair pair;
    auto &kept = pair.KeptReplies;
    pair.serve([&](const HttpIncoming &, ReplyPtr reply) {
      reply->startStream(200, {});
      reply->sendPart("part", nullptr);
      kept.push_back(std::move(reply));
    });
    for (auto &answer : answers)
      pair.Client->start(pair.request(), answer.hooks());
    REQUIRE(pair.until([&] { return answers.back().Body == "part"; }));
    if (clientFirst)
      pair.Client.reset();
    pair.Server.reset();
    pair.Context.restart();
    pair.Context.poll();
    for (auto &reply : kept) {
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
    sendParts(reply, 1, 50, 10);
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
    REQUIRE(answer.Body == numberedParts(50, 10));
  }
}
