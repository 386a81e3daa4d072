// A stand-in for a plain service: it answers with what it was sent.

#include "StandIn.h"

DEFINE_string(name, "service-1", "name of the replica");
DEFINE_int32(work_ms, 5, "time that a call takes, in milliseconds");

namespace {

using namespace hemlockglade;

class Service {
public:
  explicit Service(StandIn &host) : Host(host) {}

  void onHttp(const HttpIncoming &in, const std::shared_ptr<HttpReply> &reply) {
    auto id = in.field(header::RequestId).value_or("");
    Host.record({{"event", "ran"},
                 {"request", id},
                 {"key", in.field(header::IdempotencyKey).value_or("")}});
    Host.timers().after(
        std::chrono::milliseconds(FLAGS_work_ms),
        [this, reply, id, path = in.Path, body = in.Body](Instant) {
          Host.record({{"event", "answered"}, {"request", id}});
          nlohmann::json node{
              {"service", FLAGS_name}, {"path", path}, {"echo", body}};
          reply->sendWhole(200, {{"Content-Type", "application/json"}},
                           node.dump() + "\n");
        });
  }

private:
  StandIn &Host;
};

} // namespace

int main(int argc, char **argv) { return runStandIn<Service>(argc, argv); }
