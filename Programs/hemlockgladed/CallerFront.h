#pragma once

#include "CallerLimit.h"
#include "Exchange.h"

namespace hemlockglade {

/// Callbacks through which CallerFront reaches its node.
struct CallerFrontHooks {
  /// Returns the configuration in force.
  std::function<std::shared_ptr<const CatalogView>()> InForce;
  /// Whether the newest revision known to this node is in force here.
  std::function<bool()> CaughtUp;
  /// Returns addresses for callers, best first. `Owner` of the query holds the
  /// name of the cell.
  std::function<std::vector<std::string>(const DirectoryQuery &)> Addresses;
  /// Starts an exchange.
  std::function<void(ExchangeRequest, std::shared_ptr<HttpReply>)> Begin;
};

/// Settings of CallerFront.
struct CallerFrontSettings {
  /// Name of the node; the first part of request ids.
  std::string Node;
  /// Incarnation of the node; its first eight digits are the second part.
  std::string Incarnation;
  /// How long callers may cache an address.
  Span DirectoryTtl = std::chrono::seconds(5);
  /// Maximum deadline of a request; longer ones are reduced to it.
  std::chrono::milliseconds MaxDeadline = std::chrono::minutes(10);
  /// Maximum number of requests that one caller's address may have running at
  /// one node.
  std::uint32_t MaxPerCaller = 512;
};

/// Serves the HTTP endpoints for callers: completions, calls of plain services
/// and directory queries.
class CallerFront {
public:
  CallerFront(CallerFrontSettings settings, CallerFrontHooks hooks);

  /// Handles a request for a caller's path; returns false, without an answer,
  /// for any other path.
  bool handle(HttpIncoming &incoming, const std::shared_ptr<HttpReply> &reply);

private:
  void onCompletion(HttpIncoming &incoming,
                    const std::shared_ptr<HttpReply> &reply);
  void onService(HttpIncoming &incoming,
                 const std::shared_ptr<HttpReply> &reply);
  void onDirectory(const HttpIncoming &incoming, HttpReply &reply);
  /// Fills in what all requests share. Returns false if the request was
  /// refused, for a bad header or the caller's limit.
  bool prepare(const HttpIncoming &incoming, const CatalogView &inForce,
               HttpReply &reply, ExchangeRequest &request);
  /// Fills in what resuming a stream needs. Returns false if the request was
  /// refused.
  bool prepareResume(const HttpIncoming &incoming, HttpReply &reply,
                     ExchangeRequest &request);
  std::string newRequestId();

  CallerFrontSettings Settings;
  CallerFrontHooks Hooks;
  std::shared_ptr<CallerLimit> Limit;
  std::atomic<std::uint64_t> LastRequest{0};
};

} // namespace hemlockglade
