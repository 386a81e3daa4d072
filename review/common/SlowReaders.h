// Clients that read large answers slowly, and a plain replica that gives them.
#pragma once

#include "World.h"

namespace review {

/// A sound replica of a plain service: its answers have `bytes` bytes.
class FileReplica {
public:
  FileReplica(Store &store, Record &log, std::string id, std::string zone,
              std::size_t bytes)
      : Log(log), Id(std::move(id)), Zone(std::move(zone)), Bytes(bytes),
        Front("127.0.0.1", 0, [this](auto conn) { serve(conn); }),
        Beat(store, Id, [this] {
          return Json{{"service", "listdesk"},
                      {"address", "127.0.0.1:" + std::to_string(Front.port())},
                      {"zone", Zone},
                      {"version", "v1"},
                      {"slots", 6},
                      {"state", "ready"},
                      {"cold_remaining_ms", 0}};
        }) {}

private:
  void serve(const std::shared_ptr<Conn> &conn) {
    Message request;
    while (conn->read(request)) {
      auto id = request.field("X-Attempt-Id");
      auto wanted = request.field("X-Expect-Instance");
      if (!wanted.empty() && wanted != Id) {
        if (!conn->write(
                answerText(421, "X-Instance-Id: " + Id + "\r\n", "")))
          return;
        continue;
      }
      Log.line("replica " + Id + " runs " + id);
      // The first request on a channel is small.
      bool small = request.path().ends_with("/small");
      std::string body(small ? 800 : Bytes, 'x');
      if (!conn->write(answerText(200, "X-Response-Seal: " + Id + "." + id +
                                           "\r\nX-Attempt-Id: " + id + "\r\n",
                                  body)))
        return;
      Log.line("replica " + Id + " has answered " + id);
    }
  }

  Record &Log;
  std::string Id, Zone;
  std::size_t Bytes;
  Server Front;
  Heartbeat Beat;
};

inline void putFilePlan(Store &store, int timeoutMs) {
  Json route{{"name", "list-file"},    {"host", "lists.example"},
             {"prefix", "/files/"},    {"type", "safe"},
             {"timeout_ms", timeoutMs}, {"target_latency_ms", 150},
             {"priority", 2},          {"service", "listdesk"},
             {"max_attempts", 2}};
  store.put("op", "config",
            Json{{"version", 7},
                 {"routes", Json::array({route})},
                 {"services", Json::array({{{"name", "listdesk"},
                                            {"health_path", "/healthz"},
                                            {"max_connections", 100}}})},
                 {"limits", limitsJson()}}
                .dump());
}

/// What came of one request.
struct Outcome {
  bool Small = false;    // the first request on the channel was answered
  int Status = 0;        // of the large answer
  std::size_t Got = 0;   // bytes of its body
  std::size_t Whole = 0; // as its head states
  bool Reset = false;
  double SentAt = 0, EndedAt = 0;
  bool complete() const { return Whole > 0 && Got == Whole; }
};

/// Sends a small request and then a large one on one kept channel, and reads
/// the second answer at `bytesPerS` (0: as fast as it comes).
inline Outcome readSlowly(Record &log, const Node &node, const std::string &id,
                          int budgetMs, double bytesPerS) {
  Outcome out;
  // A small window, as of a device on a thin link.
  auto conn = dial(node.Ip, node.front(), bytesPerS > 0 ? 16384 : 0);
  if (!conn)
    return out;
  auto text = [&](const std::string &path, const std::string &attempt) {
    return "GET " + path + " HTTP/1.1\r\nHost: lists.example\r\n"
           "X-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " +
           std::to_string(budgetMs) + "\r\n\r\n";
  };
  Message answer;
  out.Small = conn->write(text("/files/small", id + "-small")) &&
              conn->read(answer, 5000) && answer.status() == 200;
  log.line("client " + id + " sends its request on the kept channel");
  out.SentAt = nowS();
  if (!conn->write(text("/files/large", id)) ||
      !conn->readHead(answer, budgetMs))
    return out;
  out.Status = answer.status();
  out.Whole = std::stoul("0" + answer.field("Content-Length"));
  out.Got = conn->Bytes.size();
  char part[4096];
  while (out.Got < out.Whole) {
    if (bytesPerS > 0)
      sleepS(static_cast<double>(sizeof part) / bytesPerS);
    pollfd p{conn->fd(), POLLIN, 0};
    if (::poll(&p, 1, 5000) <= 0)
      break;
    auto n = ::recv(conn->fd(), part, sizeof part, 0);
    out.Reset = n < 0;
    if (n <= 0)
      break;
    out.Got += static_cast<std::size_t>(n);
  }
  out.EndedAt = nowS();
  char line[200];
  std::snprintf(line, sizeof line,
                "client %s status %d, %zu of %zu bytes after %.2f s%s",
                id.c_str(), out.Status, out.Got, out.Whole,
                out.EndedAt - out.SentAt,
                out.complete() ? ", whole"
                : out.Reset    ? ", then the channel was reset"
                               : ", then the channel ended");
  log.line(line);
  return out;
}

} // namespace review
