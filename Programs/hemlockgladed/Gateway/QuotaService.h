#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

#include <unordered_map>

namespace hemlockglade {

/// A node's part in the workspaces' limits: as an entry it books requests, as
/// the owner of cells it keeps their parts and grants what entries ask for.
class QuotaService {
public:
  struct Hooks {
    /// `ip:port` of the cell's owner; empty if nobody is known.
    std::function<std::string(const std::string &cell)> OwnerOf;
    /// Epoch under which this node holds the cell's lease at this moment; 0 if
    /// it does not.
    std::function<Epoch(const std::string &cell)> HeldEpoch;
    std::function<void(Span, std::function<void()>)> After;
  };
  using Verdict = QuotaClient::Verdict;
  /// Called once, from the function that books or later.
  using OnDecided = std::function<void(Verdict what, Span retryAfter)>;

  QuotaService(std::vector<std::string> cells, std::string own,
               QuotaSettings settings, Hooks hooks, PeerTraffic &traffic,
               EventLog &log);
  ~QuotaService();
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;

  /// The node listens for peers, and reaches them, from now on.
  void attach(PeerNet &net) { Net = &net; }
  void setPlan(std::shared_ptr<const RoutePlan> plan);
  void setEntries(std::size_t entries) { Account.setEntries(entries); }

  void reserve(const Workspace &workspace, double units, OnDecided decided);
  void charge(const Workspace &workspace, double units);
  void release(const Workspace &workspace, double units);

  /// Does what is due; to be called about every 50 ms.
  void tick();
  /// An entry opened a stream to ask for grants of a cell.
  void onEntry(const std::string &cell,
               const std::shared_ptr<PeerStream> &stream);

private:
  /// The way to a cell's owner.
  struct Way {
    std::shared_ptr<PeerStream> Stream;
    std::string Address;
    Instant UsedAt{};
  };
  /// What this node keeps of a cell's limits, while it holds the lease.
  struct Kept {
    std::unique_ptr<QuotaServer> Keeper;
    Epoch HeldSince = 0;
    std::shared_ptr<const RoutePlan> Plan;
  };

  /// Sends what is due, and takes what this node grants itself.
  void pump();
  void pumpSoon();
  void sendAsks(const QuotaClient::Message &message);
  bool openWay(const std::string &cell, Way &way, std::string first);
  void onOwnerMessage(const std::string &cell, std::string_view message);
  void closeWay(Way &way);
  void decide(std::span<const QuotaClient::Decision> decisions);
  /// The keeper of a cell; null if this node does not hold its lease.
  QuotaServer *keeperOf(const std::string &cell);
  std::optional<std::vector<QuotaGrant>>
  grant(const std::string &cell, std::span<const QuotaRequest> asks);

  const std::vector<std::string> Cells;
  const std::string Own;
  const QuotaSettings Setup;
  Hooks Out;
  PeerNet *Net = nullptr;
  PeerTraffic &Traffic;
  EventLog &Log;
  QuotaClient Account;
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, Way> Ways;
  std::map<std::string, Kept> Keepers;
  std::unordered_map<QuotaClient::Ticket, OnDecided> Undecided;
  QuotaClient::Ticket LastTicket = 0;
  bool PumpDue = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
