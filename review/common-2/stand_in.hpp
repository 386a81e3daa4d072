// Stand-ins for the cases of this review: the platform's store, plain HTTP
// servers and clients on blocking sockets, and the gateway as a separate
// process with settings like those of a small deployment. Everything listens
// on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <linux/filter.h>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <spawn.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char **environ;

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

inline void sleepMs(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline long long wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---------------------------------------------------------------- record

// Appends lines to the record. Several processes may write to the same file;
// each line is one write.
class Record {
public:
  void open(const std::string &path, bool truncate) {
    Fd = ::open(path.c_str(),
                O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC |
                    (truncate ? O_TRUNC : 0),
                0644);
    const char *start = std::getenv("REVIEW_START_MS");
    StartMs = start ? std::atoll(start) : wallMs();
    if (!start)
      ::setenv("REVIEW_START_MS", std::to_string(StartMs).c_str(), 1);
  }
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    char out[2200];
    int n = std::snprintf(out, sizeof out, "%8.3f %s\n",
                          double(wallMs() - StartMs) / 1000, text);
    if (Fd >= 0 && ::write(Fd, out, std::size_t(n)) < 0)
      std::perror("record");
  }

private:
  int Fd = -1;
  long long StartMs = 0;
};

inline Record record;

// ---------------------------------------------------------------- sockets

inline sockaddr_in addressOf(const std::string &ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(std::uint16_t(port));
  ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

// Listens; with port 0 on one that the kernel chooses. Returns -1 on failure.
inline int listenOn(const std::string &ip, int &port, int sendBuffer = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (sendBuffer)
    ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &sendBuffer, sizeof sendBuffer);
  auto at = addressOf(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr *>(&at), sizeof at) ||
      ::listen(fd, 128)) {
    ::close(fd);
    return -1;
  }
  socklen_t n = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&at), &n);
  port = ntohs(at.sin_port);
  return fd;
}

// With a segment size a channel like one over Ethernet: on loopback alone
// segments are so large that the kernel takes megabytes for a slow reader.
inline int connectTo(const std::string &ip, int port, int receiveBuffer = 0,
                     int segment = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (segment)
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  if (receiveBuffer)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                 sizeof receiveBuffer);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval tv{30, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  auto at = addressOf(ip, port);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&at), sizeof at)) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool sendAll(int fd, std::string_view text) {
  while (!text.empty()) {
    auto n = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    text.remove_prefix(std::size_t(n));
  }
  return true;
}

// ---------------------------------------------------------------- HTTP

inline std::string lower(std::string text) {
  for (auto &c : text)
    c = char(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string First; // request line or status line
  std::map<std::string, std::string> Fields;
  std::string Body;
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    auto a = First.find(' ');
    return First.substr(a + 1, First.rfind(' ') - a - 1);
  }
  std::string field(const std::string &name) const {
    auto it = Fields.find(lower(name));
    return it == Fields.end() ? "" : it->second;
  }
};

// Reads from a socket with a buffer that outlives one message.
struct Reader {
  int Fd;
  std::string Held;

  // Returns bytes read; 0 at the end, -1 on an error.
  long fill() {
    char buf[16384];
    auto n = ::recv(Fd, buf, sizeof buf, 0);
    if (n > 0)
      Held.append(buf, std::size_t(n));
    return long(n);
  }
  bool head(Message &out) {
    std::size_t end;
    while ((end = Held.find("\r\n\r\n")) == std::string::npos)
      if (fill() <= 0)
        return false;
    auto text = Held.substr(0, end + 2);
    Held.erase(0, end + 4);
    auto at = text.find("\r\n");
    out.First = text.substr(0, at);
    for (auto from = at + 2; from < text.size();) {
      auto to = text.find("\r\n", from);
      auto line = text.substr(from, to - from);
      from = to + 2;
      auto colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ')
        value.erase(0, 1);
      out.Fields[lower(line.substr(0, colon))] = value;
    }
    return true;
  }
  bool take(std::size_t n, std::string &out) {
    while (Held.size() < n)
      if (fill() <= 0)
        return false;
    out.append(Held, 0, n);
    Held.erase(0, n);
    return true;
  }
  // Reads a body of a stated length or in chunks.
  bool body(Message &out) {
    if (lower(out.field("Transfer-Encoding")) == "chunked") {
      while (true) {
        std::size_t end;
        while ((end = Held.find("\r\n")) == std::string::npos)
          if (fill() <= 0)
            return false;
        auto n = std::strtoul(Held.c_str(), nullptr, 16);
        Held.erase(0, end + 2);
        std::string skip;
        if (n && !take(n, out.Body))
          return false;
        if (!take(2, skip))
          return false;
        if (n == 0)
          return true;
      }
    }
    auto length = out.field("Content-Length");
    return length.empty() ||
           take(std::strtoul(length.c_str(), nullptr, 10), out.Body);
  }
};

inline std::string answerText(int status, const std::string &body,
                              const std::string &fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One request on a channel of its own.
inline std::optional<Message> fetch(const std::string &ip, int port,
                                    const std::string &text) {
  int fd = connectTo(ip, port);
  if (fd < 0)
    return std::nullopt;
  Reader in{fd, {}};
  Message out;
  bool whole = sendAll(fd, text) && in.head(out) && in.body(out);
  ::close(fd);
  return whole ? std::optional(out) : std::nullopt;
}

inline std::string queryOf(const std::string &target, const std::string &name) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    auto from = at + 1;
    at = target.find('&', from);
    auto pair = target.substr(from, at == std::string::npos ? at : at - from);
    if (pair.substr(0, pair.find('=')) != name)
      continue;
    auto raw = pair.substr(pair.find('=') + 1);
    std::string out;
    for (std::size_t it = 0; it < raw.size(); ++it) {
      if (raw[it] == '%' && it + 2 < raw.size()) {
        out += char(std::strtol(raw.substr(it + 1, 2).c_str(), nullptr, 16));
        it += 2;
      } else {
        out += raw[it] == '+' ? ' ' : raw[it];
      }
    }
    return out;
  }
  return "";
}

// ---------------------------------------------------------------- store

inline std::string toBase64(std::string_view in) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < in.size(); at += 3) {
    unsigned v = 0;
    std::size_t n = std::min<std::size_t>(3, in.size() - at);
    for (std::size_t it = 0; it < 3; ++it)
      v = v << 8 | (it < n ? static_cast<unsigned char>(in[at + it]) : 0U);
    for (std::size_t it = 0; it < 4; ++it)
      out += it <= n ? Digits[v >> (18 - 6 * it) & 63U] : '=';
  }
  return out;
}

// The platform's store: rows with versions from one counter, conditional
// transactions, and a feed of changes. Rows keep their base64 values as sent.
class Store {
public:
  explicit Store(const std::string &ip) : Ip(ip) {
    Listener = listenOn(Ip, Port);
    std::thread([this] { accept(); }).detach();
  }
  std::string address() const { return Ip + ":" + std::to_string(Port); }
  bool listens() const { return Listener >= 0; }

  // A write of the operator or of a server.
  void put(const std::string &table, const std::string &key,
           const Json &value) {
    std::lock_guard lock(Mutex);
    Tables[table][key] = {toBase64(value.dump()), ++Version, false};
    Changed.notify_all();
  }
  void remove(const std::string &table, const std::string &key) {
    std::lock_guard lock(Mutex);
    Tables[table][key] = {"", ++Version, true};
    Changed.notify_all();
  }

private:
  struct Row {
    std::string Value;
    std::uint64_t Version = 0;
    bool Removed = false;
  };

  void accept() {
    while (true) {
      int fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] {
        Reader in{fd, {}};
        while (true) {
          Message request;
          if (!in.head(request) || !in.body(request))
            break;
          if (!sendAll(fd, serve(request)))
            break;
        }
        ::close(fd);
      }).detach();
    }
  }
  std::string serve(const Message &request) {
    auto target = request.target();
    auto path = target.substr(0, target.find('?'));
    auto table = queryOf(target, "table");
    if (path == "/hemlockglade/rows-get")
      return get(table, queryOf(target, "from"), queryOf(target, "to"));
    if (path == "/hemlockglade/rows-feed")
      return feed(table,
                  std::strtoull(queryOf(target, "after").c_str(), nullptr, 10),
                  std::atol(queryOf(target, "wait_ms").c_str()));
    if (path == "/hemlockglade/rows-tx")
      return change(Json::parse(request.Body));
    return answerText(404, "{}");
  }
  Json reply(Json rows) const {
    return {{"rows", std::move(rows)},
            {"ver", Version},
            {"now_ms", wallMs()},
            {"has_more", false}};
  }
  static std::string json(int status, const Json &body) {
    return answerText(status, body.dump(),
                      "Content-Type: application/json\r\n");
  }
  Json rowOf(const std::string &table, const std::string &key,
             const Row &row) const {
    Json out{
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.Version}};
    if (row.Removed)
      out["deleted"] = true;
    else
      out["value"] = row.Value;
    return out;
  }
  std::string get(const std::string &table, const std::string &from,
                  const std::string &to) {
    std::lock_guard lock(Mutex);
    Json rows = Json::array();
    for (const auto &[key, row] : Tables[table])
      if (!row.Removed && key >= from && (to.empty() || key < to))
        rows.push_back(rowOf(table, key, row));
    return json(200, reply(std::move(rows)));
  }
  std::string feed(const std::string &table, std::uint64_t after, long waitMs) {
    std::unique_lock lock(Mutex);
    auto until = Clock::now() + std::chrono::milliseconds(waitMs);
    std::map<std::uint64_t, Json> changed;
    while (true) {
      for (const auto &[key, row] : Tables[table])
        if (row.Version > after)
          changed[row.Version] = rowOf(table, key, row);
      if (!changed.empty() ||
          Changed.wait_until(lock, until) == std::cv_status::timeout)
        break;
    }
    Json rows = Json::array();
    for (auto &[version, row] : changed)
      rows.push_back(std::move(row));
    return json(200, reply(std::move(rows)));
  }
  std::string change(const Json &call) {
    std::lock_guard lock(Mutex);
    bool holds = true;
    Json current = Json::array();
    for (const auto &it : call.value("if_revision", Json::array())) {
      std::string table = it.at("table"), key = it.at("key");
      auto &row = Tables[table][key];
      auto version = row.Removed ? 0 : row.Version;
      holds = holds && version == it.at("ver").get<std::uint64_t>();
      if (version)
        current.push_back(rowOf(table, key, row));
    }
    if (!holds)
      return json(412, reply(std::move(current)));
    ++Version;
    for (const auto &it : call.value("put", Json::array()))
      Tables[it.at("table")][it.at("key")] = {it.at("value"), Version, false};
    for (const auto &it : call.value("remove", Json::array()))
      Tables[it.at("table")][it.at("key")] = {"", Version, true};
    Changed.notify_all();
    return json(200, reply(Json::array()));
  }

  std::string Ip;
  int Port = 0;
  int Listener = -1;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 1;
};

// ---------------------------------------------------------------- processes

inline pid_t spawn(std::vector<std::string> words, const std::string &log) {
  std::vector<char *> args;
  for (auto &it : words)
    args.push_back(it.data());
  args.push_back(nullptr);
  posix_spawn_file_actions_t files;
  ::posix_spawn_file_actions_init(&files);
  ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  int failed =
      ::posix_spawn(&pid, args[0], &files, nullptr, args.data(), environ);
  ::posix_spawn_file_actions_destroy(&files);
  return failed ? 0 : pid;
}

// Ends and awaits a process that this program has started.
inline void endProcess(pid_t &pid, int signal = SIGKILL) {
  if (pid <= 0)
    return;
  ::kill(pid, signal);
  ::waitpid(pid, nullptr, 0);
  pid = 0;
}

// The run's folders, addresses and processes.
struct World {
  std::string Root;   // repository
  std::string Folder; // of the case
  std::string Temp;   // settings and logs
  std::string Self;   // this program
  std::string Net;    // "127.X.Y."
  bool Trouble = true;
  std::vector<pid_t> Pids;

  std::string ip(int n) const { return Net + std::to_string(n); }
  pid_t start(std::vector<std::string> words, const std::string &name) {
    auto pid = spawn(std::move(words), Temp + "/" + name + ".log");
    if (pid > 0)
      Pids.push_back(pid);
    return pid;
  }
  ~World() {
    for (auto pid : Pids) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
    }
    for (auto pid : Pids)
      ::waitpid(pid, nullptr, 0);
  }
};

inline constexpr int Frontend = 18149;
inline constexpr int Readiness = 18141;
inline constexpr int Directory = 18143;
inline constexpr int PeerPort = 17380;
inline constexpr int RelayPort = 17381;

// Becomes a node's program. The kernel ends it when the case's program ends,
// however that happens.
inline int becomeNode(char **argv) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::execv(argv[2], argv + 2);
  return CouldNotRun;
}

// A node of the system, with the layout of platform/settings.yaml.template.
inline pid_t startNode(World &world, const Store &store,
                       const std::string &name, const std::string &zone,
                       const std::string &ip,
                       const std::vector<std::string> &seeds,
                       const std::string &more = "") {
  auto file = world.Temp + "/" + name + ".yaml";
  std::ofstream out(file);
  auto at = [&ip](int port) {
    return "\"" + ip + ":" + std::to_string(port) + "\"\n";
  };
  out << "name: " << name << "\nfailure_domain: " << zone << "\naddress: " << ip
      << "\npeer_port: " << PeerPort << "\nrelay_port: " << RelayPort
      << "\ncaller_address: " << at(Frontend)
      << "readiness_address: " << at(Readiness)
      << "directory_address: " << at(Directory)
      << "metrics_address: " << at(9464) << "registry_address: \""
      << store.address()
      << "\"\nfailure_domains: [hall-a, hall-b, hall-c]\nseeds: [";
  for (std::size_t it = 0; it < seeds.size(); ++it)
    out << (it ? ", " : "") << '"' << seeds[it] << ":8144\"";
  out << "]\nmax_descriptors: 4100\nmemory_mb: 260\ncores: 0.25\n"
         "link_mbps: 1000.0\nfirst_start: true\nstop_bound_s: 8\n"
         "handover_ms: 3000\nmax_directory_ttl_s: 5\nrepeat_share: 0.2\n"
         "repeat_extra: 52\nrepeat_window_s: 10\ndrain_bound_ms: 2000\n"
         "plan_bound_ms: 2000\nversion_bound_ms: 5000\n"
      << more
      << "decisions:\n  rank_loads: true\n  replica_speeds: true\n"
         "  queue_held: true\n  reject_hopeless: true\n";
  out.close();
  auto pid =
      world.start({world.Self, "node", world.Root + "/target/hemlockgladed",
                   "--gateway", "--config=" + file},
                  name);
  record.line("node %s starts at %s, process %d", name.c_str(), ip.c_str(),
              int(pid));
  return pid;
}

inline bool awaitReady(const std::string &ip, int seconds = 15) {
  for (int it = 0; it < seconds * 10; ++it) {
    auto answer = fetch(ip, Readiness,
                        "GET /hemlockglade/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    if (answer && answer->status() == 200)
      return true;
    sleepMs(100);
  }
  return false;
}

// The entry of a server in the store, as the server writes it.
struct Entry {
  std::string Id, Service, Address, Zone = "hall-a", State = "ready";
  std::string Software = "v1";
  int Slots = 64;
  long RemainingMs = 0;
  Json Models;
  std::uint64_t Sequence = 0;
  Json json() const {
    Json out{{"service", Service},     {"address", Address},  {"zone", Zone},
             {"version", Software},    {"slots", Slots},      {"state", State},
             {"cold_remaining_ms", 0}, {"sequence", Sequence}};
    if (RemainingMs)
      out["remaining_ms"] = RemainingMs;
    if (!Models.is_null()) {
      out["stage"] = "combined";
      out["models"] = Models;
    }
    return out;
  }
};

// Writes the entries of servers at each heartbeat interval, as long as the
// servers live; the store removes an entry after three intervals of silence.
class Heartbeats {
public:
  explicit Heartbeats(Store &store) : Rows(store) {
    std::thread([this] {
      while (true) {
        {
          std::lock_guard lock(Mutex);
          for (auto &[id, it] : Alive)
            write(it);
        }
        sleepMs(1200);
      }
    }).detach();
  }
  void add(const Entry &entry) {
    std::lock_guard lock(Mutex);
    write(Alive[entry.Id] = entry);
  }
  void change(const std::string &id, const std::function<void(Entry &)> &by) {
    std::lock_guard lock(Mutex);
    by(Alive.at(id));
    write(Alive.at(id));
  }
  // The server has crashed: its entry expires.
  void crashed(const std::string &id) {
    {
      std::lock_guard lock(Mutex);
      Alive.erase(id);
    }
    std::thread([this, id] {
      sleepMs(3 * 1200);
      Rows.remove("servers", id);
    }).detach();
  }

private:
  void write(Entry &it) {
    ++it.Sequence;
    Rows.put("servers", it.Id, it.json());
  }
  Store &Rows;
  std::mutex Mutex;
  std::map<std::string, Entry> Alive;
};

inline std::string sealOf(const std::string &id) {
  return "3e1b.07." + std::to_string(std::hash<std::string>{}(id) % 100000);
}

// Text of `n` bytes that belongs to one request only.
inline std::string textFor(const std::string &id, std::size_t n) {
  std::string out;
  for (std::size_t line = 0; out.size() < n; ++line)
    out += id + " line " + std::to_string(line) + "\n";
  out.resize(n);
  return out;
}

// Runs a server's accept loop on this process's main thread.
inline void serveForever(int listener,
                         const std::function<bool(int fd, Message &)> &serve) {
  while (true) {
    int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    std::thread([fd, serve] {
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      Reader in{fd, {}};
      while (true) {
        Message request;
        if (!in.head(request) || !in.body(request) || !serve(fd, request))
          break;
      }
      ::close(fd);
    }).detach();
  }
}

// What every server does before it runs a request. Returns true if the call
// was answered here.
inline bool answerCommon(int fd, const Message &request,
                         const std::string &instance, bool engine) {
  auto path = request.target().substr(0, request.target().find('?'));
  auto expected = request.field("X-Expect-Instance");
  auto id = request.field("X-Attempt-Id");
  auto own = "X-Instance-Id: " + instance + "\r\n" +
             (id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n");
  if (!expected.empty() && expected != instance) {
    sendAll(fd, answerText(421, "", own + "X-Not-Executed: 1\r\n"));
    return true;
  }
  if (path == "/healthz") {
    sendAll(fd, answerText(200, "", own));
    return true;
  }
  if (engine && path == "/hemlockglade/report") {
    Json report{
        {"stage", "combined"},
        {"models",
         {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}}},
        {"busy", false},
        {"sequence", 0},
        {"queued", 0},
        {"active", 0},
        {"kv_used_tokens", 0},
        {"kv_total_tokens", 100000},
        {"handles", 0},
        {"pending", Json::array()}};
    sendAll(fd, answerText(200, report.dump(),
                           own + "Content-Type: application/json\r\n"));
    return true;
  }
  if (engine && path == "/hemlockglade/order") {
    sendAll(fd, answerText(200, "{}", own));
    return true;
  }
  if (id.empty()) {
    sendAll(fd, answerText(400, "", own + "X-Not-Executed: 1\r\n"));
    return true;
  }
  return false;
}

// Starts this program again as a server; it writes its port to a file.
inline pid_t startServer(World &world, const std::string &name,
                         const std::string &ip, std::string &address,
                         const std::vector<std::string> &more = {}) {
  auto portFile = world.Temp + "/" + name + ".port";
  ::unlink(portFile.c_str());
  std::vector<std::string> words{
      world.Self, "server", name, ip, portFile, world.Folder + "/record.txt"};
  words.insert(words.end(), more.begin(), more.end());
  auto pid = world.start(words, name);
  for (int it = 0; it < 50; ++it) {
    std::ifstream in(portFile);
    int port = 0;
    if (in >> port && port) {
      address = ip + ":" + std::to_string(port);
      record.line("server %s listens at %s, process %d", name.c_str(),
                  address.c_str(), int(pid));
      return pid;
    }
    sleepMs(50);
  }
  return 0;
}

inline void writePort(const std::string &file, int port) {
  std::ofstream(file + ".new") << port << "\n";
  ::rename((file + ".new").c_str(), file.c_str());
}

// Sets up a run. Arguments: the repository and the case's folder.
inline void setUp(World &world, int argc, char **argv) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s REPOSITORY FOLDER\n", argv[0]);
    std::exit(CouldNotRun);
  }
  world.Root = argv[1];
  world.Folder = argv[2];
  world.Self = "/proc/self/exe";
  char self[4096];
  auto n = ::readlink("/proc/self/exe", self, sizeof self - 1);
  if (n > 0)
    world.Self = std::string(self, std::size_t(n));
  const char *trouble = std::getenv("TROUBLE");
  world.Trouble = !trouble || std::string(trouble) != "0";
  const char *tmp = std::getenv("TMPDIR");
  std::string pattern = std::string(tmp ? tmp : "/tmp") + "/review-XXXXXX";
  if (!::mkdtemp(pattern.data()))
    std::exit(CouldNotRun);
  world.Temp = pattern;
  record.open(world.Folder + "/record.txt", true);
  // A network of loopback addresses that nobody else uses.
  for (int it = 0; it < 200; ++it) {
    auto x = (::getpid() + it) % 200 + 20;
    world.Net = "127." + std::to_string(x) + "." +
                std::to_string(::getpid() / 200 % 250) + ".";
    bool isFree = true;
    for (int host = 1; host <= 6; ++host)
      for (int port : {Frontend, Readiness, Directory, PeerPort, RelayPort}) {
        int fd = listenOn(world.ip(host), port);
        isFree = isFree && fd >= 0;
        if (fd >= 0)
          ::close(fd);
      }
    if (isFree)
      break;
  }
  std::thread([&world] {
    sleepMs(110'000);
    record.line("the run took too long");
    std::fprintf(stderr, "the run took too long\n");
    for (auto pid : world.Pids)
      ::kill(pid, SIGKILL);
    ::_exit(CouldNotRun);
  }).detach();
  record.line("run with TROUBLE=%d", world.Trouble ? 1 : 0);
}

// The manifest of an installation with one plain service, `listdesk`.
inline Json plainManifest() {
  return {{"version", 3},
          {"routes",
           {{{"name", "list-file"},
             {"host", "ficu95.example"},
             {"prefix", "/lists/"},
             {"service", "listdesk"},
             {"type", "unsafe"},
             {"timeout_ms", 15000},
             {"target_latency_ms", 3000},
             {"max_attempts", 1},
             {"priority", 2}}}},
          {"services",
           {{{"name", "listdesk"},
             {"health_path", "/healthz"},
             {"max_connections", 100}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

// Starts a server of `listdesk` and registers it.
inline pid_t startPlainServer(World &world, Heartbeats &heartbeats,
                              int number) {
  Entry entry;
  entry.Id = "i-" + std::to_string(number);
  entry.Service = "listdesk";
  entry.Slots = 6;
  entry.Zone = std::string("hall-") + char('a' + number % 3);
  auto pid = startServer(world, entry.Id, world.ip(20 + number), entry.Address);
  heartbeats.add(entry);
  return pid;
}

// Two nodes and some plain servers, i-1, i-2 and so on.
struct PlainSystem {
  pid_t Nodes[2] = {0, 0};
  std::vector<pid_t> Servers;

  // Returns whether the system serves.
  bool start(World &world, Store &store, Heartbeats &heartbeats, int servers) {
    store.put("op", "config", plainManifest());
    bool started = store.listens();
    for (int it = 0; it < servers; ++it) {
      Servers.push_back(startPlainServer(world, heartbeats, it + 1));
      started = started && Servers.back() > 0;
    }
    for (int it = 0; it < 2; ++it) {
      auto zone = std::string("hall-") + char('a' + it);
      Nodes[it] = startNode(world, store, "edge-" + zone + "-1", zone,
                            world.ip(1 + it), {world.ip(1), world.ip(2)});
    }
    started = started && awaitReady(world.ip(1)) && awaitReady(world.ip(2));
    sleepMs(1500);
    return started;
  }
};

// A plain server that answers each request with `bytes` of text.
inline int runPlainServer(char **argv, std::size_t bytes) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::string name = argv[2], ip = argv[3], portFile = argv[4];
  record.open(argv[5], false);
  int port = 0;
  int listener = listenOn(ip, port);
  writePort(portFile, port);
  serveForever(listener, [name, bytes](int fd, Message &request) {
    if (answerCommon(fd, request, name, false))
      return true;
    auto id = request.field("X-Attempt-Id");
    record.line("server %s runs %s", name.c_str(), id.c_str());
    bool sent = sendAll(
        fd, answerText(200, textFor(id, bytes),
                       "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + name +
                           "\r\nX-Response-Seal: " + sealOf(id) +
                           "\r\nContent-Type: text/plain\r\n"));
    record.line("server %s has answered %s %s", name.c_str(), id.c_str(),
                sent ? "whole" : "in part");
    return sent;
  });
  return 0;
}

inline int finish(World &world, int code, const std::string &text);

// ---------------------------------------------------------------- streams

inline constexpr int Events = 40;
inline constexpr long EventMs = 150;

inline std::string eventText(const std::string &id, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + " " +
         std::to_string(number) + "\n\n";
}

// From now on connections from this address get no answer at the listener, as
// over a link that is cut.
inline void ignoreConnectionsFrom(int listener, const std::string &ip) {
  auto from = ntohl(addressOf(ip, 0).sin_addr.s_addr);
  sock_filter code[] = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, std::uint32_t(SKF_NET_OFF + 12)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, from, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0), BPF_STMT(BPF_RET | BPF_K, 0xffffffffU)};
  sock_fprog program{4, code};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof program);
}

// A model server that answers with streams of `Events` events. The answers
// state no length and end with their channel.
inline int runStreamServer(char **argv) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::string name = argv[2], ip = argv[3], portFile = argv[4];
  record.open(argv[5], false);
  int port = 0;
  int listener = listenOn(ip, port);
  writePort(portFile, port);
  serveForever(listener, [name, listener](int fd, Message &request) {
    if (auto from = queryOf(request.target(), "test-cut"); !from.empty()) {
      if (from == "none")
        ::setsockopt(listener, SOL_SOCKET, SO_DETACH_FILTER, nullptr, 0);
      else
        ignoreConnectionsFrom(listener, from);
      return sendAll(fd, answerText(200, ""));
    }
    if (answerCommon(fd, request, name, true))
      return true;
    auto id = request.field("X-Attempt-Id");
    int after = std::atoi(request.field("Last-Event-Id").c_str());
    sockaddr_in peer{};
    socklen_t n = sizeof peer;
    ::getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &n);
    record.line("server %s runs %s behind event %d, sent from %s", name.c_str(),
                id.c_str(), after, ::inet_ntoa(peer.sin_addr));
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                       "\r\nX-Instance-Id: " + name +
                       "\r\nX-Response-Seal: " + sealOf(id) +
                       "\r\nX-Weight-Versions: 1"
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Connection: close\r\n\r\n";
    if (!sendAll(fd, head))
      return false;
    for (int it = after + 1; it <= Events; ++it) {
      if (!sendAll(fd, eventText(id, it)))
        return false;
      sleepMs(EventMs);
    }
    record.line("server %s has answered %s whole", name.c_str(), id.c_str());
    return false; // the channel ends the answer
  });
  return 0;
}

// The manifest of an installation with one service of engines.
inline Json streamManifest() {
  return {{"version", 3},
          {"routes",
           {{{"name", "oath-guide"},
             {"host", "ficu95.example"},
             {"prefix", "/guide/"},
             {"service", "assist-llm"},
             {"type", "streaming"},
             {"resumable", true},
             {"sticky", true},
             {"timeout_ms", 15000},
             {"target_latency_ms", 1000},
             {"target_gap_ms", 300},
             {"max_attempts", 2},
             {"priority", 1}}}},
          {"services",
           {{{"name", "assist-llm"},
             {"health_path", "/healthz"},
             {"max_connections", 360},
             {"engine",
              {{"slots", 64},
               {"kv_capacity_tokens", 132765},
               {"weights_mb", 67000},
               {"adapter_slots", 20},
               {"loads_per_s", 2.8},
               {"models",
                {{{"name", "m0"},
                  {"weights_mb", 65100},
                  {"load_time_s", 5.3},
                  {"adapters", 3000},
                  {"adapter_size_mb", 12}}}}}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

// Nodes and model servers, i-1, i-2 and so on, spread over the zones.
struct StreamSystem {
  int Nodes = 3;
  std::vector<pid_t> Servers;
  std::vector<std::string> Addresses;

  // Returns whether the system serves. With `ownSources` nodes connect to
  // servers from their own addresses, as they do on machines of their own.
  bool start(World &world, Store &store, Heartbeats &heartbeats, int servers,
             bool ownSources) {
    store.put("op", "config", streamManifest());
    Json model{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}};
    bool started = store.listens();
    for (int it = 0; it < servers; ++it) {
      Entry entry;
      entry.Id = "i-" + std::to_string(it + 1);
      entry.Service = "assist-llm";
      entry.Zone = zone(it);
      entry.Models = Json::array({model});
      Servers.push_back(
          startServer(world, entry.Id, world.ip(21 + it), entry.Address));
      Addresses.push_back(entry.Address);
      started = started && Servers.back() > 0;
      heartbeats.add(entry);
    }
    for (int it = 0; it < Nodes; ++it) {
      auto ip = world.ip(1 + it);
      startNode(world, store,
                "edge-" + zone(it) + "-" + std::to_string(1 + it / 3), zone(it),
                ip, {world.ip(1), world.ip(2), world.ip(3)},
                ownSources ? "outgoing_address: " + ip + "\n" : std::string());
    }
    for (int it = 1; it <= Nodes; ++it)
      started = started && awaitReady(world.ip(it));
    sleepMs(3000);
    return started;
  }
  static std::string zone(int number) {
    return std::string("hall-") + char('a' + number % 3);
  }
};

// A client's stream and what the client has got of it.
struct Stream {
  std::string Id, Body;
  int Status = 0;
  bool Whole = false;

  void run(const std::string &ip, int number) {
    Id = "c" + std::to_string(number) + "a" + std::to_string(::getpid());
    std::string body = "{\"prompt\":\"" + Id + "\"}";
    record.line("client sends %s to %s", Id.c_str(), ip.c_str());
    int fd = connectTo(ip, Frontend);
    Reader in{fd, {}};
    Message answer;
    bool sent =
        sendAll(fd, "POST /guide/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                    "X-Attempt-Id: " +
                        Id +
                        "\r\nX-Deadline-Ms: 15000\r\n"
                        "X-Model: m0\r\nX-Token-Count: 200,120\r\n"
                        "X-Prompt-Prefix: " +
                        std::to_string(1000 + number) +
                        ":200\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    if (sent && in.head(answer)) {
      Status = answer.status();
      Whole = in.body(answer);
      Body = answer.Body;
    }
    ::close(fd);
    record.line("client gets for %s: %d, %s, events up to %d of %d%s",
                Id.c_str(), Status, Whole ? "complete as framed" : "cut off",
                last(), Events, inOrder() ? "" : ", out of order");
  }
  // Number of the last event that stands in order.
  int last() const {
    int out = 0;
    std::string expected;
    while (out < Events) {
      expected += eventText(Id, out + 1);
      if (Body.compare(0, expected.size(), expected) != 0)
        break;
      ++out;
    }
    return out;
  }
  bool inOrder() const {
    std::string expected;
    for (int it = 1; it <= last(); ++it)
      expected += eventText(Id, it);
    // A part of the next event may follow where the answer was cut off.
    return Body.size() == expected.size() || !Whole;
  }
  bool success() const { return Status == 200 && Whole; }
  bool endsEarly() const {
    return success() && (last() < Events || !inOrder());
  }
};

// Judges streams by the rule ORDER.
inline int judgeStreams(World &world, const std::vector<Stream> &streams) {
  std::size_t whole = 0, early = 0;
  for (const auto &it : streams) {
    early += it.endsEarly();
    whole += it.success() && !it.endsEarly();
  }
  auto text =
      std::to_string(whole) + " whole streams, " + std::to_string(early) +
      " that end as complete before their last event, " +
      std::to_string(streams.size() - whole - early) + " cut off or refused";
  if (early)
    return finish(world, Broken, text);
  bool ran = world.Trouble || whole == streams.size();
  return finish(world, ran ? Held : CouldNotRun, text);
}

// A request of the route `list-file`.
inline std::string listRequest(const std::string &id) {
  std::string body = "{\"list\":\"" + id + "\"}";
  return "POST /lists/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
         "X-Attempt-Id: " +
         id +
         "\r\nX-Deadline-Ms: 15000\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int finish(World &world, int code, const std::string &text) {
  record.line("result %d: %s", code, text.c_str());
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  for (auto pid : world.Pids) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  world.Pids.clear();
  if (std::getenv("KEEP_LOGS"))
    std::fprintf(stderr, "logs: %s\n", world.Temp.c_str());
  else if (auto pid = spawn({"/bin/rm", "-rf", world.Temp}, "/dev/null"))
    ::waitpid(pid, nullptr, 0);
  ::_exit(code);
}

} // namespace review
