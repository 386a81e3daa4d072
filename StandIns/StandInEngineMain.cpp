// Stand-in for a model engine: the OpenAI-style API, loading and unloading of
// adapters with fencing, load reports, and resuming of streams. It derives its
// tokens from the request. Faults are set by flags and by /control:
//
//   refuse=N         refuse the next N requests before running them (503)
//   fail_loads=N     fail the next N loads
//   load_ms=N        delay every load by N ms
//   late_ms=N        delay the first token of each answer by N ms
//   truncate=N       end the next N answers after half of the tokens, as if
//                    they were complete
//   double=N         send each token of the next N streams twice
//   cut=N, cut_after=K   break the connection of the next N answers after K
//                    tokens
//   report_lag_ms=N  reports give the state of N ms ago
//   restart=1        start a new incarnation: nothing is loaded, and running
//                    requests are cut

#include "StandIns/EngineRun.h"
#include "StandIns/StandIn.h"

#include <deque>

DEFINE_string(name, "engine-1", "name of the replica");
DEFINE_int32(slots, 8, "adapters that can be resident at once");
DEFINE_int32(batch, 32, "concurrent requests; twice as many are accepted");
DEFINE_int32(token_us, 2000, "time between tokens, in microseconds");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_string(weights, "",
              "URL of the weight store; if empty, loads need no weights");
DEFINE_int32(linger_ms, 0,
             "how long a stream without a reader continues and can be "
             "resumed; 0 cancels it at once");
DEFINE_int32(load_ms, 0,
             "delay of a load besides the time of the weight store");
DEFINE_int32(report_lag_ms, 0, "age of the load reports");

namespace {

using namespace hemlockglade;
using nlohmann::json;

/// Faults to be injected; counts fall with each one injected.
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

/// Decrements a fault's count; returns whether the fault is to be injected.
bool consume(std::int64_t &n) { return n > 0 && n--; }

constexpr int Gone = 410;
constexpr int Unavailable = 503;

/// The engine. Runs on one thread, so it needs no lock.
class Engine {
public:
  explicit Engine(StandIn &host) : Host(host), Client(host.context()) {
    Faults.LoadMs = FLAGS_load_ms;
    Faults.ReportLagMs = FLAGS_report_lag_ms;
    begin("started");
  }

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/load")
      return reply->sendWhole(200, {}, laggedReport());
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
  /// A report and the time of the state it describes.
  struct Snapshot {
    Instant At{};
    EngineReport Report;
  };

  void begin(std::string_view event) {
    Incarnation = newStandInId();
    Fence = 0;
    Resident.clear();
    Host.record({{"event", event}, {"incarnation", Incarnation}});
    recordReport();
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
      recordEnd(*run, "cut");
    begin("restarted");
  }

  /// Stores the current state, so that later reports can be delayed by the
  /// configured lag; drops those that are older than needed.
  void recordReport() {
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

  std::string laggedReport() {
    recordReport();
    auto report = Reports.front().Report;
    report.AgeMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                       TimerService::now() - Reports.front().At)
                       .count();
    report.AgeMs = std::min(report.AgeMs, Faults.ReportLagMs);
    return engine_format::reportBody(report);
  }

  /// Answers with 409 and returns true if the command has a lower fencing
  /// number than an earlier one, so that its sender is no longer the owner.
  bool refuseStaleEpoch(const HttpIncoming &in, HttpReply &reply) {
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
    if (refuseStaleEpoch(in, *reply))
      return;
    if (Resident.contains(*adapter))
      return reply->sendWhole(200, {}, "{}");
    if (Resident.size() + Loading >= static_cast<std::size_t>(FLAGS_slots))
      return reply->sendWhole(400, {}, errorBody("full", "no free slot"));
    ++Loading;
    auto order = std::make_shared<LoadCommand>(
        LoadCommand{*adapter, Incarnation, in.field(header::Fence).value_or(""),
                    consume(Faults.FailLoads), reply});
    Host.timers().after(std::chrono::milliseconds(Faults.LoadMs),
                        [this, order](Instant) { fetchWeights(order); });
  }

  /// A command to load an adapter that is in progress.
  struct LoadCommand {
    std::string Adapter;
    std::string Incarnation;
    std::string Epoch;
    bool Fails = false;
    std::shared_ptr<HttpReply> Reply;
  };

  void fetchWeights(const std::shared_ptr<LoadCommand> &order) {
    if (FLAGS_weights.empty())
      return loaded(*order, true);
    HttpRequest fetch;
    fetch.Url = FLAGS_weights + "/weights?adapter=" + urlEncode(order->Adapter);
    Client.fetch(fetch,
                 [this, order](const HttpResult &result, const std::string &) {
                   loaded(*order, result.Whole && result.Status == 200);
                 });
  }

  void loaded(const LoadCommand &order, bool fetched) {
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
    recordReport();
    order.Reply->sendWhole(200, {}, "{}");
  }

  void unload(const HttpIncoming &in, HttpReply &reply) {
    auto adapter = engine_format::readOrder(in.Body);
    if (!adapter)
      return reply.sendWhole(400, {}, errorBody("bad", adapter.error().Text));
    if (refuseStaleEpoch(in, reply))
      return;
    auto it = Resident.find(*adapter);
    if (it == Resident.end())
      return reply.sendWhole(404, {}, errorBody("not_loaded", *adapter));
    Host.record({{"event", "evicted"},
                 {"adapter", *adapter},
                 {"running", it->second},
                 {"epoch", in.field(header::Fence).value_or("")}});
    Resident.erase(it);
    recordReport();
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
    if (consume(Faults.Refuse) ||
        Runs.size() >= static_cast<std::size_t>(FLAGS_batch) * 2)
      return refuse(in, *reply, Unavailable, "refused");
    auto run = std::make_shared<EngineRun>(in, node, FLAGS_name);
    run->Number = ++LastRun;
    run->Truncated = consume(Faults.Truncate);
    run->Doubled = consume(Faults.Double);
    run->CutAfter = consume(Faults.Cut) ? Faults.CutAfter : 0;
    ++it->second;
    Runs.push_back(run);
    recordReport();
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

  /// Resumes a stream after the last event that its caller received.
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

  /// Called when the reader has disconnected: cancels the run, or lets a stream
  /// continue for --linger_ms.
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
      // Without a reader the finished run waits to be resumed.
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
    recordReport();
    recordEnd(*run, event);
  }

  /// Records how a run ended, and breaks the connection of one that is cut.
  void recordEnd(EngineRun &run, std::string_view event) {
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
  /// Resident adapters, and the number of requests running on each.
  std::map<std::string, std::uint32_t> Resident;
  std::vector<std::shared_ptr<EngineRun>> Runs;
  std::deque<Snapshot> Reports;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Engine>(argc, argv); }
