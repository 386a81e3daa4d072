// A stand-in for a model engine: the OpenAI-style API, adapter orders with
// fencing, load reports, resume of streams. It makes up its tokens from the
// request. Faults are set by flags and by /control:
//
//   refuse=N         refuse the next N requests before running them (503)
//   fail_loads=N     fail the next N loads
//   load_ms=N        every load takes this much longer
//   late_ms=N        hold each answer's first token back
//   truncate=N       end the next N answers half way as if they were whole
//   double=N         send each token of the next N streams twice
//   cut=N, cut_after=K   break the next N answers after K tokens
//   report_lag_ms=N  reports tell what was true that long ago
//   restart=1        a new incarnation: nothing loaded, what ran is cut

#include "StandIns/EngineRun.h"
#include "StandIns/StandIn.h"

#include <deque>

DEFINE_string(name, "engine-1", "name of the replica");
DEFINE_int32(slots, 8, "adapters that fit");
DEFINE_int32(batch, 32, "requests that run at once");
DEFINE_int32(token_us, 2000, "time between tokens, in microseconds");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_string(weights, "", "URL of the weight store; empty loads at once");
DEFINE_int32(linger_ms, 0,
             "how long a stream goes on without its caller and can be "
             "resumed; 0 cancels it at once");
DEFINE_int32(load_ms, 0, "time that a load takes besides the weight store's");
DEFINE_int32(report_lag_ms, 0, "age of the load reports");

namespace {

using namespace hemlockglade;
using nlohmann::json;

/// Faults that are still to come.
struct EngineFaults {
  std::int64_t Refuse = 0;
  std::int64_t FailLoads = 0;
  std::int64_t LoadMs = 0;
  std::int64_t LateMs = 0;
  std::int64_t Truncate = 0;
  std::int64_t Double = 0;
  std::int64_t Cut = 0;
  std::int64_t CutAfter = 1;
  std::int64_t ReportLagMs = 0;
};

/// Takes one from a fault's count.
bool take(std::int64_t &n) { return n > 0 && n--; }

constexpr int Gone = 410;
constexpr int Unavailable = 503;

/// The engine. One thread runs it, so it needs no lock.
class Engine {
public:
  explicit Engine(StandIn &host) : Host(host), Client(host.context()) {
    Faults.LoadMs = FLAGS_load_ms;
    Faults.ReportLagMs = FLAGS_report_lag_ms;
    begin("started");
  }

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/load")
      return reply->sendWhole(200, {}, lagging());
    if (in.Path == "/v1/load_lora_adapter")
      return load(in, reply);
    if (in.Path == "/v1/unload_lora_adapter")
      return unload(in, *reply);
    if (in.Path == "/v1/completions" || in.Path == "/v1/chat/completions")
      return in.field("Last-Event-ID") ? resume(in, reply)
                                       : complete(in, reply);
    if (in.Path == "/control")
      return control(in, *reply);
    reply->sendWhole(404, {}, errorBody("not_found", in.Path));
  }

private:
  /// A report and when it was true.
  struct Snapshot {
    Instant At{};
    EngineReport Report;
  };

  void begin(std::string_view event) {
    Incarnation = newStandInId();
    Fence = 0;
    Resident.clear();
    Host.record({{"event", event}, {"incarnation", Incarnation}});
    changed();
  }

  void control(const HttpIncoming &in, HttpReply &reply) {
    auto set = [&in](std::string_view name, std::int64_t &n) {
      n = queryNumber(in, name, n);
    };
    set("refuse", Faults.Refuse);
    set("fail_loads", Faults.FailLoads);
    set("load_ms", Faults.LoadMs);
    set("late_ms", Faults.LateMs);
    set("truncate", Faults.Truncate);
    set("double", Faults.Double);
    set("cut", Faults.Cut);
    set("cut_after", Faults.CutAfter);
    set("report_lag_ms", Faults.ReportLagMs);
    Host.record({{"event", "control"}, {"query", in.Query}});
    if (queryNumber(in, "restart", 0))
      restart();
    reply.sendWhole(200, {}, "ok\n");
  }

  void restart() {
    for (auto &run : std::exchange(Runs, {}))
      over(*run, "cut");
    begin("restarted");
  }

  /// Keeps what a lagging report will tell.
  void changed() {
    EngineReport report;
    report.Incarnation = Incarnation;
    for (const auto &[adapter, running] : Resident) {
      report.Resident.emplace_back(adapter, running);
      report.Running += running;
    }
    auto now = TimerService::now();
    auto lag = std::chrono::milliseconds(Faults.ReportLagMs);
    Reports.push_back({now, std::move(report)});
    while (Reports.size() > 1 && Reports[1].At <= now - lag)
      Reports.pop_front();
  }

  std::string lagging() {
    changed();
    auto report = Reports.front().Report;
    report.AgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                       TimerService::now() - Reports.front().At)
                       .count();
    report.AgeMs = std::min(report.AgeMs, Faults.ReportLagMs);
    return engine_format::reportBody(report);
  }

  /// Whether the order comes from an owner that has been replaced.
  bool fenced(const HttpIncoming &in, HttpReply &reply) {
    auto epoch = std::strtoull(in.field(header::Fence).value_or("0").c_str(),
                               nullptr, 10);
    if (FLAGS_checks_fencing && epoch < Fence) {
      Host.record({{"event", "fenced"}, {"epoch", epoch}});
      reply.sendWhole(409, {}, errorBody("fenced", "an old fencing number"));
      return true;
    }
    Fence = std::max<Epoch>(Fence, epoch);
    return false;
  }

  void load(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    auto adapter = engine_format::readOrder(in.Body);
    if (!adapter)
      return reply->sendWhole(400, {}, errorBody("bad", adapter.error().Text));
    if (fenced(in, *reply))
      return;
    if (Resident.contains(*adapter))
      return reply->sendWhole(200, {}, "{}");
    if (Resident.size() + Loading >= static_cast<std::size_t>(FLAGS_slots))
      return reply->sendWhole(400, {}, errorBody("full", "no free slot"));
    ++Loading;
    auto order = std::make_shared<LoadOrder>(
        LoadOrder{*adapter, Incarnation, in.field(header::Fence).value_or(""),
                  take(Faults.FailLoads), reply});
    Host.timers().after(std::chrono::milliseconds(Faults.LoadMs),
                        [this, order](Instant) { fetchWeights(order); });
  }

  /// An order to load that is being carried out.
  struct LoadOrder {
    std::string Adapter;
    std::string Incarnation;
    std::string Epoch;
    bool Fails = false;
    std::shared_ptr<HttpReply> Reply;
  };

  void fetchWeights(const std::shared_ptr<LoadOrder> &order) {
    if (FLAGS_weights.empty())
      return loaded(*order, true);
    HttpRequest fetch;
    fetch.Url = FLAGS_weights + "/weights?adapter=" + urlEncode(order->Adapter);
    Client.fetch(fetch,
                 [this, order](const HttpResult &result, const std::string &) {
                   loaded(*order, result.Whole && result.Status == 200);
                 });
  }

  void loaded(const LoadOrder &order, bool fetched) {
    --Loading;
    if (!fetched || order.Fails || order.Incarnation != Incarnation) {
      Host.record({{"event", "load_failed"}, {"adapter", order.Adapter}});
      return order.Reply->sendWhole(500, {},
                                    errorBody("load_failed", order.Adapter));
    }
    Resident.try_emplace(order.Adapter, 0);
    Host.record({{"event", "loaded"},
                 {"adapter", order.Adapter},
                 {"epoch", order.Epoch}});
    changed();
    order.Reply->sendWhole(200, {}, "{}");
  }

  void unload(const HttpIncoming &in, HttpReply &reply) {
    auto adapter = engine_format::readOrder(in.Body);
    if (!adapter)
      return reply.sendWhole(400, {}, errorBody("bad", adapter.error().Text));
    if (fenced(in, reply))
      return;
    auto it = Resident.find(*adapter);
    if (it == Resident.end())
      return reply.sendWhole(404, {}, errorBody("not_loaded", *adapter));
    Host.record({{"event", "evicted"},
                 {"adapter", *adapter},
                 {"running", it->second},
                 {"epoch", in.field(header::Fence).value_or("")}});
    Resident.erase(it);
    changed();
    reply.sendWhole(200, {}, "{}");
  }

  void refuse(const HttpIncoming &in, HttpReply &reply, int status,
              std::string_view type) {
    auto node = json::parse(in.Body, nullptr, false);
    Host.record({{"event", "refused"},
                 {"request", in.field(header::RequestId).value_or("")},
                 {"attempt", in.field(header::Attempt).value_or("")},
                 {"tag", node.is_object() ? node.value("user", "") : ""},
                 {"status", status}});
    reply.sendWhole(status, {}, errorBody(type, "refused before running"));
  }

  void complete(const HttpIncoming &in,
                const std::shared_ptr<HttpReply> &reply) {
    auto node = json::parse(in.Body, nullptr, false);
    auto adapter = node.is_object() ? node.value("model", "") : "";
    auto it = Resident.find(adapter);
    if (it == Resident.end())
      return refuse(in, *reply, 404, "not_loaded");
    if (take(Faults.Refuse) ||
        Runs.size() >= static_cast<std::size_t>(FLAGS_batch) * 2)
      return refuse(in, *reply, Unavailable, "refused");
    auto run = std::make_shared<EngineRun>(in, node, FLAGS_name);
    run->Number = ++LastRun;
    run->Truncated = take(Faults.Truncate);
    run->Doubled = take(Faults.Double);
    run->CutAfter = take(Faults.Cut) ? Faults.CutAfter : 0;
    ++it->second;
    Runs.push_back(run);
    changed();
    Host.record({{"event", "ran"},
                 {"run", run->Number},
                 {"request", run->Id},
                 {"attempt", in.field(header::Attempt).value_or("")},
                 {"key", in.field(header::IdempotencyKey).value_or("")},
                 {"epoch", in.field(header::Fence).value_or("")},
                 {"tag", run->Tag},
                 {"adapter", adapter}});
    attach(run, reply);
    Host.timers().after(std::chrono::milliseconds(Faults.LateMs),
                        [this, run](Instant) { step(run); });
  }

  /// Goes on with a stream from the event that its caller saw last.
  void resume(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    auto id = in.field(header::RequestId).value_or("");
    auto it = std::find_if(Runs.begin(), Runs.end(), [&id](const auto &run) {
      return run->Id == id && run->Stream && !run->Reply;
    });
    if (it == Runs.end())
      return reply->sendWhole(Gone, {}, errorBody("not_resumable", id));
    auto run = *it;
    Host.record({{"event", "resumed"}, {"run", run->Number}});
    attach(run, reply);
    auto seen = std::strtoull(in.field("Last-Event-ID")->c_str(), nullptr, 10);
    run->replay(seen);
    if (run->generated())
      finish(run);
  }

  void attach(const std::shared_ptr<EngineRun> &run,
              const std::shared_ptr<HttpReply> &reply) {
    run->Reply = reply;
    reply->onGone([this, run, weak = std::weak_ptr(reply)] {
      if (run->Reply && run->Reply == weak.lock())
        detach(run);
    });
    if (run->Stream)
      run->startStream();
  }

  /// The other side went away: the run is cancelled, or goes on for a while.
  void detach(const std::shared_ptr<EngineRun> &run) {
    if (run->Over)
      return;
    if (!run->Stream || FLAGS_linger_ms == 0)
      return end(run, "cancelled");
    run->Reply.reset();
    auto times = ++run->Detached;
    Host.record({{"event", "detached"}, {"run", run->Number}});
    Host.timers().after(std::chrono::milliseconds(FLAGS_linger_ms),
                        [this, run, times](Instant) {
                          if (!run->Over && !run->Reply &&
                              run->Detached == times)
                            end(run, "cancelled");
                        });
  }

  void step(const std::shared_ptr<EngineRun> &run) {
    if (run->Over)
      return;
    if (run->CutAfter && run->Next >= run->CutAfter)
      return end(run, "cut");
    if (run->generated()) {
      // Without its caller the finished run waits to be resumed.
      if (run->Reply)
        finish(run);
      return;
    }
    run->generate();
    Host.timers().after(std::chrono::microseconds(FLAGS_token_us),
                        [this, run](Instant) { step(run); });
  }

  void finish(const std::shared_ptr<EngineRun> &run) {
    auto reply = run->Reply;
    run->finish();
    end(run, "finished");
  }

  void end(const std::shared_ptr<EngineRun> &run, std::string_view event) {
    std::erase(Runs, run);
    auto it = Resident.find(run->Adapter);
    if (it != Resident.end() && it->second)
      --it->second;
    changed();
    over(*run, event);
  }

  /// Says how a run ended; one that is cut breaks its connection.
  void over(EngineRun &run, std::string_view event) {
    run.Over = true;
    Host.record({{"event", event},
                 {"run", run.Number},
                 {"tag", run.Tag},
                 {"request", run.Id},
                 {"adapter", run.Adapter},
                 {"whole", event == "finished" && !run.Truncated},
                 {"hash", textHash(run.Text)}});
    if (event == "cut" && run.Reply)
      run.Reply->abort();
    run.Reply.reset();
  }

  StandIn &Host;
  HttpClient Client;
  EngineFaults Faults;
  std::string Incarnation;
  Epoch Fence = 0;
  std::size_t Loading = 0;
  std::uint64_t LastRun = 0;
  /// Adapters that are loaded, and requests running on each.
  std::map<std::string, std::uint32_t> Resident;
  std::vector<std::shared_ptr<EngineRun>> Runs;
  std::deque<Snapshot> Reports;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Engine>(argc, argv); }
