// The part of Gateway that knows what began the streams which callers take up.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Longer than callers go on taking up a stream.
constexpr Span MaxStreamAge = std::chrono::seconds(30);

constexpr MetricFamily TakenUpFamily{
    "hemlockglade_streams_taken_up_total",
    "Requests that take up a stream, by who knew what had begun it."};
constexpr MetricFamily WithdrawnFamily{
    "hemlockglade_stream_origins_withdrawn_total",
    "Streams whose next attempt is to run another software version, by whether "
    "all nodes that were told of the one before have dropped it."};

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
  hooks.JoinedPosition = [this] { return Software.joinedPosition(); };
  return hooks;
}

StreamHooks Gateway::streamHooks() {
  StreamHooks hooks;
  hooks.Tell = [this](std::string_view streamId, const StreamOrigin &origin,
                      ToldStream &told) {
    Streams.tell(streamKeyOf(streamId), origin, told);
  };
  hooks.Confirm = [this](std::string_view streamId,
                         const StreamOrigin &origin) {
    Streams.confirm(streamKeyOf(streamId), origin);
  };
  hooks.Withdraw = [this](std::string_view streamId, ToldStream &told,
                          std::function<void(bool confirmed)> done) {
    Streams.withdraw(streamKeyOf(streamId), told,
                     [this, done = std::move(done)](bool confirmed) {
                       Metrics
                           .counter(WithdrawnFamily,
                                    {{"confirmed", confirmed ? "yes" : "no"}})
                           .add(1);
                       done(confirmed);
                     });
  };
  hooks.Find = [this](std::string_view streamId, const std::string &service,
                      auto found) {
    findStreamOrigin(streamId, service, std::move(found));
  };
  return hooks;
}

struct Gateway::StreamSearch {
  std::string Id;
  std::string Service;
  Instant AskedAt{};
  std::function<void(const std::optional<StreamOrigin> &origin)> Found;
  StreamOriginService::Finding Finding = {};
  /// The list of replicas covers the time until the search began.
  bool ListConfirmed = false;
  bool IsRepeated = false;
};

void Gateway::findStreamOrigin(
    std::string_view streamId, const std::string &service,
    std::function<void(const std::optional<StreamOrigin> &origin)> found) {
  auto search = std::make_shared<StreamSearch>(StreamSearch{
      std::string(streamId), service, TimerService::now(), std::move(found)});
  if (streamId.empty())
    return onStreamSearched(search);
  searchStream(search);
}

void Gateway::searchStream(const std::shared_ptr<StreamSearch> &search) {
  Streams.find(streamKeyOf(search->Id), [this, search](const auto &finding) {
    search->Finding = finding;
    onStreamSearched(search);
  });
}

void Gateway::onStreamSearched(const std::shared_ptr<StreamSearch> &search) {
  const auto &finding = search->Finding;
  if (finding.Origin || search->IsRepeated)
    return endStreamSearch(*search);
  search->IsRepeated = true;
  // A node that is out of step knows neither the replicas that have joined nor
  // the nodes that were told of the stream.
  Watcher->confirmReplicas(search->AskedAt, [this, search](bool known) {
    search->ListConfirmed = known;
    bool allAnswered = search->Finding.Asked > 0 &&
                       search->Finding.Answered == search->Finding.Asked;
    if (known && (search->Id.empty() || allAnswered))
      return endStreamSearch(*search);
    if (known)
      return searchStream(search);
    // While the registry does not answer, replicas that joined are known to
    // nodes that it has answered since.
    Streams.askOthers(
        streamKeyOf(search->Id), [this, search](const auto &finding) {
          search->Finding = finding;
          search->ListConfirmed =
              finding.noneKnowsBeyond(Watcher->positions().Replica);
          endStreamSearch(*search);
        });
  });
}

void Gateway::endStreamSearch(const StreamSearch &search) {
  const auto &finding = search.Finding;
  auto origin = finding.Origin;
  std::string_view from = finding.FromPeer ? "another node" : "this node";
  if (!origin && !search.Service.empty() && search.ListConfirmed) {
    auto only =
        Software.onlyVersion(search.Service, search.AskedAt - MaxStreamAge);
    if (only && !only->empty())
      origin = StreamOrigin{search.Service, *only};
    from = "the only version";
  }
  Log.write(LogClass::Request, "taken-up",
            {{"stream", search.Id},
             {"known", origin.has_value()},
             {"from", origin ? from : "nobody"},
             {"service", origin ? origin->Service : ""},
             {"software", origin ? origin->SoftwareVersion : ""},
             {"asked", static_cast<std::uint64_t>(finding.Asked)},
             {"answered", static_cast<std::uint64_t>(finding.Answered)},
             {"list_age_ms", Watcher->replicasAge()},
             {"list_confirmed", search.ListConfirmed},
             {"took_ms", TimerService::now() - search.AskedAt}});
  Metrics.counter(TakenUpFamily, {{"known_from", origin ? from : "nobody"}})
      .add(1);
  search.Found(origin);
}

void Gateway::updateSoftware() {
  auto now = TimerService::now();
  for (const auto &it : View.all())
    Software.onSeen(it->Service, it->SoftwareVersion, now);
  Software.removeExpired(now);
}

bool Gateway::missedReplicas(const ReplicaChanges &changes,
                             const ReplicaSource &source) const {
  if (!HasReplicas)
    return !Settings.FirstStart;
  // An entry that is removed has been there for longer: replicas drain, or
  // their heartbeats stay away.
  constexpr Span MinEntryTime = std::chrono::milliseconds(1500);
  if (changes.Complete)
    return source.AgeBefore > MinEntryTime;
  return changes.Position > Software.position() &&
         std::any_of(changes.Removed.begin(), changes.Removed.end(),
                     [this](const auto &it) { return !View.knows(it); });
}

void Gateway::joinSoftwareClaims() {
  if (ClaimPending)
    return;
  if (auto claim = Software.takeClaim()) {
    ClaimPending = true;
    checkSoftwareClaim(*claim);
  }
}

void Gateway::checkSoftwareClaim(const SoftwareHistory::Claim &claim) {
  Port.Registry.WatchReplicas(claim.Position, [this,
                                               claim](const auto &result) {
    if (!result && result.error() == RegistryError::Unavailable) {
      constexpr auto RetryDelay = std::chrono::seconds(1);
      Timers.after(RetryDelay,
                   [this, claim](Instant) { checkSoftwareClaim(claim); });
      return;
    }
    bool joins = result &&
                 std::all_of(result->Removed.begin(), result->Removed.end(),
                             [this](const auto &it) { return View.knows(it); });
    ClaimPending = false;
    Software.settleClaim(claim, joins);
    Log.write(LogClass::State, "software-claim",
              {{"since_ms_ago", TimerService::now() - claim.Since},
               {"position", claim.Position},
               {"joined", joins}});
    joinSoftwareClaims();
  });
}

} // namespace hemlockglade
