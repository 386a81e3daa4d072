#pragma once

// Shared main function of the stand-ins: flags, an HTTP listener, one thread
// and a history file. Included in exactly one source file of each program,
// since it defines flags.

#include "StandIns/StandInHost.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <easylogging++.h>
#include <gflags/gflags.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_int32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_string(port_file, "", "file to write the chosen ports to");
DEFINE_string(history, "", "file to append events to, as JSON lines");

namespace hemlockglade {

/// Runs a stand-in of class T until SIGTERM or SIGINT. Writes to the port file
/// the port that other processes use and, if the HTTP listener has another
/// one, then that as the control port.
template <typename T> int serveStandIn(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  asio::io_context context(1);
  gflags::CommandLineFlagInfo name;
  gflags::GetCommandLineFlagInfo("name", &name);
  StandIn host(context, name.current_value, FLAGS_history);
  T standIn(host);
  HttpServerSettings settings;
  settings.Port = static_cast<std::uint16_t>(FLAGS_port);
  HttpServer server(context, settings,
                    [&standIn](const HttpIncoming &in,
                               const std::shared_ptr<HttpReply> &reply) {
                      standIn.onHttp(in, reply);
                    });
  if (!FLAGS_port_file.empty()) {
    std::ofstream file(FLAGS_port_file);
    if (host.DataPort)
      file << host.DataPort << '\n';
    file << server.port() << '\n';
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](asio::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

/// Body of a stand-in's main function; returns the exit code.
template <typename T> int runStandIn(int argc, char **argv) {
  return guarded([argc, argv] { return serveStandIn<T>(argc, argv); });
}

} // namespace hemlockglade
