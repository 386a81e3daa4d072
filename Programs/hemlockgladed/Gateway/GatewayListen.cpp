// The part of Gateway that listens: for callers, for requests to the directory,
// and for readiness checks and metrics.

#include "Programs/hemlockgladed/Gateway/Gateway.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

namespace hemlockglade {

using namespace gateway;

namespace {

/// Descriptors reserved for peers, the registry and files.
constexpr std::size_t ReservedDescriptors = 300;
/// Share of the other descriptors that callers may use; the rest is for
/// connections to replicas.
constexpr double CallerShare = 0.6;
/// How long callers may keep an address: short, so that a failed host receives
/// requests for half a second only.
constexpr auto DirectoryTtl = std::chrono::milliseconds(500);
constexpr std::size_t MaxAddresses = 64;
constexpr MetricFamily UnreadFamily{
    "hemlockglade_refused_unread_total",
    "Requests that were refused before they were complete, by status."};
/// Body of a request to the directory, or of a check, which is ignored.
constexpr std::size_t MaxSideBodyBytes = 4096;

} // namespace

CallerHooks Gateway::callerHooks() {
  CallerHooks hooks;
  hooks.Bounds = [this] {
    CallerBounds out;
    if (!Plan)
      return out;
    out.MaxHeadBytes = Plan->limits().MaxHeadBytes;
    out.MaxBodyBytes = Plan->limits().MaxBodyBytes;
    out.RequestTimeout = Plan->limits().HeadTimeout;
    out.IdleTimeout = Plan->limits().IdleTimeout;
    return out;
  };
  hooks.Closing = [this] { return Stopping; };
  hooks.Memory = Memory;
  hooks.OnRefused = [this](std::uint16_t status, std::string_view why) {
    Metrics.counter(UnreadFamily, {{"status", std::to_string(status)}}).add(1);
    Log.write(LogClass::Request, "refused-unread",
              {{"status", std::uint32_t{status}}, {"why", why}});
  };
  return hooks;
}

void Gateway::listen() {
  std::size_t usableDescriptors =
      Settings.MaxDescriptors > ReservedDescriptors
          ? Settings.MaxDescriptors - ReservedDescriptors
          : Settings.MaxDescriptors / 2;
  auto maxCallers = static_cast<std::size_t>(
      CallerShare * static_cast<double>(usableDescriptors));
  auto callers = callerHooks();
  callers.Closing = [this] { return Stopping || LeftOut; };
  callers.OnRequest = [this](CallerRequest &&request, auto reply) {
    onRequest(std::move(request), std::move(reply));
  };
  Callers = std::make_unique<CallerServer>(
      Context, parseEndpoint(Settings.CallerAddress), maxCallers,
      std::move(callers));
  auto hooks = callerHooks();
  // None of the others reads a body.
  hooks.Bounds = [bounds = hooks.Bounds] {
    auto out = bounds();
    out.MaxBodyBytes = MaxSideBodyBytes;
    return out;
  };
  auto serve = [this, &hooks](const std::string &address, auto handler) {
    hooks.OnRequest = [handler](const CallerRequest &request, auto reply) {
      handler(request, *reply);
    };
    constexpr std::size_t MaxSideConnections = 256;
    return address.empty()
               ? nullptr
               : std::make_unique<CallerServer>(Context, parseEndpoint(address),
                                                MaxSideConnections, hooks);
  };
  Directory = serve(Settings.DirectoryAddress,
                    [this](const auto &request, auto &reply) {
                      onDirectory(request, reply);
                    });
  Readiness = serve(Settings.ReadinessAddress,
                    [this](const auto &request, auto &reply) {
                      onReadiness(request, reply);
                    });
  MetricsServer =
      serve(Settings.MetricsAddress, [this](const auto &request, auto &reply) {
        onMetrics(request, reply);
      });
}

void Gateway::onDirectory(const CallerRequest &request, CallerReply &reply) {
  auto query = Port.Directory.Read(request.Head.Target);
  if (!query)
    return reply.respond({NotFound, {}}, "");
  // Entries from an owner that has become silent must not be listed, also right
  // after this process was suspended.
  updateServingEntries();
  auto entries = Entries.inDomain(query->FailureDomain);
  if (entries.empty())
    entries = Entries.all();
  std::vector<std::string> out;
  for (const auto &it : entries)
    if (it.Node != Settings.Name || ready())
      out.push_back(it.CallerAddress);
  // If no node in service is known, this node lists itself.
  if (out.empty() && ready())
    out.push_back(Settings.CallerAddress);
  if (out.size() > MaxAddresses)
    out.resize(MaxAddresses);
  if (out.empty())
    return reply.respond({Unavailable, {}}, "no node is ready");
  auto ttl = std::min<Span>(DirectoryTtl, Settings.MaxDirectoryTtl);
  HttpAnswerHead head{Ok, {{"Content-Type", "application/json"}}};
  reply.respond(std::move(head), Port.Directory.Write(out, ttl));
}

void Gateway::onReadiness(const CallerRequest &request, CallerReply &reply) {
  if (!Port.Directory.AsksReadiness(request.Head.Target))
    return reply.respond({NotFound, {}}, "");
  reply.respond({ready() ? Ok : Unavailable, {}}, ready() ? "ready" : "not");
}

void Gateway::onMetrics(const CallerRequest &, CallerReply &reply) {
  HttpAnswerHead head{Ok, {{"Content-Type", "text/plain; version=0.0.4"}}};
  reply.respond(std::move(head), Metrics.expose());
}

} // namespace hemlockglade
