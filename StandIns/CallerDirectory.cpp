#include "StandIns/CallerDirectory.h"

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr Span AskTimeout = std::chrono::seconds(2);
constexpr Span AskAgain = std::chrono::milliseconds(200);

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
  auto it = Kept.find(query);
  if (it != Kept.end() &&
      TimerService::now() < it->second.AskedAt + it->second.TimeToLive)
    return done(it->second);
  ask(query, Tries, done);
}

void CallerDirectory::ask(const std::string &query, int tries,
                          const OnAnswer &done) {
  if (tries == 0)
    return done({});
  auto again = [this, query, tries, done] {
    Host.timers().after(AskAgain, [this, query, tries, done](Instant) {
      ask(query, tries - 1, done);
    });
  };
  auto known = nodes();
  if (known.empty())
    return again();
  HttpRequest request;
  request.Url =
      "http://" + known[++Next % known.size()] + "/directory?" + query;
  request.Timeout = AskTimeout;
  auto asked = TimerService::now();
  Client.fetch(request, [this, query, asked, done, again](
                            const HttpResult &result, const std::string &body) {
    if (result.Whole && result.Status == 200)
      take(query, asked, body);
    auto it = Kept.find(query);
    if (it == Kept.end() || it->second.AskedAt < asked ||
        it->second.Addresses.empty())
      return again();
    done(it->second);
  });
}

void CallerDirectory::take(const std::string &query, Instant asked,
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
  Kept[query] = std::move(answer);
}

} // namespace hemlockglade
