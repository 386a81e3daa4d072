#include "Programs/hemlockgladed/Gateway/StreamOriginService.h"

#include "Hemlockglade/Transport/Time/TimerService.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Appends a stream and returns the message's index of its origin.
void append(BegunStreamsMessage &message, StreamKey key,
            const StreamOrigin &origin, std::uint32_t attempt) {
  auto it =
      std::find_if(message.Origins.begin(), message.Origins.end(),
                   [&origin](const StreamOriginNotice &notice) {
                     return notice.Service == origin.Service &&
                            notice.SoftwareVersion == origin.SoftwareVersion;
                   });
  auto index = static_cast<std::uint32_t>(it - message.Origins.begin());
  if (it == message.Origins.end())
    message.Origins.push_back({origin.Service, origin.SoftwareVersion});
  message.Streams.push_back({key, index, attempt});
}

} // namespace

/// One search at other nodes.
struct StreamOriginService::Question {
  StreamKey Key = 0;
  OnFound Found;
  Finding Result;
  /// Nodes that have not answered.
  std::size_t Open = 0;
  std::vector<std::shared_ptr<PeerStream>> Streams;
};

StreamOriginService::StreamOriginService(Settings settings, Hooks hooks,
                                         PeerTraffic &traffic, EventLog &log)
    : Options(std::move(settings)), Callbacks(std::move(hooks)),
      Traffic(traffic), Log(log), Origins(Options.Origins) {}

StreamOriginService::~StreamOriginService() { *Alive = false; }

void StreamOriginService::onSent(StreamKey key, const StreamOrigin &origin,
                                 std::uint32_t attempt) {
  Origins.add(key, origin, attempt, TimerService::now());
  auto nodes = Callbacks.Nodes();
  auto ranked = rankHolders(key, nodes);
  for (const auto &it : holdersToTell(ranked, Options.Node, Options.Holders)) {
    auto &holder = Holders[Callbacks.PeerAddress(*it.Node)];
    holder.IsNear = it.FailureDomain == Options.FailureDomain;
    append(holder.Pending, key, origin, attempt);
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
  for (auto &[address, holder] : Holders) {
    if (holder.Pending.Streams.empty())
      continue;
    auto text = pack(std::exchange(holder.Pending, {}));
    Traffic.add(PeerMessage::StreamNotice, holder.IsNear, text.size());
    send(address, holder, std::move(text));
  }
}

void StreamOriginService::send(const std::string &address, Holder &holder,
                               std::string message) {
  holder.UsedAt = TimerService::now();
  if (holder.Stream)
    return holder.Stream->send(std::move(message));
  PeerHooks hooks;
  auto self = std::make_shared<std::weak_ptr<PeerStream>>();
  hooks.OnClosed = [this, alive = Alive, address, self](bool) {
    if (!*alive)
      return;
    auto it = Holders.find(address);
    if (it != Holders.end() && self->lock() == it->second.Stream)
      it->second.Stream = nullptr;
  };
  holder.Stream = Net->open(address, std::string(peer_path::StreamsBegun),
                            std::move(message), std::move(hooks));
  *self = holder.Stream;
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
  auto question = std::make_shared<Question>();
  question->Key = key;
  question->Found = std::move(found);
  question->Open = question->Result.Asked = ranked.size();
  for (const auto &it : ranked)
    ask(question, Callbacks.PeerAddress(*it.Node));
  Callbacks.After(Options.AskTimeout, [this, alive = Alive, question] {
    if (*alive)
      decide(*question, std::nullopt);
  });
}

void StreamOriginService::ask(const std::shared_ptr<Question> &question,
                              const std::string &node) {
  PeerHooks hooks;
  hooks.OnMessage = [this, alive = Alive,
                     weak = std::weak_ptr(question)](std::string_view message) {
    auto question = weak.lock();
    if (!*alive || !question)
      return;
    auto &result = question->Result;
    ++result.Answered;
    auto reply = unpack<StreamOriginReply>(message);
    if (!reply) {
      Log.write(LogClass::State, "message-refused",
                {{"what", "origin of a stream"}});
      return;
    }
    for (auto position : reply->JoinedPosition) {
      ++result.Positions;
      result.NewestPosition = std::max(result.NewestPosition, position);
    }
    if (!reply->Origin.empty())
      decide(*question, StreamOrigin{reply->Origin.front().Service,
                                     reply->Origin.front().SoftwareVersion});
  };
  hooks.OnClosed = [this, alive = Alive, weak = std::weak_ptr(question)](bool) {
    auto question = weak.lock();
    if (*alive && question && --question->Open == 0)
      decide(*question, std::nullopt);
  };
  question->Streams.push_back(
      Net->open(node, std::string(peer_path::StreamOrigin),
                pack(StreamOriginRequest{question->Key}), std::move(hooks)));
}

void StreamOriginService::decide(Question &question,
                                 std::optional<StreamOrigin> origin) {
  auto found = std::exchange(question.Found, nullptr);
  if (!found)
    return;
  if (origin)
    Origins.add(question.Key, *origin, 0, TimerService::now());
  question.Result.FromPeer = origin.has_value();
  question.Result.Origin = std::move(origin);
  for (const auto &it : std::exchange(question.Streams, {}))
    it->close();
  found(question.Result);
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
      Origins.add(it.Key, {origin.Service, origin.SoftwareVersion}, it.Attempt,
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

void StreamOriginService::tick() {
  auto now = TimerService::now();
  std::erase_if(Holders, [this, now](auto &it) {
    auto &holder = it.second;
    bool isIdle = holder.Pending.Streams.empty() &&
                  now - holder.UsedAt > Options.IdleTimeout;
    if (isIdle && holder.Stream)
      holder.Stream->close();
    return isIdle;
  });
}

} // namespace hemlockglade
