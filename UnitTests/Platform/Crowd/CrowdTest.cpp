// Crowds of clients that hold or send too much, against a gateway process. They
// measure the memory of the process, so sanitized builds leave them out, and
// each is a test of its own that runs alone.

#include "UnitTests/Platform/Crowd/CrowdRig.h"
#include "platform/Names.h"

#include <catch2/catch.hpp>

namespace hemlockglade::crowd {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
/// Descriptors that the process may open beside the crowd's.
constexpr std::size_t SpareDescriptors = 16;

std::string headOf(std::string_view fields) {
  std::string out = "POST /look/crowd HTTP/1.1\r\nHost: a.example\r\n";
  out.append(platform_name::RequestId).append(": crowd\r\n");
  return out.append(fields);
}

std::string chunkedHead() {
  return headOf("Transfer-Encoding: chunked\r\n\r\n");
}

std::string announcedHead(std::size_t bytes) {
  return headOf("Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string chunkOf(std::size_t bytes) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
  return size.data() + std::string(bytes, 'x') + "\r\n";
}

/// Bodies in chunks that end one byte before the limit, without an end.
CrowdSockets::Script chunkedScript() {
  return {chunkedHead(), chunkOf(ChunkBytes), MaxBodyBytes / ChunkBytes - 1,
          chunkOf(ChunkBytes - 1)};
}

/// Checks what has to hold while the crowd is there, and after it.
void checkBounds(CrowdRig &rig, CrowdSockets &crowd,
                 std::size_t descriptorsBefore) {
  CHECK(rig.callOrdinary() == 200);
  CHECK(isAlive(rig.pid()));
  auto peak = peakMemoryOf(rig.pid());
  INFO("peak " << peak / 1024 << " KiB, sent " << crowd.sentBytes() / 1024
               << " KiB, open " << crowd.openCount());
  CHECK(peak > 0);
  CHECK(peak < MachineBytes);
  crowd.close();
  CHECK(holdsInTime([&] {
    return !isAlive(rig.pid()) ||
           rig.descriptors() <= descriptorsBefore + SpareDescriptors;
  }));
  CHECK(isAlive(rig.pid()));
  CHECK(rig.callOrdinary() == 200);
}

void playCrowd(int count, const CrowdSockets::Script &script,
               CrowdRig::Settings settings = {}) {
  CrowdRig rig(std::move(settings));
  auto before = rig.descriptors();
  CrowdSockets crowd(rig.node().callerAddress(), count, script);
  crowd.send();
  checkBounds(rig, crowd, before);
}

} // namespace

TEST_CASE("a crowd of chunked bodies short of their end", "[ChunkedBodies]") {
  playCrowd(60, chunkedScript());
}

TEST_CASE("a crowd of bodies in very small chunks", "[SmallChunks]") {
  constexpr std::size_t Bytes = 4;
  constexpr std::size_t BodyBytes = MaxBodyBytes / 2;
  playCrowd(80, {chunkedHead(), chunkOf(Bytes), BodyBytes / Bytes, {}});
}

TEST_CASE("a crowd of announced bodies short of their end",
          "[AnnouncedBodies]") {
  playCrowd(60,
            {announcedHead(MaxBodyBytes), std::string(ChunkBytes, 'x'),
             MaxBodyBytes / ChunkBytes - 1, std::string(ChunkBytes - 1, 'x')});
}

TEST_CASE("a crowd of bodies announced far over the limit",
          "[OverlongBodies]") {
  constexpr std::size_t Announced = 100'000'000'000;
  playCrowd(60, {announcedHead(Announced),
                 std::string(ChunkBytes, 'x'),
                 MaxBodyBytes / ChunkBytes,
                 {}});
}

TEST_CASE("a crowd of chunked bodies without end", "[EndlessBodies]") {
  playCrowd(
      60,
      {chunkedHead(), chunkOf(ChunkBytes), 2 * MaxBodyBytes / ChunkBytes, {}});
}

TEST_CASE("a crowd of whole bodies of the largest size", "[WholeBodies]") {
  playCrowd(60, {announcedHead(MaxBodyBytes),
                 std::string(ChunkBytes, 'x'),
                 MaxBodyBytes / ChunkBytes,
                 {}});
}

TEST_CASE("a crowd of heads of very short fields", "[ShortFields]") {
  CrowdRig::Settings settings;
  settings.MaxHeadBytes = 60'000;
  constexpr std::string_view Field = "a:\r\n";
  playCrowd(200, {headOf(""), std::string(Field), 59'000 / Field.size(), {}},
            settings);
}

TEST_CASE("a crowd of trailers of very short fields", "[ShortTrailers]") {
  constexpr std::string_view Field = "a:\r\n";
  playCrowd(
      200,
      {chunkedHead() + "0\r\n", std::string(Field), 72'000 / Field.size(), {}});
}

TEST_CASE("a crowd that sends without end behind a running request",
          "[SentBehind]") {
  CrowdRig::Settings settings;
  settings.MoreSettings = "max_descriptors: 4100\n";
  playCrowd(1500,
            {headOf("Content-Length: 2\r\n\r\nhi"),
             std::string(ChunkBytes, 'x'),
             8,
             {},
             false},
            settings);
}

TEST_CASE("a crowd that does not read its answers", "[SlowReaders]") {
  CrowdRig::Settings settings;
  // So few and small at a time that each becomes whole.
  settings.Slots = 1;
  settings.TargetLatencyMs = 1;
  settings.AnswerBytes = std::size_t{4} * 1024 * 1024;
  CrowdRig rig(settings);
  auto before = rig.descriptors();
  CrowdSockets crowd(rig.node().callerAddress(), 100,
                     {headOf("Content-Length: 2\r\n\r\nhi"), {}, 0, {}, false});
  crowd.send();
  // Each answer is there behind those of the requests before.
  for (int it = 0; it < 10; ++it)
    CHECK(rig.callOrdinary() == 200);
  checkBounds(rig, crowd, before);
}

TEST_CASE("a crowd of bodies at the directory's address", "[Directory]") {
  CrowdRig rig;
  auto before = rig.descriptors();
  CrowdSockets crowd(rig.node().directoryAddress(), 60, chunkedScript());
  crowd.send();
  CHECK(rig.callDirectory() == 200);
  checkBounds(rig, crowd, before);
}

// The descriptors leave 120 places for callers.
TEST_CASE("a crowd of connections without a byte takes all places",
          "[IdleConnections]") {
  CrowdRig::Settings settings;
  settings.MoreSettings = "max_descriptors: 500\n";
  playCrowd(200, {}, settings);
}

// Faulty replicas sent bytes without end, and the process that called them kept
// them all until its memory ran out.
TEST_CASE("replicas that answer without end, many requests at once",
          "[EndlessAnswers]") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string own = ok + std::string(platform_name::RequestId) +
                          ": crowd\r\n" + std::string(platform_name::Seal) +
                          ": s\r\n";
  const std::string chunked = own + "Transfer-Encoding: chunked\r\n";
  const std::string chunk = chunkOf(ChunkBytes);
  CrowdRig::Settings settings;
  settings.Endless = {
      {ok, "a: b\r\n"},
      {ok + "a: ", "x"},
      {ok, "a:\r\n"},
      {"HTTP/1.1 200 ", "x"},
      {"", "\x01garbage"},
      {"", "HTTP/1.1 102 P\r\n\r\n"},
      {own + "\r\n", "x"},
      {"HTTP/1.1 500 X\r\n\r\n", "x"},
      {own + "Content-Length: 100000000000\r\n\r\n", "x"},
      {chunked + "\r\n", chunk},
      {chunked + "\r\n", "1\r\nx\r\n"},
      {chunked + "\r\n5;x=", "y"},
      {chunked + "\r\n0\r\n", "a: b\r\n"},
      // One event.
      {chunked + "Content-Type: text/event-stream\r\n\r\n", chunk},
      {own + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"}};
  constexpr int Clients = 6;
  CrowdRig rig(settings);
  auto before = rig.descriptors();
  std::vector<std::unique_ptr<CrowdSockets>> crowds;
  for (std::size_t n = 0; n < settings.Endless.size(); ++n)
    for (const std::string kind : {"plain", "stream"}) {
      auto request = "GET /" + kind + "-" + std::to_string(n) +
                     "/x HTTP/1.1\r\nHost: a.example\r\n" +
                     std::string(platform_name::RequestId) + ": crowd\r\n\r\n";
      crowds.push_back(std::make_unique<CrowdSockets>(
          rig.node().callerAddress(), Clients,
          CrowdSockets::Script{request, {}, 0, {}}));
    }
  for (const auto &it : crowds)
    it->send();
  CHECK(rig.callOrdinary() == 200);
  auto requests = static_cast<int>(crowds.size()) * Clients;
  CHECK(holdsInTime([&] { return rig.endedEndless().first >= requests; }));
  auto [ended, mostBytes] = rig.endedEndless();
  INFO("ended " << ended << " of " << requests << ", most bytes " << mostBytes);
  // Of no answer more is taken than a body may have, which in chunks of one
  // byte is six times as much on the wire, and what sockets hold.
  constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;
  constexpr std::size_t WireBytesPerByte = 6;
  constexpr std::size_t SocketBytes = std::size_t{4} * 1024 * 1024;
  CHECK(mostBytes < WireBytesPerByte * MaxAnswerBytes + SocketBytes);
  checkBounds(rig, *crowds.back(), before + crowds.size() * Clients);
}

TEST_CASE("one request of the largest size is served in calm",
          "[LargestRequest]") {
  CrowdRig rig;
  auto answer = callOnce(rig.node().callerAddress(),
                         headOf("Connection: close\r\nContent-Length: " +
                                std::to_string(MaxBodyBytes) + "\r\n\r\n") +
                             std::string(MaxBodyBytes, 'x'));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(peakMemoryOf(rig.pid()) < MachineBytes);
}

TEST_CASE("a crowd of connections at the directory and the readiness check",
          "[IdleChecks]") {
  CrowdRig rig;
  auto before = rig.descriptors();
  CrowdSockets readiness(rig.node().readinessAddress(), 400, {});
  CrowdSockets directory(rig.node().directoryAddress(), 400, {});
  CHECK(rig.callDirectory() == 200);
  CHECK(rig.callReadiness() == 200);
  readiness.close();
  checkBounds(rig, directory, before);
}

} // namespace hemlockglade::crowd
