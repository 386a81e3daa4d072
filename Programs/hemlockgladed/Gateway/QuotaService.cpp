#include "Programs/hemlockgladed/Gateway/QuotaService.h"

#include "Hemlockglade/Protocol/Message/CellMessages.h"
#include "Hemlockglade/Protocol/Message/QuotaMessages.h"
#include "Hemlockglade/Transport/Time/TimerService.h"

namespace hemlockglade {

namespace {

/// A stream to an owner that nothing was sent on for this long is closed.
constexpr Span StreamIdleTimeout = std::chrono::seconds(10);

} // namespace

QuotaService::QuotaService(std::vector<std::string> cells, std::string own,
                           QuotaSettings settings, Hooks hooks,
                           std::uint64_t entry, PeerTraffic &traffic,
                           EventLog &log)
    : Cells(std::move(cells)), OwnCell(std::move(own)), Options(settings),
      Entry(entry), Callbacks(std::move(hooks)), Traffic(traffic), Log(log),
      Client(QuotaClient::Settings{}, settings) {
  Client.setCells(Cells, OwnCell);
  Client.setPlacesWithoutServer([this](const Workspace &holder) {
    return Callbacks.PlacesWithoutOwner ? Callbacks.PlacesWithoutOwner(holder)
                                        : 0;
  });
}

QuotaService::~QuotaService() { *Alive = false; }

void QuotaService::setPlan(std::shared_ptr<const RoutePlan> plan) {
  Plan = std::move(plan);
}

void QuotaService::reserve(const Workspace &workspace, double units,
                           OnDecided decided, bool waits) {
  auto number = ++LastTicket;
  auto decision =
      Client.reserve(number, workspace, units, TimerService::now(), waits);
  flushSoon();
  if (decision)
    return decided(*decision);
  Undecided.emplace(number, std::move(decided));
}

void QuotaService::addSent(const Workspace &holder, std::span<const Span> ago) {
  Client.addSent(holder, ago, TimerService::now());
  flushSoon();
}

void QuotaService::charge(const Workspace &workspace, double units) {
  Client.charge(workspace, units, TimerService::now());
}

void QuotaService::release(const Workspace &workspace, double units) {
  Client.release(workspace, units, TimerService::now());
  // Others may wait for a place.
  if (workspace.Limit->Unit == LimitUnit::ReplicaPlaces)
    flushSoon();
}

void QuotaService::occupy(const Workspace &holder, double places) {
  Client.occupy(holder, places, TimerService::now());
  flushSoon();
}

void QuotaService::onRejected(const Workspace &holder) {
  Client.onRejected(holder, TimerService::now());
  flushSoon();
}

void QuotaService::flushSoon() {
  // Requests that arrive in one iteration of the event loop go out in one
  // message.
  if (std::exchange(FlushDue, true))
    return;
  Callbacks.After(Span(0), [this, alive = Alive] {
    if (*alive)
      flush();
  });
}

void QuotaService::flush() {
  FlushDue = false;
  for (const auto &it : Client.takeRequests(TimerService::now()))
    sendRequests(it);
}

void QuotaService::sendRequests(const QuotaClient::Message &message) {
  auto now = TimerService::now();
  if (auto grants =
          grant(message.Cell, message.Number, message.Requests, Entry)) {
    deliver(Client.onGrants(message.Cell, message.Number, *grants, now));
    sendLateGrants(message.Cell);
    return flushSoon();
  }
  auto &owner = OwnerStreams[message.Cell];
  owner.UsedAt = now;
  auto text = pack(messageOf(message, Entry));
  Traffic.add(PeerMessage::QuotaRequest, message.Cell == OwnCell, text.size());
  bool isCurrent =
      owner.Stream && owner.Address == Callbacks.OwnerOf(message.Cell);
  if (isCurrent)
    return owner.Stream->send(std::move(text));
  closeStream(owner);
  if (openStream(message.Cell, owner, std::move(text)))
    return;
  deliver(Client.onServerUnreachable(message.Cell, now));
  flushSoon();
}

bool QuotaService::openStream(const std::string &cell, OwnerStream &owner,
                              std::string first) {
  owner.Address = Callbacks.OwnerOf(cell);
  if (owner.Address.empty() || !Net)
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
    auto &current = OwnerStreams[cell];
    if (!current.Stream || self->lock() != current.Stream)
      return;
    current.Stream = nullptr;
    deliver(Client.onServerUnreachable(cell, TimerService::now()));
    flushSoon();
  };
  owner.Stream = Net->open(owner.Address, std::string(peer_path::Quota) + cell,
                           std::move(first), std::move(hooks));
  *self = owner.Stream;
  return true;
}

void QuotaService::closeStream(OwnerStream &owner) {
  auto stream = std::exchange(owner.Stream, nullptr);
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
  deliver(Client.onGrants(cell, reply->Number, grantsOf(*reply),
                          TimerService::now()));
  flushSoon();
}

void QuotaService::deliver(std::span<const QuotaClient::Decision> decisions) {
  for (const auto &it : decisions) {
    auto node = Undecided.extract(it.Number);
    if (!node.empty())
      node.mapped()(it);
  }
}

QuotaServer *QuotaService::serverOf(const std::string &cell) {
  auto epoch = Callbacks.HeldEpoch(cell);
  if (!epoch || !Plan)
    return nullptr;
  auto &served = ServedCells[cell];
  if (!served.Server)
    served.Server = std::make_unique<QuotaServer>(cell, Options);
  if (served.ServedEpoch != epoch) {
    served.ServedEpoch = epoch;
    served.Server->reset(TimerService::now());
    served.Plan = nullptr;
  }
  if (served.Plan != Plan) {
    served.Plan = Plan;
    served.Server->setLimits(Plan->workspaces(), Cells, TimerService::now());
    Log.write(
        LogClass::State, "quota-keeper",
        {{"cell", cell},
         {"epoch", epoch},
         {"plan", Plan->version()},
         {"workspaces", static_cast<std::uint64_t>(served.Server->size())}});
  }
  return served.Server.get();
}

std::optional<std::vector<QuotaGrant>>
QuotaService::grant(const std::string &cell, std::uint64_t message,
                    std::span<const QuotaRequest> requests,
                    std::uint64_t entry) {
  auto *server = serverOf(cell);
  if (!server)
    return std::nullopt;
  std::vector<QuotaGrant> out;
  for (const auto &it : requests)
    if (auto granted =
            server->onRequest(it, TimerService::now(), entry, message))
      out.push_back(std::move(*granted));
  return out;
}

void QuotaService::sendLateGrants(const std::string &cell) {
  auto *server = serverOf(cell);
  if (!server)
    return;
  for (const auto &it : server->takeLateGrants(TimerService::now())) {
    if (it.Entry == Entry) {
      deliver(Client.onGrants(cell, it.Message, std::span(&it.Grant, 1),
                              TimerService::now()));
      flushSoon();
      continue;
    }
    auto stream = EntryStreams.find({cell, it.Entry});
    auto entry = stream == EntryStreams.end() ? nullptr : stream->second.lock();
    if (!entry)
      continue;
    auto text = pack(messageOf(it.Message, std::span(&it.Grant, 1)));
    Traffic.add(PeerMessage::QuotaGrant, cell == OwnCell, text.size());
    entry->send(std::move(text));
  }
}

void QuotaService::onEntry(const std::string &cell,
                           const std::shared_ptr<PeerStream> &stream) {
  auto id = std::make_shared<std::uint64_t>(0);
  stream->OnClosed = [this, alive = Alive, cell, id,
                      weak = std::weak_ptr(stream)](bool) {
    if (*alive)
      onEntryGone(cell, *id, weak.lock().get());
  };
  stream->OnMessage = [this, alive = Alive, cell, id,
                       weak = std::weak_ptr(stream)](std::string_view message) {
    auto entry = weak.lock();
    if (!*alive || !entry)
      return;
    auto request = unpack<QuotaRequestMessage>(message);
    *id = request ? request->Entry : 0;
    auto grants = request
                      ? grant(cell, request->Number, requestsOf(*request), *id)
                      : std::nullopt;
    // The entry then requests from another server, and determines the cell's
    // owner again.
    if (!grants)
      return entry->close();
    EntryStreams[{cell, *id}] = entry;
    auto text = pack(messageOf(request->Number, *grants));
    Traffic.add(PeerMessage::QuotaGrant, cell == OwnCell, text.size());
    entry->send(std::move(text));
    sendLateGrants(cell);
  };
}

void QuotaService::onEntryGone(const std::string &cell, std::uint64_t entry,
                               const PeerStream *closed) {
  auto stream = EntryStreams.find({cell, entry});
  auto current = stream == EntryStreams.end() ? nullptr : stream->second.lock();
  // The entry may have opened another stream meanwhile.
  if (current && current.get() != closed)
    return;
  if (stream != EntryStreams.end())
    EntryStreams.erase(stream);
  if (auto *server = serverOf(cell))
    server->onEntryGone(entry, TimerService::now());
}

void QuotaService::logPlaces() const {
  auto now = TimerService::now();
  for (const auto &[cell, served] : ServedCells) {
    if (!served.Server || !Callbacks.HeldEpoch(cell))
      continue;
    for (const auto &[holder, it] : served.Server->places())
      Log.write(LogClass::State, "places",
                {{"cell", cell},
                 {"replica", holder.substr(holder.find('\n') + 1)},
                 {"places", it.places()},
                 {"used", it.used(now)},
                 {"rejected", it.rejected()},
                 {"used_ms_ago", now - it.usedAt()}});
  }
}

void QuotaService::tick() {
  auto now = TimerService::now();
  // A bucket fills from when its cell is taken over, not from the first
  // request.
  for (const auto &cell : Cells) {
    serverOf(cell);
    sendLateGrants(cell);
  }
  deliver(Client.tick(now));
  for (auto &[cell, owner] : OwnerStreams)
    if (owner.Stream && now - owner.UsedAt > StreamIdleTimeout)
      closeStream(owner);
  flushSoon();
}

} // namespace hemlockglade
