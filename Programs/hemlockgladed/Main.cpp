#include "GatewayMain.h"
#include "Node.h"
#include "SignalBlock.h"

#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <thread>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(config, "", "settings file of this node (YAML)");
DEFINE_string(port_file, "",
              "file to write the listening ports to: callers, then peers");
DEFINE_bool(
    gateway, false,
    "serve from a registry: read routes and replicas from it instead of "
    "from declarations");
DEFINE_bool(check_config, false, "only check the settings file");

namespace {

using namespace hemlockglade;

constexpr int UsageError = 2;

void setUpLog() {
  el::Configurations log;
  log.setToDefault();
  log.setGlobally(el::ConfigurationType::ToFile, "false");
  log.setGlobally(el::ConfigurationType::Format,
                  "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(log);
}

int run(const NodeSettings &settings, SignalBlock &signalBlock) {
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  Node node(context, settings);
  node.onStopped([&context] { context.stop(); });
  node.start();
  if (!FLAGS_port_file.empty())
    std::ofstream(FLAGS_port_file) << node.callerPort() << '\n'
                                   << node.peerPort() << '\n';
  LOG(INFO) << "start node=" << settings.Name
            << " callers=" << node.callerPort() << " peers=" << node.peerPort();
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](asio::error_code, int) { node.stop(); });
  signalBlock.release();
  std::vector<std::thread> threads;
  for (std::uint32_t it = 0; it < settings.Threads; ++it)
    threads.emplace_back([&context] { context.run(); });
  for (auto &thread : threads)
    thread.join();
  LOG(INFO) << "stopped node=" << settings.Name;
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  SignalBlock signalBlock;
  gflags::SetUsageMessage("serves callers and owns cells; see README.md");
  gflags::SetVersionString(HEMLOCKGLADE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_gateway)
    return runGateway(FLAGS_config, FLAGS_check_config, signalBlock);
  setUpLog();
  std::ifstream file(FLAGS_config);
  if (!file) {
    std::cerr << "hemlockgladed: can't read --config " << FLAGS_config << '\n';
    return UsageError;
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = readNodeSettings(text.str(), FLAGS_config);
  if (!settings) {
    std::cerr << faultText(settings.error());
    return UsageError;
  }
  if (FLAGS_check_config)
    return 0;
  try {
    return run(*settings, signalBlock);
  } catch (const std::exception &error) {
    std::cerr << "hemlockgladed: " << error.what() << '\n';
    return 1;
  }
}
