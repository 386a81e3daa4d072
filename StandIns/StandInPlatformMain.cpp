// Stand-in for the platform: table, object store, host list, weight store.
// Faults are set by flags and by /control:
//
//   op=O&mode=M      O: row, scan, commit, objects, hosts, weights or all
//                    M: up, down (breaks the connection), lose (executes the
//                       operation, then breaks the connection), hang (answers
//                       once the mode changes), swallow (never answers requests
//                       received in this mode), or slow with &slow_ms=N
//   table=M          the same for row, scan and commit
//   loads_per_second=X  rate of the weight store
//   leaving=NAME, back=NAME   change of a host's entry in the host list, after
//                             its lag

#include "StandIns/StandIn.h"

#include <list>
#include <set>

DEFINE_string(name, "platform", "name in the history");
DEFINE_double(loads_per_second, 3.0,
              "rate of the weight store, over all loads");
DEFINE_int32(host_lag_ms, 0, "lag of the host list, in milliseconds");

namespace {

using namespace hemlockglade;

/// How an operation fails.
struct OperationMode {
  std::string Name = "up";
  std::int64_t SlowMs = 0;
};

class Platform {
public:
  explicit Platform(StandIn &host)
      : Host(host), LoadsPerSecond(FLAGS_loads_per_second),
        Step(host.timers().every(StepInterval,
                                 [this](Instant now) { serveWeights(now); })),
        LastStep(TimerService::now()) {}

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/control")
      return control(in, *reply);
    auto name = operationOf(in.Path);
    const auto &mode = Modes[name];
    if (mode.Name == "down")
      return reply->abort();
    if (mode.Name == "hang")
      return Hanging.push_back({in, reply});
    if (mode.Name == "swallow")
      return Swallowed.push_back(reply);
    if (mode.Name != "slow")
      return serve(name, in, reply);
    Host.timers().after(
        std::chrono::milliseconds(mode.SlowMs),
        [this, name, in, reply](Instant) { serve(name, in, reply); });
  }

private:
  static constexpr Span StepInterval = std::chrono::milliseconds(5);

  /// A fetch of weights in progress; `Left` is the part that remains, from 1
  /// to 0.
  struct Fetch {
    std::shared_ptr<HttpReply> Reply;
    double Left = 1.0;
  };

  static std::string operationOf(const std::string &path) {
    if (path.starts_with("/objects/"))
      return "objects";
    if (path.starts_with("/table/"))
      return path.substr(std::string_view("/table/").size());
    return path.substr(1);
  }

  void serve(const std::string &name, const HttpIncoming &in,
             const std::shared_ptr<HttpReply> &reply) {
    if (name == "row")
      return row(in, *reply);
    if (name == "scan")
      return reply->sendWhole(200, {}, scan(queryValue(in.Query, "prefix")));
    if (name == "commit")
      return commit(in, *reply);
    if (name == "objects")
      return object(in, *reply);
    if (name == "hosts")
      return reply->sendWhole(200, {}, hostListBody(Hosts));
    if (name == "weights")
      return Fetches.push_back({reply, 1.0});
    reply->sendWhole(404, {}, "");
  }

  void control(const HttpIncoming &in, HttpReply &reply) {
    auto table = queryValue(in.Query, "table");
    if (!table.empty()) {
      for (const char *name : {"row", "scan", "commit"})
        setMode(name, {table, queryNumber(in, "slow_ms", 0)});
    }
    OperationMode mode{queryValue(in.Query, "mode"),
                       queryNumber(in, "slow_ms", 0)};
    auto operation = queryValue(in.Query, "op");
    for (const char *name :
         {"row", "scan", "commit", "objects", "hosts", "weights"}) {
      if (operation == name || operation == "all")
        setMode(name, mode);
    }
    auto rate = queryValue(in.Query, "loads_per_second");
    if (!rate.empty())
      LoadsPerSecond = std::atof(rate.c_str());
    for (const char *word : {"leaving", "back"}) {
      auto name = queryValue(in.Query, word);
      if (!name.empty())
        list(name, std::string_view(word) == "leaving");
    }
    Host.record({{"event", "control"}, {"query", in.Query}});
    reply.sendWhole(200, {}, "ok\n");
  }

  void setMode(const std::string &name, const OperationMode &mode) {
    bool answered = Modes[name].Name == "up";
    bool answers = mode.Name == "up";
    Modes[name] = mode;
    if (name == "hosts" && answered != answers)
      Host.record({{"event", answers ? "answering" : "silent"},
                   {"endpoint", "platform"}});
    auto hanging = std::exchange(Hanging, {});
    for (auto &[in, reply] : hanging)
      onHttp(in, reply);
  }

  /// Changes the host list after the configured lag.
  void list(const std::string &name, bool leaving) {
    Host.timers().after(
        std::chrono::milliseconds(FLAGS_host_lag_ms),
        [this, name, leaving](Instant) {
          std::erase_if(Hosts, [&](const auto &it) { return it.Name == name; });
          if (leaving)
            Hosts.push_back({name, "", true});
          Host.record(
              {{"event", "listed"}, {"endpoint", name}, {"leaving", leaving}});
        });
  }

  void row(const HttpIncoming &in, HttpReply &reply) {
    auto it = Rows.find(queryValue(in.Query, "key"));
    if (Modes["row"].Name == "lose")
      return reply.abort();
    if (it == Rows.end())
      return reply.sendWhole(404, {}, "");
    reply.sendWhole(200, {}, platform_format::rowBody(it->second));
  }

  void commit(const HttpIncoming &in, HttpReply &reply) {
    auto transaction = platform_format::readCommit(in.Body);
    if (!transaction)
      return reply.sendWhole(400, {}, transaction.error().Text);
    bool done = Seen.contains(transaction->AttemptId) || commit(*transaction);
    if (Modes["commit"].Name == "lose")
      return reply.abort();
    reply.sendWhole(done ? 200 : 409, {}, done ? "{}" : "conflict");
  }

  void object(const HttpIncoming &in, HttpReply &reply) {
    if (in.Method == "PUT")
      Objects[in.Path] = in.Body;
    if (Modes["objects"].Name == "lose")
      return reply.abort();
    auto it = Objects.find(in.Path);
    if (it == Objects.end())
      return reply.sendWhole(404, {}, "");
    reply.sendWhole(200, {}, in.Method == "GET" ? it->second : "");
  }

  std::string scan(const std::string &prefix) const {
    std::vector<TableRow> rows;
    for (auto it = Rows.lower_bound(prefix);
         it != Rows.end() && it->first.starts_with(prefix); ++it)
      rows.push_back(it->second);
    return platform_format::rowsBody(rows);
  }

  bool commit(const TableTransaction &transaction) {
    for (const auto &write : transaction.Writes) {
      auto it = Rows.find(write.Key);
      if ((it == Rows.end() ? 0 : it->second.Version) != write.ExpectedVersion)
        return false;
    }
    for (const auto &write : transaction.Writes) {
      if (write.Value)
        Rows[write.Key] = {write.Key, write.ExpectedVersion + 1, *write.Value};
      else
        Rows.erase(write.Key);
    }
    Seen.insert(transaction.AttemptId);
    return true;
  }

  /// Advances all running fetches, which share the rate evenly.
  void serveWeights(Instant now) {
    double seconds = std::chrono::duration<double>(now - LastStep).count();
    LastStep = now;
    if (Fetches.empty())
      return;
    double share =
        seconds * LoadsPerSecond / static_cast<double>(Fetches.size());
    for (auto it = Fetches.begin(); it != Fetches.end();) {
      it->Left -= share;
      if (it->Left > 0) {
        ++it;
        continue;
      }
      it->Reply->sendWhole(200, {}, "weights");
      it = Fetches.erase(it);
    }
  }

  StandIn &Host;
  double LoadsPerSecond;
  TimerService::Subscription Step;
  Instant LastStep;
  std::map<std::string, OperationMode> Modes;
  std::vector<std::pair<HttpIncoming, std::shared_ptr<HttpReply>>> Hanging;
  std::vector<std::shared_ptr<HttpReply>> Swallowed;
  std::map<std::string, std::string> Objects;
  std::map<std::string, TableRow> Rows;
  std::set<std::string> Seen;
  std::vector<HostEntry> Hosts;
  std::list<Fetch> Fetches;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Platform>(argc, argv); }
