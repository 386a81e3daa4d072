// The part of Gateway that decides on access: keys, routes, and its part in
// workspaces' limits.

#include "Programs/hemlockgladed/Gateway/Gateway.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

namespace hemlockglade {

using namespace gateway;

namespace {

constexpr MetricFamily RefusedFamily{
    "hemlockglade_refused_total",
    "Requests that were refused before a route was found for them, by status."};
/// Maximum age of declarations by which a key is denied: the caller may use a
/// key as soon as it has been issued.
constexpr Span MaxKeyDenialAge = std::chrono::milliseconds(100);
/// How long a node that gets no answer from the registry waits for a peer's.
constexpr Span PeerTimeout = std::chrono::milliseconds(200);
/// Retry-After of a node that can't confirm whether a key is valid.
constexpr Span UnconfirmedRetry = std::chrono::milliseconds(1000);

std::string_view textOf(CallerAccess::Denial why) {
  switch (why) {
  case CallerAccess::Denial::NoRoute:
    return "no route";
  case CallerAccess::Denial::NoKey:
    return "no key";
  case CallerAccess::Denial::UnknownKey:
    return "unknown key";
  case CallerAccess::Denial::None:
    break;
  }
  return "";
}

} // namespace

void Gateway::refuse(CallerReply &reply, std::string_view id,
                     std::uint16_t status, std::string_view why,
                     std::optional<Span> retryAfter) {
  Metrics.counter(RefusedFamily, {{"status", std::to_string(status)}}).add(1);
  Log.write(LogClass::Request, "refused",
            {{"request", id},
             {"status", std::uint32_t{status}},
             {"why", why},
             {"plan", Plan ? Plan->version() : 0},
             {"declared_age_ms", Watcher->operatorAge()}});
  HttpAnswerHead head{status, fieldsOf(Port.Labels.OwnAnswer(id))};
  if (retryAfter)
    head.Fields.push_back(retryAfterField(*retryAfter));
  reply.respond(std::move(head), why);
}

QuotaService::Hooks Gateway::quotaHooks() {
  QuotaService::Hooks hooks;
  hooks.OwnerOf = [this](const std::string &cell) {
    const auto &row = Cells.at(cell)->lease().row();
    bool holds = row && !row->Released && row->Holder != Settings.Name;
    return holds ? row->Address : std::string();
  };
  hooks.HeldEpoch = [this](const std::string &cell) -> Epoch {
    auto it = Cells.find(cell);
    if (it == Cells.end())
      return 0;
    const auto &lease = it->second->lease();
    return lease.held() && lease.remaining() > Span(0) ? lease.fence() : 0;
  };
  hooks.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  hooks.PlacesWithoutOwner = [this](const Workspace &holder) {
    return placesWithoutOwner(holder);
  };
  return hooks;
}

LimitHooks Gateway::limitHooks() {
  LimitHooks hooks;
  hooks.Reserve = [this](const Workspace &workspace, double units,
                         auto decided) {
    Quotas.reserve(workspace, units, std::move(decided));
  };
  hooks.Charge = [this](const Workspace &workspace, double units) {
    Quotas.charge(workspace, units);
  };
  hooks.Release = [this](const Workspace &workspace, double units) {
    Quotas.release(workspace, units);
  };
  return hooks;
}

CallerAccess Gateway::access(const CallerRequest &request,
                             const RequestLabels &labels) const {
  const auto *host = findField(request.Head.Fields, "Host");
  return resolveAccess(*Plan,
                       host ? std::string_view(*host) : std::string_view(),
                       request.Head.path(), labels.Caller);
}

void Gateway::deny(CallerReply &reply, std::string_view id,
                   CallerAccess::Denial why) {
  bool noRoute = why == CallerAccess::Denial::NoRoute;
  refuse(reply, id, noRoute ? NotFound : Unauthorized, textOf(why));
}

Span Gateway::maxDenialAge(CallerAccess::Denial denied) const {
  // Routes change rarely, and scanners request routes that never existed from
  // every node: the age that all nodes keep to is enough.
  bool noRoute = denied == CallerAccess::Denial::NoRoute;
  return noRoute ? Settings.pollSettings().MaxOperatorAge
                 : Span(MaxKeyDenialAge);
}

void Gateway::confirmDenial(CallerRequest request, CallerAccess::Denial denied,
                            std::shared_ptr<CallerReply> reply) {
  auto it = std::make_shared<DeniedRequest>();
  it->Request = std::move(request);
  it->Reply = std::move(reply);
  if (Watcher->declaredAge() <= maxDenialAge(denied))
    return completeDenial(*it);
  it->Reply->OnGone = [weak = std::weak_ptr(it)] {
    if (auto denied = weak.lock())
      denied->CallerGone = true;
  };
  Watcher->confirm([this, it](bool known) {
    if (known || Settings.Seeds.empty())
      completeDenial(*it);
    else
      confirmWithPeer(it);
  });
}

void Gateway::confirmWithPeer(std::shared_ptr<DeniedRequest> it) {
  requestDeclarations();
  Timers.after(PeerTimeout,
               [this, it = std::move(it)](Instant) { completeDenial(*it); });
}

void Gateway::completeDenial(DeniedRequest &it) {
  if (it.CallerGone)
    return;
  it.Reply->OnGone = nullptr;
  auto labels = Port.Labels.ReadRequest(viewsOf(it.Request.Head.Fields));
  auto found = access(it.Request, labels);
  if (found.Denied == CallerAccess::Denial::None)
    return serve(std::move(it.Request), std::move(labels), found,
                 std::move(it.Reply));
  if (Watcher->declaredAge() > Settings.PlanBound)
    return refuse(*it.Reply, labels.Id, Unavailable,
                  "declarations can't be confirmed", UnconfirmedRetry);
  deny(*it.Reply, labels.Id, found.Denied);
}

} // namespace hemlockglade
