// Two software versions of a service run side by side. Nodes join while
// requests for streams wait for their first event; then servers of one version
// crash, and the node that the clients use is killed. The clients take their
// streams up at other nodes. Checks that no stream goes on at another software
// version than the one that began it.
#include "../common-2/stand_in.hpp"

#include <random>

using namespace review;

namespace {

constexpr int Servers = 12;
constexpr int StreamEvents = 20;
constexpr long FirstEventMs = 1000;
constexpr long NextEventMs = 100;
constexpr int Nodes = 4; // and two that join
constexpr int AllNodes = Nodes + 2;
constexpr int Rate = 220;
// Clients of short streams, of one event each, that run beside the long ones.
constexpr int ShortClients = 24;
const std::string ShortTokens = "20,3";

int runVersionServer(char **argv) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::string name = argv[2], ip = argv[3], portFile = argv[4];
  std::string version = argv[6];
  record.open(argv[5], false);
  int port = 0;
  int listener = listenOn(ip, port);
  writePort(portFile, port);
  serveForever(listener, [name, version](int fd, Message &request) {
    if (answerCommon(fd, request, name, true))
      return true;
    auto id = request.field("X-Attempt-Id");
    int after = std::atoi(request.field("Last-Event-Id").c_str());
    bool isShort = request.field("X-Token-Count") == ShortTokens;
    int events = isShort ? 1 : StreamEvents;
    auto chunk = [](const std::string &text) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return size + text + "\r\n";
    };
    if (!isShort)
      record.line("server %s of %s gets %s behind event %d", name.c_str(),
                  version.c_str(), id.c_str(), after);
    sleepMs(isShort ? 20 : FirstEventMs);
    if (!sendAll(fd, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                         "\r\nX-Instance-Id: " + name +
                         "\r\nX-Response-Seal: " + sealOf(id) +
                         "\r\nX-Weight-Versions: 1"
                         "\r\nContent-Type: text/event-stream"
                         "\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int it = after + 1; it <= events; ++it) {
      auto text = "id: " + std::to_string(it) + "\ndata: " + version + "\n\n";
      if (!sendAll(fd, chunk(text)))
        return false;
      sleepMs(isShort ? 0 : NextEventMs);
    }
    return sendAll(fd, "0\r\n\r\n");
  });
  return 0;
}

// A stream over all tries of its client.
struct Taken {
  std::string Id;
  std::vector<std::string> Versions; // of the events, in order
  bool Complete = false;
  int Tries = 0;

  bool isMixed() const {
    for (const auto &it : Versions)
      if (it != Versions.front())
        return true;
    return false;
  }
  // Reads events; returns whether the stream has come to its end.
  bool read(const std::string &ip, const std::string &id, int number) {
    ++Tries;
    int fd = connectTo(ip, Frontend);
    Reader in{fd, {}};
    std::string more;
    if (!Versions.empty())
      more = "Last-Event-Id: " + std::to_string(Versions.size()) +
             "\r\nResumes: " + Id + "\r\n";
    std::string body = "{\"prompt\":\"" + Id + "\"}";
    Message answer;
    bool sent = sendAll(
        fd, "POST /guide/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
            "X-Attempt-Id: " +
                id + "\r\nX-Deadline-Ms: 15000\r\n" + more +
                "X-Model: m0\r\nX-Token-Count: 20,120\r\nX-Prompt-Prefix: " +
                std::to_string(100000 + number) + ":20\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    bool success = sent && in.head(answer) && answer.status() == 200;
    while (success && !Complete) {
      std::size_t end;
      while ((end = in.Held.find("\r\n")) == std::string::npos)
        if (in.fill() <= 0)
          break;
      if (end == std::string::npos)
        break;
      auto n = std::strtoul(in.Held.c_str(), nullptr, 16);
      in.Held.erase(0, end + 2);
      std::string text, skip;
      if ((n && !in.take(n, text)) || !in.take(2, skip))
        break;
      Complete = n == 0;
      std::size_t at = 0;
      while ((at = text.find("data: ", at)) != std::string::npos) {
        at += 6;
        Versions.push_back(text.substr(at, text.find('\n', at) - at));
      }
    }
    ::close(fd);
    record.line("client %s at %s as %s: %d, %zu events, %s%s",
                Tries > 1 ? ("takes " + Id + " up").c_str() : "sends",
                ip.c_str(), id.c_str(), answer.status(), Versions.size(),
                Complete ? "complete" : "not complete",
                isMixed() ? ", of two software versions" : "");
    return Complete;
  }
};

} // namespace

int main(int argc, char **argv) {
  if (argc > 3 && std::string(argv[1]) == "node")
    return becomeNode(argv);
  if (argc > 6 && std::string(argv[1]) == "server")
    return runVersionServer(argv);
  World world;
  setUp(world, argc, argv);
  Store store(world.ip(10));
  Heartbeats heartbeats(store);
  store.put("op", "config", streamManifest());
  Json model{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}};
  // Six servers of each version. Those of v1.1 in hall-a are i-1, i-4 and i-7.
  std::vector<pid_t> servers;
  bool started = store.listens();
  for (int it = 0; it < Servers; ++it) {
    Entry entry;
    entry.Id = "i-" + std::to_string(it + 1);
    entry.Service = "assist-llm";
    entry.Zone = StreamSystem::zone(it);
    entry.Software = it < 9 && it != 1 && it != 4 && it != 2 ? "v1.1" : "v1.2";
    entry.Models = Json::array({model});
    servers.push_back(startServer(world, entry.Id, world.ip(21 + it),
                                  entry.Address, {entry.Software}));
    started = started && servers.back() > 0;
    heartbeats.add(entry);
  }
  std::vector<std::string> seeds{world.ip(1), world.ip(2), world.ip(3)};
  std::vector<pid_t> nodes;
  for (int it = 0; it < Nodes; ++it)
    nodes.push_back(startNode(world, store, "edge-" + std::to_string(it + 1),
                              StreamSystem::zone(it), world.ip(1 + it), seeds));
  for (int it = 1; it <= Nodes; ++it)
    started = started && awaitReady(world.ip(it));
  if (!started)
    return finish(world, CouldNotRun, "the system does not start");
  sleepMs(4000);

  std::mutex mutex;
  std::vector<std::unique_ptr<Taken>> streams;
  std::vector<std::thread> clients;
  std::atomic<bool> sending = true;
  std::thread sender([&] {
    for (int it = 0; sending && it < 1500; ++it) {
      auto *stream = new Taken;
      stream->Id = "s" + std::to_string(it) + "a" + std::to_string(::getpid());
      {
        std::lock_guard lock(mutex);
        streams.emplace_back(stream);
      }
      clients.emplace_back([&, stream, it] {
        std::mt19937 random(unsigned(it) * 7919U + 1);
        if (stream->read(world.ip(1), stream->Id, it) ||
            stream->Versions.empty())
          return;
        // The channel broke: the client takes the stream up at another node.
        for (int retry = 1; retry <= 2; ++retry) {
          if (stream->read(world.ip(2 + int(random() % (AllNodes - 1))),
                           stream->Id + "r" + std::to_string(retry), it))
            return;
          sleepMs(200);
        }
      });
      std::this_thread::sleep_for(std::chrono::microseconds(1000000 / Rate));
    }
  });
  std::atomic<int> shortOnes = 0;
  std::vector<std::thread> shortClients;
  for (int it = 0; it < ShortClients; ++it)
    shortClients.emplace_back([&, it] {
      int fd = connectTo(world.ip(1), Frontend);
      Reader in{fd, {}};
      for (int n = 0; sending; ++n) {
        auto id = "t" + std::to_string(it) + "n" + std::to_string(n) + "a" +
                  std::to_string(::getpid());
        Message answer;
        if (!sendAll(fd, "POST /guide/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                         "X-Attempt-Id: " +
                             id +
                             "\r\nX-Deadline-Ms: 15000\r\n"
                             "X-Model: m0\r\nX-Token-Count: " +
                             ShortTokens + "\r\nX-Prompt-Prefix: " +
                             std::to_string(1000000 + it * 100000 + n) +
                             ":20\r\nContent-Length: 2\r\n\r\n{}") ||
            !in.head(answer) || !in.body(answer)) {
          ::close(fd);
          fd = connectTo(world.ip(1), Frontend);
          in = Reader{fd, {}};
          sleepMs(20);
          continue;
        }
        ++shortOnes;
        sleepMs(40);
      }
      ::close(fd);
    });
  auto addNodes = [&] {
    startNode(world, store, "edge-5", "hall-b", world.ip(5), seeds);
    startNode(world, store, "edge-6", "hall-c", world.ip(6), seeds);
  };
  sleepMs(1500);
  if (world.Trouble) {
    record.line("two nodes are added");
    addNodes();
    auto joined = [&](const std::string &body) {
      return body.find(world.ip(5) + ":") != std::string::npos &&
             body.find(world.ip(6) + ":") != std::string::npos;
    };
    for (int it = 0; it < 250; ++it) {
      std::string listed;
      for (const char *zone : {"hall-b", "hall-c"})
        if (auto answer = fetch(
                world.ip(1), Directory,
                std::string("GET /hemlockglade/resolve?name=ficu95.example&") +
                    "zone=" + zone + " HTTP/1.1\r\nHost: x\r\n\r\n"))
          listed += answer->Body;
      if (joined(listed))
        break;
      sleepMs(20);
    }
    record.line("they are in service; the servers of hall-a, i-1, i-4 and "
                "i-7, crash (SIGKILL)");
    for (int it : {0, 3, 6}) {
      heartbeats.crashed("i-" + std::to_string(it + 1));
      endProcess(servers[std::size_t(it)]);
    }
    sleepMs(400);
    sending = false;
    sleepMs(1600);
    record.line("the node edge-1 is killed");
    endProcess(nodes[0]);
  } else {
    addNodes();
    sleepMs(3000);
    sending = false;
  }
  sender.join();
  for (auto &it : shortClients)
    it.join();
  for (auto &it : clients)
    it.join();
  std::size_t whole = 0, mixed = 0, taken = 0;
  for (const auto &it : streams) {
    mixed += it->isMixed();
    taken += it->Tries > 1;
    whole += it->Complete && !it->isMixed();
  }
  record.line("%d short streams ran beside", shortOnes.load());
  auto text = std::to_string(streams.size()) + " streams, " +
              std::to_string(whole) + " whole, " + std::to_string(taken) +
              " taken up, " + std::to_string(mixed) +
              " with events of two software versions";
  constexpr std::size_t Allowed = 2;
  if (mixed > Allowed)
    return finish(world, Broken, text);
  bool ran = world.Trouble ? taken > 20 : whole == streams.size();
  return finish(world, ran ? review::Held : CouldNotRun, text);
}
