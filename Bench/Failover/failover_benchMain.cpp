// A steady stream of short completions at a fixed rate, whatever the answers
// are, with a line for each of them: when it was sent and when it ended in
// microseconds of the wall clock, where it went, outcome, status and reason.
// Ends after --requests or at SIGTERM, once what was sent has been answered.

#include "Hemlockglade/Transport/Transport.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(nodes_file, "", "file with a node's ip:port in each line");
DEFINE_string(log, "", "file to write a line for each request to");
DEFINE_string(models, "", "adapters to ask for in turn: a@1,b");
DEFINE_double(rate, 50, "requests a second");
DEFINE_int64(requests, 100000, "requests after which it ends");
DEFINE_int64(deadline_ms, 20000, "deadline of each request");
DEFINE_int64(tokens, 4, "tokens of an answer");
DEFINE_int64(keyed_every, 0, "each Nth request must not run twice; 0: none");
DEFINE_int32(directory_callers, 0,
             "callers that ask the directory and keep its answer; 0 sends to "
             "the nodes of the file in turn");

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

/// What a caller remembers of the directory.
struct KeptAddresses {
  std::vector<std::string> Addresses;
  Instant Until{};
};

/// One request and what came back.
struct Sending {
  std::int64_t Number = 0;
  std::int64_t SentUs = 0;
  Instant Deadline{};
  std::string Model;
  std::size_t Caller = 0;
  /// Addresses that are still to be tried, the next one first.
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
        Kept(static_cast<std::size_t>(FLAGS_directory_callers)) {
    auto period = static_cast<std::int64_t>(MicrosPerSecond / FLAGS_rate);
    Step = Timers.every(Span(period), [this](Instant) { next(); });
  }

  /// Sends nothing more and ends once all is answered.
  void finish() {
    Step.reset();
    Finishing = true;
    endIfDone();
  }

  const std::map<std::string, int> &counts() const { return Counts; }

private:
  using Shared = std::shared_ptr<Sending>;

  void next() {
    if (Finishing)
      return;
    auto sending = std::make_shared<Sending>();
    sending->Number = ++Placed;
    sending->SentUs = wallUs();
    sending->Deadline =
        TimerService::now() + std::chrono::milliseconds(FLAGS_deadline_ms);
    auto n = static_cast<std::size_t>(sending->Number);
    sending->Model = Models[n % Models.size()];
    ++Running;
    if (Kept.empty()) {
      auto all = nodes();
      sending->Addresses = {all[n % all.size()]};
      send(sending);
    } else {
      sending->Caller = n % Kept.size();
      find(sending, n);
    }
    if (Placed >= FLAGS_requests)
      finish();
  }

  /// Takes the addresses that the caller keeps, or asks for them.
  void find(const Shared &sending, std::size_t turn) {
    auto &kept = Kept[sending->Caller];
    if (TimerService::now() < kept.Until && !kept.Addresses.empty()) {
      sending->Addresses = kept.Addresses;
      return send(sending);
    }
    if (TimerService::now() > sending->Deadline)
      return end(sending, "not-run", "no-directory");
    auto all = nodes();
    HttpRequest request;
    request.Url = "http://" + all[turn % all.size()] +
                  "/directory?model=" + urlEncode(sending->Model);
    request.Timeout = DirectoryTimeout;
    auto asked = TimerService::now();
    Client.fetch(request, [this, sending, turn, asked](const HttpResult &result,
                                                       std::string body) {
      if (result.Whole && result.Status == 200) {
        take(Kept[sending->Caller], asked, body);
        return find(sending, turn);
      }
      Timers.after(DirectoryRetry,
                   [this, sending, turn](Instant) { find(sending, turn + 1); });
    });
  }

  static void take(KeptAddresses &kept, Instant asked,
                   const std::string &body) {
    auto node = json::parse(body, nullptr, false);
    if (!node.is_object())
      return;
    auto ttl = std::chrono::duration<double>(node.value("ttl_s", 0.0));
    kept.Addresses =
        node.value("addresses", json::array()).get<std::vector<std::string>>();
    kept.Until = asked + std::chrono::duration_cast<Span>(ttl);
  }

  HttpRequest request(const Sending &sending) const {
    HttpRequest out;
    out.Method = "POST";
    out.Url = "http://" + sending.To + "/v1/completions";
    out.Timeout = sending.Deadline - TimerService::now() + AnswerMargin;
    out.Fields = {{"Content-Type", "application/json"},
                  {"X-Deadline-Ms", std::to_string(FLAGS_deadline_ms)}};
    if (FLAGS_keyed_every && sending.Number % FLAGS_keyed_every == 0) {
      out.Fields.emplace_back(header::IdempotencyKey,
                              "bench-" + std::to_string(sending.SentUs));
      out.Fields.emplace_back(header::Repeatable, "no");
      out.FreshConnection = true;
    }
    out.Body = json{{"model", sending.Model},
                    {"prompt", "which papers do I need"},
                    {"max_tokens", FLAGS_tokens}}
                   .dump();
    return out;
  }

  void send(const Shared &sending) {
    sending->To = sending->Addresses.front();
    sending->Addresses.erase(sending->Addresses.begin());
    HttpHooks hooks;
    hooks.OnHead = [sending](int status, const HttpFields &fields) {
      sending->Status = status;
      for (const auto &[name, value] : fields) {
        if (strcasecmp(name.c_str(), header::Outcome.data()) == 0)
          sending->Outcome = value;
      }
    };
    hooks.OnPart = [sending](std::string_view part) {
      sending->Body.append(part);
      return true;
    };
    hooks.OnDone = [this, sending](const HttpResult &result) {
      answered(sending, result);
    };
    Client.start(request(*sending), std::move(hooks));
  }

  void answered(const Shared &sending, const HttpResult &result) {
    bool reached = result.Whole || result.MayHaveSent;
    if (!reached && !sending->Addresses.empty())
      return send(sending);
    if (!reached)
      return end(sending, "not-run", "not-connected");
    if (!result.Whole)
      return end(sending, "cut", result.Error);
    auto outcome = sending->Outcome.empty() ? "none" : sending->Outcome;
    end(sending, outcome, outcome == "complete" ? "" : reasonOf(*sending));
  }

  static std::string reasonOf(const Sending &sending) {
    auto node = json::parse(sending.Body, nullptr, false);
    if (!node.is_object() || !node["error"].is_object())
      return "-";
    return node["error"].value("message", "-");
  }

  void end(const Shared &sending, const std::string &outcome,
           std::string reason) {
    std::replace(reason.begin(), reason.end(), ' ', '_');
    Log << sending->SentUs << ' ' << wallUs() << ' ' << outcome << ' '
        << sending->Status << ' ' << (reason.empty() ? "-" : reason) << ' '
        << (sending->To.empty() ? "-" : sending->To) << ' ' << sending->Model
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
  std::vector<KeptAddresses> Kept;
  TimerService::Subscription Step;
  std::int64_t Placed = 0;
  std::int64_t Running = 0;
  bool Finishing = false;
  std::map<std::string, int> Counts;
};

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  Stream stream(context);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&stream](asio::error_code, int) { stream.finish(); });
  context.run();
  for (const auto &[outcome, n] : stream.counts())
    std::cout << outcome << '=' << n << ' ';
  std::cout << std::endl;
  return 0;
}
