#pragma once

#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Http1/CallerServer.h"
#include "Hemlockglade/Transport/Http1/HttpPool.h"

#include <unordered_set>

namespace hemlockglade {

/// Forwards requests of other nodes to replicas that these nodes can't reach.
///
/// It decides nothing: the other node has chosen the replica, counts the
/// request against all limits and retries it. A request goes directly to the
/// replica, never to a further node. It is reported as not sent only if nothing
/// was written to the replica. Used by the thread of its io_context only.
class RelayService {
public:
  struct Settings {
    /// `ip:port`; port 0 stands for any free port.
    std::string Address;
    /// Maximum number of requests that are forwarded at a time.
    std::size_t MaxRequests = 256;
    /// Bytes that may be queued for a slow node before reading from the replica
    /// stops.
    std::size_t MaxQueuedBytes = std::size_t{64} * 1024;
  };
  struct Hooks {
    /// Returns the replica of that incarnation; null if it is unknown or must
    /// get no new requests.
    std::function<ReplicaPtr(std::string_view incarnation)> Find;
    std::function<bool(const std::string &service)> IsCutOff;
    /// Returns for how long the replica must get nothing from this node, as it
    /// has asked by `Retry-After`; nothing if it may.
    std::function<std::optional<Span>(const ReplicaRecord &replica)> PausedFor;
    /// Called with the head of each answer of a replica.
    OnReplicaAnswer OnAnswer;
    /// Whether the node stops, so that it takes no further requests.
    std::function<bool()> Stopping;
    std::function<CallerBounds()> Bounds;
    /// Accounts for the bytes that requests hold; may be null.
    std::shared_ptr<HeldMemory> Memory;
    /// Called with what is learnt about the path to a replica.
    std::function<void(const ReplicaRecord &replica)> OnConnected;
    std::function<void(const ReplicaRecord &replica)> OnHeard;
    std::function<void(const ReplicaRecord &replica)> OnConnectFailed;
    /// Finds out whether a replica has ended, whose connection has ended an
    /// answer that states no length; unset means no. `done` is called exactly
    /// once, either before this returns or later.
    std::function<void(const ReplicaRecord &replica,
                       std::function<void(bool hasEnded)> done)>
        ProbeEnded;
  };

  /// Throws asio::system_error if the address can't be bound.
  RelayService(asio::io_context &context, Settings settings, Hooks hooks,
               const LabelHooks &labels, HttpPool &pool, EventLog &log);
  ~RelayService();
  RelayService(const RelayService &) = delete;
  RelayService &operator=(const RelayService &) = delete;

  std::uint16_t port() const { return Server->port(); }
  /// Returns the number of requests that are being forwarded.
  std::size_t active() const { return Active.size(); }
  /// Returns the number of requests taken since the start.
  std::uint64_t total() const { return Total; }

private:
  class Forwarding;

  void onRequest(CallerRequest request, std::shared_ptr<CallerReply> reply);
  /// Says that the sending with this number was not forwarded, and why.
  static void refuse(CallerReply &reply, std::string_view sending,
                     std::string_view outcome, HeaderFields fields = {});
  /// Refuses a request to a replica that is paused; returns whether it is.
  bool refuseIfPaused(const ReplicaRecord &replica, CallerReply &reply,
                      std::string_view sending) const;

  Settings Options;
  Hooks Callbacks;
  const LabelHooks &Labels;
  HttpPool &Pool;
  EventLog &Log;
  std::unordered_set<std::shared_ptr<Forwarding>> Active;
  std::uint64_t Total = 0;
  std::unique_ptr<CallerServer> Server;
};

} // namespace hemlockglade
