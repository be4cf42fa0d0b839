#include "src/kernel/log.h"

#include <easylogging++.h>

#include <atomic>
#include <chrono>
#include <ctime>

INITIALIZE_EASYLOGGINGPP

namespace cactusward {
namespace {

std::string g_instance;
std::atomic<log_level> g_lowest{log_level::kInfo};

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

}  // namespace

void InitLog(const std::string& instance, log_level lowest) {
  g_instance = instance;
  g_lowest = lowest;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureLogger("default", configuration);
}

void Log(log_level level,
         std::string_view event,
         const nlohmann::json& fields) {
  if (level < g_lowest.load())
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
