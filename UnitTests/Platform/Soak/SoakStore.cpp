#include "UnitTests/Platform/Soak/SoakStore.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "Hemlockglade/Protocol/QueryText.h"
#include "platform/Base64.h"
#include "platform/Names.h"

namespace hemlockglade::soak {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxConnections = 2000;

asio::ip::tcp::endpoint anyPort() {
  return {asio::ip::make_address("127.0.0.1"), 0};
}

std::uint64_t numberParameter(std::string_view target, std::string_view name) {
  auto text = queryValue(queryOf(target), name);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

SoakStore::SoakStore(asio::io_context &context, std::uint64_t seed)
    : Context(context), Timers(context), Random(seed),
      Server(context, anyPort(), MaxConnections, hooks()) {
  constexpr auto SnapshotInterval = std::chrono::milliseconds(250);
  SnapshotTimer =
      Timers.every(SnapshotInterval, [this](Instant) { takeSnapshot(); });
}

void SoakStore::takeSnapshot() {
  constexpr std::size_t MaxSnapshots = 40;
  Snapshots.push_back({TimerService::now(), Tables, Version, OldestVersion});
  if (Snapshots.size() > MaxSnapshots)
    Snapshots.pop_front();
}

HttpAnswerHead SoakStore::head(std::uint16_t status) const {
  return {status,
          {{std::string(platform_name::StoreEra), std::to_string(Era)}}};
}

void SoakStore::revertBy(Span age) {
  if (Snapshots.empty())
    return;
  auto until = TimerService::now() - age;
  while (Snapshots.size() > 1 && Snapshots.back().At > until)
    Snapshots.pop_back();
  auto declared = Tables[std::string(platform_name::OperatorTable)];
  auto snapshot = Snapshots.back();
  Tables = std::move(snapshot.Tables);
  Version = snapshot.Version;
  OldestVersion = snapshot.OldestVersion;
  ++Era;
  constexpr auto RewriteDelay = std::chrono::milliseconds(300);
  auto reverted = Tables[std::string(platform_name::OperatorTable)];
  Timers.after(RewriteDelay, [this, declared, reverted](Instant) mutable {
    auto &current = Tables[std::string(platform_name::OperatorTable)];
    // Rows that operators have written since the revert are newer and stay.
    for (const auto &[key, row] : declared)
      if (current[key].Version == reverted[key].Version &&
          current[key].Value != row.Value)
        put(platform_name::OperatorTable, key, row.Value);
  });
}

std::vector<std::string> SoakStore::keys(std::string_view table) const {
  std::vector<std::string> out;
  if (auto it = Tables.find(std::string(table)); it != Tables.end())
    for (const auto &[key, row] : it->second)
      if (!row.Removed)
        out.push_back(key);
  return out;
}

void SoakStore::setMode(Mode mode) {
  CurrentMode = mode;
  if (mode != Mode::Silent)
    return;
  for (auto &it : std::exchange(WaitingPolls, {})) {
    it.Reply->OnGone = nullptr;
    Unanswered.push_back(std::move(it.Reply));
  }
}

CallerHooks SoakStore::hooks() {
  CallerHooks out;
  out.Bounds = [] { return CallerBounds{}; };
  out.Closing = [] { return false; };
  out.OnRequest = [this](const CallerRequest &request, auto reply) {
    serve(request, reply);
  };
  return out;
}

void SoakStore::serve(const CallerRequest &request,
                      const std::shared_ptr<CallerReply> &reply) {
  switch (CurrentMode) {
  case Mode::Silent:
    Unanswered.push_back(reply);
    return;
  case Mode::Busy:
    return reply->respond(head(503), "{}");
  case Mode::LosesAnswers:
    if (request.Head.path() == platform_name::RowsChange && Random() % 2)
      return change(request, *reply, true);
    return answer(request, reply);
  case Mode::Slow:
    Timers.after(SlowDelay,
                 [this, request, reply](Instant) { answer(request, reply); });
    return;
  case Mode::Healthy:
    return answer(request, reply);
  }
}

void SoakStore::answer(const CallerRequest &request,
                       const std::shared_ptr<CallerReply> &reply) {
  auto path = request.Head.path();
  if (path == platform_name::RowsRead)
    read(request, *reply);
  else if (path == platform_name::RowsWatch)
    poll(request, reply);
  else if (path == platform_name::RowsChange)
    change(request, *reply, false);
  else
    reply->respond(head(404), "{}");
}

void SoakStore::read(const CallerRequest &request, CallerReply &reply) {
  constexpr std::size_t PageRows = 50;
  const auto &target = request.Head.Target;
  const auto &table = Tables[queryValue(queryOf(target), "table")];
  auto from = queryValue(queryOf(target), "from");
  Json rows = Json::array();
  bool more = false;
  for (auto it = table.lower_bound(from); it != table.end(); ++it) {
    if (it->second.Removed)
      continue;
    if (rows.size() == PageRows) {
      more = true;
      break;
    }
    rows.push_back({{"key", it->first},
                    {"ver", it->second.Version},
                    {"value", toBase64(it->second.Value)}});
  }
  reply.respond(
      head(200),
      Json{{"rows", rows}, {"has_more", more}, {"ver", Version}, {"now_ms", 0}}
          .dump());
}

std::string SoakStore::changesSince(const std::string &table,
                                    std::uint64_t after,
                                    bool &hasChanges) const {
  std::map<std::uint64_t, Json> changed;
  auto all = Tables.find(table);
  if (all != Tables.end())
    for (const auto &[key, row] : all->second) {
      if (row.Version <= after)
        continue;
      Json it{{"key", key}, {"ver", row.Version}};
      if (row.Removed)
        it["deleted"] = true;
      else
        it["value"] = toBase64(row.Value);
      changed.emplace(row.Version, std::move(it));
    }
  hasChanges = !changed.empty();
  Json rows = Json::array();
  for (auto &[version, it] : changed)
    rows.push_back(std::move(it));
  return Json{{"rows", rows}, {"ver", Version}, {"now_ms", 0}}.dump();
}

void SoakStore::poll(const CallerRequest &request,
                     const std::shared_ptr<CallerReply> &reply) {
  const auto &target = request.Head.Target;
  auto table = queryValue(queryOf(target), "table");
  auto after = numberParameter(target, "after");
  if (after < OldestVersion || after > Version)
    return reply->respond(head(410), "{}");
  bool hasChanges = false;
  auto body = changesSince(table, after, hasChanges);
  auto wait = std::chrono::milliseconds(numberParameter(target, "wait_ms"));
  if (hasChanges || wait.count() == 0)
    return reply->respond(head(200), body);
  auto it = WaitingPolls.insert(WaitingPolls.end(), {table, after, reply});
  Timers.after(wait, [this, weak = std::weak_ptr(reply)](Instant) {
    auto reply = weak.lock();
    for (auto at = WaitingPolls.begin(); reply && at != WaitingPolls.end();
         ++at)
      if (at->Reply == reply) {
        bool hasChanges = false;
        reply->respond(head(200),
                       changesSince(at->Table, at->After, hasChanges));
        WaitingPolls.erase(at);
        return;
      }
  });
  reply->OnGone = [this, it] { WaitingPolls.erase(it); };
}

void SoakStore::answerPolls() {
  if (CurrentMode != Mode::Healthy && CurrentMode != Mode::LosesAnswers)
    return;
  for (auto it = WaitingPolls.begin(); it != WaitingPolls.end();) {
    bool hasChanges = false;
    auto body = changesSince(it->Table, it->After, hasChanges);
    if (!hasChanges) {
      ++it;
      continue;
    }
    auto reply = it->Reply;
    reply->OnGone = nullptr;
    it = WaitingPolls.erase(it);
    reply->respond(head(200), body);
  }
}

void SoakStore::change(const CallerRequest &request, CallerReply &reply,
                       bool losesAnswer) {
  auto node = Json::parse(request.Body);
  bool isCurrent = true;
  for (const auto &it : node.at("if_revision")) {
    auto &row = Tables[it.at("table")][it.at("key")];
    auto expected = it.at("ver").get<std::uint64_t>();
    isCurrent = isCurrent && (row.Removed ? 0 : row.Version) == expected;
  }
  if (isCurrent) {
    ++Version;
    for (const auto &it : node.at("put"))
      Tables[it.at("table")][it.at("key")] = {
          fromBase64(it.at("value").get<std::string>()).value_or(""), Version,
          false};
    for (const auto &it : node.at("remove"))
      Tables[it.at("table")][it.at("key")] = {"", Version, true};
  }
  if (losesAnswer)
    reply.abort();
  else
    reply.respond(head(isCurrent ? 200 : 412),
                  Json{{"ver", Version}, {"rows", Json::array()}}.dump());
  answerPolls();
}

void SoakStore::put(std::string_view table, std::string_view key,
                    std::string value) {
  Tables[std::string(table)][std::string(key)] = {std::move(value), ++Version,
                                                  false};
  answerPolls();
}

void SoakStore::remove(std::string_view table, std::string_view key) {
  Tables[std::string(table)][std::string(key)] = {"", ++Version, true};
  answerPolls();
}

void SoakStore::truncateChangeLog() {
  OldestVersion = Version;
  for (auto &it : std::exchange(WaitingPolls, {})) {
    it.Reply->OnGone = nullptr;
    it.Reply->respond(head(410), "{}");
  }
}

} // namespace hemlockglade::soak
