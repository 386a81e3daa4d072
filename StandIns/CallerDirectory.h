#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// Answer of a node's directory: the nodes that accept a request.
struct DirectoryAnswer {
  /// `ip:port`, in order of preference.
  std::vector<std::string> Addresses;
  Instant AskedAt{};
  Span TimeToLive{};
};

/// A caller's cache of the directory: queries the nodes in turn and caches
/// each answer for its time to live.
class CallerDirectory {
public:
  using OnAnswer = std::function<void(const DirectoryAnswer &)>;

  /// `nodesFile` has the `ip:port` of one node in each line. It is read before
  /// each query, since nodes are replaced during a run.
  CallerDirectory(StandIn &host, HttpClient &client, std::string nodesFile);

  /// Passes the answer to a query to `done`, retrying until a node answers.
  /// The answer has no address if none did within MaxAttempts.
  void find(const std::string &query, const OnAnswer &done);

  /// Addresses that the nodes file lists now.
  std::vector<std::string> nodes() const;

private:
  static constexpr int MaxAttempts = 150;

  void sendQuery(const std::string &query, int attempts, const OnAnswer &done);
  void cacheAnswer(const std::string &query, Instant asked,
                   const std::string &body);

  StandIn &Host;
  HttpClient &Client;
  std::string NodesFile;
  std::size_t Next = 0;
  std::map<std::string, DirectoryAnswer> Cached;
};

} // namespace hemlockglade
