// The part of Gateway that exchanges messages with other nodes.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hemlockglade {

namespace {

/// How long a node stays active after a caller's request: longer than callers
/// keep an address.
constexpr auto ActivePeriod = std::chrono::seconds(3);
/// Rate of requests for engines, a second, that makes a node active. A single
/// request, of a caller that probes addresses, is served from what the replicas
/// register.
constexpr double ActivatingRequestRate = 1.5;
/// How long a node takes updates from one of several owners of other cells: two
/// heartbeats.
constexpr Span UpdateSourcePeriod = std::chrono::milliseconds(600);
/// Silence of the own cell's owner after which a node follows the others.
constexpr auto OwnerTimeout = std::chrono::milliseconds(3000);

/// Reads the version that ends a path which requests what is newer than it.
std::optional<std::uint64_t> versionInPath(std::string_view path,
                                           std::string_view prefix) {
  if (!path.starts_with(prefix))
    return std::nullopt;
  std::uint64_t out = 0;
  const auto *end = path.data() + path.size();
  bool parsed =
      std::from_chars(path.data() + prefix.size(), end, out).ec == std::errc();
  return parsed ? std::optional(out) : std::nullopt;
}

} // namespace

MemberNotice Gateway::self() const {
  return {Settings.Name,          Incarnation, Settings.CallerAddress,
          Settings.FailureDomain, ready(),     Settings.Cores,
          Settings.LinkMbps,      Active};
}

bool Gateway::ownsCells() const {
  return std::any_of(Cells.begin(), Cells.end(),
                     [](const auto &it) { return it.second->isOwner(); });
}

const CellMember *Gateway::updateSource() const {
  auto own = Cells.find(Settings.FailureDomain);
  bool owns = own != Cells.end() && own->second->isOwner();
  // An owner that the registry refuses forwards what other nodes receive.
  if (owns && Watcher->reachable())
    return nullptr;
  if (!owns && own != Cells.end() && own->second->isUpToDate())
    return own->second.get();
  // Rotates among the owners, since another owner may be refused as well.
  std::vector<const CellMember *> others;
  for (const auto &[name, cell] : Cells)
    if (cell->isUpToDate() && !cell->isOwner())
      others.push_back(cell.get());
  if (others.empty())
    return own == Cells.end() ? nullptr : own->second.get();
  auto period = TimerService::now() / UpdateSourcePeriod;
  return others[static_cast<std::size_t>(period) % others.size()];
}

bool Gateway::follows(const std::string &cell) const {
  if (Active || cell == Settings.FailureDomain)
    return true;
  auto own = Cells.find(Settings.FailureDomain);
  return own == Cells.end() || own->second->silentFor() > OwnerTimeout;
}

std::vector<std::pair<std::string, std::string>>
Gateway::leasesExcept(const std::string &cell) const {
  std::vector<std::pair<std::string, std::string>> out;
  for (const auto &[name, it] : Cells)
    if (const auto &row = it->lease().row(); row && name != cell)
      out.emplace_back(name, row->text());
  return out;
}

void Gateway::updateServingEntries() {
  for (const auto &[name, cell] : Cells)
    if (const auto *entries = cell->servingEntries())
      Entries.update(name, *entries);
    else
      Entries.forget(name);
  InService = Entries.serves(Settings.Name, Settings.FailureDomain);
  LeftOut = !InService && !Reach.cutOff().empty() && !Entries.all().empty();
  auto share = Entries.shareOf(Settings.Name, Settings.FailureDomain);
  Budget.setFixedShare(Entries.fixedShareOf(Settings.Name,
                                            Settings.FailureDomain,
                                            Settings.FailureDomains.size()),
                       TimerService::now());
  auto nodes = share > 0 ? std::lround(1 / share) : 1;
  View.setTrafficShare(1.0 / static_cast<double>(nodes));
  Quotas.setEntries(static_cast<std::size_t>(nodes));
  Crashes.setTrialSlot(std::hash<std::string>{}(Settings.Name),
                       static_cast<std::size_t>(nodes));
  bool recentlyRequested = TimerService::now() - LastRequestAt < ActivePeriod;
  // Callers go on coming for a while to a node that is left out.
  setActive(InService || LeftOut || ownsCells() || recentlyRequested,
            InService ? "in service" : "no callers");
}

void Gateway::stayActive() {
  auto now = TimerService::now();
  if (EngineMeter.load(now).Requests < ActivatingRequestRate)
    return;
  LastRequestAt = now;
  if (Active)
    return;
  setActive(true, "callers came");
  for (auto &[name, cell] : Cells)
    cell->tick();
}

void Gateway::setActive(bool active, std::string_view why) {
  if (std::exchange(Active, active) == active)
    return;
  Log.write(LogClass::State, active ? "wakes" : "stands-by", {{"why", why}});
  if (!active)
    return;
  // The owners have to send it what replicas hold before its callers arrive.
  for (auto &[name, cell] : Cells)
    cell->sendHeartbeat();
}

void Gateway::onPeer(const std::shared_ptr<PeerStream> &stream) {
  const auto &path = stream->path();
  if (path.starts_with(peer_path::Cell)) {
    auto it = Cells.find(path.substr(peer_path::Cell.size()));
    if (it != Cells.end())
      return it->second->onFollower(stream);
  }
  if (path.starts_with(peer_path::Quota)) {
    auto cell = path.substr(peer_path::Quota.size());
    if (Cells.contains(cell))
      return Quotas.onEntry(cell, stream);
  }
  if (path == peer_path::StreamsBegun)
    return Streams.onTeller(stream);
  if (path == peer_path::StreamOrigin)
    return Streams.onAsker(stream);
  if (path == peer_path::StreamWithdrawn)
    return Streams.onWithdrawer(stream);
  if (auto known = versionInPath(path, peer_path::Briefing))
    stream->send(pack(briefing(*known)));
  if (auto known = versionInPath(path, peer_path::Declared))
    stream->send(pack(declaredSince(*known)));
  if (path == peer_path::Leases) {
    BriefingReply reply;
    reply.Leases = leasesExcept("");
    stream->send(pack(reply));
  }
  stream->close();
}

BriefingReply Gateway::declaredSince(std::uint64_t planVersion) const {
  BriefingReply out;
  if (Plan && Plan->version() > planVersion)
    out.PlanText = Plan->Source;
  auto now = TimerService::now();
  for (const auto &it : View.versions().all())
    out.Versions.push_back(
        {it.Weights.text(), it.Version, (now - it.NotBefore).count()});
  // 0 means that the age is unknown.
  out.OperatorAgeUs = std::max<std::int64_t>(1, Watcher->declaredAge().count());
  return out;
}

BriefingReply Gateway::briefing(std::uint64_t planVersion) const {
  auto out = declaredSince(planVersion);
  out.Crashes = Crashes.since(0);
  out.Notes = notes();
  for (const auto &it : View.inUse())
    out.Replicas.emplace_back(it->Incarnation.id(), it->Source);
  out.Leases = leasesExcept("");
  out.KnownPositions = Watcher->positions();
  out.OperatorAgeUs = Watcher->operatorAge().count();
  out.ReplicaAgeUs = Watcher->replicasAge().count();
  // A replica whose entry has expired is used for a while yet, and its removal
  // is sent only to nodes with a lower position.
  if (View.hasPendingRemoval())
    out.KnownPositions.Replica = 0;
  return out;
}

bool Gateway::knowsOwner() const {
  auto own = Cells.find(Settings.FailureDomain);
  return own == Cells.end() || own->second->lease().row();
}

bool Gateway::isSeed() const {
  return std::any_of(Settings.Seeds.begin(), Settings.Seeds.end(),
                     [this](const auto &it) {
                       return it.starts_with(Settings.Address + ":");
                     });
}

void Gateway::requestBriefing() {
  if (Settings.Seeds.empty() || Stopping)
    return;
  if (!Plan || !HasReplicas)
    return sendBriefingRequest(std::string(peer_path::Briefing) +
                               std::to_string(Plan ? Plan->version() : 0));
  if (!knowsOwner())
    return sendBriefingRequest(std::string(peer_path::Leases));
  // The registry may refuse this node and serve the others, so that callers
  // meet a newer plan there and an older one here. One request in each half of
  // the bound, of some 100 bytes where nothing is newer.
  auto now = TimerService::now();
  if (Watcher->operatorAge() < Settings.PlanBound ||
      now - DeclarationsRequestedAt < Settings.PlanBound / 2)
    return;
  requestDeclarations();
}

void Gateway::requestDeclarations() {
  DeclarationsRequestedAt = TimerService::now();
  sendBriefingRequest(std::string(peer_path::Declared) +
                      std::to_string(Plan->version()));
}

void Gateway::sendBriefingRequest(std::string path) {
  auto seed = Settings.Seeds[NextSeed++ % Settings.Seeds.size()];
  auto peer =
      seed.substr(0, seed.rfind(':')) + ":" + std::to_string(Settings.PeerPort);
  if (peer.starts_with(Settings.Address + ":"))
    return;
  PeerHooks hooks;
  hooks.OnMessage = [this, requestedAt =
                               TimerService::now()](std::string_view message) {
    if (auto reply = unpack<BriefingReply>(message))
      onBriefing(*reply, requestedAt);
    else
      Log.write(LogClass::State, "message-refused", {{"what", "briefing"}});
  };
  Peers->open(peer, std::move(path), "?", std::move(hooks));
}

void Gateway::onBriefing(const BriefingReply &reply, Instant requestedAt) {
  OperatorChanges declared;
  if (!reply.PlanText.empty())
    declared.Plan = Port.Registry.ParsePlan(reply.PlanText);
  for (const auto &it : reply.Versions)
    declared.Versions.push_back({WeightsRef::parse(it.Weights), it.Version,
                                 requestedAt - Span(it.AgeUs)});
  ReplicaChanges replicas;
  replicas.Position = reply.KnownPositions.Replica;
  for (const auto &[id, source] : reply.Replicas)
    if (auto it = Port.Registry.ParseReplica(id, source))
      replicas.Present.push_back(std::move(*it));
  if (declared.Plan || !replicas.Present.empty())
    Log.write(
        LogClass::State, "briefing",
        {{"plan", declared.Plan ? declared.Plan->version() : 0},
         {"replicas", static_cast<std::uint64_t>(replicas.Present.size())},
         {"position", reply.KnownPositions.Replica},
         {"list_age_ms", Span(reply.ReplicaAgeUs)},
         {"asked_ms_ago", TimerService::now() - requestedAt}});
  // A position must not be beyond entries that could not be parsed or are not
  // taken.
  auto positions = reply.KnownPositions;
  if (!reply.PlanText.empty() && !declared.Plan)
    positions.Operator = 0;
  if (HasReplicas || replicas.Present.size() < reply.Replicas.size())
    positions.Replica = 0;
  Crashes.onPeerRecords(reply.Crashes);
  onNotes(reply.Notes);
  onOperator(declared);
  bool isComplete = reply.PlanText.empty() || declared.Plan;
  if (reply.OperatorAgeUs > 0 && isComplete)
    Watcher->onPeerDeclarations(Span(reply.OperatorAgeUs), requestedAt);
  if (!HasReplicas && !replicas.Present.empty())
    onReplicas(replicas, {"briefing", true, TimerService::now() - requestedAt});
  Watcher->onBriefing(positions, Span(reply.OperatorAgeUs),
                      Span(reply.ReplicaAgeUs), requestedAt);
  for (const auto &[name, text] : reply.Leases)
    onLeaseRow(name, text);
}

void Gateway::onLeaseRow(const std::string &cell, const std::string &text) {
  auto it = Cells.find(cell);
  auto row = CellLeaseRow::parse(text);
  if (it == Cells.end() || !row)
    return;
  it->second->onPeerRow(*row);
  onNotes(row->Notes);
}

std::string Gateway::notes() const {
  auto now = TimerService::now();
  return Software.notes(now) + View.rejectionLimits().notes(now);
}

void Gateway::onNotes(const std::string &notes) {
  auto now = TimerService::now();
  Software.onNotes(notes, now);
  joinSoftwareClaims();
  for (const auto &it : RejectionLimits::parseNotes(notes, now))
    onRejectionLimit(it, "notes");
}

CellMember *Gateway::homeCellOf(const WeightsRef &weights) {
  // The same cell for all nodes, so that weights are loaded once, and again
  // where they are still in a replica's memory. Cells that can't load now rank
  // lower.
  CellMember *best = nullptr;
  std::pair<bool, std::uint64_t> bestRank{};
  for (auto &[name, cell] : Cells) {
    std::pair<bool, std::uint64_t> rank{
        cell->canOrder(),
        std::hash<std::string>{}(weights.text() + "@" + name)};
    if (best && rank <= bestRank)
      continue;
    best = cell.get();
    bestRank = rank;
  }
  return best;
}

void Gateway::onDemand(const std::string &service, const WeightsRef &weights,
                       bool waiting, const std::set<std::string> &unusable) {
  auto own = Cells.find(Settings.FailureDomain);
  auto *home = homeCellOf(weights);
  if (waiting && home) {
    auto n = std::count_if(unusable.begin(), unusable.end(), [&](auto &it) {
      return View.failureDomainOf(it) == home->cell() &&
             View.holds(it, weights);
    });
    return home->onDemand(service, weights, true,
                          static_cast<std::uint32_t>(n));
  }
  if (own != Cells.end())
    own->second->onDemand(service, weights, false);
  if (home && (own == Cells.end() || home != own->second.get()))
    home->onDemand(service, weights, false);
}

} // namespace hemlockglade
