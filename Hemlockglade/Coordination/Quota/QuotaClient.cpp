#include "Hemlockglade/Coordination/Quota/QuotaClient.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockglade {

namespace {

/// State of a workspace without requests for this long is removed.
constexpr Span IdleTimeout = std::chrono::seconds(30);
/// Share of the wanted units ahead below which more units are requested.
constexpr double RefillShare = 0.5;
/// Units ahead are requested only if they cover this many mean requests.
constexpr double MinAheadRequests = 2;

} // namespace

void QuotaClient::setCells(std::vector<std::string> cells,
                           const std::string &own) {
  Cells = std::move(cells);
  OwnCell = own;
}

void QuotaClient::selectServers(const std::string &name,
                                WorkspaceState &state) const {
  auto servers = quotaServersOf(name, state.Limit, Cells, Quota);
  if (servers.empty())
    return;
  // The own cell's owner is near, so it comes first. If it is no quota server
  // here, entries of different cells start with different servers.
  auto own = std::find(servers.begin(), servers.end(), OwnCell);
  if (own == servers.end())
    own = servers.begin() +
          static_cast<std::ptrdiff_t>(std::hash<std::string>{}(OwnCell) %
                                      servers.size());
  std::rotate(servers.begin(), own, servers.end());
  std::vector<ServerState> selected;
  for (const auto &cell : servers) {
    auto existing =
        std::find_if(state.Servers.begin(), state.Servers.end(),
                     [&cell](const auto &it) { return it.Cell == cell; });
    selected.push_back(existing == state.Servers.end() ? ServerState{}
                                                       : std::move(*existing));
    selected.back().Cell = cell;
  }
  state.Servers = std::move(selected);
}

QuotaClient::WorkspaceState &QuotaClient::stateOf(const Workspace &workspace,
                                                  Instant now) {
  auto [it, isNew] = Workspaces.try_emplace(workspace.Name);
  auto &state = it->second;
  state.Name = workspace.Name;
  state.UsedAt = now;
  if (!isNew && state.Limit == *workspace.Limit)
    return state;
  // Servers stay as long as requests wait for one. If one of them is no quota
  // server any more, it does not answer and the requests fail over.
  bool waiting = std::any_of(
      state.Servers.begin(), state.Servers.end(), [](const auto &server) {
        return !server.Queue.empty() || !server.InFlight.empty();
      });
  if (waiting)
    return state;
  state.Limit = *workspace.Limit;
  selectServers(workspace.Name, state);
  return state;
}

double QuotaClient::demandOf(const WorkspaceState &state, Instant now) const {
  return state.Demand * std::exp(-inSeconds(now - state.DemandAt) /
                                 inSeconds(Options.DemandWindow));
}

void QuotaClient::updateDemand(WorkspaceState &state, double units,
                               Instant now) const {
  state.Demand = demandOf(state, now) + units / inSeconds(Options.DemandWindow);
  state.DemandAt = now;
  constexpr double Weight = 0.1;
  state.MeanUnits +=
      (state.MeanUnits > 0 ? Weight : 1) * (units - state.MeanUnits);
}

void QuotaClient::markDue(WorkspaceState &state) {
  if (!std::exchange(state.Due, true))
    DueWorkspaces.push_back(&state);
}

double QuotaClient::ServerState::granted() const {
  double out = 0;
  for (const auto &it : Grants)
    out += it.Units;
  return out;
}

void QuotaClient::dropExpiredGrants(ServerState &server, Instant now) {
  std::erase_if(server.Grants, [&server, now](const auto &it) {
    bool over = now >= it.Until;
    server.Unused += over ? it.Units : 0;
    return over;
  });
}

bool QuotaClient::useGranted(WorkspaceState &state, double units, Instant now) {
  for (auto &server : state.Servers) {
    dropExpiredGrants(server, now);
    if (server.granted() < units)
      continue;
    for (auto &it : server.Grants) {
      auto used = std::min(units, it.Units);
      it.Units -= used;
      units -= used;
    }
    std::erase_if(server.Grants, [](const auto &it) { return it.Units <= 0; });
    return true;
  }
  return false;
}

std::optional<QuotaClient::Decision>
QuotaClient::reserve(Ticket number, const Workspace &workspace, double units,
                     Instant now, bool waits) {
  auto &state = stateOf(workspace, now);
  updateDemand(state, units, now);
  if (!useGranted(state, units, now))
    return queueAtServer(state, 0, {number, units, waits}, now);
  markDue(state);
  return Decision{number, Verdict::Allowed, Span(0), Span(0)};
}

std::optional<QuotaClient::Decision>
QuotaClient::queueAtServer(WorkspaceState &state, std::size_t first,
                           WaitingRequest it, Instant now) {
  for (auto at = first; at < state.Servers.size(); ++at) {
    auto &server = state.Servers[at];
    bool isEmpty = now < server.EmptyUntil && !it.Waits;
    if (isEmpty || now < server.BackoffUntil)
      continue;
    server.Queue.push_back(it);
    markDue(state);
    return std::nullopt;
  }
  return refuse(state, it, now);
}

QuotaClient::Decision QuotaClient::refuse(WorkspaceState &state,
                                          const WaitingRequest &it,
                                          Instant now) const {
  auto emptyUntil = Instant::max();
  for (const auto &server : state.Servers)
    if (now < server.EmptyUntil)
      emptyUntil = std::min(emptyUntil, server.EmptyUntil);
  if (state.countsPlaces() && emptyUntil != Instant::max())
    return {it.Number, Verdict::Limited, emptyUntil - now, emptyUntil - now};
  if (takeWithoutServer(state, it.Units, now))
    return {it.Number, Verdict::Allowed, Span(0), Span(0)};
  if (emptyUntil == Instant::max()) {
    auto backoff = state.countsPlaces() ? Options.PlaceServerBackoff
                                        : Options.ServerBackoff;
    return {it.Number, Verdict::NoServer, backoff, backoff};
  }
  // Callers that are refused together get retry times one after the other, as
  // this entry's share of the limit admits them.
  auto perSecond = state.Limit.PerSecond / static_cast<double>(EntryCount);
  state.RetriesUntil = std::max({state.RetriesUntil, emptyUntil, now}) +
                       spanOf(it.Units / perSecond);
  if (state.RetriesUntil > now + Options.MaxRetryAfter)
    state.RetriesUntil = now + Options.MaxRetryAfter / 2;
  return {it.Number, Verdict::Limited, state.RetriesUntil - now,
          emptyUntil - now};
}

bool QuotaClient::takeWithoutServer(WorkspaceState &state, double places,
                                    Instant now) const {
  if (!state.countsPlaces() || !PlacesWithoutServer || state.Servers.empty())
    return false;
  const auto &silentSince = state.Servers.front().SilentSince;
  if (!silentSince || now - *silentSince < Options.PlaceFallbackDelay)
    return false;
  Workspace holder;
  holder.Name = state.Name;
  holder.Limit = state.Limit;
  auto own = PlacesWithoutServer(holder);
  bool runsAlone = state.UsedPlaces <= 0 && own >= 1;
  if (!runsAlone && state.UsedPlaces + places > own)
    return false;
  state.UsedPlaces += places;
  return true;
}

void QuotaClient::occupy(const Workspace &holder, double places, Instant now) {
  auto &state = stateOf(holder, now);
  state.UsedPlaces += places;
  state.PlacesChanged = true;
  markDue(state);
}

void QuotaClient::onRejected(const Workspace &holder, Instant now) {
  auto &state = stateOf(holder, now);
  ++state.Rejected;
  markDue(state);
}

bool QuotaClient::mustReportPlaces(const WorkspaceState &state,
                                   Instant now) const {
  if (!state.countsPlaces())
    return false;
  return state.PlacesChanged || state.Rejected > 0 ||
         (state.UsedPlaces > 0 &&
          now - state.PlacesReportedAt >= Options.PlaceReportInterval);
}

void QuotaClient::reportPlaces(WorkspaceState &state, QuotaRequest &request,
                               Instant now) {
  request.Workspace = state.Name;
  request.ReplicaLimit = state.Limit.PerSecond;
  request.Places = state.Limit.Places;
  request.PlaceReport = {state.UsedPlaces,
                         state.Servers.front().AnsweredMessage,
                         std::exchange(state.Rejected, 0)};
  state.PlacesReportedAt = now;
  state.PlacesChanged = false;
}

void QuotaClient::addSent(const Workspace &holder, std::span<const Span> ago,
                          Instant now) {
  auto &state = stateOf(holder, now);
  for (auto it : ago)
    state.Unreserved.push_back(now - it);
  markDue(state);
}

void QuotaClient::charge(const Workspace &workspace, double units,
                         Instant now) {
  auto &state = stateOf(workspace, now);
  if (!useGranted(state, units, now) && !state.Servers.empty())
    state.Servers.front().Charged += units;
}

void QuotaClient::release(const Workspace &workspace, double units,
                          Instant now) {
  auto &state = stateOf(workspace, now);
  if (state.countsPlaces()) {
    state.UsedPlaces = std::max(0.0, state.UsedPlaces - units);
    state.PlacesChanged = true;
    return markDue(state);
  }
  if (state.Servers.empty())
    return;
  auto &server = state.Servers.front();
  // Units that were used without a grant are settled first.
  auto settled = std::min(units, server.Charged);
  server.Charged -= settled;
  server.Unused += units - settled;
}

double QuotaClient::unitsAhead(const WorkspaceState &state,
                               const ServerState &server, Instant now) const {
  bool nearest = &server == &state.Servers.front();
  // A replica's limit is too small to be divided ahead.
  bool isReplica =
      state.Limit.Unit == LimitUnit::ReplicaRequests || state.countsPlaces();
  if (!nearest || isReplica || now < server.EmptyUntil ||
      now < server.NoAheadUntil)
    return 0;
  auto wanted = demandOf(state, now) * inSeconds(Options.AheadFor);
  // Less would not serve a whole request before the grant expires.
  if (wanted < MinAheadRequests * state.MeanUnits)
    return 0;
  auto granted = server.granted();
  return granted < RefillShare * wanted ? wanted - granted : 0;
}

void QuotaClient::addRequests(WorkspaceState &state,
                              std::map<std::string, Message> &messages,
                              Instant now) {
  for (auto &server : state.Servers) {
    if (now < server.BackoffUntil)
      continue;
    if (server.RequestPending) {
      // A place that is free is reported also while a request waits for one.
      if (mustReportPlaces(state, now)) {
        auto &message = messages[server.Cell];
        message.Cell = server.Cell;
        if (!message.Number)
          message.Number = ++LastMessage;
        reportPlaces(state, message.Requests.emplace_back(), now);
      }
      continue;
    }
    dropExpiredGrants(server, now);
    auto ahead = unitsAhead(state, server, now);
    if (server.Queue.empty() && ahead <= 0 && server.Unused <= 0 &&
        server.Charged <= 0 && state.Unreserved.empty() &&
        !mustReportPlaces(state, now))
      continue;
    auto &message = messages[server.Cell];
    message.Cell = server.Cell;
    if (!message.Number)
      message.Number = ++LastMessage;
    QuotaRequest request;
    request.Workspace = state.Name;
    request.Ahead = ahead;
    request.Unused = std::exchange(server.Unused, 0);
    request.Charged = std::exchange(server.Charged, 0);
    if (state.Limit.Unit == LimitUnit::ReplicaRequests)
      request.ReplicaLimit = state.Limit.PerSecond;
    if (state.countsPlaces())
      reportPlaces(state, request, now);
    for (auto at : std::exchange(state.Unreserved, {}))
      request.SentAgo.push_back(now - at);
    server.InFlight.clear();
    for (const auto &it : std::exchange(server.Queue, {})) {
      request.Requested.push_back(it.Units);
      request.Waits = request.Waits || it.Waits;
      server.InFlight.push_back(it);
    }
    server.RequestPending = true;
    server.SentAt = now;
    server.MessageNumber = message.Number;
    server.AheadRequested = ahead > 0;
    message.Requests.push_back(std::move(request));
  }
}

std::vector<QuotaClient::Message> QuotaClient::takeRequests(Instant now) {
  std::map<std::string, Message> messages;
  for (auto *state : std::exchange(DueWorkspaces, {})) {
    state->Due = false;
    addRequests(*state, messages, now);
  }
  std::vector<Message> out;
  out.reserve(messages.size());
  for (auto &[cell, message] : messages)
    out.push_back(std::move(message));
  return out;
}

void QuotaClient::applyGrant(WorkspaceState &state, std::size_t index,
                             const QuotaGrant &grant, Instant now,
                             std::vector<Decision> &out) {
  auto &server = state.Servers[index];
  server.RequestPending = false;
  // A server that answers, however late, is not in backoff.
  server.BackoffUntil = Instant{};
  server.SilentSince.reset();
  server.AnsweredMessage =
      std::max(server.AnsweredMessage, server.MessageNumber);
  auto sent = std::exchange(server.InFlight, {});
  bool late = now > server.SentAt + Options.GrantLifetime;
  if (!grant.Managed)
    server.BackoffUntil = now + Options.ServerBackoff;
  else if (grant.EmptyFor > Span(0))
    server.EmptyUntil = now + grant.EmptyFor;
  if (std::exchange(server.AheadRequested, false) && grant.Ahead <= 0)
    server.NoAheadUntil = now + Options.AheadBackoff;
  markDue(state);
  if (late) {
    server.Unused += grant.Ahead;
  } else if (grant.Ahead > 0) {
    server.Grants.push_back(
        {grant.Ahead, server.SentAt + Options.GrantLifetime});
  }
  for (std::size_t it = 0; it < sent.size(); ++it) {
    const auto &request = sent[it];
    bool passed = it < grant.GrantedCount;
    if (request.Decided) {
      server.Unused += passed ? request.Units : 0;
      continue;
    }
    if (passed) {
      if (state.countsPlaces())
        state.UsedPlaces += request.Units;
      out.push_back({request.Number, Verdict::Allowed, Span(0), Span(0)});
      continue;
    }
    if (auto decision = queueAtServer(state, index + 1, request, now))
      out.push_back(*decision);
  }
}

std::vector<QuotaClient::Decision>
QuotaClient::onGrants(const std::string &cell, std::uint64_t number,
                      std::span<const QuotaGrant> grants, Instant now) {
  std::vector<Decision> out;
  for (const auto &grant : grants) {
    auto it = Workspaces.find(grant.Workspace);
    if (it == Workspaces.end())
      continue;
    auto &state = it->second;
    for (std::size_t at = 0; at < state.Servers.size(); ++at) {
      const auto &server = state.Servers[at];
      if (server.Cell == cell && server.MessageNumber == number &&
          (server.RequestPending || !server.InFlight.empty()))
        applyGrant(state, at, grant, now, out);
    }
  }
  return out;
}

void QuotaClient::failOver(WorkspaceState &state, std::size_t index,
                           Instant now, std::vector<Decision> &out) {
  markDue(state);
  auto &from = state.Servers[index];
  from.BackoffUntil = now + (state.countsPlaces() ? Options.PlaceServerBackoff
                                                  : Options.ServerBackoff);
  from.SilentSince = from.SilentSince.value_or(now);
  from.RequestPending = false;
  auto waiting = std::exchange(from.Queue, {});
  for (auto &it : from.InFlight)
    if (!std::exchange(it.Decided, true))
      waiting.push_back({it.Number, it.Units, it.Waits});
  for (const auto &it : waiting)
    if (auto decision = queueAtServer(state, index + 1, it, now))
      out.push_back(*decision);
}

std::vector<QuotaClient::Decision>
QuotaClient::onServerUnreachable(const std::string &cell, Instant now) {
  std::vector<Decision> out;
  for (auto &[name, state] : Workspaces)
    for (std::size_t at = 0; at < state.Servers.size(); ++at)
      if (state.Servers[at].Cell == cell) {
        failOver(state, at, now, out);
        // No answer will arrive.
        state.Servers[at].InFlight.clear();
      }
  return out;
}

std::vector<QuotaClient::Decision> QuotaClient::tick(Instant now) {
  std::vector<Decision> out;
  for (auto &[name, state] : Workspaces)
    for (std::size_t at = 0; at < state.Servers.size(); ++at) {
      auto &server = state.Servers[at];
      dropExpiredGrants(server, now);
      auto timeout = state.countsPlaces() ? Options.PlaceAnswerTimeout
                                          : Options.AnswerTimeout;
      if (server.RequestPending && now > server.SentAt + timeout)
        failOver(state, at, now, out);
      if (!server.RequestPending && now > server.SentAt + Options.GrantLifetime)
        server.InFlight.clear();
      bool mustSettle = server.Unused > 0 || server.Charged > 0;
      if ((!server.RequestPending && mustSettle) ||
          mustReportPlaces(state, now))
        markDue(state);
    }
  std::erase_if(Workspaces, [now](const auto &it) {
    return !it.second.Due && it.second.UsedPlaces <= 0 &&
           now - it.second.UsedAt > IdleTimeout;
  });
  return out;
}

} // namespace hemlockglade
