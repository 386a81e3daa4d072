// A stand-in for the platform: the table, the host list and the weight store.
// Operators of a test change it through /control.

#include "StandIn.h"

#include <list>
#include <set>

DEFINE_string(name, "platform", "name in the history");
DEFINE_double(loads_per_second, 3.0, "rate of the weight store");

namespace {

using namespace hemlockglade;

class Platform {
public:
  explicit Platform(StandIn &host)
      : Host(host),
        Step(host.timers().every(StepInterval,
                                 [this](Instant now) { serveWeights(now); })),
        LastStep(TimerService::now()) {}

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/control")
      return control(in, *reply);
    if (in.Path.starts_with("/table/"))
      return table(in, reply);
    if (in.Path == "/hosts")
      return reply->sendWhole(200, {}, hostListBody(Hosts));
    if (in.Path == "/weights")
      return Fetches.push_back({reply, 1.0});
    reply->sendWhole(404, {}, "");
  }

private:
  static constexpr Span StepInterval = std::chrono::milliseconds(5);

  /// A load that is being fetched; `Left` is the part that is still to come.
  struct Fetch {
    std::shared_ptr<HttpReply> Reply;
    double Left = 1.0;
  };

  void control(const HttpIncoming &in, HttpReply &reply) {
    auto table = queryValue(in.Query, "table");
    if (!table.empty())
      TableMode = table;
    auto leaving = queryValue(in.Query, "leaving");
    if (!leaving.empty())
      Hosts.push_back({leaving, "", true});
    auto back = queryValue(in.Query, "back");
    std::erase_if(Hosts, [&](const auto &it) { return it.Name == back; });
    Host.record({{"event", "control"}, {"query", in.Query}});
    reply.sendWhole(200, {}, "ok\n");
  }

  void table(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (TableMode == "down")
      return reply->abort();
    if (in.Path == "/table/row") {
      auto it = Rows.find(queryValue(in.Query, "key"));
      if (it == Rows.end())
        return reply->sendWhole(404, {}, "");
      return reply->sendWhole(200, {}, platform_format::rowBody(it->second));
    }
    if (in.Path == "/table/scan")
      return reply->sendWhole(200, {}, scan(queryValue(in.Query, "prefix")));
    auto transaction = platform_format::readCommit(in.Body);
    if (!transaction)
      return reply->sendWhole(400, {}, transaction.error().Text);
    bool done = Seen.contains(transaction->AttemptId) || commit(*transaction);
    if (TableMode == "lose")
      return reply->abort();
    reply->sendWhole(done ? 200 : 409, {}, done ? "{}" : "conflict");
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

  /// All running fetches share the rate evenly.
  void serveWeights(Instant now) {
    double seconds = std::chrono::duration<double>(now - LastStep).count();
    LastStep = now;
    if (Fetches.empty())
      return;
    double share =
        seconds * FLAGS_loads_per_second / static_cast<double>(Fetches.size());
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
  TimerService::Subscription Step;
  Instant LastStep;
  std::string TableMode = "up";
  std::map<std::string, TableRow> Rows;
  std::set<std::string> Seen;
  std::vector<HostEntry> Hosts;
  std::list<Fetch> Fetches;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Platform>(argc, argv); }
