// Simulated caller with many concurrent requests. It queries the directory,
// caches the answer for its time to live, sends requests, reads and checks the
// whole answers, waits as Retry-After says, and writes a history. Exits after
// --requests. With --observe_ms it only polls the configuration in force, until
// SIGTERM.

#include "StandIns/AnswerReader.h"
#include "StandIns/CallerDirectory.h"
#include "StandIns/CallerPlan.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(name, "caller-1", "name in the history");
DEFINE_string(history, "", "file to append events to, as JSON lines");
DEFINE_string(nodes_file, "", "file with the ip:port of one node in each line");
DEFINE_string(models, "", "adapters to request, most popular first: a@1,b");
DEFINE_string(services, "", "plain services to call: a,b");
DEFINE_int64(requests, 100,
             "requests to send, not counting copies and retries");
DEFINE_int32(workers, 8, "concurrent requests");
DEFINE_uint64(seed, 1, "seed of the generated requests");
DEFINE_int32(pause_ms, 0,
             "pause of a worker between requests, in milliseconds");
DEFINE_int32(max_tokens, 200, "max. tokens of an answer");
DEFINE_int32(max_sends, 6, "max. attempts of one request, not counting copies");
DEFINE_int32(observe_ms, 0,
             "interval between polls of the configuration, in "
             "milliseconds; 0 sends requests instead");

namespace {

using namespace hemlockglade;
using nlohmann::json;

constexpr Span AnswerTimeout = std::chrono::seconds(90);
constexpr Span ObserveTimeout = std::chrono::seconds(1);
constexpr std::int64_t MaxRetryDelayS = 3;

std::vector<std::string> split(const std::string &text) {
  std::vector<std::string> out;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

CallerPlanSettings planSettings() {
  CallerPlanSettings settings;
  settings.Name = FLAGS_name;
  settings.Seed = FLAGS_seed;
  settings.Models = split(FLAGS_models);
  settings.Services = split(FLAGS_services);
  settings.MaxTokens = FLAGS_max_tokens;
  return settings;
}

/// One attempt of a request.
struct Sending {
  CallerOrder Order;
  /// Number of the attempt within the request, from 1.
  int Attempt = 1;
  /// Whether this is the copy that is sent to another node.
  bool Copy = false;
  /// Name that endpoints receive; all attempts of a request with an idempotency
  /// key have the same one.
  std::string Tag;
  /// Unique name of this attempt.
  std::string Id;
  std::string To;
  std::optional<AnswerReader> Reader;
};

class Caller {
public:
  explicit Caller(StandIn &host)
      : Host(host), Client(host.context()),
        Directory(host, Client, FLAGS_nodes_file), Plan(planSettings()) {}

  void start() {
    for (int it = 0; it < FLAGS_workers; ++it)
      next();
  }

  const std::map<std::string, int> &counts() const { return Counts; }

private:
  using Shared = std::shared_ptr<Sending>;

  void next() {
    if (Placed == FLAGS_requests) {
      ++Idle;
      return;
    }
    ++Placed;
    auto sending = std::make_shared<Sending>();
    sending->Order = Plan.next();
    if (sending->Order.Doubled) {
      ++Copies;
      auto copy = std::make_shared<Sending>(*sending);
      copy->Copy = true;
      prepare(copy);
    }
    prepare(sending);
  }

  /// Queries the directory for the nodes to send to, then sends.
  void prepare(const Shared &sending) {
    const auto &order = sending->Order;
    auto number = FLAGS_name + '-' + std::to_string(order.Number);
    sending->Id = number + '/' + std::to_string(sending->Attempt) +
                  (sending->Copy ? "b" : "");
    sending->Tag = order.Key.empty() ? sending->Id : number;
    auto query = order.Service.empty() ? "model=" + urlEncode(order.Model)
                                       : "service=" + urlEncode(order.Service);
    Directory.find(query, [this, sending](const DirectoryAnswer &answer) {
      if (answer.Addresses.empty())
        return end(sending, "nowhere");
      send(sending, answer);
    });
  }

  /// Chooses the first address for most attempts, the last one for copies, and
  /// a random one for the rest.
  std::string choose(const Sending &sending, const DirectoryAnswer &answer) {
    constexpr double ElsewhereShare = 0.3;
    const auto &all = answer.Addresses;
    if (sending.Copy)
      return all.back();
    return Plan.chance(ElsewhereShare) ? all[Plan.below(all.size())] : all[0];
  }

  std::string body(const Sending &sending) const {
    const auto &order = sending.Order;
    if (!order.Service.empty())
      return json{{"user", sending.Tag}, {"seat", order.Number}}.dump();
    json node{{"model", order.Model},
              {"stream", order.Stream},
              {"max_tokens", order.Tokens},
              {"user", sending.Tag}};
    if (order.Chat)
      node["messages"] =
          json::array({json{{"role", "user"}, {"content", order.Prompt}}});
    else
      node["prompt"] = order.Prompt;
    return node.dump();
  }

  void send(const Shared &sending, const DirectoryAnswer &answer) {
    const auto &order = sending->Order;
    sending->To = choose(*sending, answer);
    HttpRequest request;
    request.Method = "POST";
    request.Timeout = AnswerTimeout;
    request.Body = body(*sending);
    request.Fields = {{"Content-Type", "application/json"}};
    // libcurl may itself resend a request on a reused connection, so requests
    // that must not run twice get a new connection.
    request.FreshConnection = !order.Key.empty();
    if (!order.Key.empty()) {
      request.Fields.emplace_back(header::IdempotencyKey, order.Key);
      request.Fields.emplace_back(header::Repeatable, "no");
    }
    std::string path = order.Chat ? "/v1/chat/completions" : "/v1/completions";
    if (!order.Service.empty())
      path = "/services/" + order.Service + "/seats";
    request.Url = "http://" + sending->To + path;
    ExpectedAnswer expected{sending->Tag, order.Model, order.Tokens,
                            order.Stream,
                            order.Service.empty() ? "" : request.Body};
    sending->Reader.emplace(std::move(expected));
    Host.record({{"event", "sent"},
                 {"sending", sending->Id},
                 {"tag", sending->Tag},
                 {"key", order.Key},
                 {"adapter", order.Model},
                 {"service", order.Service},
                 {"to", sending->To},
                 {"asked_us", answer.AskedAt.count()},
                 {"ttl_us", answer.TimeToLive.count()}});
    HttpHooks hooks;
    hooks.OnHead = [sending](int status, const HttpFields &fields) {
      sending->Reader->head(status, fields);
    };
    hooks.OnPart = [sending](std::string_view text) {
      sending->Reader->part(text);
      return true;
    };
    hooks.OnDone = [this, sending](const HttpResult &result) {
      answered(sending, result);
    };
    Client.start(std::move(request), std::move(hooks));
  }

  void answered(const Shared &sending, const HttpResult &result) {
    auto &reader = *sending->Reader;
    reader.end(result.Whole);
    ++Counts[reader.Fault.empty() ? reader.Outcome : "faulty"];
    Host.record({{"event", "answered"},
                 {"sending", sending->Id},
                 {"tag", sending->Tag},
                 {"key", sending->Order.Key},
                 {"to", sending->To},
                 {"outcome", reader.Outcome},
                 {"status", reader.Status},
                 {"hash", textHash(reader.Text)},
                 {"request", reader.Request},
                 {"adapter", reader.Adapter},
                 {"replica", reader.Replica},
                 {"fault", reader.Fault},
                 {"error", result.Error}});
    // A node that could not be reached may have ended; the cached directory
    // answer expires by itself.
    if (!mustRetry(*sending))
      return end(sending, "");
    auto wait =
        std::chrono::seconds(std::min(reader.RetryAfter, MaxRetryDelayS));
    Host.timers().after(wait + std::chrono::milliseconds(200),
                        [this, sending](Instant) {
                          auto retry = std::make_shared<Sending>();
                          retry->Order = sending->Order;
                          retry->Copy = sending->Copy;
                          retry->Attempt = sending->Attempt + 1;
                          prepare(retry);
                        });
  }

  /// Whether the request is to be retried: it didn't complete, wasn't rejected
  /// as invalid, and has attempts left.
  static bool mustRetry(const Sending &sending) {
    const auto &reader = *sending.Reader;
    constexpr int BadRequest = 400;
    constexpr int TooMany = 429;
    bool refused = reader.Status >= BadRequest && reader.Status < TooMany;
    return reader.Outcome != "complete" && !refused &&
           sending.Attempt < FLAGS_max_sends;
  }

  void end(const Shared &sending, const std::string &event) {
    if (!event.empty())
      Host.record(
          {{"event", event}, {"sending", sending->Id}, {"tag", sending->Tag}});
    if (sending->Copy) {
      --Copies;
      return stopIfDone();
    }
    Host.timers().after(std::chrono::milliseconds(FLAGS_pause_ms),
                        [this](Instant) {
                          next();
                          stopIfDone();
                        });
  }

  /// Stops the program once all workers are idle and no copy, which may take
  /// longer than them, is under way.
  void stopIfDone() {
    if (Idle == FLAGS_workers && Copies == 0)
      Host.context().stop();
  }

  StandIn &Host;
  HttpClient Client;
  CallerDirectory Directory;
  CallerPlan Plan;
  std::int64_t Placed = 0;
  int Idle = 0;
  int Copies = 0;
  std::map<std::string, int> Counts;
};

/// Polls each node's configuration in force periodically.
class Observer {
public:
  explicit Observer(StandIn &host)
      : Host(host), Client(host.context()),
        Directory(host, Client, FLAGS_nodes_file),
        Round(host.timers().every(std::chrono::milliseconds(FLAGS_observe_ms),
                                  [this](Instant) { poll(); })) {}

private:
  void poll() {
    for (const auto &node : Directory.nodes()) {
      HttpRequest request;
      request.Method = "POST";
      request.Url = "http://" + node + std::string(admin_path::Statement);
      request.Body = json{
          {"statement", "show config"},
          {"id", FLAGS_name},
          {"operator",
           FLAGS_name}}.dump();
      request.Timeout = ObserveTimeout;
      auto asked = TimerService::now().count();
      Client.fetch(request, [this, node, asked](const HttpResult &result,
                                                const std::string &body) {
        auto parsed = json::parse(body, nullptr, false);
        if (!result.Whole || result.Status != 200 || !parsed.is_object())
          return;
        auto rows = parsed.value("rows", json::array());
        if (rows.empty())
          return;
        Host.record({{"event", "in_force"},
                     {"to", node},
                     {"asked_us", asked},
                     {"revision", rows[0].value("revision", 0)}});
      });
    }
  }

  StandIn &Host;
  HttpClient Client;
  CallerDirectory Directory;
  TimerService::Subscription Round;
};

int run(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  StandIn host(context, FLAGS_name, FLAGS_history);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](asio::error_code, int) { context.stop(); });
  if (FLAGS_observe_ms) {
    Observer observer(host);
    context.run();
    return 0;
  }
  Caller caller(host);
  caller.start();
  context.run();
  host.record({{"event", "done"}});
  std::cout << FLAGS_name << ':';
  for (const auto &[outcome, n] : caller.counts())
    std::cout << ' ' << outcome << '=' << n;
  std::cout << std::endl;
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return hemlockglade::guarded([argc, argv] { return run(argc, argv); });
}
