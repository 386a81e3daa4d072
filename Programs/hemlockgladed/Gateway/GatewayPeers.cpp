// What a gateway tells other nodes and hears from them.

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include <charconv>
#include <cmath>

namespace hemlockglade {

namespace {

/// How long a node that has had a caller takes it that more may come: longer
/// than callers keep an address.
constexpr auto AwakeFor = std::chrono::seconds(3);
/// Requests for engines a second that wake a node: a single one, of a caller
/// that looks around, is served by what the replicas register.
constexpr double WakingRequests = 1.5;
/// How long a node hears one of several owners of other cells: two beats.
constexpr Span NewsTurn = std::chrono::milliseconds(600);
/// Silence of the own cell's owner after which a node listens to the others.
constexpr auto OwnerPatience = std::chrono::milliseconds(3000);

/// The version behind a path that asks for what is newer.
std::optional<std::uint64_t> versionIn(std::string_view path,
                                       std::string_view prefix) {
  if (!path.starts_with(prefix))
    return std::nullopt;
  std::uint64_t out = 0;
  const auto *end = path.data() + path.size();
  bool good =
      std::from_chars(path.data() + prefix.size(), end, out).ec == std::errc();
  return good ? std::optional(out) : std::nullopt;
}

} // namespace

MemberNotice Gateway::self() const {
  return {Settings.Name,          Incarnation, Settings.CallerAddress,
          Settings.FailureDomain, ready(),     Settings.Cores,
          Settings.LinkMbps,      Awake};
}

bool Gateway::ownsCells() const {
  return std::any_of(Cells.begin(), Cells.end(),
                     [](const auto &it) { return it.second->isOwner(); });
}

const CellMember *Gateway::newsFrom() const {
  auto own = Cells.find(Settings.FailureDomain);
  bool owns = own != Cells.end() && own->second->isOwner();
  // An owner that the registry turns away tells on what others see.
  if (owns && Watch->reachable())
    return nullptr;
  if (!owns && own != Cells.end() && own->second->isUpToDate())
    return own->second.get();
  // In turns, since another owner may be turned away as well.
  std::vector<const CellMember *> others;
  for (const auto &[name, cell] : Cells)
    if (cell->isUpToDate() && !cell->isOwner())
      others.push_back(cell.get());
  if (others.empty())
    return own == Cells.end() ? nullptr : own->second.get();
  auto turn = TimerService::now() / NewsTurn;
  return others[static_cast<std::size_t>(turn) % others.size()];
}

bool Gateway::follows(const std::string &cell) const {
  if (Awake || cell == Settings.FailureDomain)
    return true;
  auto own = Cells.find(Settings.FailureDomain);
  return own == Cells.end() || own->second->silentFor() > OwnerPatience;
}

std::vector<std::pair<std::string, std::string>>
Gateway::leasesBut(const std::string &cell) const {
  std::vector<std::pair<std::string, std::string>> out;
  for (const auto &[name, it] : Cells)
    if (const auto &row = it->lease().row(); row && name != cell)
      out.emplace_back(name, row->text());
  return out;
}

void Gateway::onRosters() {
  for (const auto &[name, cell] : Cells)
    if (const auto *told = cell->servingEntries())
      Board.update(name, *told);
    else
      Board.forget(name);
  InService = Board.serves(Settings.Name, Settings.FailureDomain);
  auto part = Board.shareOf(Settings.Name, Settings.FailureDomain);
  Budget.setTrafficShare(part);
  auto nodes = part > 0 ? std::lround(1 / part) : 1;
  View.setTrafficShare(1.0 / static_cast<double>(nodes));
  Quotas.setEntries(static_cast<std::size_t>(nodes));
  Crashes.setTrialSlot(std::hash<std::string>{}(Settings.Name),
                       static_cast<std::size_t>(nodes));
  bool asked = TimerService::now() - AskedAt < AwakeFor;
  setAwake(InService || ownsCells() || asked,
           InService ? "in service" : "no callers");
}

void Gateway::keepAwake() {
  auto now = TimerService::now();
  if (Generations.load(now).Requests < WakingRequests)
    return;
  AskedAt = now;
  if (Awake)
    return;
  setAwake(true, "callers came");
  for (auto &[name, cell] : Cells)
    cell->tick();
}

void Gateway::setAwake(bool awake, std::string_view why) {
  if (std::exchange(Awake, awake) == awake)
    return;
  Log.write(LogClass::State, awake ? "wakes" : "stands-by", {{"why", why}});
  if (!awake)
    return;
  // The owners have to tell it what they hold before its callers come.
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
  if (auto known = versionIn(path, peer_path::Briefing))
    stream->send(pack(briefing(*known)));
  if (auto known = versionIn(path, peer_path::Declared))
    stream->send(pack(declaredSince(*known)));
  if (path == peer_path::Leases) {
    BriefingReply reply;
    reply.Leases = leasesBut("");
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
  // 0 says that nothing is known of the age.
  out.OperatorAgeUs =
      std::max<std::int64_t>(1, Watch->confirmedDeclaredAge().count());
  return out;
}

BriefingReply Gateway::briefing(std::uint64_t planVersion) const {
  auto out = declaredSince(planVersion);
  out.Crashes = Crashes.since(0);
  for (const auto &it : View.inUse())
    out.Replicas.emplace_back(it->Incarnation.id(), it->Source);
  out.Leases = leasesBut("");
  out.KnownPositions = Watch->positions();
  out.OperatorAgeUs = Watch->confirmedAge().count();
  out.ReplicaAgeUs = Watch->replicasAge().count();
  // One that has lapsed is used for a while yet, and its going is told only to
  // nodes that know less.
  if (View.anyPendingRemoval())
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

void Gateway::askPeer() {
  if (Settings.Seeds.empty() || Leaving)
    return;
  if (!Plan || !SeenReplicas)
    return askBriefing(std::string(peer_path::Briefing) +
                       std::to_string(Plan ? Plan->version() : 0));
  if (!knowsOwner())
    return askBriefing(std::string(peer_path::Leases));
  // The registry may turn this node away and serve the others, whose plan
  // callers then meet beside an older one here. One question in each half of
  // the bound, of some 100 bytes where nothing is newer.
  auto now = TimerService::now();
  if (Watch->operatorAge() < Settings.PlanBound ||
      now - AskedDeclaredAt < Settings.PlanBound / 2)
    return;
  askDeclared();
}

void Gateway::askDeclared() {
  AskedDeclaredAt = TimerService::now();
  askBriefing(std::string(peer_path::Declared) +
              std::to_string(Plan->version()));
}

void Gateway::askBriefing(std::string path) {
  auto seed = Settings.Seeds[NextSeed++ % Settings.Seeds.size()];
  auto peer =
      seed.substr(0, seed.rfind(':')) + ":" + std::to_string(Settings.PeerPort);
  if (peer.starts_with(Settings.Address + ":"))
    return;
  PeerHooks hooks;
  hooks.OnMessage = [this,
                     askedAt = TimerService::now()](std::string_view message) {
    if (auto reply = unpack<BriefingReply>(message))
      onBriefing(*reply, askedAt);
    else
      Log.write(LogClass::State, "message-refused", {{"what", "briefing"}});
  };
  Peers->open(peer, std::move(path), "?", std::move(hooks));
}

void Gateway::onBriefing(const BriefingReply &reply, Instant askedAt) {
  OperatorChanges declared;
  if (!reply.PlanText.empty())
    declared.Plan = Port.Registry.ParsePlan(reply.PlanText);
  for (const auto &it : reply.Versions)
    declared.Versions.push_back(
        {WeightsRef::parse(it.Weights), it.Version, askedAt - Span(it.AgeUs)});
  ReplicaChanges replicas;
  for (const auto &[id, source] : reply.Replicas)
    if (auto it = Port.Registry.ParseReplica(id, source))
      replicas.Present.push_back(std::move(*it));
  if (declared.Plan || !replicas.Present.empty())
    Log.write(
        LogClass::State, "briefing",
        {{"plan", declared.Plan ? declared.Plan->version() : 0},
         {"replicas", static_cast<std::uint64_t>(replicas.Present.size())}});
  // A position must not pass what could not be read or is not taken.
  auto knows = reply.KnownPositions;
  if (!reply.PlanText.empty() && !declared.Plan)
    knows.Operator = 0;
  if (SeenReplicas || replicas.Present.size() < reply.Replicas.size())
    knows.Replica = 0;
  Crashes.onPeerRecords(reply.Crashes);
  onOperator(declared);
  bool tellsAll = reply.PlanText.empty() || declared.Plan;
  if (reply.OperatorAgeUs > 0 && tellsAll)
    Watch->onDeclared(Span(reply.OperatorAgeUs), askedAt);
  if (!SeenReplicas && !replicas.Present.empty())
    onReplicas(replicas, true);
  Watch->onBriefed(knows, Span(reply.OperatorAgeUs), Span(reply.ReplicaAgeUs),
                   askedAt);
  for (const auto &[name, text] : reply.Leases) {
    auto cell = Cells.find(name);
    auto row = CellLeaseRow::parse(text);
    if (cell != Cells.end() && row)
      cell->second->onPeerRow(*row);
  }
}

CellMember *Gateway::homeOf(const WeightsRef &weights) {
  // The same cell for all nodes, so that weights are loaded once, and again
  // where they still lie in a replica's memory. Cells that can't load now are
  // passed over.
  CellMember *best = nullptr;
  std::pair<bool, std::uint64_t> most{};
  for (auto &[name, cell] : Cells) {
    std::pair<bool, std::uint64_t> rank{
        cell->canOrder(),
        std::hash<std::string>{}(weights.text() + "@" + name)};
    if (best && rank <= most)
      continue;
    best = cell.get();
    most = rank;
  }
  return best;
}

void Gateway::onDemand(const std::string &service, const WeightsRef &weights,
                       bool waiting) {
  auto own = Cells.find(Settings.FailureDomain);
  auto *home = homeOf(weights);
  if (waiting && home)
    return home->onDemand(service, weights, true);
  if (own != Cells.end())
    own->second->onDemand(service, weights, false);
  if (home && (own == Cells.end() || home != own->second.get()))
    home->onDemand(service, weights, false);
}

} // namespace hemlockglade
