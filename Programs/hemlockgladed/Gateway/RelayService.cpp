#include "Programs/hemlockgladed/Gateway/RelayService.h"

#include "Hemlockglade/Transport/Http1/RelayFields.h"
#include "Hemlockglade/Transport/Peer/PeerNet.h"
#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <charconv>

namespace hemlockglade {

using namespace gateway;

namespace {

/// Connections that are accepted beyond the requests that may be forwarded, so
/// that a further request is answered rather than cut off.
constexpr std::size_t SpareConnections = 256;

Span maxIdleOf(const HeaderFields &fields) {
  const auto *text = findField(fields, relay_field::MaxIdle);
  std::int64_t n = 0;
  if (!text ||
      std::from_chars(text->data(), text->data() + text->size(), n).ec !=
          std::errc())
    return Span::max();
  return std::chrono::milliseconds(n);
}

/// Returns the number of the sending that a request belongs to, or empty.
std::string sendingOf(const HeaderFields &fields) {
  const auto *text = findField(fields, relay_field::Sending);
  return text ? *text : std::string();
}

void addOutcome(HeaderFields &fields, std::string_view sending,
                std::string_view outcome) {
  fields.push_back({std::string(relay_field::Outcome), std::string(outcome)});
  if (!sending.empty())
    fields.push_back({std::string(relay_field::Sending), std::string(sending)});
}

} // namespace

/// One request that is being forwarded.
class RelayService::Forwarding
    : public std::enable_shared_from_this<Forwarding> {
public:
  Forwarding(RelayService &service, ReplicaPtr replica, CallerRequest request,
             std::shared_ptr<CallerReply> reply)
      : Service(service), Replica(std::move(replica)),
        Request(std::move(request)), Reply(std::move(reply)),
        Body(std::make_shared<const std::string>(std::move(Request.Body))),
        Sending(sendingOf(Request.Head.Fields)),
        Id(Service.Labels.ReadRequest(viewsOf(Request.Head.Fields)).Id) {}

  void start();
  void abort();

private:
  HttpRequestHead forwardedHead() const;
  void onConnected();
  bool onHead(const HttpAnswerHead &head);
  void onBody(std::string_view part);
  void onDone();
  void onWholeAnswer();
  void onFailed(HttpFailure how);
  void finish(std::string_view outcome);

  RelayService &Service;
  ReplicaPtr Replica;
  CallerRequest Request;
  std::shared_ptr<CallerReply> Reply;
  std::shared_ptr<const std::string> Body;
  /// Number of the sending at the other node; empty if it states none.
  std::string Sending;
  std::string Id;
  std::shared_ptr<HttpConnection> Connection;
  std::optional<HttpAnswerHead> Head;
  Instant SentAt = TimerService::now();
  bool Begun = false;
  std::uint32_t StrayAnswers = 0;
};

HttpRequestHead RelayService::Forwarding::forwardedHead() const {
  HttpRequestHead out{Request.Head.Method, Request.Head.Target, {}};
  for (const auto &it : Request.Head.Fields)
    if (!isConnectionField(it.Name))
      out.Fields.push_back(it);
  relay_field::eraseAll(out.Fields);
  if (!Body->empty() || findField(Request.Head.Fields, "Content-Length"))
    out.Fields.push_back({"Content-Length", std::to_string(Body->size())});
  return out;
}

void RelayService::Forwarding::start() {
  Reply->OnGone = [weak = weak_from_this()] {
    auto self = weak.lock();
    if (!self)
      return;
    // A connection in the middle of an answer is reset, which ends the run.
    self->Connection->abort();
    self->finish("other node left");
  };
  HttpCallHooks hooks;
  auto with = [weak = weak_from_this()](auto call) {
    return [weak, call](auto &&...args) {
      if (auto self = weak.lock())
        call(*self, std::forward<decltype(args)>(args)...);
    };
  };
  hooks.OnConnected = with([](auto &self) { self.onConnected(); });
  hooks.OnHead = [weak = weak_from_this()](const HttpAnswerHead &head) {
    auto self = weak.lock();
    return !self || self->onHead(head);
  };
  hooks.OnBody = with([](auto &self, auto part) { self.onBody(part); });
  hooks.OnDone = with([](auto &self) { self.onDone(); });
  hooks.OnFailed = with([](auto &self, auto how) { self.onFailed(how); });
  Connection = Service.Pool.take(parseEndpoint(Replica->Address),
                                 maxIdleOf(Request.Head.Fields),
                                 std::hash<std::string>{}(Id));
  Connection->call(writeHead(forwardedHead()), Body,
                   Request.Head.Method == "HEAD", std::move(hooks));
}

void RelayService::Forwarding::onConnected() {
  Service.Callbacks.OnConnected(*Replica);
  // The replica may have begun to drain, or asked for a pause, while the
  // connection was established.
  bool isUsable =
      Service.Callbacks.Find(Replica->Incarnation.text()) != nullptr;
  if (isUsable && !Service.Callbacks.PausedFor(*Replica))
    return;
  Connection->abort();
  if (isUsable && Service.refuseIfPaused(*Replica, *Reply, Sending))
    return finish(relay_outcome::Paused);
  refuse(*Reply, Sending, relay_outcome::UnknownReplica);
  finish(relay_outcome::UnknownReplica);
}

bool RelayService::Forwarding::onHead(const HttpAnswerHead &head) {
  Service.Callbacks.OnHeard(*Replica);
  auto labels = Service.Labels.ReadAnswer(head.Status, viewsOf(head.Fields));
  // A late answer to an earlier request on the connection.
  bool isStray = !labels.Id.empty() && labels.Id != Id;
  Service.Callbacks.OnAnswer(*Replica, head.Status,
                             isStray ? labels.withoutLimits() : labels, SentAt);
  if (isStray) {
    ++StrayAnswers;
    return false;
  }
  Head = head;
  relay_field::eraseAll(Head->Fields);
  if (relay_field::endsWithConnection(Head->Fields))
    Head->Fields.push_back({std::string(relay_field::OpenEnd), "1"});
  addOutcome(Head->Fields, Sending, relay_outcome::Forwarded);
  return true;
}

void RelayService::Forwarding::onBody(std::string_view part) {
  if (!std::exchange(Begun, true))
    Reply->begin(*Head);
  Reply->part(part);
  if (Reply->queued() < Service.Options.MaxQueuedBytes)
    return;
  Connection->pauseReading(true);
  Reply->OnDrained = [weak = weak_from_this()] {
    if (auto self = weak.lock())
      self->Connection->pauseReading(false);
  };
}

void RelayService::Forwarding::onDone() {
  if (!Connection->endedAnswer() || !Service.Callbacks.ProbeEnded)
    return onWholeAnswer();
  Service.Callbacks.ProbeEnded(
      *Replica, [weak = weak_from_this()](bool hasEnded) {
        auto self = weak.lock();
        // The other node may have left meanwhile.
        if (!self || !self->Service.Active.contains(self))
          return;
        if (hasEnded)
          self->onFailed(HttpFailure::Ended);
        else
          self->onWholeAnswer();
      });
}

void RelayService::Forwarding::onWholeAnswer() {
  if (Begun)
    Reply->finish();
  else
    Reply->respond(std::move(*Head), "");
  finish(relay_outcome::Forwarded);
}

void RelayService::Forwarding::onFailed(HttpFailure how) {
  bool isUnsent = how == HttpFailure::NotConnected;
  if (isUnsent)
    Service.Callbacks.OnConnectFailed(*Replica);
  auto outcome = isUnsent ? relay_outcome::NotConnected : relay_outcome::Broken;
  // An answer that has begun must not look complete.
  if (Begun)
    Reply->abort();
  else
    refuse(*Reply, Sending, outcome);
  finish(outcome);
}

void RelayService::Forwarding::abort() {
  if (Connection)
    Connection->abort();
  Reply->abort();
  finish("this node stops");
}

void RelayService::Forwarding::finish(std::string_view outcome) {
  auto self = shared_from_this();
  Reply->OnGone = nullptr;
  Reply->OnDrained = nullptr;
  if (!Service.Active.erase(self))
    return;
  Service.Log.write(LogClass::Request, "relayed",
                    {{"request", Id},
                     {"replica", Replica->Incarnation.text()},
                     {"outcome", outcome},
                     {"status", std::uint32_t{Head ? Head->Status : 0U}},
                     {"sending", Sending},
                     {"stray_answers", StrayAnswers},
                     {"calls", Connection->calls()},
                     {"port", std::uint32_t{Connection->localPort()}},
                     {"took_ms", TimerService::now() - Request.ArrivedAt}});
  // The other node may send the request again.
  if (Head && !isSuccess(Head->Status))
    Connection->excludeKey(std::hash<std::string>{}(Id));
  if (Connection->reusable())
    Service.Pool.give(Connection);
  else
    Connection->abort();
}

RelayService::RelayService(asio::io_context &context, Settings settings,
                           Hooks hooks, const LabelHooks &labels,
                           HttpPool &pool, EventLog &log)
    : Options(std::move(settings)), Callbacks(std::move(hooks)), Labels(labels),
      Pool(pool), Log(log) {
  CallerHooks server;
  server.Bounds = Callbacks.Bounds;
  server.Closing = Callbacks.Stopping;
  server.Memory = Callbacks.Memory;
  server.OnRequest = [this](CallerRequest &&request, auto reply) {
    onRequest(std::move(request), std::move(reply));
  };
  Server = std::make_unique<CallerServer>(
      context, parseEndpoint(Options.Address),
      Options.MaxRequests + SpareConnections, std::move(server));
}

RelayService::~RelayService() {
  try {
    auto open = Active;
    for (const auto &it : open)
      it->abort();
  } catch (const std::exception &) {
    // Memory has run out. The connections close with their last references.
  }
}

void RelayService::onRequest(CallerRequest request,
                             std::shared_ptr<CallerReply> reply) {
  const auto *incarnation =
      findField(request.Head.Fields, relay_field::Replica);
  auto replica = incarnation ? Callbacks.Find(*incarnation) : nullptr;
  auto sending = sendingOf(request.Head.Fields);
  if (!replica)
    return refuse(*reply, sending, relay_outcome::UnknownReplica);
  if (Callbacks.IsCutOff(replica->Service))
    return refuse(*reply, sending, relay_outcome::CutOff);
  if (refuseIfPaused(*replica, *reply, sending))
    return;
  if (Callbacks.Stopping() || Active.size() >= Options.MaxRequests)
    return refuse(*reply, sending, relay_outcome::Busy);
  ++Total;
  auto it = std::make_shared<Forwarding>(*this, std::move(replica),
                                         std::move(request), std::move(reply));
  Active.insert(it);
  it->start();
}

void RelayService::refuse(CallerReply &reply, std::string_view sending,
                          std::string_view outcome, HeaderFields fields) {
  addOutcome(fields, sending, outcome);
  reply.respond({Unavailable, std::move(fields)}, "");
}

bool RelayService::refuseIfPaused(const ReplicaRecord &replica,
                                  CallerReply &reply,
                                  std::string_view sending) const {
  auto pause = Callbacks.PausedFor(replica);
  if (!pause)
    return false;
  constexpr Span Millisecond = std::chrono::milliseconds(1);
  refuse(reply, sending, relay_outcome::Paused,
         {{std::string(relay_field::PauseMs),
           std::to_string(*pause / Millisecond + 1)}});
  return true;
}

} // namespace hemlockglade
