#pragma once

#include "StandIns/StandInHost.h"

namespace hemlockglade {

/// Where to send something, as the system said.
struct DirectoryAnswer {
  /// `ip:port`, the best one first.
  std::vector<std::string> Addresses;
  Instant AskedAt{};
  Span TimeToLive{};
};

/// A caller's memory of whom to ask: it asks any node, and keeps the answer
/// for its time to live.
class CallerDirectory {
public:
  using OnAnswer = std::function<void(const DirectoryAnswer &)>;

  /// `nodesFile` has a node's `ip:port` in each line; it is read again each
  /// time, since nodes are replaced.
  CallerDirectory(StandIn &host, HttpClient &client, std::string nodesFile);

  /// Gives the answer to a query, asking until a node gives one. With no
  /// address in it if none did in all tries.
  void find(const std::string &query, const OnAnswer &done);

  /// Nodes that are said to be there now.
  std::vector<std::string> nodes() const;

private:
  static constexpr int Tries = 150;

  void ask(const std::string &query, int tries, const OnAnswer &done);
  void take(const std::string &query, Instant asked, const std::string &body);

  StandIn &Host;
  HttpClient &Client;
  std::string NodesFile;
  std::size_t Next = 0;
  std::map<std::string, DirectoryAnswer> Kept;
};

} // namespace hemlockglade
