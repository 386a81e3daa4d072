#include "Programs/hemlockgladed/GatewayMain.h"

#include "Programs/hemlockgladed/Gateway/Gateway.h"
#include "platform/Port.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace hemlockglade {

namespace {

constexpr int UsageError = 2;

tl::expected<GatewaySettings, std::string>
readSettings(const std::string &config) {
  std::ifstream file(config);
  if (!file)
    return tl::unexpected("can't read " + config + "\n");
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = readGatewaySettings(text.str(), config);
  if (!settings)
    return tl::unexpected(faultText(settings.error()));
  return *settings;
}

/// Takes over settings that changed; bad ones are refused and the old ones
/// stay in force.
void reload(Gateway &gateway, EventLog &log, const std::string &config) {
  auto settings = readSettings(config);
  if (settings)
    return gateway.reload(*settings);
  log.write(LogClass::State, "reload",
            {{"result", "refused"}, {"why", settings.error()}});
}

int serve(const GatewaySettings &settings, const std::string &config) {
  // A write to a connection that the other side has closed is an error code,
  // not the end of the process.
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context context(1);
  auto work = asio::make_work_guard(context);
  EventLog::Settings logSettings;
  logSettings.Node = settings.Name;
  EventLog log(std::move(logSettings), descriptorSink(STDOUT_FILENO),
               [] { return TimerService::now(); });
  Gateway gateway(context, settings, platformPort(context, settings, log), log);
  gateway.onStopped([&context] { context.stop(); });
  gateway.start();
  asio::signal_set stops(context, SIGTERM, SIGINT);
  stops.async_wait([&gateway](asio::error_code ec, int) {
    if (!ec)
      gateway.stop();
  });
  asio::signal_set reloads(context, SIGHUP);
  std::function<void()> awaitReload = [&] {
    reloads.async_wait([&](asio::error_code ec, int) {
      if (ec)
        return;
      reload(gateway, log, config);
      awaitReload();
    });
  };
  awaitReload();
  context.run();
  return 0;
}

} // namespace

int runGateway(const std::string &config, bool onlyCheck) {
  auto settings = readSettings(config);
  if (!settings) {
    std::cerr << "hemlockgladed: " << settings.error();
    return UsageError;
  }
  if (onlyCheck)
    return 0;
  try {
    return serve(*settings, config);
  } catch (const std::exception &error) {
    std::cerr << "hemlockgladed: " << error.what() << '\n';
    return 1;
  }
}

} // namespace hemlockglade
