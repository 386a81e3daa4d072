// A stand-in for a model engine: the OpenAI-style API, adapter orders with
// fencing, load reports. It makes up its tokens from the request.

#include "StandIn.h"

#include <nlohmann/json.hpp>

DEFINE_string(name, "engine-1", "name of the replica");
DEFINE_int32(slots, 8, "adapters that fit");
DEFINE_int32(batch, 32, "requests that run at once");
DEFINE_int32(token_us, 2000, "time between tokens, in microseconds");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing number");
DEFINE_string(weights, "", "URL of the weight store; empty loads at once");

namespace {

using namespace hemlockglade;
using nlohmann::json;

/// One answer that is being generated.
struct Generation {
  std::string Adapter;
  std::string Id;
  std::shared_ptr<HttpReply> Reply;
  int Next = 0;
  int Tokens = 16;
  bool Stream = false;
  bool Chat = false;
  bool Gone = false;
  std::string Text;
};

/// The engine. One thread runs it, so it needs no lock.
class Engine {
public:
  explicit Engine(StandIn &host)
      : Host(host), Client(host.context()), Incarnation(standInId()) {}

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/load")
      return report(*reply);
    if (in.Path == "/v1/load_lora_adapter")
      return load(in, reply);
    if (in.Path == "/v1/unload_lora_adapter")
      return unload(in, *reply);
    if (in.Path == "/v1/completions" || in.Path == "/v1/chat/completions")
      return complete(in, reply);
    reply->sendWhole(404, {}, errorBody("not_found", in.Path));
  }

private:
  void report(HttpReply &reply) {
    EngineReport report;
    report.Incarnation = Incarnation;
    for (const auto &[adapter, running] : Resident) {
      report.Resident.emplace_back(adapter, running);
      report.Running += running;
    }
    reply.sendWhole(200, {}, engine_format::reportBody(report));
  }

  /// Whether the order comes from an owner that has been replaced.
  bool fenced(const HttpIncoming &in, HttpReply &reply) {
    auto epoch = std::strtoull(in.field(header::Fence).value_or("0").c_str(),
                               nullptr, 10);
    if (FLAGS_checks_fencing && epoch < Fence) {
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
    if (FLAGS_weights.empty()) {
      Resident[*adapter] = 0;
      return reply->sendWhole(200, {}, "{}");
    }
    ++Loading;
    HttpRequest fetch;
    fetch.Url = FLAGS_weights + "/weights?adapter=" + urlEncode(*adapter);
    Client.fetch(fetch, [this, reply, adapter = *adapter](
                            const HttpResult &result, const std::string &) {
      --Loading;
      if (!result.Whole || result.Status != 200)
        return reply->sendWhole(500, {}, errorBody("load_failed", adapter));
      Resident[adapter] = 0;
      Host.record({{"event", "loaded"}, {"adapter", adapter}});
      reply->sendWhole(200, {}, "{}");
    });
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
    reply.sendWhole(200, {}, "{}");
  }

  void complete(const HttpIncoming &in,
                const std::shared_ptr<HttpReply> &reply) {
    auto node = json::parse(in.Body, nullptr, false);
    auto adapter = node.is_object() ? node.value("model", "") : "";
    auto it = Resident.find(adapter);
    if (it == Resident.end())
      return reply->sendWhole(404, {}, errorBody("not_loaded", adapter));
    auto run = std::make_shared<Generation>();
    run->Adapter = adapter;
    run->Id = in.field(header::RequestId).value_or("");
    run->Reply = reply;
    run->Tokens = node.value("max_tokens", run->Tokens);
    run->Stream = node.value("stream", false);
    run->Chat = in.Path == "/v1/chat/completions";
    ++it->second;
    Host.record({{"event", "ran"},
                 {"request", run->Id},
                 {"attempt", in.field(header::Attempt).value_or("")},
                 {"adapter", adapter}});
    reply->onGone([run] { run->Gone = true; });
    if (run->Stream)
      reply->startStream(200, {{"Content-Type", "text/event-stream"},
                               {std::string(header::RequestId), run->Id}});
    step(run);
  }

  void step(const std::shared_ptr<Generation> &run) {
    if (run->Gone)
      return end(run);
    if (run->Next == run->Tokens)
      return finish(run);
    auto token = run->Adapter + "#" + std::to_string(run->Next++) + " ";
    if (run->Stream)
      run->Reply->sendPart("id: " + std::to_string(run->Next) +
                               "\ndata: " + chunk(*run, token).dump() + "\n\n",
                           nullptr);
    else
      run->Text += token;
    Host.timers().after(std::chrono::microseconds(FLAGS_token_us),
                        [this, run](Instant) { step(run); });
  }

  json chunk(const Generation &run, const std::string &text) const {
    json choice{{"index", 0}};
    if (run.Chat)
      choice[run.Stream ? "delta" : "message"] = {{"role", "assistant"},
                                                  {"content", text}};
    else
      choice["text"] = text;
    return {{"id", run.Id},
            {"model", run.Adapter},
            {"replica", FLAGS_name},
            {"choices", json::array({choice})}};
  }

  void finish(const std::shared_ptr<Generation> &run) {
    if (run->Stream) {
      run->Reply->sendPart("data: [DONE]\n\n", nullptr);
      run->Reply->finishStream();
    } else {
      run->Reply->sendWhole(200,
                            {{"Content-Type", "application/json"},
                             {std::string(header::RequestId), run->Id}},
                            chunk(*run, run->Text).dump() + "\n");
    }
    end(run);
  }

  void end(const std::shared_ptr<Generation> &run) {
    Host.record({{"event", run->Gone ? "cancelled" : "answered"},
                 {"request", run->Id},
                 {"adapter", run->Adapter}});
    auto it = Resident.find(run->Adapter);
    if (it != Resident.end() && it->second)
      --it->second;
  }

  StandIn &Host;
  HttpClient Client;
  std::string Incarnation;
  Epoch Fence = 0;
  std::size_t Loading = 0;
  std::map<std::string, std::uint32_t> Resident;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Engine>(argc, argv); }
