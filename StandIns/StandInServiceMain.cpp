// Stand-in for a plain service that echoes the body of each request. Faults are
// set by /control:
//
//   cut_before=N   break the connection of the next N calls without running
//                  them
//   cut_after=N    run the next N calls, then break the connection
//   refuse=N       refuse the next N calls before running them (503)
//   work_ms=N      duration of a call in milliseconds

#include "StandIns/StandIn.h"

DEFINE_string(name, "service-1", "name of the replica");
DEFINE_int32(work_ms, 5, "duration of a call in milliseconds");

namespace {

using namespace hemlockglade;
using nlohmann::json;

/// Decrements a fault's count; returns whether the fault is to be injected.
bool consume(std::int64_t &n) { return n > 0 && n--; }

/// One call in progress.
struct Call {
  std::uint64_t Run = 0;
  std::string Tag;
  std::string Answer;
  bool Cut = false;
  bool Gone = false;
  std::shared_ptr<HttpReply> Reply;
};

class Service {
public:
  explicit Service(StandIn &host) : Host(host), WorkMs(FLAGS_work_ms) {
    Host.record({{"event", "started"}, {"incarnation", newStandInId()}});
  }

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    if (in.Path == "/control")
      return control(in, *reply);
    if (in.Path == "/healthz")
      return reply->sendWhole(200, {}, "ok\n");
    if (consume(CutBefore)) {
      Host.record({{"event", "cut_before"}});
      return reply->abort();
    }
    auto body = json::parse(in.Body, nullptr, false);
    auto call = std::make_shared<Call>();
    call->Tag = body.is_object() ? body.value("user", "") : "";
    if (consume(Refuse)) {
      Host.record({{"event", "refused"}, {"tag", call->Tag}});
      return reply->sendWhole(503,
                              {{std::string(header::Outcome),
                                std::string(outcomeName(Outcome::NotRun))}},
                              errorBody("refused", "not now"));
    }
    call->Run = ++LastRun;
    call->Cut = consume(CutAfter);
    call->Reply = reply;
    call->Answer =
        json{{"service", FLAGS_name}, {"path", in.Path}, {"echo", in.Body}}
            .dump() +
        '\n';
    Host.record({{"event", "ran"},
                 {"run", call->Run},
                 {"tag", call->Tag},
                 {"request", in.field(header::RequestId).value_or("")},
                 {"attempt", in.field(header::Attempt).value_or("")},
                 {"key", in.field(header::IdempotencyKey).value_or("")}});
    reply->onGone([call] { call->Gone = true; });
    Host.timers().after(std::chrono::milliseconds(WorkMs),
                        [this, call](Instant) { end(*call); });
  }

private:
  void control(const HttpIncoming &in, HttpReply &reply) {
    CutBefore = queryNumber(in, "cut_before", CutBefore);
    CutAfter = queryNumber(in, "cut_after", CutAfter);
    Refuse = queryNumber(in, "refuse", Refuse);
    WorkMs = queryNumber(in, "work_ms", WorkMs);
    Host.record({{"event", "control"}, {"query", in.Query}});
    reply.sendWhole(200, {}, "ok\n");
  }

  /// Ends a call. A call that was started always runs to its end, even if its
  /// caller disconnects.
  void end(Call &call) {
    Host.record({{"event", call.Cut    ? "cut"
                           : call.Gone ? "cancelled"
                                       : "finished"},
                 {"run", call.Run},
                 {"tag", call.Tag},
                 {"whole", !call.Cut && !call.Gone},
                 {"hash", textHash(call.Answer)}});
    if (call.Cut)
      call.Reply->abort();
    else
      call.Reply->sendWhole(200, {{"Content-Type", "application/json"}},
                            call.Answer);
    call.Reply.reset();
  }

  StandIn &Host;
  std::int64_t CutBefore = 0;
  std::int64_t CutAfter = 0;
  std::int64_t Refuse = 0;
  std::int64_t WorkMs;
  std::uint64_t LastRun = 0;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Service>(argc, argv); }
