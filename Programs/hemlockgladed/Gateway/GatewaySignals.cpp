#include "Programs/hemlockgladed/Gateway/GatewaySignals.h"

#include <csignal>
#include <fstream>
#include <sstream>

namespace hemlockglade {

tl::expected<GatewaySettings, std::string>
readGatewayFile(const std::string &path) {
  std::ifstream file(path);
  if (!file)
    return tl::unexpected("can't read " + path + "\n");
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = readGatewaySettings(text.str(), path);
  if (!settings)
    return tl::unexpected(faultText(settings.error()));
  return *settings;
}

GatewaySignals::GatewaySignals(asio::io_context &context, Gateway &gateway,
                               EventLog &log, std::string path)
    : Node(gateway), Log(log), Path(std::move(path)),
      Stops(context, SIGTERM, SIGINT), Reloads(context, SIGHUP) {
  Stops.async_wait([this](asio::error_code ec, int) {
    if (!ec)
      Node.stop();
  });
  awaitReload();
}

void GatewaySignals::awaitReload() {
  Reloads.async_wait([this](asio::error_code ec, int) {
    if (ec)
      return;
    reload();
    awaitReload();
  });
}

void GatewaySignals::reload() {
  auto settings = readGatewayFile(Path);
  if (settings)
    return Node.reload(*settings);
  Log.write(LogClass::State, "reload",
            {{"result", "refused"}, {"why", settings.error()}});
}

} // namespace hemlockglade
