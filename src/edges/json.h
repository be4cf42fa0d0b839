// JSON from outside: parsed without exceptions and bounded in depth.
#ifndef CACTUSWARD_SRC_EDGES_JSON_H_
#define CACTUSWARD_SRC_EDGES_JSON_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace cactusward {

inline constexpr int kMaxJsonDepth = 64;

// Parses `text`. Deep nesting is refused before parsing, since writing a deep
// value out again would exhaust a coroutine's stack.
// @return nothing for malformed text, invalid UTF-8 or too deep nesting.
// Thread-safe.
std::optional<nlohmann::json> ParseJson(std::string_view text);
// The same; calls `on_value` for each value, key and end of a container that
// was read. It may switch coroutines.
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        const std::function<void()>& on_value);

// Writes `value`; invalid UTF-8 is replaced. Thread-safe.
std::string WriteJson(const nlohmann::json& value);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_JSON_H_
