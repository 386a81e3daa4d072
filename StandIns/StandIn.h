#pragma once

// What all stand-ins share: flags, a listener, one thread, a history file.

#include "Hemlockglade/Transport/Transport.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

INITIALIZE_EASYLOGGINGPP

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_string(port_file, "", "file to write the chosen port to");
DEFINE_string(history, "", "file to append what happened to, as JSON lines");

namespace hemlockglade {

/// A text that is different for each start.
inline std::string standInId() {
  std::random_device device;
  return std::to_string(device()) + std::to_string(device());
}

/// The process that a stand-in lives in.
class StandIn {
public:
  explicit StandIn(asio::io_context &context)
      : Context(context), Timers(context) {
    if (!FLAGS_history.empty())
      History.open(FLAGS_history, std::ios::app);
  }

  asio::io_context &context() { return Context; }
  TimerService &timers() { return Timers; }

  /// Adds one line to the history.
  void record(nlohmann::json line) {
    if (!History.is_open())
      return;
    line["at_us"] = TimerService::now().count();
    line["who"] = Name;
    History << line.dump() << std::endl;
  }

  std::string Name;

private:
  asio::io_context &Context;
  TimerService Timers;
  std::ofstream History;
};

/// Serves as a stand-in class until SIGTERM; throws if it can't.
template <typename T> void serveStandIn(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  StandIn host(context);
  gflags::CommandLineFlagInfo name;
  if (gflags::GetCommandLineFlagInfo("name", &name))
    host.Name = name.current_value;
  T standIn(host);
  HttpServerSettings settings;
  settings.Port = static_cast<std::uint16_t>(FLAGS_port);
  HttpServer server(context, settings,
                    [&standIn](const HttpIncoming &in,
                               const std::shared_ptr<HttpReply> &reply) {
                      standIn.onHttp(in, reply);
                    });
  if (!FLAGS_port_file.empty())
    std::ofstream(FLAGS_port_file) << server.port() << '\n';
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](asio::error_code, int) { context.stop(); });
  context.run();
}

/// The `main` of a stand-in.
template <typename T> int runStandIn(int argc, char **argv) noexcept {
  try {
    serveStandIn<T>(argc, argv);
    return 0;
  } catch (const std::exception &error) {
    std::fprintf(stderr, "stand-in: %s\n", error.what());
    return 1;
  }
}

} // namespace hemlockglade
