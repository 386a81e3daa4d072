#include "Hemlockglade/Transport/Endpoint/EngineClient.h"

namespace hemlockglade {

namespace {

constexpr Span LoadTimeout = std::chrono::seconds(120);
constexpr Span UnloadTimeout = std::chrono::seconds(10);
constexpr Span ReportTimeout = std::chrono::seconds(2);
constexpr int OkStatus = 200;
constexpr int Conflict = 409;
constexpr int FirstServerError = 500;

} // namespace

EngineClient::EngineClient(HttpClient &client) : Client(client) {}

HttpClient::Ticket EngineClient::order(const std::string &url, std::string body,
                                       Epoch fence, Span timeout,
                                       std::function<void(OrderResult)> done) {
  HttpRequest request;
  request.Method = "POST";
  request.Url = url;
  request.Body = std::move(body);
  request.Timeout = timeout;
  request.Fields = {{"Content-Type", "application/json"},
                    {std::string(header::Fence), std::to_string(fence)}};
  HttpHooks hooks;
  hooks.OnDone = [done = std::move(done)](const HttpResult &result) {
    if (result.Whole && result.Status == OkStatus)
      return done(OrderResult::Done);
    if (result.Whole && result.Status == Conflict)
      return done(OrderResult::Fenced);
    bool isAnswered = result.Whole && result.Status < FirstServerError;
    bool isRefused = isAnswered || (!result.Whole && !result.MayHaveSent);
    done(isRefused ? OrderResult::Refused : OrderResult::Unknown);
  };
  return Client.start(std::move(request), std::move(hooks));
}

HttpClient::Ticket EngineClient::load(const std::string &address,
                                      const std::string &adapter, Epoch fence,
                                      std::function<void(OrderResult)> done) {
  return order("http://" + address + "/v1/load_lora_adapter",
               engine_format::loadBody(adapter), fence, LoadTimeout,
               std::move(done));
}

void EngineClient::unload(const std::string &address,
                          const std::string &adapter, Epoch fence,
                          std::function<void(OrderResult)> done) {
  order("http://" + address + "/v1/unload_lora_adapter",
        engine_format::unloadBody(adapter), fence, UnloadTimeout,
        std::move(done));
}

void EngineClient::report(
    const std::string &address,
    std::function<void(std::optional<EngineReport>)> done) {
  HttpRequest request;
  request.Url = "http://" + address + "/load";
  request.Timeout = ReportTimeout;
  Client.fetch(std::move(request),
               [done = std::move(done)](const HttpResult &result,
                                        const std::string &body) {
                 auto report = engine_format::readReport(body);
                 if (!result.Whole || result.Status != OkStatus || !report)
                   return done(std::nullopt);
                 done(std::move(*report));
               });
}

void EngineClient::probe(const std::string &address,
                         std::function<void(bool)> done) {
  HttpRequest request;
  request.Url = "http://" + address + "/healthz";
  request.Timeout = ReportTimeout;
  Client.fetch(
      std::move(request),
      [done = std::move(done)](const HttpResult &result, const std::string &) {
        done(result.Whole);
      });
}

void EngineClient::cancel(HttpClient::Ticket ticket) { Client.cancel(ticket); }

} // namespace hemlockglade
