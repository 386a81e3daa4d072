#pragma once

#include "Hemlockglade/Coordination/Streams/StreamHolders.h"
#include "Hemlockglade/Coordination/Streams/ToldStream.h"
#include "Hemlockglade/Protocol/Message/StreamMessages.h"
#include "Hemlockglade/State/Log/EventLog.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Programs/hemlockgladed/Gateway/PeerTraffic.h"

#include <optional>
#include <span>

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
    /// Time after which a node that has not confirmed a withdrawal may still
    /// hold what it was told.
    Span WithdrawTimeout = std::chrono::milliseconds(150);
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
  using OnWithdrawn = std::function<void(bool confirmed)>;

  StreamOriginService(Settings settings, Hooks hooks, PeerTraffic &traffic,
                      EventLog &log);
  ~StreamOriginService();
  StreamOriginService(const StreamOriginService &) = delete;
  StreamOriginService &operator=(const StreamOriginService &) = delete;

  /// Sets the network for messages to other nodes; nothing leaves this node
  /// before.
  void attach(PeerNet &net) { Net = &net; }

  /// Tells other nodes what begins a stream if the attempt that is being sent
  /// brings its first event. The origin must be that of the statement before,
  /// unless that one was withdrawn and all holders have confirmed it.
  void tell(StreamKey key, const StreamOrigin &origin, ToldStream &told);
  /// Tells other nodes what began a stream that an attempt goes on with.
  void confirm(StreamKey key, const StreamOrigin &origin);
  /// Makes all holders drop what they were told of a stream that has not begun.
  /// `done` is called exactly once, either before this returns or later;
  /// unless it is confirmed, a node may still hold what it was told.
  void withdraw(StreamKey key, ToldStream &told, OnWithdrawn done);
  /// Looks for the origin of a stream here and at other nodes. `found` is
  /// called exactly once, either before this returns or later.
  void find(StreamKey key, OnFound found);
  /// Asks other nodes for the origin of a stream, and when the last replica
  /// joined that they know. `found` is called as by `find`.
  void askOthers(StreamKey key, OnFound found);

  /// Called when another node has opened a stream to tell of streams, to ask
  /// for one, or to withdraw what it told.
  void onTeller(const std::shared_ptr<PeerStream> &stream);
  void onAsker(const std::shared_ptr<PeerStream> &stream);
  void onWithdrawer(const std::shared_ptr<PeerStream> &stream);
  /// Closes idle connections; to be called about each second.
  void tick();

private:
  struct Poll;
  using OnAnswer = std::function<bool(std::string_view answer)>;
  /// What is to be told to one node.
  struct Recipient {
    std::shared_ptr<PeerStream> Stream;
    BegunStreamsMessage Pending;
    bool IsNear = false;
    Instant UsedAt{};
  };

  /// Returns the nodes that are to be told of a stream now.
  std::vector<ToldStream::Holder> holdersOf(StreamKey key) const;
  void announce(StreamKey key, const StreamOrigin &origin,
                std::uint32_t sequence,
                std::span<const ToldStream::Holder> holders);
  void flush();
  void send(const std::string &address, Recipient &recipient,
            std::string message);
  /// Sends a message to several nodes, of which each answers once. `onAnswer`
  /// returns whether no further answer is needed. `onEnd` is called exactly
  /// once, later: after that, when no answer can come any more, or at the
  /// timeout.
  void poll(const std::vector<std::string> &addresses, std::string_view path,
            const std::string &message, Span timeout, OnAnswer onAnswer,
            std::function<void()> onEnd);
  static void endPoll(Poll &poll);
  /// Reads a node's answer; returns whether it names the origin.
  bool onOriginReply(std::string_view answer, Finding &finding);

  Settings Options;
  Hooks Callbacks;
  PeerNet *Net = nullptr;
  PeerTraffic &Traffic;
  EventLog &Log;
  StreamOrigins Origins;
  /// By `ip:port`.
  std::map<std::string, Recipient> Recipients;
  bool FlushDue = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade
