#include "src/kernel/log.h"

#include <easylogging++.h>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <ctime>

INITIALIZE_EASYLOGGINGPP

namespace cactusward {
namespace {

std::string g_instance;
std::atomic<log_level> g_min_level{log_level::kInfo};

std::string_view NameOf(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "error";
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count() %
                  1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text + length, sizeof(text) - length, ".%03dZ",
                static_cast<int>(ms));
  return text;
}

std::atomic<std::int64_t> g_dropped_lines{0};

// Writes lines to standard output and drops those that are not accepted in
// full: a slow reader of logs must not delay requests.
class line_writer : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::string line = data->logMessage()->message() + "\n";
    const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size()))
      ++g_dropped_lines;
  }
};

}  // namespace

std::int64_t DroppedLogLines() {
  return g_dropped_lines.load();
}

void InitLog(const std::string& instance, log_level min_level) {
  g_instance = instance;
  g_min_level = min_level;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configuration);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<line_writer>("line_writer");
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void Log(log_level level,
         std::string_view event,
         const nlohmann::json& fields) {
  if (level < g_min_level.load())
    return;
  nlohmann::json line = {{"time", Timestamp()},
                         {"level", NameOf(level)},
                         {"instance", g_instance},
                         {"event", event}};
  line.update(fields);
  const std::string text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  switch (level) {
    case log_level::kDebug:
    case log_level::kInfo:
      LOG(INFO) << text;
      break;
    case log_level::kWarning:
      LOG(WARNING) << text;
      break;
    case log_level::kError:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace cactusward
