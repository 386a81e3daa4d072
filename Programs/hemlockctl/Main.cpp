#include "Hemlockglade/Transport/Transport.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(node, "", "address of any node, ip:port");

namespace {

using namespace hemlockglade;

constexpr int UsageError = 2;

/// Sends one request and prints the answer. Gives the exit status.
int call(const HttpRequest &request) {
  asio::io_context context;
  HttpClient client(context);
  int status = 1;
  client.fetch(request, [&](const HttpResult &result, const std::string &body) {
    if (result.Whole)
      std::cout << body;
    else
      std::cerr << "hemlockctl: " << result.Error << '\n';
    status = result.Whole && result.Status == 200 ? 0 : 1;
    context.stop();
  });
  context.run();
  return status;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetUsageMessage("hemlockctl --node IP:PORT apply FILE | show WHAT");
  gflags::SetVersionString(HEMLOCKGLADE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc < 3 || FLAGS_node.empty()) {
    std::cerr << gflags::ProgramUsage() << '\n';
    return UsageError;
  }
  HttpRequest request;
  request.Timeout = std::chrono::seconds(10);
  std::string verb = argv[1];
  if (verb == "apply") {
    std::ifstream file(argv[2]);
    std::ostringstream text;
    text << file.rdbuf();
    request.Method = "POST";
    request.Url = "http://" + FLAGS_node + "/admin/apply";
    request.Body = text.str();
  } else {
    request.Url = "http://" + FLAGS_node + "/admin/show?what=" + argv[2];
  }
  return call(request);
}
