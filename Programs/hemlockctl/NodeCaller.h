#pragma once

#include "Hemlockglade/Protocol/Protocol.h"
#include "Hemlockglade/Transport/Transport.h"

#include <tl/expected.hpp>

namespace hemlockglade {

/// What a node answered.
struct NodeAnswer {
  int Status = 0;
  std::string Body;

  bool isOk() const { return Status == 200; }
};

/// Asks nodes over HTTP: one after the other until one gives a whole answer.
class NodeCaller {
public:
  /// `nodes` are addresses, ip:port; `timeout` is for each of them.
  NodeCaller(std::vector<std::string> nodes, Span timeout);

  /// Sends the request; its URL is only the path, and each try is the same
  /// request. The error says why no node answered, one line a node.
  tl::expected<NodeAnswer, std::string> call(const HttpRequest &request);

private:
  /// Asks one node; the error is the transport's.
  tl::expected<NodeAnswer, std::string> callOne(HttpRequest request,
                                                const std::string &node) const;

  /// The one that answered last goes first.
  std::vector<std::string> Nodes;
  Span Timeout;
};

} // namespace hemlockglade
