#pragma once

#include "Programs/hemlockgladed/Gateway/Gateway.h"

#include <asio/signal_set.hpp>

namespace hemlockglade {

/// Reads and checks a settings file; the error says what is wrong and where.
tl::expected<GatewaySettings, std::string>
readGatewayFile(const std::string &path);

/// Handles the signals of a running node: SIGTERM and SIGINT stop it, SIGHUP
/// reloads its settings file. Invalid settings are logged and rejected, and the
/// previous ones stay in force.
class GatewaySignals {
public:
  GatewaySignals(asio::io_context &context, Gateway &gateway, EventLog &log,
                 std::string path);

private:
  void awaitReload();
  void reload();

  Gateway &Node;
  EventLog &Log;
  const std::string Path;
  asio::signal_set Stops;
  asio::signal_set Reloads;
};

} // namespace hemlockglade
