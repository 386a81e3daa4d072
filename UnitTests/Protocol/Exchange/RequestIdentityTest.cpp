#include "Hemlockglade/Protocol/Exchange/RequestIdentity.h"

#include <catch2/catch.hpp>
#include <set>

namespace hemlockglade::test {

TEST_CASE("a request's key depends on every part of its identity",
          "[exchange]") {
  RequestIdentity request{"secret", "POST", "a.example", "/x/1?y=2", "hello"};
  std::set<RequestKey> keys{request.key()};
  auto addVariant = [&](auto change) {
    auto other = request;
    change(other);
    keys.insert(other.key());
  };
  addVariant([](auto &it) { it.Caller = "other"; });
  addVariant([](auto &it) { it.Method = "PUT"; });
  addVariant([](auto &it) { it.Host = "b.example"; });
  addVariant([](auto &it) { it.Target = "/x/1?y=3"; });
  addVariant([](auto &it) { it.Body = "hello!"; });
  // The same bytes, divided differently between target and body.
  addVariant([](auto &it) {
    it.Target = "/x/1?y=2h";
    it.Body = "ello";
  });
  CHECK(keys.size() == 7);
  CHECK(request.key() == RequestIdentity(request).key());
}

TEST_CASE("a request's key is the same in every process", "[exchange]") {
  RequestIdentity request{"", "GET", "a.example", "/x/", ""};
  auto text = request.key().text();
  CHECK(text.size() == 2 * RequestKey::Size);
  CHECK(RequestKey::parse(text) == request.key());
  CHECK(text == "c878acd8dcec350abec227c7f407e79b");
  CHECK_FALSE(RequestKey::parse(text.substr(1)));
  CHECK_FALSE(RequestKey::parse("g" + text.substr(1)));
}

} // namespace hemlockglade::test
