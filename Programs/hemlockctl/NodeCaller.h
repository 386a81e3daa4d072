#pragma once

#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// The answer of a node.
struct NodeAnswer {
  int Status = 0;
  std::string Body;

  bool isOk() const { return Status == 200; }
};

/// Sends requests to nodes over HTTP, one node after the other until one gives
/// a whole answer.
class NodeCaller {
public:
  /// `nodes` are addresses, ip:port; `timeout` applies to each of them.
  NodeCaller(std::vector<std::string> nodes, Span timeout);

  /// Sends the request, whose URL is only the path, unchanged in each attempt.
  /// The error says why no node answered, one line per node.
  tl::expected<NodeAnswer, std::string> call(const HttpRequest &request);

private:
  /// Sends the request to one node. The error is that of the transport.
  tl::expected<NodeAnswer, std::string> callOne(HttpRequest request,
                                                const std::string &node) const;

  /// Addresses; the node that answered last is the first.
  std::vector<std::string> Nodes;
  Span Timeout;
};

} // namespace hemlockglade
