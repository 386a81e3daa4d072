#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/State/Routing/RoutePlan.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

#include <unordered_map>

namespace hemlockglade {

/// A node's part in the workspaces' limits: as an entry it reserves for
/// requests, as the owner of cells it keeps the cells' parts of the limits and
/// grants what entries request.
class QuotaService {
public:
  struct Hooks {
    /// `ip:port` of the cell's owner; empty if none is known.
    std::function<std::string(const std::string &cell)> OwnerOf;
    /// Epoch under which this node holds the cell's lease at this moment; 0 if
    /// it does not.
    std::function<Epoch(const std::string &cell)> HeldEpoch;
    std::function<void(Span, std::function<void()>)> After;
    /// Returns how many of a replica's places are this node's while no owner
    /// grants them.
    std::function<double(const Workspace &holder)> PlacesWithoutOwner;
  };
  using Verdict = QuotaClient::Verdict;
  using Decision = QuotaClient::Decision;
  /// Called once, from within `reserve` or later.
  using OnDecided = std::function<void(const Decision &decision)>;

  QuotaService(std::vector<std::string> cells, std::string own,
               QuotaSettings settings, Hooks hooks, std::uint64_t entry,
               PeerTraffic &traffic, EventLog &log);
  ~QuotaService();
  QuotaService(const QuotaService &) = delete;
  QuotaService &operator=(const QuotaService &) = delete;

  /// Sets the network for messages to other nodes; no request leaves this node
  /// before.
  void attach(PeerNet &net) { Net = &net; }
  void setPlan(std::shared_ptr<const RoutePlan> plan);
  void setEntries(std::size_t entries) { Client.setEntries(entries); }

  /// `waits` if a place is wanted that there may not be at once.
  void reserve(const Workspace &workspace, double units, OnDecided decided,
               bool waits = false);
  /// Reports requests to a replica that were sent without being reserved.
  void addSent(const Workspace &holder, std::span<const Span> ago);
  /// Takes places for a request that is at a replica without a grant.
  void occupy(const Workspace &holder, double places);
  /// Reports a request that a replica has rejected for want of room.
  void onRejected(const Workspace &holder);
  void charge(const Workspace &workspace, double units);
  void release(const Workspace &workspace, double units);

  /// Logs the places of the replicas that this node grants.
  void logPlaces() const;
  /// Does what is due; to be called about every 50 ms.
  void tick();
  /// Called when an entry has opened a stream to request grants of a cell.
  void onEntry(const std::string &cell,
               const std::shared_ptr<PeerStream> &stream);

private:
  /// The stream to a cell's owner.
  struct OwnerStream {
    std::shared_ptr<PeerStream> Stream;
    std::string Address;
    Instant UsedAt{};
  };
  /// A cell's quota server and what it was set up with, while this node holds
  /// the lease.
  struct ServedCell {
    std::unique_ptr<QuotaServer> Server;
    Epoch ServedEpoch = 0;
    std::shared_ptr<const RoutePlan> Plan;
  };

  /// Sends the requests that are due, and applies what this node grants itself.
  void flush();
  void flushSoon();
  void sendRequests(const QuotaClient::Message &message);
  bool openStream(const std::string &cell, OwnerStream &owner,
                  std::string first);
  void onOwnerMessage(const std::string &cell, std::string_view message);
  void closeStream(OwnerStream &owner);
  void deliver(std::span<const QuotaClient::Decision> decisions);
  /// The quota server of a cell; null if this node does not hold its lease.
  QuotaServer *serverOf(const std::string &cell);
  /// Returns what this node grants at once; nothing if it does not own the
  /// cell.
  std::optional<std::vector<QuotaGrant>>
  grant(const std::string &cell, std::uint64_t message,
        std::span<const QuotaRequest> requests, std::uint64_t entry);
  /// Sends what is granted to entries that have waited for it.
  void sendLateGrants(const std::string &cell);
  void onEntryGone(const std::string &cell, std::uint64_t entry,
                   const PeerStream *closed);

  const std::vector<std::string> Cells;
  const std::string OwnCell;
  const QuotaSettings Options;
  /// Identifies this process among the entries.
  const std::uint64_t Entry;
  Hooks Callbacks;
  PeerNet *Net = nullptr;
  PeerTraffic &Traffic;
  EventLog &Log;
  QuotaClient Client;
  std::shared_ptr<const RoutePlan> Plan;
  std::map<std::string, OwnerStream> OwnerStreams;
  std::map<std::string, ServedCell> ServedCells;
  /// The streams of the entries that this node grants to, by cell and entry.
  std::map<std::pair<std::string, std::uint64_t>, std::weak_ptr<PeerStream>>
      EntryStreams;
  std::unordered_map<QuotaClient::Ticket, OnDecided> Undecided;
  QuotaClient::Ticket LastTicket = 0;
  bool FlushDue = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
