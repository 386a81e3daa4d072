#include "Hemlockglade/Transport/Http1/BodyBuffer.h"
#include "Hemlockglade/Transport/Http1/OutgoingBytes.h"
#include "UnitTests/Transport/Loopback.h"

#include <rapidcheck.h>

namespace hemlockglade::test {

TEST_CASE("a body is the same however it comes, and holds little more",
          "[held]") {
  CHECK(rc::check([] {
    BodyBuffer body;
    std::string expected;
    auto sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::elementOf(std::vector<std::size_t>{0, 1, 7, 4096, 8192, 65'535,
                                                    65'536, 65'537, 200'000}));
    char next = 'a';
    for (auto n : sizes) {
      std::string part(n, next);
      next = next == 'z' ? 'a' : static_cast<char>(next + 1);
      body.append(part);
      expected += part;
      RC_ASSERT(body.size() == expected.size());
      RC_ASSERT(body.heldBytes() >= body.size());
      RC_ASSERT(body.heldBytes() <=
                2 * std::min(body.size(), BodyBuffer::BlockBytes) +
                    body.size() + 64);
    }
    RC_ASSERT(body.take() == expected);
    RC_ASSERT(body.size() == 0);
    RC_ASSERT(body.heldBytes() == 0);
  }));
}

TEST_CASE("queued bytes are written in order, shared or copied", "[held]") {
  Loopback loop;
  asio::ip::tcp::acceptor acceptor(loop.Context, Loopback::localhost(0));
  asio::ip::tcp::socket writer(loop.Context);
  writer.connect(acceptor.local_endpoint());
  auto reader = acceptor.accept();
  writer.non_blocking(true);
  reader.non_blocking(true);
  OutgoingBytes bytes;
  std::string expected;
  std::string got;
  std::vector<char> buf(100'000);
  for (int round = 0; round < 60; ++round) {
    std::string part(static_cast<std::size_t>(1 + round * 1733 % 90'000),
                     static_cast<char>('a' + round % 26));
    expected += part;
    if (round % 3 == 0)
      bytes.append(std::make_shared<const std::string>(part));
    else
      bytes.append(part);
    CHECK(bytes.writeTo(writer) != OutgoingBytes::Result::Broken);
  }
  while (got.size() < expected.size()) {
    bytes.writeTo(writer);
    asio::error_code ec;
    auto n = reader.read_some(asio::buffer(buf), ec);
    got.append(buf.data(), n);
  }
  CHECK(got == expected);
  CHECK(bytes.empty());
  CHECK(bytes.size() == 0);
}

TEST_CASE("a large shared body is not copied, and is let go once written",
          "[held]") {
  Loopback loop;
  asio::ip::tcp::acceptor acceptor(loop.Context, Loopback::localhost(0));
  asio::ip::tcp::socket writer(loop.Context);
  writer.connect(acceptor.local_endpoint());
  auto reader = acceptor.accept();
  writer.non_blocking(true);
  auto body = std::make_shared<const std::string>(100'000, 'x');
  OutgoingBytes bytes;
  bytes.append("head");
  bytes.append(body);
  CHECK(body.use_count() == 2);
  CHECK(bytes.size() == 100'004);
  std::vector<char> buf(100'004);
  std::size_t got = 0;
  while (got < buf.size()) {
    bytes.writeTo(writer);
    got += reader.read_some(asio::buffer(buf));
  }
  CHECK(bytes.empty());
  CHECK(body.use_count() == 1);
}

} // namespace hemlockglade::test
