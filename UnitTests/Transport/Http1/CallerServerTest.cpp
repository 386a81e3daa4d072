#include "UnitTests/Transport/Http1/ServerFixture.h"

#include <thread>

namespace hemlockglade::test {

namespace {

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

} // namespace

TEST_CASE("a request whose end arrives as its timeout passes gets one answer",
          "[callers][late-answer]") {
  ServerFixture it;
  it.Bounds.RequestTimeout = std::chrono::milliseconds(60);
  it.AnswersAtOnce = true;
  it.Peer.send(Get.substr(0, Get.size() / 2));
  it.settle();
  // As when the process gets no processor time: both are there when it goes on.
  std::this_thread::sleep_for(std::chrono::milliseconds(90));
  it.Peer.send(Get.substr(Get.size() / 2));
  it.until([&it] { return it.Refused != 0 || it.Requests.size() == 1; });
  it.settle();
  it.settle();
  CHECK((it.Refused == 0 || it.Requests.empty()));
}

TEST_CASE("requests on one connection are answered in order", "[callers]") {
  ServerFixture it;
  it.Peer.send(Get + "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: "
                     "2\r\n\r\nhi");
  REQUIRE(it.untilRequests(1));
  it.settle();
  CHECK(it.Requests.size() == 1);
  it.Replies[0]->respond({200, {}}, "one");
  REQUIRE(it.untilRequests(2));
  CHECK(it.Requests[1].Body == "hi");
  it.Replies[1]->respond({200, {}}, "two");
  REQUIRE(it.untilGot("two"));
  CHECK_FALSE(it.Peer.Ended);
}

TEST_CASE("a disconnect of the caller is reported while its request runs",
          "[callers]") {
  ServerFixture it;
  it.Peer.send(Get);
  REQUIRE(it.untilRequests(1));
  bool disconnected = false;
  it.Replies[0]->OnGone = [&disconnected] { disconnected = true; };
  SECTION("by a close") { it.Peer.close(); }
  SECTION("by a reset") { it.Peer.reset(); }
  CHECK(it.until([&disconnected] { return disconnected; }));
}

TEST_CASE("an answer in parts ends with its last chunk", "[callers]") {
  ServerFixture it;
  it.Peer.send(Get);
  REQUIRE(it.untilRequests(1));
  it.Replies[0]->begin({200, {{"Content-Length", "999"}}});
  it.Replies[0]->part("hello");
  REQUIRE(it.untilGot("5\r\nhello\r\n"));
  CHECK(it.Peer.Got.find("999") == std::string::npos);
  SECTION("complete") {
    it.Replies[0]->finish();
    CHECK(it.untilGot("0\r\n\r\n"));
  }
  SECTION("aborted") {
    it.Replies[0]->abort();
    REQUIRE(it.until([&] { return it.Peer.Ended; }));
    CHECK(it.Peer.Got.find("0\r\n\r\n") == std::string::npos);
  }
}

// The last chunk behind such a head was taken for the start of the next answer.
TEST_CASE("an answer in parts to HEAD is a head only", "[callers]") {
  ServerFixture it;
  it.Peer.send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(it.untilRequests(1));
  it.Replies[0]->begin({200, {}});
  it.Replies[0]->part("hello");
  it.Replies[0]->finish();
  it.Peer.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(it.untilRequests(2));
  it.Replies[1]->respond({204, {}}, "");
  REQUIRE(it.untilGot("HTTP/1.1 204"));
  auto head = it.Peer.Got.find("\r\n\r\n");
  CHECK(it.Peer.Got.compare(head + 4, 12, "HTTP/1.1 204") == 0);
}

TEST_CASE("destroying a reply without an answer aborts its connection",
          "[callers]") {
  ServerFixture it;
  it.Peer.send(Get);
  REQUIRE(it.untilRequests(1));
  it.Replies.clear();
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

TEST_CASE("a head that could hide a second request is refused", "[callers]") {
  ServerFixture it;
  auto head = GENERATE(
      as<std::string>{}, "Host: x\r\nHost: y\r\n", "",
      "Host: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n");
  it.Peer.send("POST / HTTP/1.1\r\n" + head + "\r\n");
  REQUIRE(it.untilGot("HTTP/1.1 400"));
  CHECK(it.until([&] { return it.Peer.Ended; }));
  CHECK(it.Requests.empty());
}

TEST_CASE("requests over a limit are refused", "[callers]") {
  ServerFixture it;
  SECTION("in their head") {
    it.Bounds.MaxHeadBytes = 50;
    it.Peer.send("GET / HTTP/1.1\r\nX: " + std::string(100, 'a'));
    CHECK(it.untilGot("HTTP/1.1 431"));
  }
  SECTION("in their body") {
    it.Bounds.MaxBodyBytes = 3;
    it.Peer.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                 "8\r\n\r\n01234567");
    CHECK(it.untilGot("HTTP/1.1 413"));
  }
  SECTION("in time") {
    it.Bounds.RequestTimeout = std::chrono::milliseconds(50);
    it.Peer.send("GET / HTTP/1.1\r\n");
    CHECK(it.untilGot("HTTP/1.1 408"));
    CHECK(it.Refused == 408);
  }
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

TEST_CASE("answers of a closing server close their connections", "[callers]") {
  ServerFixture it;
  it.Closing = true;
  it.Peer.send(Get);
  REQUIRE(it.untilRequests(1));
  it.Replies[0]->respond({200, {}}, "last");
  REQUIRE(it.untilGot("Connection: close"));
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

TEST_CASE("a request that expects 100-continue gets it", "[callers]") {
  ServerFixture it;
  it.Peer.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: "
               "100-continue\r\n\r\n");
  REQUIRE(it.untilGot("100 Continue"));
  it.Peer.send("hi");
  REQUIRE(it.untilRequests(1));
  CHECK(it.Requests[0].Body == "hi");
}

TEST_CASE("closeIdle closes connections without a running request",
          "[callers]") {
  ServerFixture it;
  it.Peer.send(Get);
  REQUIRE(it.untilRequests(1));
  it.Server->closeIdle();
  it.settle();
  CHECK_FALSE(it.Peer.Ended);
  it.Replies[0]->respond({200, {}}, "one");
  REQUIRE(it.untilGot("one"));
  it.Server->closeIdle();
  CHECK(it.until([&] { return it.Peer.Ended; }));
}

} // namespace hemlockglade::test
