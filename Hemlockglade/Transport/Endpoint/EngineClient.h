#pragma once

#include "Hemlockglade/Protocol/Endpoint/EngineFormat.h"
#include "Hemlockglade/Transport/Http/HttpClient.h"

namespace hemlockglade {

/// Result of an order to an engine.
enum class OrderResult : std::uint8_t {
  /// The engine carried out the order.
  Done,
  /// The engine refused the order, or it was not sent; nothing changed.
  Refused,
  /// The engine refused the order because a newer owner sends the orders.
  Fenced,
  /// There was no answer; the engine may have carried out the order.
  Unknown,
};

/// Sends orders to model engines and requests their reports.
class EngineClient {
public:
  explicit EngineClient(HttpClient &client);

  /// Orders the engine at `ip:port` to load an adapter (`name@version`).
  HttpClient::Ticket load(const std::string &address,
                          const std::string &adapter, Epoch fence,
                          std::function<void(OrderResult)> done);
  /// Orders the engine at `ip:port` to unload an adapter.
  void unload(const std::string &address, const std::string &adapter,
              Epoch fence, std::function<void(OrderResult)> done);
  /// Requests the load report. `done` gets nothing if there was no valid
  /// answer.
  void report(const std::string &address,
              std::function<void(std::optional<EngineReport>)> done);
  /// Probes a plain service. `done` gets true after any complete answer,
  /// whatever its status.
  void probe(const std::string &address, std::function<void(bool)> done);
  /// Cancels a load order; its result is then `Unknown`, or `Refused` if it was
  /// not sent.
  void cancel(HttpClient::Ticket ticket);

private:
  HttpClient::Ticket order(const std::string &url, std::string body,
                           Epoch fence, Span timeout,
                           std::function<void(OrderResult)> done);

  HttpClient &Client;
};

} // namespace hemlockglade
