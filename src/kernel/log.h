// Structured logs: one JSON object per line.
#ifndef CACTUSWARD_SRC_KERNEL_LOG_H_
#define CACTUSWARD_SRC_KERNEL_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cactusward {

enum class log_level { kDebug, kInfo, kWarning, kError };

// Sets up logging to standard output, which becomes non-blocking. Call once,
// before Log.
void InitLog(const std::string& instance, log_level min_level);

// Writes one line with time, level, instance, `event` and `fields`.
// Precondition: `fields` is an object. Thread-safe.
void Log(log_level level,
         std::string_view event,
         const nlohmann::json& fields = nlohmann::json::object());

// Number of lines dropped because standard output did not accept them in full.
// Thread-safe.
std::int64_t DroppedLogLines();

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_KERNEL_LOG_H_
