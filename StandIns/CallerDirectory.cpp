#include "StandIns/CallerDirectory.h"

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr Span QueryTimeout = std::chrono::seconds(2);
constexpr Span RetryDelay = std::chrono::milliseconds(200);

} // namespace

CallerDirectory::CallerDirectory(StandIn &host, HttpClient &client,
                                 std::string nodesFile)
    : Host(host), Client(client), NodesFile(std::move(nodesFile)) {}

std::vector<std::string> CallerDirectory::nodes() const {
  std::ifstream file(NodesFile);
  std::vector<std::string> out;
  for (std::string line; std::getline(file, line);) {
    if (!line.empty())
      out.push_back(line);
  }
  return out;
}

void CallerDirectory::find(const std::string &query, const OnAnswer &done) {
  auto it = Cached.find(query);
  if (it != Cached.end() &&
      TimerService::now() < it->second.AskedAt + it->second.TimeToLive)
    return done(it->second);
  sendQuery(query, MaxAttempts, done);
}

void CallerDirectory::sendQuery(const std::string &query, int attempts,
                                const OnAnswer &done) {
  if (attempts == 0)
    return done({});
  auto retry = [this, query, attempts, done] {
    Host.timers().after(RetryDelay, [this, query, attempts, done](Instant) {
      sendQuery(query, attempts - 1, done);
    });
  };
  auto known = nodes();
  if (known.empty())
    return retry();
  HttpRequest request;
  request.Url =
      "http://" + known[++Next % known.size()] + "/directory?" + query;
  request.Timeout = QueryTimeout;
  auto asked = TimerService::now();
  Client.fetch(request, [this, query, asked, done, retry](
                            const HttpResult &result, const std::string &body) {
    if (result.Whole && result.Status == 200)
      cacheAnswer(query, asked, body);
    auto it = Cached.find(query);
    if (it == Cached.end() || it->second.AskedAt < asked ||
        it->second.Addresses.empty())
      return retry();
    done(it->second);
  });
}

void CallerDirectory::cacheAnswer(const std::string &query, Instant asked,
                                  const std::string &body) {
  auto node = json::parse(body, nullptr, false);
  if (!node.is_object())
    return;
  DirectoryAnswer answer;
  answer.AskedAt = asked;
  answer.TimeToLive = std::chrono::duration_cast<Span>(
      std::chrono::duration<double>(node.value("ttl_s", 0.0)));
  for (const auto &it : node.value("addresses", json::array()))
    answer.Addresses.push_back(it.get<std::string>());
  Cached[query] = std::move(answer);
}

} // namespace hemlockglade
