#include "Programs/hemlockgladed/Gateway/QuotaLink.h"

#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/Protocol/Message/QuotaMessages.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// A way to an owner that nothing was sent on for this long is closed.
constexpr Span WayRests = std::chrono::seconds(10);

} // namespace

QuotaLink::QuotaLink(std::vector<std::string> cells, std::string own,
                     QuotaSettings settings, Hooks hooks, PeerTraffic &traffic,
                     EventLog &log)
    : Cells(std::move(cells)), Own(std::move(own)), Setup(settings),
      Out(std::move(hooks)), Traffic(traffic), Log(log),
      Account(QuotaAccount::Settings{}, settings) {
  Account.setCells(Cells, Own);
}

QuotaLink::~QuotaLink() { *Alive = false; }

void QuotaLink::setPlan(std::shared_ptr<const RoutePlan> plan) {
  Plan = std::move(plan);
}

void QuotaLink::book(const Workspace &workspace, double units,
                     Decided decided) {
  auto number = ++LastTicket;
  auto decision = Account.book(number, workspace, units, TimerService::now());
  pumpSoon();
  if (decision)
    return decided(decision->What, decision->RetryAfter);
  Undecided.emplace(number, std::move(decided));
}

void QuotaLink::charge(const Workspace &workspace, double units) {
  Account.charge(workspace, units, TimerService::now());
}

void QuotaLink::giveBack(const Workspace &workspace, double units) {
  Account.giveBack(workspace, units, TimerService::now());
}

void QuotaLink::pumpSoon() {
  // What comes in one turn of the loop goes in one message.
  if (std::exchange(PumpDue, true))
    return;
  Out.After(Span(0), [this, alive = Alive] {
    if (*alive)
      pump();
  });
}

void QuotaLink::pump() {
  PumpDue = false;
  for (const auto &it : Account.takeAsks(TimerService::now()))
    sendAsks(it);
}

void QuotaLink::sendAsks(const QuotaAccount::Message &message) {
  auto now = TimerService::now();
  if (auto grants = grant(message.Cell, message.Asks)) {
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
  decide(Account.onKeeperLost(message.Cell, now));
  pumpSoon();
}

bool QuotaLink::openWay(const std::string &cell, Way &way, std::string first) {
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
    decide(Account.onKeeperLost(cell, TimerService::now()));
    pumpSoon();
  };
  way.Stream = Net->open(way.Address, std::string(peer_path::Quota) + cell,
                         std::move(first), std::move(hooks));
  *self = way.Stream;
  return true;
}

void QuotaLink::closeWay(Way &way) {
  auto stream = std::exchange(way.Stream, nullptr);
  if (!stream)
    return;
  stream->OnClosed = nullptr;
  stream->close();
}

void QuotaLink::onOwnerMessage(const std::string &cell,
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

void QuotaLink::decide(std::span<const QuotaAccount::Decision> decisions) {
  for (const auto &it : decisions) {
    auto node = Undecided.extract(it.Number);
    if (!node.empty())
      node.mapped()(it.What, it.RetryAfter);
  }
}

QuotaKeeper *QuotaLink::keeperOf(const std::string &cell) {
  auto epoch = Out.Holds(cell);
  if (!epoch || !Plan)
    return nullptr;
  auto &kept = Keepers[cell];
  if (!kept.Keeper)
    kept.Keeper = std::make_unique<QuotaKeeper>(cell, Setup);
  if (kept.HeldSince != epoch) {
    kept.HeldSince = epoch;
    kept.Keeper->begin();
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
QuotaLink::grant(const std::string &cell, std::span<const QuotaAsk> asks) {
  auto *keeper = keeperOf(cell);
  if (!keeper)
    return std::nullopt;
  std::vector<QuotaGrant> out;
  for (const auto &it : asks)
    out.push_back(keeper->onAsk(it, TimerService::now()));
  return out;
}

void QuotaLink::onEntry(const std::string &cell,
                        const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this, alive = Alive, cell,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto to = weak.lock();
    if (!*alive || !to)
      return;
    auto asked = unpack<QuotaAskMessage>(message);
    auto grants = asked ? grant(cell, asksOf(*asked)) : std::nullopt;
    // The entry asks another keeper, and looks who owns the cell.
    if (!grants)
      return to->close();
    auto text = pack(messageOf(asked->Number, *grants));
    Traffic.add(PeerMessage::QuotaGrant, cell == Own, text.size());
    to->send(std::move(text));
  };
}

void QuotaLink::tick() {
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
