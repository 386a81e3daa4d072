#include "Hemlockglade/Transport/Platform/PlatformClient.h"

namespace hemlockglade {

namespace {

constexpr Span TableTimeout = std::chrono::seconds(2);
constexpr int NotFoundStatus = 404;
constexpr int Conflict = 409;
constexpr int OkStatus = 200;

HttpRequest request(std::string method, std::string url, std::string body) {
  HttpRequest out;
  out.Method = std::move(method);
  out.Url = std::move(url);
  out.Body = std::move(body);
  out.Timeout = TableTimeout;
  return out;
}

TableError errorOf(const HttpResult &result) {
  return result.MayHaveSent ? TableError::Ambiguous : TableError::NotSent;
}

} // namespace

PlatformClient::PlatformClient(HttpClient &client, std::string url)
    : Client(client), Url(std::move(url)) {}

TableHooks PlatformClient::table() {
  TableHooks hooks;
  hooks.Get = [this](const std::string &key,
                     TableCallback<std::optional<TableRow>> done) {
    auto url = Url + "/table/row?key=" + urlEncode(key);
    Client.fetch(request("GET", url, ""),
                 [done = std::move(done)](const HttpResult &result,
                                          const std::string &body) {
                   if (result.Whole && result.Status == NotFoundStatus)
                     return done(std::optional<TableRow>());
                   auto row = platform_format::readRow(body);
                   if (!result.Whole || result.Status != OkStatus || !row)
                     return done(tl::unexpected(errorOf(result)));
                   done(std::optional<TableRow>(std::move(*row)));
                 });
  };
  hooks.Scan = [this](const std::string &prefix,
                      TableCallback<std::vector<TableRow>> done) {
    auto url = Url + "/table/scan?prefix=" + urlEncode(prefix);
    Client.fetch(request("GET", url, ""),
                 [done = std::move(done)](const HttpResult &result,
                                          const std::string &body) {
                   auto rows = platform_format::readRows(body);
                   if (!result.Whole || result.Status != OkStatus || !rows)
                     return done(tl::unexpected(errorOf(result)));
                   done(std::move(*rows));
                 });
  };
  hooks.Commit = [this](const TableTransaction &transaction,
                        TableCallback<std::uint64_t> done) {
    auto body = platform_format::commitBody(transaction);
    Client.fetch(request("POST", Url + "/table/commit", std::move(body)),
                 [done = std::move(done)](const HttpResult &result,
                                          const std::string &) {
                   // This table's answer does not hold the rows' new versions.
                   if (result.Whole && result.Status == OkStatus)
                     return done(0);
                   if (result.Whole && result.Status == Conflict)
                     return done(tl::unexpected(TableError::Conflict));
                   done(tl::unexpected(errorOf(result)));
                 });
  };
  return hooks;
}

void PlatformClient::hosts(TableCallback<std::vector<HostEntry>> done) {
  Client.fetch(request("GET", Url + "/hosts", ""),
               [done = std::move(done)](const HttpResult &result,
                                        const std::string &body) {
                 auto hosts = readHostList(body);
                 if (!result.Whole || result.Status != OkStatus || !hosts)
                   return done(tl::unexpected(errorOf(result)));
                 done(std::move(*hosts));
               });
}

void PlatformClient::putObject(const std::string &name, std::string data,
                               std::function<void(bool)> done) {
  auto url = Url + "/objects/" + urlEncode(name);
  Client.fetch(
      request("PUT", url, std::move(data)),
      [done = std::move(done)](const HttpResult &result, const std::string &) {
        done(result.Whole && result.Status == OkStatus);
      });
}

void PlatformClient::getObject(
    const std::string &name,
    std::function<void(std::optional<std::string>)> done) {
  auto url = Url + "/objects/" + urlEncode(name);
  Client.fetch(
      request("GET", url, ""),
      [done = std::move(done)](const HttpResult &result, std::string body) {
        if (!result.Whole || result.Status != OkStatus)
          return done(std::nullopt);
        done(std::move(body));
      });
}

void PlatformClient::dropObject(const std::string &name) {
  auto url = Url + "/objects/" + urlEncode(name);
  Client.fetch(request("DELETE", url, ""),
               [](const HttpResult &, const std::string &) {});
}

} // namespace hemlockglade
