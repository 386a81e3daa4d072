#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// Callbacks through which a CellRunner reaches its node.
struct CellRunnerHooks {
  /// Whether the lease allows the orders that only an owner may give. Read
  /// again right before each eviction is sent.
  std::function<bool()> Holds;
  /// Returns the mode of the lease: what the cell may do under it.
  std::function<LeaseMode()> Mode;
  /// Runs a function asynchronously, outside all locks of the caller.
  std::function<void(std::function<void()>)> Post;
  /// Loads per second that the weight store allows the whole deployment.
  double LoadsPerSecond = 3.0;
};

/// Runs the decision core of one owned cell: turns requests, reports and
/// configuration into events and carries out the core's actions. Thread-safe;
/// one mutex guards the whole cell.
class CellRunner : public std::enable_shared_from_this<CellRunner> {
public:
  using OnReply = std::function<void(const AdmitReply &)>;

  CellRunner(std::string cell, Epoch fence, EngineClient &engines,
             CellRunnerHooks hooks);

  const std::string &cell() const { return Cell; }
  Epoch fence() const { return Fence; }

  /// Applies the parts of the configuration that concern the cell.
  void configure(const CatalogView &view);
  /// Requests a slot. `reply` is called at most once.
  RequestKey admit(const AdmitRequest &request, OnReply reply);
  /// Releases the slot of a request that has ended. If it was admitted but not
  /// run, the known state of its replica may be outdated, so a report is
  /// requested from it.
  void finish(RequestKey request, Outcome outcome);
  /// Counts a request that an earlier owner admitted and that still runs.
  void adopt(const RegisteredRequest &request);
  /// Releases the slot of an adopted request that has ended.
  void finishAdopted(const std::string &id);
  /// Sets the replicas that the platform lists as leaving; they get no new
  /// work.
  void setLeaving(const std::vector<std::string> &replicas);
  /// Loads an adapter on a replica by an operator's order. Returns false if the
  /// replica doesn't belong to the cell.
  bool orderLoad(const std::string &adapter, const std::string &replica);
  /// Stops serving the cell: refuses the waiting requests.
  void stop();
  /// To be called every few tens of milliseconds; expires deadlines and starts
  /// loads.
  void tick();
  /// Requests the reports of all replicas.
  void requestReports();

  /// Adds this cell's rows of the subject. `node` is this node's name.
  void addRows(ShowSubject subject, const std::string &node,
               RowSet &rows) const;
  /// Adds the number of waiting requests of each class.
  void addQueues(std::map<std::string, std::size_t> &waiting) const;
  /// Running requests divided by the batch size, for each replica in use.
  std::vector<double> batchFills() const;
  std::size_t waiting() const;
  std::size_t running() const;

private:
  struct ReplicaState {
    ReplicaConfig Config;
    /// Whether it publishes load reports; plain services don't.
    bool Reports = true;
    bool Removed = false;
    /// Listed by the platform as leaving.
    bool Leaving = false;
    /// Drained by an operator.
    bool Drained = false;
    /// Draining state last sent to the core.
    bool Draining = false;
    /// The last request for its report got no answer.
    bool Silent = false;
    /// Resident adapters by its last report.
    std::vector<ResidentAdapter> Resident;
  };
  struct Pending {
    std::string Id;
    std::string Adapter;
    std::uint32_t Attempt = 1;
    std::string Class;
    Instant Since{};
    OnReply Reply;
    /// Replica that it was admitted to; 0 while it waits.
    ReplicaKey Replica = 0;
  };
  /// Calls to be made after the mutex is released.
  using Deferred = std::vector<std::function<void()>>;

  /// Passes an event to the core and applies its actions. The mutex is held.
  void handle(const Event &event, Deferred &deferred);
  void apply(const Admit &action, Deferred &deferred);
  void apply(const Refuse &action, Deferred &deferred);
  void apply(const Load &action, Deferred &deferred);
  void apply(const Evict &action, Deferred &deferred);
  void apply(const CancelLoad &action, Deferred &deferred);
  /// Locks the mutex and handles an event.
  void lockAndHandle(const Event &event);
  void requestReport(ReplicaKey replica, const std::string &address);
  void onReport(ReplicaKey replica, Instant requested,
                const std::optional<EngineReport> &report);
  void addLoaded(RowSet &rows) const;
  void addWaiting(RowSet &rows) const;
  void addRunning(RowSet &rows) const;
  void addReplicas(RowSet &rows) const;
  void addRequests(const std::string &node, RowSet &rows) const;
  RequestKey resume(const AdmitRequest &request, OnReply reply);
  AdapterKey keyOf(const std::string &adapter);
  void configureReplicas(const CatalogView &view, Deferred &deferred);
  void configurePins(const CatalogView &view, Deferred &deferred);
  void configureRules(const CatalogView &view, Deferred &deferred);
  void applyRule(AdapterKey adapter, Deferred &deferred);
  void applyDraining(ReplicaKey replica, Deferred &deferred);
  DomainKey domainOf(const std::string &domain);

  std::string Cell;
  Epoch Fence;
  EngineClient &Engines;
  CellRunnerHooks Hooks;

  /// Whether the cell belongs to a plain service.
  std::atomic<bool> Plain{false};

  mutable std::mutex Mutex;
  CellCore Core;
  LeaseMode Mode = LeaseMode::None;
  RequestKey LastRequest = 0;
  std::vector<Action> Actions;
  std::unordered_map<std::string, AdapterKey> AdapterKeys;
  std::vector<std::string> AdapterNames;
  std::map<std::string, DomainKey> Domains;
  std::map<std::string, ReplicaKey> ReplicaKeys;
  std::vector<ReplicaState> Replicas;
  std::map<std::string, ServiceClass> Classes;
  std::vector<PlacementRule> Rules;
  /// Failure domains last sent to the core, by adapter that a rule matches.
  std::map<AdapterKey, std::vector<DomainKey>> SentRules;
  /// Pinned copies last sent to the core.
  std::map<std::pair<AdapterKey, DomainKey>, std::uint32_t> SentPins;
  std::unordered_map<RequestKey, Pending> Requests;
  std::unordered_map<std::string, RequestKey> Adopted;
  std::map<std::pair<ReplicaKey, AdapterKey>, HttpClient::Ticket> Loads;
};

} // namespace hemlockglade
