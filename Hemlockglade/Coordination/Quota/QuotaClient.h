#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaServer.h"

#include <deque>
#include <functional>
#include <optional>

namespace hemlockglade {

/// The quota client of an entry: reserves units of a workspace's limit for each
/// request before it may run, from the grants of quota servers or by requests
/// to them.
///
/// A request waits for a server only if no units granted ahead are left, and is
/// refused at once while all servers are known to be empty. Units that were
/// reserved and not used are returned. Requests to a replica that states a
/// limit are reserved in the same way, under `replicaQuotaHolder`.
/// Deterministic: time is passed in, and it does no I/O; `takeRequests` returns
/// the messages to be sent.
class QuotaClient {
public:
  struct Settings {
    /// The entry requests units ahead for this much of its present demand.
    Span AheadFor = std::chrono::milliseconds(200);
    /// How long a grant may be used after it was requested. Bounds what a node
    /// uses that was cut off or frozen.
    Span GrantLifetime = std::chrono::milliseconds(500);
    /// How long a quota server may take to answer, and the backoff after it did
    /// not. The backoff is also the retry delay if no server answers.
    Span AnswerTimeout = std::chrono::milliseconds(100);
    Span ServerBackoff = std::chrono::milliseconds(500);
    /// Time for which no units ahead are requested from a server that refused
    /// them.
    Span AheadBackoff = std::chrono::milliseconds(100);
    /// Time over which the demand is averaged.
    Span DemandWindow = std::chrono::milliseconds(400);
    /// Longest retry delay that a refused caller gets.
    Span MaxRetryAfter = std::chrono::seconds(4);
    /// Time between two reports of the places that the entry uses.
    Span PlaceReportInterval = std::chrono::milliseconds(250);
    /// How long a server may take to answer a request for a place, for which it
    /// may have the entry wait.
    Span PlaceAnswerTimeout = std::chrono::milliseconds(300);
    /// The backoff then: the server is asked again before the entry uses places
    /// without it.
    Span PlaceServerBackoff = std::chrono::milliseconds(100);
    /// Time after a request without an answer after which the entry uses the
    /// places that it has while no server answers. What ran with places of the
    /// server has mostly ended by then.
    Span PlaceFallbackDelay = std::chrono::milliseconds(300);
  };
  using Ticket = std::uint64_t;
  enum class Verdict : std::uint8_t {
    Allowed,
    /// The limit is used up.
    Limited,
    /// No quota server answers: whether the limit is used up is not known.
    NoServer,
  };
  struct Decision {
    Ticket Number = 0;
    Verdict Result = Verdict::Allowed;
    /// Delay until the caller should retry, unless the request is allowed.
    Span RetryAfter{0};
    /// Time until a server may have units again, unless the request is allowed.
    Span EmptyFor{0};
  };
  /// Requests that are sent to the owner of one cell in one message.
  struct Message {
    std::string Cell;
    std::uint64_t Number = 0;
    std::vector<QuotaRequest> Requests;
  };

  QuotaClient(Settings settings, QuotaSettings quota)
      : Options(settings), Quota(quota) {}

  /// Sets the cells of the deployment, which include the entry's own.
  void setCells(std::vector<std::string> cells, const std::string &own);
  /// Sets the number of entries that share the limits, this one included. Used
  /// for retry times.
  void setEntries(std::size_t entries) { EntryCount = entries; }
  /// Sets how many of a replica's places are this entry's while no quota server
  /// answers.
  void
  setPlacesWithoutServer(std::function<double(const Workspace &holder)> hook) {
    PlacesWithoutServer = std::move(hook);
  }

  /// Reserves `units` for a request. Returns the decision, or nothing if one of
  /// the functions below returns it later. `waits` if a place is wanted that
  /// there may not be at once.
  std::optional<Decision> reserve(Ticket number, const Workspace &workspace,
                                  double units, Instant now,
                                  bool waits = false);
  /// Reports requests to a replica that were sent, that long ago, without being
  /// reserved.
  void addSent(const Workspace &holder, std::span<const Span> ago, Instant now);
  /// Charges units for a request that ran before and runs once more.
  void charge(const Workspace &workspace, double units, Instant now);
  /// Takes places for a request that is at the replica without a grant.
  void occupy(const Workspace &holder, double places, Instant now);
  /// Reports a request that the replica has rejected for want of room.
  void onRejected(const Workspace &holder, Instant now);
  /// Releases units that were reserved for a request that did not run, or the
  /// places of one that has ended.
  void release(const Workspace &workspace, double units, Instant now);

  /// Returns the messages that must be sent now.
  std::vector<Message> takeRequests(Instant now);
  /// Called with the answer of a cell's owner to message `number`. Returns the
  /// decisions that follow.
  std::vector<Decision> onGrants(const std::string &cell, std::uint64_t number,
                                 std::span<const QuotaGrant> grants,
                                 Instant now);
  /// Called when the owner of a cell can't be reached. Returns the decisions
  /// that follow.
  std::vector<Decision> onServerUnreachable(const std::string &cell,
                                            Instant now);
  /// Handles timeouts and expired grants; must be called about every 50 ms.
  std::vector<Decision> tick(Instant now);

  /// Number of workspaces with state.
  std::size_t workspaceCount() const { return Workspaces.size(); }

private:
  struct WaitingRequest {
    Ticket Number = 0;
    double Units = 0;
    bool Waits = false;
    /// Decided before its answer arrived.
    bool Decided = false;
  };
  struct Grant {
    double Units = 0;
    Instant Until{};
  };
  /// The grants of one quota server and the requests that wait for it.
  struct ServerState {
    std::string Cell;
    /// Units granted ahead, each with its own expiry; the earliest first.
    std::vector<Grant> Grants;
    /// Granted units that were not used, and units that were used without a
    /// grant; both are reported with the next request.
    double Unused = 0;
    double Charged = 0;
    std::deque<WaitingRequest> Queue;
    /// Requests that were sent and have no answer yet.
    std::vector<WaitingRequest> InFlight;
    std::uint64_t MessageNumber = 0;
    /// The last message that it has answered.
    std::uint64_t AnsweredMessage = 0;
    bool RequestPending = false;
    bool AheadRequested = false;
    Instant SentAt{};
    Instant EmptyUntil{};
    Instant BackoffUntil{};
    /// Since when it has left requests unanswered.
    std::optional<Instant> SilentSince;
    /// No units ahead are requested before this time, since the server has few
    /// left.
    Instant NoAheadUntil{};

    double granted() const;
  };
  struct WorkspaceState {
    std::string Name;
    WorkspaceLimit Limit;
    /// The nearest quota server first.
    std::vector<ServerState> Servers;
    /// Units per second that callers request, and mean units of a request.
    double Demand = 0;
    double MeanUnits = 0;
    Instant DemandAt{};
    /// It may have requests to send.
    bool Due = false;
    Instant UsedAt{};
    /// Times of requests that were sent without being reserved, to be reported.
    std::vector<Instant> Unreserved;
    /// The last retry time that was given to a refused caller.
    Instant RetriesUntil{};
    /// Places that this entry's requests use, and when they were reported.
    double UsedPlaces = 0;
    Instant PlacesReportedAt{};
    bool PlacesChanged = false;
    std::uint32_t Rejected = 0;

    bool countsPlaces() const { return Limit.Unit == LimitUnit::ReplicaPlaces; }
  };

  WorkspaceState &stateOf(const Workspace &workspace, Instant now);
  void selectServers(const std::string &name, WorkspaceState &state) const;
  /// Returns the units per second that callers request now.
  double demandOf(const WorkspaceState &state, Instant now) const;
  /// Takes units from granted ones, if those of one server suffice.
  static bool useGranted(WorkspaceState &state, double units, Instant now);
  void updateDemand(WorkspaceState &state, double units, Instant now) const;
  void markDue(WorkspaceState &state);
  void addRequests(WorkspaceState &state,
                   std::map<std::string, Message> &messages, Instant now);
  /// Queues a request at the next server that may have units, from index
  /// `first` on, or refuses it.
  std::optional<Decision> queueAtServer(WorkspaceState &state,
                                        std::size_t first, WaitingRequest it,
                                        Instant now);
  Decision refuse(WorkspaceState &state, const WaitingRequest &it,
                  Instant now) const;
  /// Takes places that are the entry's while no server answers; returns whether
  /// there were enough.
  bool takeWithoutServer(WorkspaceState &state, double places,
                         Instant now) const;
  bool mustReportPlaces(const WorkspaceState &state, Instant now) const;
  /// Adds the report of the places in use to a request.
  static void reportPlaces(WorkspaceState &state, QuotaRequest &request,
                           Instant now);
  /// Moves all requests that wait at a server to the next one.
  void failOver(WorkspaceState &state, std::size_t index, Instant now,
                std::vector<Decision> &out);
  /// Moves the units of expired grants to the unused ones.
  static void dropExpiredGrants(ServerState &server, Instant now);
  /// Returns the units ahead that should be requested from a server now.
  double unitsAhead(const WorkspaceState &state, const ServerState &server,
                    Instant now) const;
  void applyGrant(WorkspaceState &state, std::size_t index,
                  const QuotaGrant &grant, Instant now,
                  std::vector<Decision> &out);

  const Settings Options;
  const QuotaSettings Quota;
  std::vector<std::string> Cells;
  std::string OwnCell;
  std::size_t EntryCount = 1;
  std::uint64_t LastMessage = 0;
  std::map<std::string, WorkspaceState, std::less<>> Workspaces;
  std::vector<WorkspaceState *> DueWorkspaces;
  std::function<double(const Workspace &holder)> PlacesWithoutServer;
};

} // namespace hemlockglade
