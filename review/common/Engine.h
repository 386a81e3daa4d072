// A stand-in for a model replica: holds adapters as it is ordered, and runs
// streams for those that it holds.
#pragma once

#include "World.h"

#include <cmath>

namespace review {

struct Order {
  double At = 0;
  std::string Holder;
  std::uint64_t Fence = 0;
};

/// What the engines of one case have in common.
struct EngineSite {
  explicit EngineSite(Record &log) : Log(log) {}

  Record &Log;
  std::size_t Slots = 64;
  std::size_t AdapterSlots = 20;
  double LoadS = 0.25;
  /// Loads from the store at full speed at once; more take longer in
  /// proportion.
  int LoadsAtOnce = 8;
  /// Adapters that were held lately load ten times as fast.
  std::size_t Recent = 120;
  double PrefillS = 0.045;
  int Events = 33;
  double EventS = 0.1;
  /// Whether faulty engines send extra answers now, and for which share of
  /// their answers at most.
  std::atomic<bool> Extras{false};
  double ExtraShare = 0.03;

  std::atomic<int> Refusals{0}, ExtraCount{0}, AnswerCount{0};
  std::mutex Mutex;
  std::map<std::string, int> Runs; // by request id
  std::multiset<double> LoadsUntil;

  double loadTime() {
    std::lock_guard lock(Mutex);
    while (!LoadsUntil.empty() && *LoadsUntil.begin() <= nowS())
      LoadsUntil.erase(LoadsUntil.begin());
    auto n = static_cast<double>(LoadsUntil.size() + 1);
    auto out = LoadS * std::max(1.0, n / LoadsAtOnce);
    LoadsUntil.insert(nowS() + out);
    return out;
  }
};

class Engine {
public:
  Engine(Store &store, EngineSite &site, std::string id, std::string zone,
         bool faulty = false)
      : Site(site), Id(std::move(id)), Zone(std::move(zone)), Faulty(faulty),
        Front("127.0.0.1", 0, [this](auto conn) { serve(conn); }),
        Beat(store, Id, [this] {
          std::lock_guard lock(Mutex);
          return entry();
        }) {}

  std::vector<Order> orders() {
    std::lock_guard lock(Mutex);
    return Orders;
  }
  const std::string &id() const { return Id; }

private:
  Json entry() {
    settle();
    Json adapters = Json::array();
    for (const auto &[name, at] : Held)
      if (at <= nowS())
        adapters.push_back(name + "@1");
    return {{"service", "assist-llm"},
            {"address", "127.0.0.1:" + std::to_string(Front.port())},
            {"zone", Zone},
            {"version", "v1"},
            {"slots", Site.Slots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"stage", "combined"},
            {"models", Json::array({{{"name", "m0"},
                                     {"version", 1},
                                     {"adapters", adapters}}})}};
  }
  void settle() {
    for (auto it = Dropping.begin(); it != Dropping.end();)
      if (Uses[*it] == 0) {
        Held.erase(*it);
        HeldLately.push_back(*it);
        if (HeldLately.size() > Site.Recent)
          HeldLately.erase(HeldLately.begin());
        it = Dropping.erase(it);
      } else {
        ++it;
      }
  }
  int order(const Message &request) {
    auto node = Json::parse(request.Body);
    Order it{nowS(), node.at("holder"), node.at("fencing_token")};
    Orders.push_back(it);
    auto adapter = node.value("adapter", "");
    int status = 200;
    settle();
    if (node.value("if_revision", Sequence) != Sequence) {
      status = 409;
    } else if (adapter.empty()) {
      status = 200;
    } else if (node.at("operation") == "loading") {
      if (!Held.contains(adapter)) {
        status = 202;
        ++Sequence;
        bool lately = std::find(HeldLately.begin(), HeldLately.end(),
                                adapter) != HeldLately.end();
        Held[adapter] = nowS() + (lately ? Site.LoadS / 10 : Site.loadTime());
        if (Held.size() > Site.AdapterSlots)
          Site.Log.line("engine " + Id + " is ordered beyond its places");
      }
    } else {
      ++Sequence;
      Dropping.insert(adapter);
      settle();
    }
    Site.Log.line("engine " + Id + " order " +
                  std::string(node.at("operation")) + " " + adapter +
                  " holder " + it.Holder + " epoch " +
                  std::to_string(it.Fence) + " answered " +
                  std::to_string(status));
    return status;
  }
  /// Whether the answer that was just given is followed by an extra one, which
  /// comes late: where the next answer on the channel is expected.
  bool addsExtra() {
    ++Site.AnswerCount;
    if (!Faulty || !Site.Extras)
      return false;
    // Only the answers since the fault began count.
    auto n = ++Answers;
    if (Extras + 1 > Site.ExtraShare * n)
      return false;
    ++Extras;
    ++Site.ExtraCount;
    return true;
  }
  void serve(const std::shared_ptr<Conn> &conn) {
    Message request;
    std::string late;
    while (conn->read(request)) {
      auto wanted = request.field("X-Expect-Instance");
      auto id = request.field("X-Attempt-Id");
      auto path = request.path();
      auto echo = "X-Attempt-Id: " + id + "\r\n";
      if (!wanted.empty() && wanted != Id) {
        if (!conn->write(
                answerText(421, echo + "X-Instance-Id: " + Id + "\r\n", "")))
          return;
        continue;
      }
      if (path == "/hemlockglade/order") {
        std::unique_lock lock(Mutex);
        auto status = order(request);
        lock.unlock();
        if (!conn->write(answerText(status, "", "{}")))
          return;
        continue;
      }
      if (path == "/hemlockglade/report") {
        std::unique_lock lock(Mutex);
        auto node = entry();
        Json pending = Json::array();
        for (const auto &[name, at] : Held)
          if (at > nowS())
            pending.push_back("m0/" + name + "@1");
        node["pending"] = pending;
        node["busy"] = false;
        node["sequence"] = Sequence;
        lock.unlock();
        if (!conn->write(answerText(200, "Content-Type: application/json\r\n",
                                    node.dump())))
          return;
        continue;
      }
      if (!late.empty()) {
        Site.Log.line("engine " + Id +
                      " sends its extra answer where the one to " + id +
                      " is expected");
        if (!conn->write(std::exchange(late, {})))
          return;
      }
      auto model = request.field("X-Model");
      auto adapter = model.substr(model.find('/') + 1);
      std::unique_lock lock(Mutex);
      settle();
      auto it = Held.find(adapter);
      bool held = it != Held.end() && it->second <= nowS();
      bool dropping = Dropping.contains(adapter);
      if (held && !dropping)
        ++Uses[adapter];
      lock.unlock();
      if (!held || dropping) {
        ++Site.Refusals;
        auto answer = answerText(dropping ? 503 : 421,
                                 echo + "X-Not-Executed: 1\r\nX-Instance-Id: " +
                                     Id + "\r\n",
                                 "");
        bool extra = addsExtra();
        Site.Log.line("engine " + Id + " refuses " + id + ", not executed, " +
                      (dropping ? "503" : "421") +
                      (extra ? ", and will repeat that answer" : ""));
        if (!conn->write(answer))
          return;
        if (extra)
          late = answer;
        continue;
      }
      bool whole = run(*conn, id, echo);
      ++Site.AnswerCount;
      Answers += Site.Extras ? 1 : 0;
      lock.lock();
      --Uses[adapter];
      lock.unlock();
      if (!whole)
        return;
    }
  }
  bool run(Conn &conn, const std::string &id, const std::string &echo) {
    sleepS(Site.PrefillS);
    if (conn.gone())
      return false;
    {
      std::lock_guard lock(Site.Mutex);
      ++Site.Runs[id];
    }
    Site.Log.line("engine " + Id + " runs " + id);
    bool whole = conn.write("HTTP/1.1 200 OK\r\n" + echo +
                            "X-Response-Seal: " + Id + "." + id +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
    for (int n = 1; n <= Site.Events && whole; ++n) {
      auto event = "id: " + std::to_string(n) + "\ndata: x\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      whole = !conn.gone() && conn.write(size + event + "\r\n");
      sleepS(Site.EventS);
    }
    return whole && conn.write("0\r\n\r\n");
  }

  EngineSite &Site;
  std::string Id, Zone;
  bool Faulty;
  std::atomic<int> Answers{0}, Extras{0};
  std::mutex Mutex;
  std::uint64_t Sequence = 0;
  std::map<std::string, double> Held; // with when they are loaded
  std::set<std::string> Dropping;
  std::vector<std::string> HeldLately;
  std::map<std::string, int> Uses;
  std::vector<Order> Orders;
  Server Front;
  Heartbeat Beat;
};

/// A plan with one route of streams that may not be resumed.
inline void putEnginePlan(Store &store, const EngineSite &site) {
  Json route{{"name", "guide"},     {"host", "booking.example"},
             {"prefix", "/guide/"}, {"type", "streaming"},
             {"timeout_ms", 10000}, {"target_latency_ms", 1000},
             {"priority", 1},       {"service", "assist-llm"},
             {"max_attempts", 1},   {"sticky", true},
             {"resumable", false},  {"target_gap_ms", 300}};
  Json engine{{"slots", site.Slots},
              {"kv_capacity_tokens", 132765},
              {"weights_mb", 66600.0},
              {"adapter_slots", site.AdapterSlots},
              {"loads_per_s", 2.8},
              {"models", Json::array({{{"name", "m0"},
                                       {"weights_mb", 65100.0},
                                       {"load_time_s", 5.3},
                                       {"adapters", 3000},
                                       {"adapter_size_mb", 12.0}}})}};
  store.put("op", "config",
            Json{{"version", 7},
                 {"routes", Json::array({route})},
                 {"services", Json::array({{{"name", "assist-llm"},
                                            {"health_path", "/healthz"},
                                            {"max_connections", 360},
                                            {"engine", engine}}})},
                 {"limits", limitsJson()}}
                .dump());
}

/// Sends streams to one node until `over`, and notes the status of each.
struct StreamClient {
  Record &Log;
  const Node &To;
  int Number;
  double ThinkS;
  unsigned Adapters;
  std::atomic<bool> &Over;
  std::function<void(const std::string &id, int status)> OnAnswer;

  void run() const {
    std::mt19937 random(static_cast<unsigned>(Number + 1));
    std::exponential_distribution<double> pause(1 / ThinkS);
    std::uniform_real_distribution<double> share(0, 1);
    std::shared_ptr<Conn> conn;
    for (int k = 0; !Over; ++k) {
      sleepS(pause(random));
      auto id = "c" + std::to_string(Number) + "-" + std::to_string(k);
      if (!conn)
        conn = dial(To.Ip, To.front());
      if (!conn)
        continue; // its machine is down
      // Few adapters get most of the requests, and many get few.
      auto rank = std::pow(Adapters, share(random));
      auto adapter = "a" + std::to_string(static_cast<int>(rank));
      Message answer;
      Log.line("client sends " + id + " to " + To.Name + " for " + adapter);
      bool got =
          conn->write("POST /guide/1 HTTP/1.1\r\nHost: booking.example\r\n"
                      "X-Attempt-Id: " + id +
                      "\r\nX-Deadline-Ms: 10000\r\nX-Model: m0/" + adapter +
                      "\r\nX-Token-Count: 500,40\r\nX-Prompt-Prefix: " +
                      std::to_string(1000 + random() % 50) +
                      ":500\r\nContent-Length: 0\r\n\r\n") &&
          conn->read(answer, 11000);
      int status = got ? answer.status() : 0;
      Log.line("client " + id + " is answered " +
               (got ? std::to_string(status) : "not at all"));
      if (OnAnswer)
        OnAnswer(id, status);
      if (!got || Message::same(answer.field("Connection"), "close"))
        conn = nullptr;
    }
  }
};

} // namespace review
