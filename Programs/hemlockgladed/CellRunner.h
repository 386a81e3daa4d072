#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

namespace hemlockglade {

/// What a runner needs of its node.
struct CellRunnerHooks {
  /// Whether the lease allows orders that only an owner may give.
  std::function<bool()> Holds;
  /// How far the lease may be trusted.
  std::function<LeaseMode()> Mode;
  /// Runs a call soon, on no lock of the caller's.
  std::function<void(std::function<void()>)> Post;
  /// Rate of the weight store for the whole deployment.
  double LoadsPerSecond = 3.0;
};

/// Drives the decision core of one owned cell: turns what happens into events
/// and carries out the core's actions. One lock guards one cell.
class CellRunner : public std::enable_shared_from_this<CellRunner> {
public:
  using OnReply = std::function<void(const AdmitReply &)>;

  CellRunner(std::string cell, Epoch fence, EngineClient &engines,
             CellRunnerHooks hooks);

  const std::string &cell() const { return Cell; }
  Epoch fence() const { return Fence; }

  /// Takes over what the configuration says about the cell.
  void configure(const CatalogView &view);
  /// Asks for a slot; `reply` is called once.
  RequestKey admit(const AdmitRequest &request, OnReply reply);
  /// The request is over; its slot is free. One that was admitted and then
  /// not run hints that the replica isn't as we believe it is.
  void finish(RequestKey request, Outcome outcome);
  /// Counts a request that an earlier owner admitted and that still runs.
  void adopt(const RegisteredRequest &request);
  /// An adopted request is over.
  void finishAdopted(const std::string &id);
  /// Marks replicas that the platform's list calls leaving.
  void setLeaving(const std::vector<std::string> &replicas);
  /// An operator wants an adapter on a replica; false if it isn't ours.
  bool orderLoad(const std::string &adapter, const std::string &replica);
  /// Gives up the cell: what waits is refused.
  void stop();
  /// To be called often; deadlines and loads depend on it.
  void tick();
  /// Asks all engines for their reports.
  void askReports();

  /// Adds what this cell knows of the subject; `node` is this node's name.
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
    /// The platform's list calls it leaving.
    bool Leaving = false;
    /// The operators are draining it.
    bool Drained = false;
    /// What the core was last told.
    bool Draining = false;
    /// It did not answer when it was last asked for a report.
    bool Silent = false;
    std::vector<ResidentAdapter> Resident;
  };
  struct Pending {
    std::string Id;
    std::string Adapter;
    std::uint32_t Attempt = 1;
    std::string Class;
    Instant Since{};
    OnReply Reply;
    /// Where it was admitted to; 0 while it waits.
    ReplicaKey Replica = 0;
  };
  /// What is to be done once the lock is free.
  using Deferred = std::vector<std::function<void()>>;

  void handle(const Event &event, Deferred &deferred);
  void apply(const Admit &action, Deferred &deferred);
  void apply(const Refuse &action, Deferred &deferred);
  void apply(const Load &action, Deferred &deferred);
  void apply(const Evict &action, Deferred &deferred);
  void apply(const CancelLoad &action, Deferred &deferred);
  void drive(const Event &event);
  void askReport(ReplicaKey replica, const std::string &address);
  void takeReport(ReplicaKey replica, Instant asked,
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

  /// The cell is one of a plain service.
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
  /// Failure domains last told for adapters that a rule matches.
  std::map<AdapterKey, std::vector<DomainKey>> RulesTold;
  std::map<std::pair<AdapterKey, DomainKey>, std::uint32_t> PinsTold;
  std::unordered_map<RequestKey, Pending> Requests;
  std::unordered_map<std::string, RequestKey> Adopted;
  std::map<std::pair<ReplicaKey, AdapterKey>, HttpClient::Ticket> Loads;
};

} // namespace hemlockglade
