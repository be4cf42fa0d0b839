// The daemon.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "src/daemon/gateway.h"
#include "src/kernel/log.h"

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;
constexpr int kExitNoAddress = 4;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int Serve(const cactusward::instance_settings& settings) {
  cactusward::InitLog(settings.instance, settings.lowest_level);
  boost::asio::io_context io(1);
  cactusward::gateway gateway(io, settings);
  if (!gateway.Start()) {
    std::cerr << "cannot listen on " << settings.listen << " and "
              << settings.peer_listen << '\n';
    return kExitNoAddress;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&gateway](const boost::system::error_code& error, int) {
    if (!error)
      gateway.Drain();
  });
  io.run();
  // Open coroutines hold references to services; leaving without unwinding
  // them is safe because nothing is kept.
  std::cout.flush();
  std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Serves callers' requests on a fleet of upstreams.\n"
      "cactuswardd --settings=FILE [--check]\n"
      "Exit codes: 0 stopped as planned, 2 usage, 3 invalid settings, "
      "4 address in use.");
  absl::ParseCommandLine(argc, argv);
  const auto text = ReadFile(absl::GetFlag(FLAGS_settings));
  if (!text) {
    std::cerr << "--settings: cannot read \"" << absl::GetFlag(FLAGS_settings)
              << "\"\n";
    return kExitUsage;
  }
  const auto settings = cactusward::ParseSettings(*text);
  if (!settings) {
    std::cerr << settings.detail() << '\n';
    return kExitInvalid;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Serve(*settings);
}
