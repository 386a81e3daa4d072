#include "Programs/hemlockgladed/Gateway/StreamOriginService.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>

namespace hemlockglade {

namespace {

void append(BegunStreamsMessage &message, StreamKey key,
            const StreamOrigin &origin, std::uint32_t sequence) {
  auto it =
      std::find_if(message.Origins.begin(), message.Origins.end(),
                   [&origin](const StreamOriginNotice &notice) {
                     return notice.Service == origin.Service &&
                            notice.SoftwareVersion == origin.SoftwareVersion;
                   });
  auto index = static_cast<std::uint32_t>(it - message.Origins.begin());
  if (it == message.Origins.end())
    message.Origins.push_back({origin.Service, origin.SoftwareVersion});
  message.Streams.push_back({key, index, sequence});
}

} // namespace

/// One message to several nodes.
struct StreamOriginService::Poll {
  OnAnswer Answered;
  /// Unset once it has been called.
  std::function<void()> Ended;
  /// Nodes that may still answer.
  std::size_t Open = 0;
  std::vector<std::shared_ptr<PeerStream>> Streams;
};

StreamOriginService::StreamOriginService(Settings settings, Hooks hooks,
                                         PeerTraffic &traffic, EventLog &log)
    : Options(std::move(settings)), Callbacks(std::move(hooks)),
      Traffic(traffic), Log(log), Origins(Options.Origins) {}

StreamOriginService::~StreamOriginService() { *Alive = false; }

std::vector<ToldStream::Holder>
StreamOriginService::holdersOf(StreamKey key) const {
  auto nodes = Callbacks.Nodes();
  auto ranked = rankHolders(key, nodes);
  std::vector<ToldStream::Holder> out;
  for (const auto &it : holdersToTell(ranked, Options.Node, Options.Holders))
    out.push_back({Callbacks.PeerAddress(*it.Node),
                   it.FailureDomain == Options.FailureDomain});
  return out;
}

void StreamOriginService::tell(StreamKey key, const StreamOrigin &origin,
                               ToldStream &told) {
  // Nodes that were told before are told again, whatever nodes are in service
  // now.
  for (auto &holder : holdersOf(key)) {
    bool isTold = std::any_of(
        told.Holders.begin(), told.Holders.end(),
        [&holder](const auto &it) { return it.Address == holder.Address; });
    if (!isTold)
      told.Holders.push_back(std::move(holder));
  }
  told.Origin = origin;
  announce(key, origin, ++told.Sequence, told.Holders);
}

void StreamOriginService::confirm(StreamKey key, const StreamOrigin &origin) {
  constexpr std::uint32_t HasBegun = 0;
  announce(key, origin, HasBegun, holdersOf(key));
}

void StreamOriginService::announce(
    StreamKey key, const StreamOrigin &origin, std::uint32_t sequence,
    std::span<const ToldStream::Holder> holders) {
  Origins.add(key, origin, sequence, TimerService::now());
  for (const auto &it : holders) {
    auto &recipient = Recipients[it.Address];
    recipient.IsNear = it.IsNear;
    append(recipient.Pending, key, origin, sequence);
  }
  if (std::exchange(FlushDue, true))
    return;
  Callbacks.After(Options.FlushDelay, [this, alive = Alive] {
    if (*alive)
      flush();
  });
}

void StreamOriginService::flush() {
  FlushDue = false;
  if (!Net)
    return;
  for (auto &[address, recipient] : Recipients) {
    if (recipient.Pending.Streams.empty())
      continue;
    auto text = pack(std::exchange(recipient.Pending, {}));
    Traffic.add(PeerMessage::StreamNotice, recipient.IsNear, text.size());
    send(address, recipient, std::move(text));
  }
}

void StreamOriginService::send(const std::string &address, Recipient &recipient,
                               std::string message) {
  recipient.UsedAt = TimerService::now();
  if (recipient.Stream)
    return recipient.Stream->send(std::move(message));
  PeerHooks hooks;
  auto self = std::make_shared<std::weak_ptr<PeerStream>>();
  hooks.OnClosed = [this, alive = Alive, address, self](bool) {
    if (!*alive)
      return;
    auto it = Recipients.find(address);
    if (it != Recipients.end() && self->lock() == it->second.Stream)
      it->second.Stream = nullptr;
  };
  recipient.Stream = Net->open(address, std::string(peer_path::StreamsBegun),
                               std::move(message), std::move(hooks));
  *self = recipient.Stream;
}

void StreamOriginService::withdraw(StreamKey key, ToldStream &told,
                                   OnWithdrawn done) {
  told.Origin.reset();
  Origins.withdraw(key, ++told.Sequence, TimerService::now());
  // Without a network nothing has left this node.
  if (told.Holders.empty() || !Net)
    return done(true);
  auto message = pack(StreamWithdrawal{key, told.Sequence});
  std::vector<std::string> addresses;
  addresses.reserve(told.Holders.size());
  for (const auto &it : told.Holders) {
    addresses.push_back(it.Address);
    Traffic.add(PeerMessage::StreamNotice, it.IsNear, message.size());
  }
  auto unconfirmed = std::make_shared<std::size_t>(addresses.size());
  poll(
      addresses, peer_path::StreamWithdrawn, message, Options.WithdrawTimeout,
      [key, unconfirmed](std::string_view answer) {
        auto reply = unpack<StreamWithdrawalReply>(answer);
        return reply && reply->Key == key && --*unconfirmed == 0;
      },
      [unconfirmed, done = std::move(done)] { done(*unconfirmed == 0); });
}

void StreamOriginService::find(StreamKey key, OnFound found) {
  if (const auto *origin = Origins.find(key, TimerService::now()))
    return found({*origin});
  askOthers(key, std::move(found));
}

void StreamOriginService::askOthers(StreamKey key, OnFound found) {
  auto nodes = Callbacks.Nodes();
  auto ranked = rankHolders(key, nodes);
  std::erase_if(
      ranked, [this](const auto &it) { return it.Node->Node == Options.Node; });
  ranked.resize(std::min(ranked.size(), Options.MaxAsked));
  if (ranked.empty() || !Net)
    return found({});
  std::vector<std::string> addresses;
  addresses.reserve(ranked.size());
  for (const auto &it : ranked)
    addresses.push_back(Callbacks.PeerAddress(*it.Node));
  auto finding = std::make_shared<Finding>();
  finding->Asked = addresses.size();
  poll(
      addresses, peer_path::StreamOrigin, pack(StreamOriginRequest{key}),
      Options.AskTimeout,
      [this, finding](std::string_view answer) {
        return onOriginReply(answer, *finding);
      },
      [this, key, finding, found = std::move(found)] {
        finding->FromPeer = finding->Origin.has_value();
        if (finding->Origin)
          Origins.add(key, *finding->Origin, 0, TimerService::now());
        found(*finding);
      });
}

bool StreamOriginService::onOriginReply(std::string_view answer,
                                        Finding &finding) {
  ++finding.Answered;
  auto reply = unpack<StreamOriginReply>(answer);
  if (!reply) {
    Log.write(LogClass::State, "message-refused",
              {{"what", "origin of a stream"}});
    return false;
  }
  for (auto position : reply->JoinedPosition) {
    ++finding.Positions;
    finding.NewestPosition = std::max(finding.NewestPosition, position);
  }
  if (reply->Origin.empty())
    return false;
  const auto &origin = reply->Origin.front();
  finding.Origin = StreamOrigin{origin.Service, origin.SoftwareVersion};
  return true;
}

void StreamOriginService::poll(const std::vector<std::string> &addresses,
                               std::string_view path,
                               const std::string &message, Span timeout,
                               OnAnswer onAnswer, std::function<void()> onEnd) {
  auto poll = std::make_shared<Poll>();
  poll->Answered = std::move(onAnswer);
  poll->Ended = std::move(onEnd);
  poll->Open = addresses.size();
  for (const auto &it : addresses) {
    PeerHooks hooks;
    hooks.OnMessage = [alive = Alive,
                       weak = std::weak_ptr(poll)](std::string_view answer) {
      auto poll = weak.lock();
      if (*alive && poll && poll->Ended && poll->Answered(answer))
        endPoll(*poll);
    };
    hooks.OnClosed = [alive = Alive, weak = std::weak_ptr(poll)](bool) {
      auto poll = weak.lock();
      if (*alive && poll && --poll->Open == 0)
        endPoll(*poll);
    };
    poll->Streams.push_back(
        Net->open(it, std::string(path), message, std::move(hooks)));
  }
  Callbacks.After(timeout, [alive = Alive, poll] {
    if (*alive)
      endPoll(*poll);
  });
}

void StreamOriginService::endPoll(Poll &poll) {
  auto ended = std::exchange(poll.Ended, nullptr);
  if (!ended)
    return;
  for (const auto &it : std::exchange(poll.Streams, {}))
    it->close();
  ended();
}

void StreamOriginService::onTeller(const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this, alive = Alive](std::string_view text) {
    if (!*alive)
      return;
    auto message = unpack<BegunStreamsMessage>(text);
    if (!message) {
      Log.write(LogClass::State, "message-refused", {{"what", "streams"}});
      return;
    }
    auto now = TimerService::now();
    for (const auto &it : message->Streams) {
      if (it.Origin >= message->Origins.size())
        continue;
      const auto &origin = message->Origins[it.Origin];
      Origins.add(it.Key, {origin.Service, origin.SoftwareVersion}, it.Sequence,
                  now);
    }
  };
}

void StreamOriginService::onAsker(const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this, alive = Alive,
                       weak = std::weak_ptr(stream)](std::string_view text) {
    auto asker = weak.lock();
    if (!*alive || !asker)
      return;
    StreamOriginReply reply;
    reply.JoinedPosition = {Callbacks.JoinedPosition()};
    auto request = unpack<StreamOriginRequest>(text);
    if (!request)
      Log.write(LogClass::State, "message-refused",
                {{"what", "request for the origin of a stream"}});
    else if (const auto *it = Origins.find(request->Key, TimerService::now()))
      reply.Origin.push_back({it->Service, it->SoftwareVersion});
    asker->send(pack(reply));
    asker->close();
  };
}

void StreamOriginService::onWithdrawer(
    const std::shared_ptr<PeerStream> &stream) {
  stream->OnMessage = [this, alive = Alive,
                       weak = std::weak_ptr(stream)](std::string_view text) {
    auto withdrawer = weak.lock();
    if (!*alive || !withdrawer)
      return;
    if (auto request = unpack<StreamWithdrawal>(text)) {
      Origins.withdraw(request->Key, request->Sequence, TimerService::now());
      withdrawer->send(pack(StreamWithdrawalReply{request->Key}));
    } else {
      Log.write(LogClass::State, "message-refused",
                {{"what", "withdrawal of a stream's origin"}});
    }
    withdrawer->close();
  };
}

void StreamOriginService::tick() {
  auto now = TimerService::now();
  std::erase_if(Recipients, [this, now](auto &it) {
    auto &recipient = it.second;
    bool isIdle = recipient.Pending.Streams.empty() &&
                  now - recipient.UsedAt > Options.IdleTimeout;
    if (isIdle && recipient.Stream)
      recipient.Stream->close();
    return isIdle;
  });
}

} // namespace hemlockglade
