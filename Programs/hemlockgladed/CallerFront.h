#pragma once

#include "CallerLimit.h"
#include "Exchange.h"

namespace hemlockglade {

/// What the front for callers needs of its node.
struct CallerFrontHooks {
  /// The configuration in force.
  std::function<std::shared_ptr<const CatalogView>()> InForce;
  /// Whether the newest configuration that was heard of is in force.
  std::function<bool()> CaughtUp;
  /// Addresses for callers, best first; the query's owner is the cell's name.
  std::function<std::vector<std::string>(const DirectoryQuery &)> Addresses;
  /// Starts an exchange.
  std::function<void(ExchangeRequest, std::shared_ptr<HttpReply>)> Begin;
};

/// Settings of the front for callers.
struct CallerFrontSettings {
  /// Name of the node, the first part of request ids.
  std::string Node;
  /// Incarnation of the node, the second part.
  std::string Incarnation;
  /// How long callers may keep an address.
  Span DirectoryTtl = std::chrono::seconds(5);
  /// Longest deadline that a caller may ask for.
  std::chrono::milliseconds MaxDeadline = std::chrono::minutes(10);
  /// Requests that one caller's address may have running at one node.
  std::uint32_t MaxPerCaller = 512;
};

/// Reads callers' requests: completions, calls of plain services and
/// questions to the directory.
class CallerFront {
public:
  CallerFront(CallerFrontSettings settings, CallerFrontHooks hooks);

  /// Takes a request if it is a caller's; false if the path is none of ours.
  bool take(HttpIncoming &incoming, const std::shared_ptr<HttpReply> &reply);

private:
  void onCompletion(HttpIncoming &incoming,
                    const std::shared_ptr<HttpReply> &reply);
  void onService(HttpIncoming &incoming,
                 const std::shared_ptr<HttpReply> &reply);
  void onDirectory(const HttpIncoming &incoming, HttpReply &reply);
  /// Fills in what all requests share; false if a header was refused.
  bool prepare(const HttpIncoming &incoming, const CatalogView &inForce,
               HttpReply &reply, ExchangeRequest &request);
  /// Fills in what going on with a stream needs; false if it was refused.
  bool prepareResume(const HttpIncoming &incoming, HttpReply &reply,
                     ExchangeRequest &request);
  std::string newRequestId();

  CallerFrontSettings Settings;
  CallerFrontHooks Hooks;
  std::shared_ptr<CallerLimit> Limit;
  std::atomic<std::uint64_t> LastRequest{0};
};

} // namespace hemlockglade
