#include "CallerFront.h"

#include "Answers.h"

#include <charconv>
#include <random>

namespace hemlockglade {

namespace {

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view DirectoryPath = "/directory";
constexpr std::string_view DefaultClass = "default";
constexpr Span DefaultDeadline = std::chrono::seconds(30);
constexpr std::size_t MaxKeyBytes = 256;
constexpr std::size_t IncarnationDigits = 8;
constexpr std::size_t MaxIdBytes = 256;
constexpr std::string_view LastEventId = "Last-Event-ID";
constexpr std::array<std::string_view, 4> ForwardedFields{
    "Content-Type", "Accept", LastEventId, header::IdempotencyKey};

/// Whether HTTP defines the method as safe, so that a second attempt does no
/// harm.
bool isSafeMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Reads a deadline in milliseconds, reduced to `max`; nothing if the text
/// isn't a positive number.
std::optional<Span> readDeadline(const std::string &text,
                                 std::chrono::milliseconds max) {
  std::int64_t ms = 0;
  const char *end = text.data() + text.size();
  auto [rest, ec] = std::from_chars(text.data(), end, ms);
  if (ec != std::errc() || rest != end || ms <= 0)
    return std::nullopt;
  // Bounded before the conversion to microseconds, which could overflow.
  return std::min(std::chrono::milliseconds(ms), max);
}

} // namespace

CallerFront::CallerFront(CallerFrontSettings settings, CallerFrontHooks hooks)
    : Settings(std::move(settings)), Hooks(std::move(hooks)),
      Limit(std::make_shared<CallerLimit>(Settings.MaxPerCaller)) {}

bool CallerFront::handle(HttpIncoming &incoming,
                         const std::shared_ptr<HttpReply> &reply) {
  const auto &path = incoming.Path;
  bool isCallerPath = path == CompletionsPath || path == ChatPath ||
                      path == DirectoryPath || path.starts_with(ServicesPrefix);
  if (isCallerPath && Hooks.InForce()->number() == 0 && !Hooks.CaughtUp()) {
    // A node that has just started has no configuration yet; the caller can
    // retry at another node.
    answer::error(*reply, 503, "starting", "the node is starting");
    return true;
  }
  if (path == CompletionsPath || path == ChatPath) {
    onCompletion(incoming, reply);
    return true;
  }
  if (path.starts_with(ServicesPrefix)) {
    onService(incoming, reply);
    return true;
  }
  if (path == DirectoryPath) {
    onDirectory(incoming, *reply);
    return true;
  }
  return false;
}

std::string CallerFront::newRequestId() {
  // The last part is random, because whoever knows an id may resume its stream.
  thread_local std::random_device device;
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%08x%08x", device(), device());
  return Settings.Node + '-' +
         Settings.Incarnation.substr(0, IncarnationDigits) + '-' +
         std::to_string(++LastRequest) + '-' + buf.data();
}

bool CallerFront::prepare(const HttpIncoming &incoming,
                          const CatalogView &inForce, HttpReply &reply,
                          ExchangeRequest &request) {
  request.CallerSlot = Limit->acquire(incoming.Remote);
  if (!request.CallerSlot) {
    answer::error(reply, 429, "caller_limit",
                  "too many requests of this caller are running here");
    return false;
  }
  request.Id = newRequestId();
  request.Method = incoming.Method;
  request.Admit.Id = request.Id;
  request.Admit.Caller = incoming.Remote;
  request.Admit.Class =
      incoming.field(header::Class).value_or(std::string(DefaultClass));
  Span deadline = DefaultDeadline;
  if (auto found = inForce.find<ServiceClass>(request.Admit.Class))
    deadline = found->Deadline;
  else if (request.Admit.Class != DefaultClass) {
    answer::error(reply, 400, "class_not_found",
                  "no service class " + request.Admit.Class);
    return false;
  }
  if (auto field = incoming.field(header::Deadline)) {
    auto requested = readDeadline(*field, Settings.MaxDeadline);
    if (!requested) {
      answer::error(reply, 400, "invalid_deadline",
                    "the deadline is not a positive number of milliseconds");
      return false;
    }
    deadline = *requested;
  }
  request.Deadline = TimerService::now() + deadline;
  request.IdempotencyKey = incoming.field(header::IdempotencyKey).value_or("");
  if (request.IdempotencyKey.size() > MaxKeyBytes) {
    answer::error(reply, 400, "invalid_key", "the idempotency key is too long");
    return false;
  }
  for (auto name : ForwardedFields) {
    if (auto value = incoming.field(name))
      request.Fields.emplace_back(name, *value);
  }
  return true;
}

void CallerFront::onCompletion(HttpIncoming &incoming,
                               const std::shared_ptr<HttpReply> &reply) {
  if (incoming.Method != "POST")
    return answer::error(*reply, 405, "method_not_allowed", "POST only");
  auto inForce = Hooks.InForce();
  auto completion = readCompletion(incoming.Body, [&](const std::string &name) {
    auto found = inForce->find<AdapterConfig>(name);
    return found ? found->Current : 0U;
  });
  if (!completion) {
    bool unknown = completion.error().Kind == ProtocolErrorKind::Unknown;
    return answer::error(*reply, unknown ? 404 : 400,
                         unknown ? "adapter_not_found" : "invalid_request",
                         completion.error().Text);
  }
  const auto &wanted = completion->Adapter;
  auto adapter = inForce->find<AdapterConfig>(wanted.Name);
  if (!adapter)
    return answer::error(*reply, 404, "adapter_not_found",
                         "no adapter " + wanted.Name);
  const auto &versions = adapter->Versions;
  if (std::find(versions.begin(), versions.end(), wanted.Version) ==
      versions.end())
    return answer::error(*reply, 404, "version_not_found",
                         "no version " + wanted.text());
  auto service = inForce->find<ServiceConfig>(adapter->Service);
  if (!service)
    return answer::error(*reply, 404, "service_not_found",
                         "no service " + adapter->Service);
  ExchangeRequest request;
  if (!prepare(incoming, *inForce, *reply, request))
    return;
  request.PathAndQuery = incoming.Path;
  request.Body = std::move(completion->Body);
  request.Stream = completion->Stream;
  request.Repeatable = incoming.field(header::Repeatable) != "no" &&
                       request.IdempotencyKey.empty();
  request.Admit.Adapter = wanted.text();
  request.Admit.Cell = cellOf(*service, request.Admit.Adapter);
  request.Admit.PrefixHash = completion->PrefixHash;
  request.Admit.PromptTokens = completion->PromptTokens;
  if (incoming.field(LastEventId) && !prepareResume(incoming, *reply, request))
    return;
  Hooks.Begin(std::move(request), reply);
}

bool CallerFront::prepareResume(const HttpIncoming &incoming, HttpReply &reply,
                                ExchangeRequest &request) {
  auto id = incoming.field(header::RequestId);
  auto replica = incoming.field(header::Replica);
  if (!id || !replica || id->size() > MaxIdBytes) {
    answer::error(reply, 400, "invalid_resume",
                  "going on with a stream needs the request id and the replica "
                  "of its first answer");
    return false;
  }
  request.Id = *id;
  request.Admit.Id = *id;
  request.Admit.ResumeOn = *replica;
  request.Resume = true;
  request.Repeatable = false;
  // The key was claimed when the request was first sent, and a second claim
  // would be refused.
  request.IdempotencyKey.clear();
  return true;
}

void CallerFront::onService(HttpIncoming &incoming,
                            const std::shared_ptr<HttpReply> &reply) {
  auto rest = incoming.Path.substr(ServicesPrefix.size());
  auto slash = std::min(rest.find('/'), rest.size());
  auto name = rest.substr(0, slash);
  auto inForce = Hooks.InForce();
  auto service = inForce->find<ServiceConfig>(name);
  if (!service || service->Kind != ServiceKind::Plain)
    return answer::error(*reply, 404, "service_not_found",
                         "no service " + name);
  ExchangeRequest request;
  if (!prepare(incoming, *inForce, *reply, request))
    return;
  request.PathAndQuery = slash < rest.size() ? rest.substr(slash) : "/";
  if (!incoming.Query.empty())
    request.PathAndQuery += '?' + incoming.Query;
  request.Body = std::move(incoming.Body);
  auto repeatable = incoming.field(header::Repeatable);
  request.Repeatable =
      (repeatable ? *repeatable == "yes" : isSafeMethod(incoming.Method)) &&
      request.IdempotencyKey.empty();
  request.Admit.Cell = cellOf(*service, incoming.Remote);
  Hooks.Begin(std::move(request), reply);
}

void CallerFront::onDirectory(const HttpIncoming &incoming, HttpReply &reply) {
  auto inForce = Hooks.InForce();
  auto name = queryValue(incoming.Query, "service");
  auto model = queryValue(incoming.Query, "model");
  auto key = model;
  if (auto adapter = AdapterRef::parse(model)) {
    if (auto found = inForce->find<AdapterConfig>(adapter->Name)) {
      name = found->Service;
      if (adapter->Version == 0)
        adapter->Version = found->Current;
      key = adapter->text();
    }
  }
  auto service = inForce->find<ServiceConfig>(name);
  if (!service)
    return answer::error(reply, 404, "service_not_found", "no service " + name);
  if (key.empty())
    key = incoming.Remote;
  auto cell = cellOf(*service, key);
  auto domain = queryValue(incoming.Query, "failure_domain");
  auto region = queryValue(incoming.Query, "region");
  auto addresses = Hooks.Addresses({incoming.Remote, domain, region, cell});
  auto ttl = inSeconds(Settings.DirectoryTtl);
  answer::json(reply, 200, {{"addresses", addresses}, {"ttl_s", ttl}});
}

} // namespace hemlockglade
