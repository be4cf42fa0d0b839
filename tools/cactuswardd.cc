// cactuswardd: the serving daemon.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "platform/make_adapter.h"
#include "src/daemon/gateway.h"
#include "src/kernel/allocator.h"
#include "src/kernel/log.h"

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitInvalid = 3;
constexpr int kExitAddressInUse = 4;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Reloads the settings on SIGHUP and when the content of the file changes.
// Invalid settings are logged and otherwise ignored.
class settings_watcher {
 public:
  settings_watcher(
      boost::asio::io_context& io,
      std::string path,
      std::function<void(const cactusward::instance_settings&)> on_change)
      : timer_(io),
        sighup_(io, SIGHUP),
        path_(std::move(path)),
        on_change_(std::move(on_change)),
        last_text_(ReadFile(path_).value_or("")) {
    WaitForSignal();
    WaitForTimer();
  }

 private:
  static constexpr std::chrono::seconds kPollInterval{2};

  void WaitForSignal() {
    sighup_.async_wait([this](const boost::system::error_code& error, int) {
      if (error)
        return;
      ReloadIfChanged(true);
      WaitForSignal();
    });
  }
  void WaitForTimer() {
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      ReloadIfChanged(false);
      WaitForTimer();
    });
  }
  void ReloadIfChanged(bool force) {
    const auto text = ReadFile(path_);
    if (!text || (!force && *text == last_text_))
      return;
    last_text_ = *text;
    const auto settings = cactusward::ParseSettings(*text);
    if (settings)
      on_change_(*settings);
    else
      cactusward::Log(cactusward::log_level::kError, "settings_rejected",
                      {{"detail", settings.detail()}});
  }

  boost::asio::steady_timer timer_;
  boost::asio::signal_set sighup_;
  std::string path_;
  std::function<void(const cactusward::instance_settings&)> on_change_;
  std::string last_text_;
};

[[noreturn]] void ExitWithoutCleanup(int code) {
  // Suspended coroutines hold references to services. Exiting without unwinding
  // them is safe because no state has to be saved.
  std::cout.flush();
  std::_Exit(code);
}

int ServeForwarding(cactusward::instance_settings settings) {
  cactusward::InitLog(settings.instance, settings.min_log_level);
  boost::asio::io_context io(1);
  cactusward::relay_gateway gateway(io, &settings,
                                    cactusward::platform::MakeAdapter);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&gateway](const boost::system::error_code& error, int) {
    if (!error)
      gateway.Stop();
  });
  // Installed before Start(): a SIGHUP during start-up would otherwise
  // terminate the process.
  const settings_watcher watch(
      io, absl::GetFlag(FLAGS_settings),
      [&gateway](const auto& next) { gateway.Reload(next); });
  if (!gateway.Start()) {
    std::cerr << "cannot listen on " << settings.listen << " and "
              << settings.peer_listen << '\n';
    return kExitAddressInUse;
  }
  io.run();
  ExitWithoutCleanup(0);
}

int Serve(cactusward::instance_settings settings) {
  cactusward::InitLog(settings.instance, settings.min_log_level);
  boost::asio::io_context io(1);
  cactusward::gateway gateway(io, &settings);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&gateway](const boost::system::error_code& error, int) {
    if (!error)
      gateway.Drain();
  });
  const settings_watcher watch(
      io, absl::GetFlag(FLAGS_settings),
      [&gateway](const auto& next) { gateway.Reload(next); });
  if (!gateway.Start()) {
    std::cerr << "cannot listen on " << settings.listen << " and "
              << settings.peer_listen << '\n';
    return kExitAddressInUse;
  }
  io.run();
  ExitWithoutCleanup(0);
}

}  // namespace

int main(int argc, char** argv) {
  cactusward::ReturnLargeBuffers();
  absl::SetProgramUsageMessage(
      "Serves callers' requests on a fleet of upstreams.\n"
      "cactuswardd --settings=FILE [--check]\n"
      "Exit codes: 0 graceful shutdown, 2 usage, 3 invalid settings, "
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
  if (!settings->forwarding)
    return Serve(*settings);
  if (settings->forwarding->protocol != cactusward::platform::kProtocolName) {
    std::cerr << "forwarding.protocol: \"" << settings->forwarding->protocol
              << "\" is not supported; expected \""
              << cactusward::platform::kProtocolName << "\"\n";
    return kExitInvalid;
  }
  return ServeForwarding(*settings);
}
