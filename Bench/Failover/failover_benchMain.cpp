// Sends short completions at a fixed rate, independently of the answers, and
// logs one line for each: when it was sent and when it ended, in microseconds
// of the wall clock, its outcome, status and reason, the node and the adapter.
// Ends after --requests or at SIGTERM, once all sent requests are answered.

#include "Hemlockglade/Transport/Transport.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <strings.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(nodes_file, "", "file with the ip:port of one node in each line");
DEFINE_string(log, "", "file to write a line for each request to");
DEFINE_string(models, "", "adapters to request in turn: a@1,b");
DEFINE_double(rate, 50, "requests per second");
DEFINE_int64(requests, 100000,
             "number of requests after which the program ends");
DEFINE_int64(deadline_ms, 20000, "deadline of each request, in milliseconds");
DEFINE_int64(tokens, 4, "tokens of an answer");
DEFINE_int64(keyed_every, 0,
             "every Nth request has an idempotency key and must not run "
             "twice; 0: none");
DEFINE_int32(directory_callers, 0,
             "number of simulated callers, each of which queries the directory "
             "and caches its answer; 0 sends to the nodes of the file in turn");

namespace {

using namespace hemlockglade;
using nlohmann::json;

constexpr Span AnswerMargin = std::chrono::seconds(5);
constexpr Span DirectoryTimeout = std::chrono::seconds(1);
constexpr Span DirectoryRetry = std::chrono::milliseconds(100);
constexpr std::int64_t MicrosPerSecond = 1000000;

std::int64_t wallUs() {
  auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

std::vector<std::string> split(std::istream &&in, char separator) {
  std::vector<std::string> out;
  for (std::string it; std::getline(in, it, separator);) {
    if (!it.empty())
      out.push_back(it);
  }
  return out;
}

std::vector<std::string> nodes() {
  return split(std::ifstream(FLAGS_nodes_file), '\n');
}

/// A caller's cached answer of the directory.
struct CachedAddresses {
  std::vector<std::string> Addresses;
  Instant Until{};
};

/// One request and its answer.
struct PendingRequest {
  std::int64_t Number = 0;
  std::int64_t SentUs = 0;
  Instant Deadline{};
  std::string Model;
  std::size_t Caller = 0;
  /// Addresses not yet used for an attempt, in order.
  std::vector<std::string> Addresses;
  std::string To;
  int Status = 0;
  std::string Outcome;
  std::string Body;
};

class Stream {
public:
  explicit Stream(asio::io_context &context)
      : Context(context), Timers(context), Client(context), Log(FLAGS_log),
        Models(split(std::istringstream(FLAGS_models), ',')),
        Cached(static_cast<std::size_t>(FLAGS_directory_callers)) {
    auto period = static_cast<std::int64_t>(MicrosPerSecond / FLAGS_rate);
    SendTimer = Timers.every(Span(period), [this](Instant) { next(); });
  }

  /// Stops sending, and stops the program once all requests are answered.
  void finish() {
    SendTimer.reset();
    Finishing = true;
    endIfDone();
  }

  const std::map<std::string, int> &counts() const { return Counts; }

private:
  using Shared = std::shared_ptr<PendingRequest>;

  void next() {
    if (Finishing)
      return;
    auto pending = std::make_shared<PendingRequest>();
    pending->Number = ++Started;
    pending->SentUs = wallUs();
    pending->Deadline =
        TimerService::now() + std::chrono::milliseconds(FLAGS_deadline_ms);
    auto n = static_cast<std::size_t>(pending->Number);
    pending->Model = Models[n % Models.size()];
    ++Running;
    if (Cached.empty()) {
      auto all = nodes();
      pending->Addresses = {all[n % all.size()]};
      send(pending);
    } else {
      pending->Caller = n % Cached.size();
      find(pending, n);
    }
    if (Started >= FLAGS_requests)
      finish();
  }

  /// Uses the caller's cached addresses, or queries the directory for them,
  /// retrying at the next node until the deadline.
  void find(const Shared &pending, std::size_t nodeIndex) {
    auto &cached = Cached[pending->Caller];
    if (TimerService::now() < cached.Until && !cached.Addresses.empty()) {
      pending->Addresses = cached.Addresses;
      return send(pending);
    }
    if (TimerService::now() > pending->Deadline)
      return end(pending, "not-run", "no-directory");
    auto all = nodes();
    HttpRequest request;
    request.Url = "http://" + all[nodeIndex % all.size()] +
                  "/directory?model=" + urlEncode(pending->Model);
    request.Timeout = DirectoryTimeout;
    auto asked = TimerService::now();
    Client.fetch(
        request, [this, pending, nodeIndex, asked](const HttpResult &result,
                                                   const std::string &body) {
          if (result.Whole && result.Status == 200) {
            cacheAnswer(Cached[pending->Caller], asked, body);
            return find(pending, nodeIndex);
          }
          Timers.after(DirectoryRetry, [this, pending, nodeIndex](Instant) {
            find(pending, nodeIndex + 1);
          });
        });
  }

  static void cacheAnswer(CachedAddresses &cached, Instant asked,
                          const std::string &body) {
    auto node = json::parse(body, nullptr, false);
    if (!node.is_object())
      return;
    auto ttl = std::chrono::duration<double>(node.value("ttl_s", 0.0));
    cached.Addresses =
        node.value("addresses", json::array()).get<std::vector<std::string>>();
    cached.Until = asked + std::chrono::duration_cast<Span>(ttl);
  }

  HttpRequest request(const PendingRequest &pending) const {
    HttpRequest out;
    out.Method = "POST";
    out.Url = "http://" + pending.To + "/v1/completions";
    out.Timeout = pending.Deadline - TimerService::now() + AnswerMargin;
    out.Fields = {{"Content-Type", "application/json"},
                  {"X-Deadline-Ms", std::to_string(FLAGS_deadline_ms)}};
    if (FLAGS_keyed_every && pending.Number % FLAGS_keyed_every == 0) {
      out.Fields.emplace_back(header::IdempotencyKey,
                              "bench-" + std::to_string(pending.SentUs));
      out.Fields.emplace_back(header::Repeatable, "no");
      out.FreshConnection = true;
    }
    out.Body = json{{"model", pending.Model},
                    {"prompt", "which papers do I need"},
                    {"max_tokens", FLAGS_tokens}}
                   .dump();
    return out;
  }

  void send(const Shared &pending) {
    pending->To = pending->Addresses.front();
    pending->Addresses.erase(pending->Addresses.begin());
    HttpHooks hooks;
    hooks.OnHead = [pending](int status, const HttpFields &fields) {
      pending->Status = status;
      for (const auto &[name, value] : fields) {
        if (strcasecmp(name.c_str(), header::Outcome.data()) == 0)
          pending->Outcome = value;
      }
    };
    hooks.OnPart = [pending](std::string_view part) {
      pending->Body.append(part);
      return true;
    };
    hooks.OnDone = [this, pending](const HttpResult &result) {
      answered(pending, result);
    };
    Client.start(request(*pending), std::move(hooks));
  }

  void answered(const Shared &pending, const HttpResult &result) {
    bool reached = result.Whole || result.MayHaveSent;
    if (!reached && !pending->Addresses.empty())
      return send(pending);
    if (!reached)
      return end(pending, "not-run", "not-connected");
    if (!result.Whole)
      return end(pending, "cut", result.Error);
    auto outcome = pending->Outcome.empty() ? "none" : pending->Outcome;
    end(pending, outcome, outcome == "complete" ? "" : reasonOf(*pending));
  }

  static std::string reasonOf(const PendingRequest &pending) {
    auto node = json::parse(pending.Body, nullptr, false);
    if (!node.is_object() || !node["error"].is_object())
      return "-";
    return node["error"].value("message", "-");
  }

  void end(const Shared &pending, const std::string &outcome,
           std::string reason) {
    std::replace(reason.begin(), reason.end(), ' ', '_');
    Log << pending->SentUs << ' ' << wallUs() << ' ' << outcome << ' '
        << pending->Status << ' ' << (reason.empty() ? "-" : reason) << ' '
        << (pending->To.empty() ? "-" : pending->To) << ' ' << pending->Model
        << std::endl;
    ++Counts[outcome];
    --Running;
    endIfDone();
  }

  void endIfDone() {
    if (Finishing && Running == 0)
      Context.stop();
  }

  asio::io_context &Context;
  TimerService Timers;
  HttpClient Client;
  std::ofstream Log;
  std::vector<std::string> Models;
  std::vector<CachedAddresses> Cached;
  TimerService::Subscription SendTimer;
  std::int64_t Started = 0;
  std::int64_t Running = 0;
  bool Finishing = false;
  std::map<std::string, int> Counts;
};

void run() {
  asio::io_context context(1);
  Stream stream(context);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&stream](asio::error_code, int) { stream.finish(); });
  context.run();
  for (const auto &[outcome, n] : stream.counts())
    std::cout << outcome << '=' << n << ' ';
  std::cout << std::endl;
}

} // namespace

int main(int argc, char **argv) {
  try {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    run();
    return 0;
  } catch (const std::exception &error) {
    std::cerr << "failover_bench: " << error.what() << '\n';
    return 1;
  }
}
