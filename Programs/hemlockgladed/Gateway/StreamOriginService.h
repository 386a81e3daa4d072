#pragma once

#include "Hemlockglade/Coordination/Streams/StreamHolders.h"
#include "Hemlockglade/Protocol/Message/StreamMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

#include <optional>

namespace hemlockglade {

/// A node's part in remembering what began each stream: it tells a few other
/// nodes of each stream that it sends to a replica, so that any node can go on
/// with the stream while the one that began it is gone.
class StreamOriginService {
public:
  struct Settings {
    std::string Node;
    std::string FailureDomain;
    /// Number of other nodes that are told of a stream.
    std::size_t Holders = 2;
    /// Number of other nodes that are asked for one, those that are most likely
    /// told.
    std::size_t MaxAsked = 8;
    /// How long streams are collected before they are told. Shorter than what
    /// an engine needs for its first event.
    Span FlushDelay = std::chrono::milliseconds(3);
    /// Time after which a node that has not answered does not know a stream.
    Span AskTimeout = std::chrono::milliseconds(150);
    /// A stream to another node that nothing was sent on for this long is
    /// closed.
    Span IdleTimeout = std::chrono::seconds(10);
    StreamOrigins::Settings Origins;
  };
  struct Hooks {
    /// The nodes in service, as far as they are known.
    std::function<std::vector<DomainEntries>()> Nodes;
    /// Returns a node's `ip:port` for other nodes.
    std::function<std::string(const EntryCandidate &node)> PeerAddress;
    std::function<void(Span, std::function<void()>)> After;
    /// Position of the registry at which the last replica joined that this
    /// node knows.
    std::function<std::uint64_t()> JoinedPosition;
  };
  /// What is known of a stream, and whether it was another node that knew.
  struct Finding {
    std::optional<StreamOrigin> Origin;
    bool FromPeer = false;
    /// Number of nodes asked, and of those that answered.
    std::size_t Asked = 0;
    std::size_t Answered = 0;
    /// Number of nodes that said at which position of the registry the last
    /// replica joined that they know, and the highest one.
    std::size_t Positions = 0;
    std::uint64_t NewestPosition = 0;

    /// Whether all nodes that were asked have answered, and none knows a
    /// replica that joined after a position.
    bool noneKnowsBeyond(std::uint64_t position) const {
      return Asked > 0 && Positions == Asked && NewestPosition <= position;
    }
  };
  using OnFound = std::function<void(const Finding &finding)>;

  StreamOriginService(Settings settings, Hooks hooks, PeerTraffic &traffic,
                      EventLog &log);
  ~StreamOriginService();
  StreamOriginService(const StreamOriginService &) = delete;
  StreamOriginService &operator=(const StreamOriginService &) = delete;

  /// Sets the network for messages to other nodes; nothing leaves this node
  /// before.
  void attach(PeerNet &net) { Net = &net; }

  /// Called when an attempt at a request is sent to a replica that would begin
  /// this stream; `attempt` is 0 if it goes on with it.
  void onSent(StreamKey key, const StreamOrigin &origin, std::uint32_t attempt);
  /// Looks for the origin of a stream here and at other nodes. `found` is
  /// called exactly once, either before this returns or later.
  void find(StreamKey key, OnFound found);
  /// Asks other nodes for the origin of a stream, and when the last replica
  /// joined that they know. `found` is called as by `find`.
  void askOthers(StreamKey key, OnFound found);

  /// Called when another node has opened a stream to tell of streams, or to ask
  /// for one.
  void onTeller(const std::shared_ptr<PeerStream> &stream);
  void onAsker(const std::shared_ptr<PeerStream> &stream);
  /// Closes idle connections; to be called about each second.
  void tick();

private:
  struct Question;
  /// What is to be told to one node.
  struct Holder {
    std::shared_ptr<PeerStream> Stream;
    BegunStreamsMessage Pending;
    bool IsNear = false;
    Instant UsedAt{};
  };

  void flush();
  void send(const std::string &address, Holder &holder, std::string message);
  void ask(const std::shared_ptr<Question> &question, const std::string &node);
  void decide(Question &question, std::optional<StreamOrigin> origin);

  Settings Options;
  Hooks Callbacks;
  PeerNet *Net = nullptr;
  PeerTraffic &Traffic;
  EventLog &Log;
  StreamOrigins Origins;
  /// By `ip:port`.
  std::map<std::string, Holder> Holders;
  bool FlushDue = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
