// A node is stopped (SIGTERM) while clients that read slowly take their
// answers. Each would be whole well within grace_s. Checks that no channel
// ends without a complete answer.
#include "../common-2/stand_in.hpp"

using namespace review;

namespace {

constexpr std::size_t BodyBytes = 5'000'000;
constexpr std::size_t ReadBytes = 40'000;
constexpr long ReadMs = 50; // 0.8 MB/s: an answer takes 6.3 s
constexpr int ReceiveBuffer = 64 * 1024;
constexpr int Segment = 1460;

struct Result {
  std::string Id;
  int Status = 0;
  std::size_t Bytes = 0;
  bool Whole = false;
};

} // namespace

int main(int argc, char **argv) {
  if (argc > 3 && std::string(argv[1]) == "node")
    return becomeNode(argv);
  if (argc > 5 && std::string(argv[1]) == "server")
    return runPlainServer(argv, BodyBytes);
  World world;
  setUp(world, argc, argv);
  Store store(world.ip(10));
  Heartbeats heartbeats(store);
  PlainSystem system;
  if (!system.start(world, store, heartbeats, 3))
    return finish(world, CouldNotRun, "the system does not start");
  auto node = system.Nodes[0];

  constexpr int Requests = 3;
  std::vector<Result> results(Requests);
  std::vector<std::thread> clients;
  for (int it = 0; it < Requests; ++it)
    clients.emplace_back([&, it] {
      auto &out = results[std::size_t(it)];
      out.Id = "c" + std::to_string(it) + "a" + std::to_string(::getpid());
      record.line("client sends %s", out.Id.c_str());
      int fd = connectTo(world.ip(1), Frontend, ReceiveBuffer, Segment);
      Reader in{fd, {}};
      Message answer;
      bool sent = sendAll(fd, listRequest(out.Id));
      if (sent && in.head(answer)) {
        out.Status = answer.status();
        auto due = std::strtoul(answer.field("Content-Length").c_str(),
                                nullptr, 10);
        out.Whole = true;
        while (out.Whole && answer.Body.size() < due) {
          out.Whole = in.take(std::min(ReadBytes, due - answer.Body.size()),
                              answer.Body);
          sleepMs(ReadMs);
        }
        out.Bytes = answer.Body.size() + (out.Whole ? 0 : in.Held.size());
        out.Whole = out.Whole && answer.Body == textFor(out.Id, BodyBytes);
      }
      ::close(fd);
      record.line("client gets for %s: %d, %s, %zu of %zu bytes",
                  out.Id.c_str(), out.Status,
                  out.Whole ? "complete" : "cut off", out.Bytes, BodyBytes);
    });
  if (world.Trouble) {
    sleepMs(300);
    record.line("node edge-hall-a-1 gets SIGTERM");
    ::kill(node, SIGTERM);
    auto since = Clock::now();
    while (::waitpid(node, nullptr, WNOHANG) == 0 &&
           Clock::now() - since < std::chrono::seconds(12))
      sleepMs(10);
    record.line(
        "node edge-hall-a-1 has ended, %lld ms after SIGTERM",
        static_cast<long long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(
                Clock::now() - since)
                .count()));
    std::erase(world.Pids, node);
  }
  for (auto &it : clients)
    it.join();

  int whole = 0, cut = 0;
  for (const auto &it : results) {
    whole += it.Whole;
    cut += !it.Whole;
  }
  auto text = std::to_string(whole) + " complete answers, " +
              std::to_string(cut) + " channels that ended without one";
  if (!world.Trouble && cut)
    return finish(world, CouldNotRun, text);
  return finish(world, cut ? Broken : review::Held, text);
}
