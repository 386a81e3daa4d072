// Stand-ins for the platform's store, replicas and clients, and the processes
// of the system, for the cases in this folder. Blocking sockets, one thread a
// connection. All addresses are loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point &startTime() {
  static Clock::time_point at = Clock::now();
  return at;
}
inline double nowS() {
  return std::chrono::duration<double>(Clock::now() - startTime()).count();
}
inline void sleepS(double s) {
  if (s > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

/// Whether the disruption is played; TROUBLE=0 leaves it out.
inline bool trouble() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

/// Writes record.txt: what was sent, answered and run, one line each.
class Record {
public:
  explicit Record(const std::string &path) : Out(path) {}
  void line(const std::string &text) {
    std::lock_guard lock(Mutex);
    char at[32];
    std::snprintf(at, sizeof at, "%9.3f ", nowS());
    Out << at << text << '\n';
    Out.flush();
  }

private:
  std::mutex Mutex;
  std::ofstream Out;
};

struct Message {
  std::string First; // request or status line
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  static bool same(const std::string &a, const std::string &b) {
    return a.size() == b.size() &&
           std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
             return std::tolower((unsigned char)x) ==
                    std::tolower((unsigned char)y);
           });
  }
  std::string field(const std::string &name) const {
    for (const auto &[key, value] : Fields)
      if (same(key, name))
        return value;
    return {};
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    auto a = First.find(' ');
    return First.substr(a + 1, First.rfind(' ') - a - 1);
  }
  std::string path() const {
    auto t = target();
    return t.substr(0, t.find('?'));
  }
  int status() const { return std::atoi(First.c_str() + 9); }
};

/// One side of a connection.
class Conn {
public:
  explicit Conn(int fd) : Fd(fd) {
    int on = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Conn() { close(); }
  Conn(const Conn &) = delete;
  Conn &operator=(const Conn &) = delete;

  void close() {
    int fd = Fd.exchange(-1);
    if (fd >= 0)
      ::close(fd);
  }
  /// Closes with a reset.
  void reset() {
    linger hard{1, 0};
    int fd = Fd;
    if (fd >= 0)
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  int fd() const { return Fd; }
  bool write(const std::string &text) {
    std::size_t done = 0;
    while (done < text.size()) {
      auto n = ::send(Fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  /// Reads more bytes; false at the end, by a reset or after `timeoutMs`.
  bool fill(int timeoutMs = -1) {
    pollfd p{Fd, POLLIN, 0};
    TimedOut = false;
    auto ready = ::poll(&p, 1, timeoutMs);
    if (ready <= 0) {
      TimedOut = ready == 0;
      return false;
    }
    char part[65536];
    auto n = ::recv(Fd, part, sizeof part, 0);
    WasReset = n < 0;
    if (n <= 0)
      return false;
    Bytes.append(part, static_cast<std::size_t>(n));
    return true;
  }
  /// Whether the other side has closed; for replicas that stop then.
  bool gone() {
    pollfd p{Fd, POLLIN | POLLRDHUP, 0};
    if (::poll(&p, 1, 0) <= 0)
      return false;
    if (p.revents & (POLLERR | POLLHUP | POLLRDHUP))
      return true;
    char c;
    auto n = ::recv(Fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN);
  }
  bool readHead(Message &out, int timeoutMs = -1) {
    out = {};
    std::size_t end;
    while ((end = Bytes.find("\r\n\r\n")) == std::string::npos)
      if (!fill(timeoutMs))
        return false;
    auto head = Bytes.substr(0, end + 2);
    Bytes.erase(0, end + 4);
    bool first = true;
    for (std::size_t at = 0; at < head.size();) {
      auto to = head.find("\r\n", at);
      auto line = head.substr(at, to - at);
      at = to + 2;
      if (std::exchange(first, false)) {
        out.First = line;
        continue;
      }
      auto colon = line.find(':');
      auto value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ')
        value.erase(0, 1);
      out.Fields.emplace_back(line.substr(0, colon), value);
    }
    return true;
  }
  bool readBody(Message &out, int timeoutMs = -1) {
    if (Message::same(out.field("Transfer-Encoding"), "chunked")) {
      for (;;) {
        std::size_t end;
        while ((end = Bytes.find("\r\n")) == std::string::npos)
          if (!fill(timeoutMs))
            return false;
        auto n = std::strtoul(Bytes.c_str(), nullptr, 16);
        while (Bytes.size() < end + 2 + n + 2)
          if (!fill(timeoutMs))
            return false;
        out.Body.append(Bytes, end + 2, n);
        Bytes.erase(0, end + 2 + n + 2);
        if (n == 0)
          return true;
      }
    }
    auto length = out.field("Content-Length");
    std::size_t n = length.empty() ? 0 : std::stoul(length);
    while (Bytes.size() < n)
      if (!fill(timeoutMs))
        return false;
    out.Body = Bytes.substr(0, n);
    Bytes.erase(0, n);
    return true;
  }
  bool read(Message &out, int timeoutMs = -1) {
    return readHead(out, timeoutMs) && readBody(out, timeoutMs);
  }

  std::string Bytes;
  bool TimedOut = false;
  bool WasReset = false;

private:
  std::atomic<int> Fd;
};

inline sockaddr_in addressOf(const std::string &ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

/// Returns a connection, or null. `receiveBuffer` is a small buffer for a
/// client that reads slowly.
inline std::shared_ptr<Conn> dial(const std::string &ip, int port,
                                  int receiveBuffer = 0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receiveBuffer) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer,
                 sizeof receiveBuffer);
    // Segments as on a network; those of loopback let the kernel buffer
    // megabytes for a connection.
    int segment = 1460;
    ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  }
  auto a = addressOf(ip, port);
  if (::connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0) {
    ::close(fd);
    return nullptr;
  }
  return std::make_shared<Conn>(fd);
}

/// Accepts connections and serves each by a thread of its own.
class Server {
public:
  using Serve = std::function<void(std::shared_ptr<Conn>)>;
  Server(const std::string &ip, int port, Serve serve)
      : OnConn(std::move(serve)) {
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto a = addressOf(ip, port);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&a), sizeof a) != 0 ||
        ::listen(Fd, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    socklen_t n = sizeof a;
    ::getsockname(Fd, reinterpret_cast<sockaddr *>(&a), &n);
    Port = ntohs(a.sin_port);
    std::thread([this] {
      for (;;) {
        int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        std::thread([this, fd] {
          OnConn(std::make_shared<Conn>(fd));
        }).detach();
      }
    }).detach();
  }
  int port() const { return Port; }

private:
  int Fd = -1;
  int Port = 0;
  Serve OnConn;
};

inline std::string answerText(int status, const std::string &fields,
                              const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string base64(const std::string &in) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t at = 0; at < in.size(); at += 3) {
    unsigned v = 0;
    for (std::size_t k = 0; k < 3; ++k)
      v = v << 8 | (at + k < in.size() ? (unsigned char)in[at + k] : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      out += at + k <= in.size() ? Digits[v >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}
inline std::string fromBase64(const std::string &in) {
  static const std::string Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  unsigned v = 0;
  int bits = 0;
  for (char c : in) {
    auto d = Digits.find(c);
    if (d == std::string::npos)
      break;
    v = v << 6 | static_cast<unsigned>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

inline std::string query(const std::string &target, const std::string &name) {
  auto q = target.find('?');
  std::string text = q == std::string::npos ? "" : "&" + target.substr(q + 1);
  auto at = text.find("&" + name + "=");
  if (at == std::string::npos)
    return {};
  at += name.size() + 2;
  auto raw = text.substr(at, text.find('&', at) - at);
  std::string out;
  for (std::size_t k = 0; k < raw.size(); ++k)
    if (raw[k] == '%' && k + 2 < raw.size()) {
      out += static_cast<char>(std::stoi(raw.substr(k + 1, 2), nullptr, 16));
      k += 2;
    } else {
      out += raw[k];
    }
  return out;
}

/// The platform's store: rows, transactions and feeds. Each machine reaches it
/// by a door (a port) of its own, which may be silent.
class Store {
public:
  struct Door {
    /// From now on calls are carried out and get no answer.
    std::atomic<bool> Silent{false};
    std::unique_ptr<Server> Port;
  };
  /// Called under the store's lock with each row that a machine writes.
  std::function<void(int door, const std::string &table, const std::string &key,
                     const std::string &value)>
      OnWrite;

  Door &door(int n) {
    auto &it = Doors[n];
    if (!it) {
      it = std::make_unique<Door>();
      auto *at = it.get();
      it->Port = std::make_unique<Server>(
          "127.0.0.1", 0, [this, n, at](auto conn) { serve(n, *at, conn); });
    }
    return *it;
  }
  void put(const std::string &table, const std::string &key,
           const std::string &value) {
    std::lock_guard lock(Mutex);
    Tables[table][key] = {value, ++Version, false};
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

  Json rowJson(const std::string &table, const std::string &key,
               const Row &row) const {
    Json out{{"table", table}, {"part", ""}, {"key", key},
             {"ver", row.Version}};
    if (row.Removed)
      out["deleted"] = true;
    else
      out["value"] = base64(row.Value);
    return out;
  }
  std::uint64_t nowMs() const {
    return static_cast<std::uint64_t>(nowS() * 1000);
  }

  void serve(int n, Door &door, const std::shared_ptr<Conn> &conn) {
    Message request;
    while (conn->read(request)) {
      auto [status, body] = call(n, request);
      sleepS(0.003);
      if (door.Silent) {
        // A channel on which a response is lost delivers nothing further.
        while (conn->fill()) {
          conn->Bytes.clear();
        }
        return;
      }
      if (!conn->write(answerText(status, "Content-Type: application/json\r\n",
                                  body)))
        return;
    }
  }

  std::pair<int, std::string> call(int n, const Message &request) {
    auto path = request.path();
    auto target = request.target();
    std::unique_lock lock(Mutex);
    if (path == "/hemlockglade/rows-get") {
      auto table = query(target, "table");
      auto from = query(target, "from");
      Json rows = Json::array();
      bool more = false;
      auto &all = Tables[table];
      for (auto it = all.lower_bound(from); it != all.end(); ++it) {
        if (it->second.Removed)
          continue;
        if (rows.size() == 500) {
          more = true;
          break;
        }
        rows.push_back(rowJson(table, it->first, it->second));
      }
      return {200, Json{{"rows", rows}, {"has_more", more}, {"ver", Version},
                        {"now_ms", nowMs()}}
                       .dump()};
    }
    if (path == "/hemlockglade/rows-feed") {
      auto table = query(target, "table");
      auto after = std::stoull("0" + query(target, "after"));
      auto wait = std::stoull("0" + query(target, "wait_ms"));
      auto until = Clock::now() + std::chrono::milliseconds(wait);
      for (;;) {
        std::map<std::uint64_t, Json> changed;
        for (const auto &[key, row] : Tables[table])
          if (row.Version > after)
            changed.emplace(row.Version, rowJson(table, key, row));
        if (!changed.empty() || Clock::now() >= until) {
          Json rows = Json::array();
          for (auto &[version, it] : changed)
            rows.push_back(std::move(it));
          return {200,
                  Json{{"rows", rows}, {"ver", Version}, {"now_ms", nowMs()}}
                      .dump()};
        }
        Changed.wait_until(lock, until);
      }
    }
    if (path == "/hemlockglade/rows-tx") {
      auto node = Json::parse(request.Body);
      Json current = Json::array();
      bool holds = true;
      for (const auto &it : node.at("if_revision")) {
        auto &row = Tables[it.at("table")][it.at("key")];
        holds = holds && (row.Removed ? 0 : row.Version) == it.at("ver");
        if (row.Version && !row.Removed)
          current.push_back(rowJson(it.at("table"), it.at("key"), row));
      }
      if (!holds)
        return {412, Json{{"rows", current}, {"ver", Version},
                          {"now_ms", nowMs()}}
                         .dump()};
      ++Version;
      for (const auto &it : node.value("put", Json::array())) {
        auto value = fromBase64(it.at("value"));
        Tables[it.at("table")][it.at("key")] = {value, Version, false};
        if (OnWrite)
          OnWrite(n, it.at("table"), it.at("key"), value);
      }
      for (const auto &it : node.value("remove", Json::array()))
        Tables[it.at("table")][it.at("key")] = {"", Version, true};
      Changed.notify_all();
      return {200, Json{{"ver", Version}, {"now_ms", nowMs()}}.dump()};
    }
    return {404, "{}"};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::map<std::string, Row>> Tables;
  std::uint64_t Version = 1;
  std::map<int, std::unique_ptr<Door>> Doors;
};

inline int freePort(const std::string &ip) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto a = addressOf(ip, 0);
  ::bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof a);
  socklen_t n = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&a), &n);
  ::close(fd);
  return ntohs(a.sin_port);
}

/// Processes that have been started, for a program that is told to end.
inline std::array<std::atomic<pid_t>, 16> &started() {
  static std::array<std::atomic<pid_t>, 16> all{};
  return all;
}
/// Ends the processes that were started when this program is told to end.
inline void endStartedOnSignal() {
  auto end = [](int) {
    for (auto &it : started())
      if (it > 0)
        ::kill(it, SIGKILL);
    std::_Exit(2);
  };
  std::signal(SIGTERM, end);
  std::signal(SIGINT, end);
  std::signal(SIGHUP, end);
}

/// A process of the system, on an address of its own, started with the command
/// of the deploy file and the settings that its template gives.
class Node {
public:
  Node(const std::string &name, const std::string &zone, const std::string &ip,
       int storePort, const std::vector<std::string> &zones,
       const std::string &folder)
      : Name(name), Zone(zone), Ip(ip), StorePort(storePort), Zones(zones),
        Folder(folder), Peer(freePort(ip)), Relay(freePort(ip)),
        Front(freePort(ip)), Ready(freePort(ip)), Directory(freePort(ip)),
        Metrics(freePort(ip)) {}
  ~Node() { kill(SIGKILL); }

  std::string Name, Zone, Ip;
  std::vector<std::string> Seeds;

  int front() const { return Front; }
  int directory() const { return Directory; }
  int peer() const { return Peer; }
  pid_t pid() const { return Pid; }

  void start(bool first) {
    auto path = Folder + "/" + Name + ".yaml";
    std::ofstream out(path);
    auto at = [this](int port) { return Ip + ":" + std::to_string(port); };
    std::string zones, seeds;
    for (const auto &it : Zones)
      zones += (zones.empty() ? "" : ",") + it;
    for (const auto &it : Seeds)
      seeds += (seeds.empty() ? "\"" : ",\"") + it + "\"";
    out << "name: " << Name << "\nfailure_domain: " << Zone
        << "\naddress: " << Ip << "\npeer_port: " << Peer
        << "\nrelay_port: " << Relay << "\ncaller_address: \"" << at(Front)
        << "\"\nreadiness_address: \"" << at(Ready)
        << "\"\ndirectory_address: \"" << at(Directory)
        << "\"\nmetrics_address: \"" << at(Metrics)
        << "\"\nregistry_address: \"127.0.0.1:" << StorePort
        << "\"\nfailure_domains: [" << zones << "]\nseeds: [" << seeds
        << "]\nmax_descriptors: 4100\ncores: 0.25\nlink_mbps: 1000\n"
        << "first_start: " << (first ? "true" : "false")
        << "\nstop_bound_s: 8\nhandover_ms: 3000\nmax_directory_ttl_s: 5\n"
           "repeat_share: 0.2\nrepeat_extra: 52\nrepeat_window_s: 10\n"
           "drain_bound_ms: 2000\nplan_bound_ms: 2000\n"
           "version_bound_ms: 5000\ndecisions:\n  rank_loads: true\n"
           "  replica_speeds: true\n  queue_held: true\n"
           "  reject_hopeless: true\n";
    out.close();
    auto log = Folder + "/" + Name + ".log";
    auto config = "--config=" + path;
    Pid = ::fork();
    if (Pid != 0) {
      for (auto &it : started()) {
        pid_t none = 0;
        if (it.compare_exchange_strong(none, Pid))
          break;
      }
      return;
    }
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    std::signal(SIGHUP, SIG_DFL);
    // Same folder as in the deploy file: the repository's root.
    FILE *file = std::freopen(log.c_str(), "a", stdout);
    file = std::freopen(log.c_str(), "a", stderr);
    (void)file;
    ::setenv("HEMLOCKGLADE_SETTINGS", path.c_str(), 1);
    ::execl("target/hemlockgladed", "target/hemlockgladed", "--gateway",
            config.c_str(), nullptr);
    std::_Exit(127);
  }
  void kill(int signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, signal);
    if (signal == SIGKILL)
      wait(5);
  }
  /// Waits for the end of the process; returns its wait status, or -1.
  int wait(double seconds) {
    auto until = nowS() + seconds;
    int status = 0;
    while (Pid > 0) {
      if (::waitpid(Pid, &status, WNOHANG) == Pid) {
        for (auto &it : started()) {
          pid_t ended = Pid;
          it.compare_exchange_strong(ended, 0);
        }
        Pid = -1;
        return status;
      }
      if (nowS() > until)
        return -1;
      sleepS(0.005);
    }
    return -1;
  }
  bool ready() const {
    auto conn = dial(Ip, Ready);
    Message answer;
    return conn &&
           conn->write("GET /hemlockglade/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           conn->read(answer, 1000) && answer.status() == 200;
  }
  bool waitReady(double seconds) const {
    auto until = nowS() + seconds;
    while (nowS() < until) {
      if (ready())
        return true;
      sleepS(0.02);
    }
    return false;
  }

private:
  int StorePort;
  std::vector<std::string> Zones;
  std::string Folder;
  int Peer, Relay, Front, Ready, Directory, Metrics;
  pid_t Pid = -1;
};

/// A folder for settings and logs of the processes, removed at the end unless
/// KEEP is set.
class WorkFolder {
public:
  WorkFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(name.data()))
      std::_Exit(2);
    Path = name;
  }
  ~WorkFolder() {
    if (std::getenv("KEEP"))
      std::fprintf(stderr, "kept %s\n", Path.c_str());
    else
      std::filesystem::remove_all(Path);
  }
  std::string Path;
};

/// The registry entry of a replica and its heartbeat.
class Heartbeat {
public:
  Heartbeat(Store &store, std::string id, std::function<Json()> entry)
      : TheStore(store), Id(std::move(id)), Entry(std::move(entry)) {
    std::thread([this] {
      for (int n = 1; !Stopped; ++n) {
        auto node = Entry();
        node["sequence"] = n;
        TheStore.put("servers", Id, node.dump());
        sleepS(1.2);
      }
    }).detach();
  }
  std::atomic<bool> Stopped{false};

private:
  Store &TheStore;
  std::string Id;
  std::function<Json()> Entry;
};

inline Json limitsJson() {
  return {{"max_header_bytes", 16384},
          {"max_body_bytes", 4194304},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}};
}

/// Ends the program without the destructors of threads that still run.
[[noreturn]] inline void finish(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

} // namespace review
