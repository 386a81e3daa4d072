#pragma once

#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"
#include "Hemlockglade/Transport/Http/HttpClient.h"

namespace hemlockglade {

/// How an engine took an order.
enum class OrderResult : std::uint8_t {
  Done,
  /// The engine refused; nothing changed.
  Refused,
  /// The engine refused because a newer owner gives the orders.
  Fenced,
  /// No answer; it may have been done.
  Unknown,
};

/// Gives orders to model engines and asks for their reports.
class EngineClient {
public:
  explicit EngineClient(HttpClient &client);

  /// Orders `ip:port` to load an adapter (`name@version`).
  HttpClient::Ticket load(const std::string &address,
                          const std::string &adapter, Epoch fence,
                          std::function<void(OrderResult)> done);
  /// Orders `ip:port` to unload an adapter.
  void unload(const std::string &address, const std::string &adapter,
              Epoch fence, std::function<void(OrderResult)> done);
  /// Asks for the load report; nothing if there was no answer.
  void report(const std::string &address,
              std::function<void(std::optional<EngineReport>)> done);
  /// Asks a plain service for its health; any whole answer counts as alive.
  void probe(const std::string &address, std::function<void(bool)> done);
  /// Takes back a load order.
  void cancel(HttpClient::Ticket ticket);

private:
  HttpClient::Ticket order(const std::string &url, std::string body,
                           Epoch fence, Span timeout,
                           std::function<void(OrderResult)> done);

  HttpClient &Client;
};

} // namespace hemlockglade
