#include "Programs/hemlockgladed/Gateway/QuotaService.h"

#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/Protocol/Message/QuotaMessages.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// A way to an owner that nothing was sent on for this long is closed.
constexpr Span WayRests = std::chrono::seconds(10);

} // namespace

QuotaService::QuotaService(std::vector<std::string> cells, std::string own,
                           QuotaSettings settings, Hooks hooks,
                           PeerTraffic &traffic, EventLog &log)
    : Cells(std::move(cells)), Own(std::move(own)), Setup(settings),
      Out(std::move(hooks)), Traffic(traffic), Log(log),
      Account(QuotaClient::Settings{}, settings) {
  Account.setCells(Cells, Own);
}

QuotaService::~QuotaService() { *Alive = false; }

void QuotaService::setPlan(std::shared_ptr<const RoutePlan> plan) {
  Plan = std::move(plan);
}

void QuotaService::reserve(const Workspace &workspace, double units,
                           OnDecided decided) {
  auto number = ++LastTicket;
  auto decision =
      Account.reserve(number, workspace, units, TimerService::now());
  pumpSoon();
  if (decision)
    return decided(decision->Result, decision->RetryAfter);
  Undecided.emplace(number, std::move(decided));
}

void QuotaService::charge(const Workspace &workspace, double units) {
  Account.charge(workspace, units, TimerService::now());
}

void QuotaService::release(const Workspace &workspace, double units) {
  Account.release(workspace, units, TimerService::now());
}

void QuotaService::pumpSoon() {
  // What comes in one turn of the loop goes in one message.
  if (std::exchange(PumpDue, true))
    return;
  Out.After(Span(0), [this, alive = Alive] {
    if (*alive)
      pump();
  });
}

void QuotaService::pump() {
  PumpDue = false;
  for (const auto &it : Account.takeRequests(TimerService::now()))
    sendAsks(it);
}

void QuotaService::sendAsks(const QuotaClient::Message &message) {
  auto now = TimerService::now();
  if (auto grants = grant(message.Cell, message.Requests)) {
    decide(Account.onGrants(message.Cell, message.Number, *grants, now));
    return pumpSoon();
  }
  auto &way = Ways[message.Cell];
  way.UsedAt = now;
  auto text = pack(messageOf(message));
  Traffic.add(PeerMessage::QuotaAsk, message.Cell == Own, text.size());
  bool same = way.Stream && way.Address == Out.OwnerOf(message.Cell);
  if (same)
    return way.Stream->send(std::move(text));
  closeWay(way);
  if (openWay(message.Cell, way, std::move(text)))
    return;
  decide(Account.onServerLost(message.Cell, now));
  pumpSoon();
}

bool QuotaService::openWay(const std::string &cell, Way &way,
                           std::string first) {
  way.Address = Out.OwnerOf(cell);
  if (way.Address.empty() || !Net)
    return false;
  PeerHooks hooks;
  auto self = std::make_shared<std::weak_ptr<PeerStream>>();
  hooks.OnMessage = [this, alive = Alive, cell](std::string_view message) {
    if (*alive)
      onOwnerMessage(cell, message);
  };
  hooks.OnClosed = [this, alive = Alive, cell, self](bool) {
    if (!*alive)
      return;
    auto &its = Ways[cell];
    if (!its.Stream || self->lock() != its.Stream)
      return;
    its.Stream = nullptr;
    decide(Account.onServerLost(cell, TimerService::now()));
    pumpSoon();
  };
  way.Stream = Net->open(way.Address, std::string(peer_path::Quota) + cell,
                         std::move(first), std::move(hooks));
  *self = way.Stream;
  return true;
}

void QuotaService::closeWay(Way &way) {
  auto stream = std::exchange(way.Stream, nullptr);
  if (!stream)
    return;
  stream->OnClosed = nullptr;
  stream->close();
}

void QuotaService::onOwnerMessage(const std::string &cell,
                                  std::string_view message) {
  auto reply = unpack<QuotaGrantMessage>(message);
  if (!reply) {
    Log.write(LogClass::State, "message-refused",
              {{"what", "quota grants"}, {"cell", cell}});
    return;
  }
  decide(Account.onGrants(cell, reply->Number, grantsOf(*reply),
                          TimerService::now()));
  pumpSoon();
}

void QuotaService::decide(std::span<const QuotaClient::Decision> decisions) {
  for (const auto &it : decisions) {
    auto node = Undecided.extract(it.Number);
    if (!node.empty())
      node.mapped()(it.Result, it.RetryAfter);
  }
}

QuotaServer *QuotaService::keeperOf(const std::string &cell) {
  auto epoch = Out.HeldEpoch(cell);
  if (!epoch || !Plan)
    return nullptr;
  auto &kept = Keepers[cell];
  if (!kept.Keeper)
    kept.Keeper = std::make_unique<QuotaServer>(cell, Setup);
  if (kept.HeldSince != epoch) {
    kept.HeldSince = epoch;
    kept.Keeper->reset();
    kept.Plan = nullptr;
  }
  if (kept.Plan != Plan) {
    kept.Plan = Plan;
    kept.Keeper->setLimits(Plan->workspaces(), Cells, TimerService::now());
    Log.write(
        LogClass::State, "quota-keeper",
        {{"cell", cell},
         {"epoch", epoch},
         {"plan", Plan->version()},
         {"workspaces", static_cast<std::uint64_t>(kept.Keeper->size())}});
  }
  return kept.Keeper.get();
}

std::optional<std::vector<QuotaGrant>>
QuotaService::grant(const std::string &cell,
                    std::span<const QuotaRequest> asks) {
  auto *keeper = keeperOf(cell);
  if (!keeper)
    return std::nullopt;
  std::vector<QuotaGrant> out;
  for (const auto &it : asks)
    out.push_back(keeper->onRequest(it, TimerService::now()));
  return out;
}

void QuotaService::onEntry(const std::string &cell,
                           const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this, alive = Alive, cell,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto to = weak.lock();
    if (!*alive || !to)
      return;
    auto asked = unpack<QuotaRequestMessage>(message);
    auto grants = asked ? grant(cell, requestsOf(*asked)) : std::nullopt;
    // The entry asks another keeper, and looks who owns the cell.
    if (!grants)
      return to->close();
    auto text = pack(messageOf(asked->Number, *grants));
    Traffic.add(PeerMessage::QuotaGrant, cell == Own, text.size());
    to->send(std::move(text));
  };
}

void QuotaService::tick() {
  auto now = TimerService::now();
  // A bucket fills from when its cell is taken, not from the first ask.
  for (const auto &cell : Cells)
    keeperOf(cell);
  decide(Account.tick(now));
  for (auto &[cell, way] : Ways)
    if (way.Stream && now - way.UsedAt > WayRests)
      closeWay(way);
  pumpSoon();
}

} // namespace hemlockglade
