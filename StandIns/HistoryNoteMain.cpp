// Appends one line to a history file; used by scripts:
//   HistoryNote FILE WHO EVENT [NAME=VALUE]...

#include "StandIns/StandInHost.h"

#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace hemlockglade;

int run(int argc, char **argv) {
  constexpr int FirstPair = 4;
  if (argc < FirstPair) {
    std::cerr << "HistoryNote FILE WHO EVENT [NAME=VALUE]...\n";
    return 2;
  }
  asio::io_context context(1);
  StandIn host(context, argv[2], argv[1]);
  nlohmann::json line{{"event", argv[3]}};
  for (int it = FirstPair; it < argc; ++it) {
    std::string pair = argv[it];
    auto equals = std::min(pair.find('='), pair.size() - 1);
    auto value = pair.substr(equals + 1);
    auto parsed = nlohmann::json::parse(value, nullptr, false);
    line[pair.substr(0, equals)] =
        parsed.is_discarded() ? nlohmann::json(value) : parsed;
  }
  host.record(line);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  return hemlockglade::guarded([argc, argv] { return run(argc, argv); });
}
