#include "NodeCaller.h"

#include <algorithm>

namespace hemlockglade {

NodeCaller::NodeCaller(std::vector<std::string> nodes, Span timeout)
    : Nodes(std::move(nodes)), Timeout(timeout) {}

tl::expected<NodeAnswer, std::string>
NodeCaller::call(const HttpRequest &request) {
  std::string reasons;
  for (auto it = Nodes.begin(); it != Nodes.end(); ++it) {
    auto answer = callOne(request, *it);
    if (answer) {
      std::rotate(Nodes.begin(), it, it + 1);
      return answer;
    }
    reasons += (reasons.empty() ? "" : "\n") + *it + ": " + answer.error();
  }
  return tl::unexpected(reasons);
}

tl::expected<NodeAnswer, std::string>
NodeCaller::callOne(HttpRequest request, const std::string &node) const {
  request.Url = "http://" + node + request.Url;
  request.Timeout = Timeout;
  asio::io_context context;
  HttpClient client(context);
  tl::expected<NodeAnswer, std::string> answer =
      tl::unexpected(std::string("no answer"));
  client.fetch(std::move(request),
               [&](const HttpResult &result, const std::string &body) {
                 if (result.Whole)
                   answer = NodeAnswer{result.Status, body};
                 else
                   answer = tl::unexpected(result.Error);
                 context.stop();
               });
  context.run();
  return answer;
}

} // namespace hemlockglade
