// The part of Gateway that knows what began the streams which callers take up.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

namespace hemlockglade {

namespace {

/// Longer than callers go on taking up a stream.
constexpr Span MaxStreamAge = std::chrono::seconds(30);

constexpr MetricFamily TakenUpFamily{
    "hemlockglade_streams_taken_up_total",
    "Requests that take up a stream, by who knew what had begun it."};

} // namespace

StreamOriginService::Settings Gateway::streamSettings() const {
  StreamOriginService::Settings out;
  out.Node = Settings.Name;
  out.FailureDomain = Settings.FailureDomain;
  return out;
}

StreamOriginService::Hooks Gateway::streamOriginHooks() {
  StreamOriginService::Hooks hooks;
  hooks.Nodes = [this] { return Entries.lastKnown(); };
  hooks.PeerAddress = [this](const EntryCandidate &node) {
    // Callers may reach a host by another address than nodes do.
    const auto &address =
        node.RelayAddress.empty() ? node.CallerAddress : node.RelayAddress;
    return address.substr(0, address.rfind(':')) + ":" +
           std::to_string(Settings.PeerPort);
  };
  hooks.After = [this](Span delay, std::function<void()> call) {
    Timers.after(delay, [call = std::move(call)](Instant) { call(); });
  };
  return hooks;
}

StreamHooks Gateway::streamHooks() {
  StreamHooks hooks;
  hooks.OnSent = [this](std::string_view streamId, const StreamOrigin &origin,
                        std::uint32_t attempt) {
    Streams.onSent(streamKeyOf(streamId), origin, attempt);
  };
  hooks.Find = [this](std::string_view streamId, const std::string &service,
                      auto found) {
    findStreamOrigin(streamId, service, std::move(found));
  };
  return hooks;
}

void Gateway::findStreamOrigin(
    std::string_view streamId, const std::string &service,
    std::function<void(const std::optional<StreamOrigin> &origin)> found) {
  auto askedAt = TimerService::now();
  auto decide = [this, id = std::string(streamId), service, askedAt,
                 found = std::move(found)](
                    const StreamOriginService::Finding &finding) {
    auto origin = finding.Origin;
    std::string_view from = finding.FromPeer ? "another node" : "this node";
    if (!origin && !service.empty()) {
      auto only = Software.onlyVersion(service, askedAt - MaxStreamAge);
      if (only && !only->empty())
        origin = StreamOrigin{service, *only};
      from = "the only version";
    }
    Log.write(LogClass::Request, "taken-up",
              {{"stream", id},
               {"known", origin.has_value()},
               {"from", origin ? from : "nobody"},
               {"service", origin ? origin->Service : ""},
               {"software", origin ? origin->SoftwareVersion : ""},
               {"asked", static_cast<std::uint64_t>(finding.Asked)},
               {"answered", static_cast<std::uint64_t>(finding.Answered)},
               {"took_ms", TimerService::now() - askedAt}});
    Metrics.counter(TakenUpFamily, {{"known_from", origin ? from : "nobody"}})
        .add(1);
    found(origin);
  };
  if (streamId.empty())
    return decide({});
  Streams.find(streamKeyOf(streamId), std::move(decide));
}

void Gateway::updateSoftware() {
  auto now = TimerService::now();
  for (const auto &it : View.inUse())
    Software.onSeen(it->Service, it->SoftwareVersion, now);
  Software.removeExpired(now);
}

} // namespace hemlockglade
