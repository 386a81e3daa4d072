#include "Programs/hemlockgladed/GatewayMain.h"

#include "Hemlockglade/State/MemoryLimit.h"
#include "Programs/hemlockgladed/Gateway/GatewaySignals.h"
#include "platform/Port.h"

#include <csignal>
#include <iostream>
#include <unistd.h>

namespace hemlockglade {

namespace {

constexpr int UsageError = 2;

int serve(const GatewaySettings &settings, const std::string &config,
          SignalBlock &signalBlock) {
  // A write to a connection that the peer has closed then returns an error
  // code instead of killing the process.
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
  GatewaySignals signals(context, gateway, log, config);
  signalBlock.release();
  context.run();
  return 0;
}

} // namespace

int runGateway(const std::string &config, bool onlyCheck,
               SignalBlock &signalBlock) {
  auto settings = readGatewayFile(config);
  if (!settings) {
    std::cerr << "hemlockgladed: " << settings.error();
    return UsageError;
  }
  if (auto why =
          contradictsMemory(*settings, MemoryLimit::ofProcess().usable())) {
    std::cerr << "hemlockgladed: " << *why;
    return UsageError;
  }
  if (onlyCheck)
    return 0;
  try {
    return serve(*settings, config, signalBlock);
  } catch (const std::exception &error) {
    std::cerr << "hemlockgladed: " << error.what() << '\n';
    return 1;
  }
}

} // namespace hemlockglade
